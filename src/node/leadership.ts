/** The term of one node: taking it, renewing it, raising its fencing token, and losing it. */
import type { Logger } from "pino";
import type { Effect } from "../core/effects.js";
import { LeadershipTerm } from "../core/leadership/term.js";
import type { Scheduler } from "../core/scheduler.js";
import { KEY, type StateReplica, type StoredLeader } from "../core/state/state-replica.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";

/** A term with the state machine that acts under it. */
export interface ActiveLeadership {
  readonly term: LeadershipTerm;
  readonly scheduler: Scheduler;
}

export interface LeadershipOptions {
  readonly member: string;
  readonly leaseS: number;
  /** Seconds after the term for which reports may still be answered. */
  readonly gracePeriodS: number;
  readonly now: () => number;
  readonly log: Logger;
  readonly createScheduler: (epoch: number, epochMark: number, now: number) => Scheduler;
  readonly performEffects: (outputs: readonly Effect[]) => void;
  /** The term begins or ends. */
  readonly onLeadershipChange: (leads: boolean) => void;
}

export class Leadership {
  current: ActiveLeadership | null = null;
  fencingTokenAdvanceRequested = false;
  private acquiring = false;
  private electionCooldownUntil = Number.NEGATIVE_INFINITY;
  private stopped = false;

  constructor(
    private readonly store: KeyValueClient,
    private readonly follower: StateWatcher,
    private readonly records: StateReplica,
    private readonly options: LeadershipOptions,
  ) {}

  /** As if the process had ended: the term lapses with its lease, and nothing waits for it any more. */
  stop(): void {
    this.stopped = true;
    this.current = null;
  }

  /** After it resigned, a node lets the others go first for so long. */
  startElectionCooldown(forS: number): void {
    this.electionCooldownUntil = this.options.now() + forS;
  }

  /** Nobody leads: takes the term. The leader is this node before its process restarted: ends that term first. */
  campaign(): void {
    if (this.acquiring || this.stopped || this.current !== null) return;
    const { leader: lead } = this.records;
    if (lead === null) {
      if (this.options.now() >= this.electionCooldownUntil) void this.acquire();
    } else if (lead.value.member === this.options.member) {
      // The term is of the process that ran here before: nobody acts for it any more.
      this.acquiring = true;
      void this.store.revokeLease(lead.value.lease).then(async () => {
        await this.follower.readLatest();
        this.acquiring = false;
      });
    }
  }

  private async acquire(): Promise<void> {
    this.acquiring = true;
    const { member, leaseS: ttlS, now, log } = this.options;
    try {
      const sentAt = now();
      const lease = await this.store.grantLease(ttlS * 1000);
      if (lease === null) return;
      const epoch = this.records.epoch.value.n + 1;
      const lead: StoredLeader = { member, epoch, lease, at: Date.now() };
      const r = await this.store.transact(
        [
          { key: KEY.leader, modRevision: 0 },
          { key: KEY.epoch, modRevision: this.records.epoch.modRevision },
        ],
        [
          { op: "put", key: KEY.leader, value: lead, lease },
          { op: "put", key: KEY.epoch, value: { n: epoch } },
        ],
      );
      const caughtUp = await this.follower.readLatest();
      const won =
        caughtUp &&
        this.records.leader?.value.lease === lease &&
        this.records.epoch.value.n === epoch;
      if (!won) {
        if (r.kind !== "failed") log.info({ outcome: r.kind }, "term not taken");
        void this.store.revokeLease(lease);
        return;
      }
      if (this.stopped) return;
      const mark = this.records.epoch.modRevision;
      const term = new LeadershipTerm(member, epoch, mark, lease, ttlS, sentAt, lead.at);
      if (!term.mayAct(now())) {
        void this.store.revokeLease(lease);
        return;
      }
      const scheduler = this.options.createScheduler(epoch, mark, now());
      this.current = { term, scheduler };
      this.options.onLeadershipChange(true);
      log.warn({ epoch, jobs: this.records.activeJobs.size }, "term taken");
      this.options.performEffects(scheduler.takeOver(this.records, now()));
      void this.runRenewals(term);
    } finally {
      this.acquiring = false;
    }
  }

  /**
   * Sends a renewal four times a lease, whether the one before it was answered or not. (A slow leader waited for each
   * answer, which came late or not in time, and its lease ended between two renewals.)
   */
  private async runRenewals(term: LeadershipTerm): Promise<void> {
    while (this.current?.term === term && !this.stopped) {
      await sleepSeconds(this.options.leaseS / 4);
      if (this.current?.term === term && !this.stopped) void this.renew(term);
    }
  }

  private async renew(term: LeadershipTerm): Promise<void> {
    const { gracePeriodS: keepS, now } = this.options;
    const sentAt = now();
    const r = await this.store.extendLease(term.leaseId);
    if (this.current?.term !== term) return;
    if (r === "ok") term.extendFrom(sentAt);
    else if (r === "ended") this.stepDown("the lease ended");
    else if (!term.isWithinGracePeriod(now(), keepS)) this.stepDown("no renewal for too long");
  }

  stepDown(why: string): void {
    if (this.current === null) return;
    const { term } = this.current;
    this.options.log.warn({ epoch: term.epoch, why }, "term lost");
    void this.store.revokeLease(term.leaseId);
    this.current = null;
    this.fencingTokenAdvanceRequested = false;
    this.options.onLeadershipChange(false);
  }

  /** Raises the token under the same term, so that starts still under way are dropped. */
  async advanceFencingToken({ term, scheduler }: ActiveLeadership): Promise<void> {
    const n = term.epoch + 1;
    const { leaseId: lease, acquiredAtMs: at } = term;
    const lead: StoredLeader = { member: this.options.member, epoch: n, lease, at };
    const r = await this.store.transact(
      [{ key: KEY.epoch, modRevision: term.epochModRevision }],
      [
        { op: "put", key: KEY.epoch, value: { n } },
        { op: "put", key: KEY.leader, value: lead, lease: term.leaseId },
      ],
    );
    if (r.kind !== "refused") await this.follower.readLatest();
    if (this.current?.term !== term) return;
    const now = this.options.now();
    this.fencingTokenAdvanceRequested = false;
    if (this.records.epoch.value.n === n && this.records.leader?.value.lease === term.leaseId) {
      term.epoch = n;
      term.epochModRevision = this.records.epoch.modRevision;
      this.options.log.info({ epoch: n }, "token raised");
      this.options.performEffects(
        scheduler.fencingTokenAdvanced({ epoch: n, modRevision: term.epochModRevision }, now),
      );
    } else if (this.records.epoch.value.n > term.epoch)
      this.stepDown("epoch taken while raising it");
    else this.options.performEffects(scheduler.fencingTokenAdvanced(null, now));
  }
}
