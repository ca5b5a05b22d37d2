/** Leadership of one node: acquiring it, renewing its lease, advancing its fencing token, and stepping down. */
import type { Logger } from "pino";
import type { Effect } from "../core/effects.js";
import { LeadershipTerm } from "../core/leadership/term.js";
import type { Scheduler } from "../core/scheduler.js";
import type { StateReplica } from "../core/state/state-replica.js";
import { encodeEpoch, encodeLeader, KEY, type LeaderRecord } from "../core/state/stored-values.js";
import type { KeyValueClient, TransactionResult } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";

/** Renewals that are sent in the time of one lease. */
const RENEWALS_PER_LEASE = 4;

/** A term with the scheduler that acts under it. */
export interface ActiveLeadership {
  readonly term: LeadershipTerm;
  readonly scheduler: Scheduler;
}

/** Collaborators and callbacks of `Leadership`. */
export interface LeadershipOptions {
  readonly member: string;
  readonly leaseS: number;
  /** Seconds after the term for which heartbeats of some workers may still be answered; the longest such time. */
  readonly leaseExtensionS: number;
  /** Steady time in seconds. */
  readonly now: () => number;
  readonly log: Logger;
  readonly createScheduler: (epoch: number, epochModRevision: number, now: number) => Scheduler;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** Leadership was acquired or lost. */
  readonly onLeadershipChange: (isLeader: boolean) => void;
}

type LeadershipState =
  | { readonly kind: "standby" }
  /** Requests that acquire leadership, or end the term of this node's former process, are in flight. */
  | { readonly kind: "acquiring" }
  | { readonly kind: "leading"; readonly leadership: ActiveLeadership }
  | { readonly kind: "stopped" };

const STANDBY: LeadershipState = { kind: "standby" };

/** What a candidate has sent to the key-value store. */
interface Candidacy {
  readonly leader: LeaderRecord;
  /** Steady time at which the lease was requested. */
  readonly grantSentAt: number;
}

/** Acquires, renews and gives up leadership for this node. */
export class Leadership {
  /** The epoch is to be advanced with the next transaction. */
  fencingTokenAdvanceRequested = false;
  private state: LeadershipState = STANDBY;
  private electionCooldownUntil = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly keyValueClient: KeyValueClient,
    private readonly watcher: StateWatcher,
    private readonly replica: StateReplica,
    private readonly options: LeadershipOptions,
  ) {}

  /** Null: this node does not lead. */
  get current(): ActiveLeadership | null {
    return this.state.kind === "leading" ? this.state.leadership : null;
  }

  /** As if the process had ended: the term ends with its lease, and nothing waits for it any more. */
  stop(): void {
    this.state = { kind: "stopped" };
  }

  /** After a node stepped down, the others may acquire leadership first for so long. */
  startElectionCooldown(durationS: number): void {
    this.electionCooldownUntil = this.options.now() + durationS;
  }

  /**
   * Acquires leadership if nobody holds it. If the stored leader is this node, as it was before its process restarted,
   * that term is ended first.
   */
  campaign(): void {
    if (this.state.kind !== "standby") return;
    const { leader } = this.replica;
    if (leader === null) {
      if (this.options.now() >= this.electionCooldownUntil) void this.acquire();
    } else if (leader.value.member === this.options.member) {
      void this.endFormerTerm(leader.value);
    }
  }

  stepDown(why: string): void {
    const { current } = this;
    if (current === null) return;
    const { term } = current;
    this.options.log.warn({ epoch: term.epoch, why }, "leadership lost");
    void this.keyValueClient.revokeLease(term.leaseId);
    this.state = STANDBY;
    this.fencingTokenAdvanceRequested = false;
    this.options.onLeadershipChange(false);
  }

  /** Advances the fencing token within the same term, so that workers drop starts that are still in flight. */
  async advanceFencingToken({ term, scheduler }: ActiveLeadership): Promise<void> {
    const epoch = term.epoch + 1;
    const result = await this.storeAdvancedEpoch(term, epoch);
    if (result.kind !== "refused") await this.watcher.readLatest();
    if (this.current?.term !== term) return;
    const { log, now, performEffects } = this.options;
    const advancedAt = now();
    this.fencingTokenAdvanceRequested = false;
    const { epoch: stored, leader } = this.replica;
    if (stored.value === epoch && leader?.value.leaseId === term.leaseId) {
      term.advanceEpoch(epoch, stored.modRevision);
      log.info({ epoch }, "fencing token advanced");
      const advanced = { epoch, modRevision: stored.modRevision };
      performEffects(scheduler.fencingTokenAdvanced(advanced, advancedAt));
    } else if (stored.value > term.epoch) {
      this.stepDown("the epoch was advanced by another controller");
    } else {
      performEffects(scheduler.fencingTokenAdvanced(null, advancedAt));
    }
  }

  /** The term is of the process that ran here before: nobody acts under it any more. */
  private async endFormerTerm(leader: LeaderRecord): Promise<void> {
    this.state = { kind: "acquiring" };
    await this.keyValueClient.revokeLease(leader.leaseId);
    await this.watcher.readLatest();
    this.endAcquiring();
  }

  private async acquire(): Promise<void> {
    this.state = { kind: "acquiring" };
    try {
      const candidacy = await this.requestLease();
      if (candidacy === null) return;
      const result = await this.storeCandidacy(candidacy.leader);
      const hasRead = await this.watcher.readLatest();
      if (!hasRead || !this.hasWon(candidacy.leader)) {
        this.giveUp(candidacy.leader, result);
      } else if (this.state.kind === "acquiring") {
        this.begin(candidacy);
      }
    } finally {
      this.endAcquiring();
    }
  }

  private async requestLease(): Promise<Candidacy | null> {
    const { member, leaseS, now } = this.options;
    const grantSentAt = now();
    const grant = await this.keyValueClient.grantLease(leaseS * 1000);
    if (grant.kind === "failed") return null;
    const epoch = this.replica.epoch.value + 1;
    const leader = { member, epoch, leaseId: grant.leaseId, acquiredAtMs: Date.now() };
    return { leader, grantSentAt };
  }

  private storeCandidacy(leader: LeaderRecord): Promise<TransactionResult> {
    return this.keyValueClient.transact(
      [
        { key: KEY.leader, modRevision: 0 },
        { key: KEY.epoch, modRevision: this.replica.epoch.modRevision },
      ],
      [
        { op: "put", key: KEY.leader, value: encodeLeader(leader), lease: leader.leaseId },
        { op: "put", key: KEY.epoch, value: encodeEpoch(leader.epoch) },
      ],
    );
  }

  /** Whatever the transaction's result: only what is stored now tells who leads. */
  private hasWon({ leaseId, epoch }: LeaderRecord): boolean {
    return this.replica.leader?.value.leaseId === leaseId && this.replica.epoch.value === epoch;
  }

  private giveUp({ leaseId }: LeaderRecord, { kind }: TransactionResult): void {
    if (kind !== "failed") this.options.log.info({ outcome: kind }, "leadership not acquired");
    void this.keyValueClient.revokeLease(leaseId);
  }

  private begin({ leader, grantSentAt }: Candidacy): void {
    const { leaseS, now, log, createScheduler, onLeadershipChange, performEffects } = this.options;
    const { epoch, leaseId, acquiredAtMs } = leader;
    const epochModRevision = this.replica.epoch.modRevision;
    const term = new LeadershipTerm({
      epoch,
      epochModRevision,
      leaseId,
      leaseS,
      grantSentAt,
      acquiredAtMs,
    });
    if (!term.mayAct(now())) {
      void this.keyValueClient.revokeLease(leaseId);
      return;
    }
    const scheduler = createScheduler(epoch, epochModRevision, now());
    this.state = { kind: "leading", leadership: { term, scheduler } };
    onLeadershipChange(true);
    log.warn({ epoch, jobs: this.replica.activeJobs.size }, "leadership acquired");
    performEffects(scheduler.takeOver(this.replica, now()));
    void this.runRenewals(term);
  }

  private endAcquiring(): void {
    if (this.state.kind === "acquiring") this.state = STANDBY;
  }

  /**
   * Sends a renewal several times a lease, whether the one before it was answered or not. (A slow leader waited for each
   * answer, which came late or not in time, and its lease expired between two renewals.)
   */
  private async runRenewals(term: LeadershipTerm): Promise<void> {
    while (this.current?.term === term) {
      await sleepSeconds(this.options.leaseS / RENEWALS_PER_LEASE);
      if (this.current?.term === term) void this.renew(term);
    }
  }

  private async renew(term: LeadershipTerm): Promise<void> {
    const { leaseExtensionS, now } = this.options;
    const sentAt = now();
    const renewal = await this.keyValueClient.extendLease(term.leaseId);
    if (this.current?.term !== term) return;
    if (renewal.kind === "ok") {
      term.extendFrom(sentAt);
    } else if (renewal.kind === "expired") {
      this.stepDown("the lease expired");
    } else if (!term.isWithinGracePeriod(now(), leaseExtensionS)) {
      this.stepDown("no renewal within the lease extension");
    }
  }

  private storeAdvancedEpoch(term: LeadershipTerm, epoch: number): Promise<TransactionResult> {
    const { leaseId, acquiredAtMs } = term;
    const leader = encodeLeader({ member: this.options.member, epoch, leaseId, acquiredAtMs });
    return this.keyValueClient.transact(
      [{ key: KEY.epoch, modRevision: term.epochModRevision }],
      [
        { op: "put", key: KEY.epoch, value: encodeEpoch(epoch) },
        { op: "put", key: KEY.leader, value: leader, lease: leaseId },
      ],
    );
  }
}
