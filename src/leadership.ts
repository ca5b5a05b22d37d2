/** The term of one node: taking it, renewing it, raising its fencing token, and losing it. */
import type { Logger } from "pino";
import type { Output } from "./core/outputs.js";
import { KEY, type Records, type StoredLead } from "./core/records.js";
import type { Scheduler } from "./core/scheduler.js";
import { Term } from "./core/term.js";
import type { Follower } from "./state/follower.js";
import type { Store } from "./state/store.js";

const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));

/** A term with the state machine that acts under it. */
export interface Leading {
  readonly term: Term;
  readonly scheduler: Scheduler;
}

export interface LeadershipOptions {
  readonly member: string;
  readonly ttlS: number;
  /** Seconds after the term for which reports may still be answered. */
  readonly keepS: number;
  readonly now: () => number;
  readonly log: Logger;
  readonly scheduler: (epoch: number, epochMark: number, now: number) => Scheduler;
  readonly perform: (outputs: readonly Output[]) => void;
  /** The term begins or ends. */
  readonly changed: (leads: boolean) => void;
}

export class Leadership {
  current: Leading | null = null;
  raiseWanted = false;
  private acquiring = false;
  private standBackUntil = Number.NEGATIVE_INFINITY;
  private stopped = false;

  constructor(
    private readonly store: Store,
    private readonly follower: Follower,
    private readonly records: Records,
    private readonly options: LeadershipOptions,
  ) {}

  /** As if the process had ended: the term lapses with its lease, and nothing waits for it any more. */
  stop(): void {
    this.stopped = true;
    this.current = null;
  }

  /** After it resigned, a node lets the others go first for so long. */
  standBack(forS: number): void {
    this.standBackUntil = this.options.now() + forS;
  }

  /** Nobody leads: takes the term. The leader is this node before its process restarted: ends that term first. */
  seek(): void {
    if (this.acquiring || this.stopped || this.current !== null) return;
    const { lead } = this.records;
    if (lead === null) {
      if (this.options.now() >= this.standBackUntil) void this.acquire();
    } else if (lead.value.member === this.options.member) {
      // The term is of the process that ran here before: nobody acts for it any more.
      this.acquiring = true;
      void this.store.revoke(lead.value.lease).then(async () => {
        await this.follower.catchUp();
        this.acquiring = false;
      });
    }
  }

  private async acquire(): Promise<void> {
    this.acquiring = true;
    const { member, ttlS, now, log } = this.options;
    try {
      const sentAt = now();
      const lease = await this.store.grant(ttlS * 1000);
      if (lease === null) return;
      const epoch = this.records.epoch.value.n + 1;
      const lead: StoredLead = { member, epoch, lease, at: Date.now() };
      const r = await this.store.txn(
        [
          { key: KEY.lead, mark: 0 },
          { key: KEY.epoch, mark: this.records.epoch.mark },
        ],
        [
          { op: "put", key: KEY.lead, value: lead, lease },
          { op: "put", key: KEY.epoch, value: { n: epoch } },
        ],
      );
      const caughtUp = await this.follower.catchUp();
      const won =
        caughtUp &&
        this.records.lead?.value.lease === lease &&
        this.records.epoch.value.n === epoch;
      if (!won) {
        if (r.kind !== "failed") log.info({ outcome: r.kind }, "term not taken");
        void this.store.revoke(lease);
        return;
      }
      if (this.stopped) return;
      const mark = this.records.epoch.mark;
      const term = new Term(member, epoch, mark, lease, ttlS, sentAt, lead.at);
      if (!term.acting(now())) {
        void this.store.revoke(lease);
        return;
      }
      const scheduler = this.options.scheduler(epoch, mark, now());
      this.current = { term, scheduler };
      this.options.changed(true);
      log.warn({ epoch, jobs: this.records.live.size }, "term taken");
      this.options.perform(scheduler.load(this.records, now()));
      void this.renewLoop(term);
    } finally {
      this.acquiring = false;
    }
  }

  /**
   * Sends a renewal four times a lease, whether the one before it was answered or not. (A slow leader waited for each
   * answer, which came late or not in time, and its lease ended between two renewals.)
   */
  private async renewLoop(term: Term): Promise<void> {
    while (this.current?.term === term && !this.stopped) {
      await sleep(this.options.ttlS / 4);
      if (this.current?.term === term && !this.stopped) void this.renew(term);
    }
  }

  private async renew(term: Term): Promise<void> {
    const { keepS, now } = this.options;
    const sentAt = now();
    const r = await this.store.extend(term.lease);
    if (this.current?.term !== term) return;
    if (r === "ok") term.renewed(sentAt);
    else if (r === "ended") this.lose("the lease ended");
    else if (!term.answering(now(), keepS)) this.lose("no renewal for too long");
  }

  lose(why: string): void {
    if (this.current === null) return;
    const { term } = this.current;
    this.options.log.warn({ epoch: term.epoch, why }, "term lost");
    void this.store.revoke(term.lease);
    this.current = null;
    this.raiseWanted = false;
    this.options.changed(false);
  }

  /** Raises the token under the same term, so that starts still under way are dropped. */
  async raise({ term, scheduler }: Leading): Promise<void> {
    const n = term.epoch + 1;
    const { lease, at } = term;
    const lead: StoredLead = { member: this.options.member, epoch: n, lease, at };
    const r = await this.store.txn(
      [{ key: KEY.epoch, mark: term.epochMark }],
      [
        { op: "put", key: KEY.epoch, value: { n } },
        { op: "put", key: KEY.lead, value: lead, lease: term.lease },
      ],
    );
    if (r.kind !== "refused") await this.follower.catchUp();
    if (this.current?.term !== term) return;
    const now = this.options.now();
    this.raiseWanted = false;
    if (this.records.epoch.value.n === n && this.records.lead?.value.lease === term.lease) {
      term.epoch = n;
      term.epochMark = this.records.epoch.mark;
      this.options.log.info({ epoch: n }, "token raised");
      this.options.perform(scheduler.tokenRaised({ n, mark: term.epochMark }, now));
    } else if (this.records.epoch.value.n > term.epoch) this.lose("epoch taken while raising it");
    else this.options.perform(scheduler.tokenRaised(null, now));
  }
}
