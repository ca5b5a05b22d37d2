/**
 * Leader election of one node: acquiring leadership, renewing its lease, reserving fencing tokens, stepping down.
 */
import type { Logger } from "pino";
import type { Effect } from "../core/effects.js";
import { nextEpoch } from "../core/leadership/fencing-tokens.js";
import { LeadershipTerm } from "../core/leadership/term.js";
import type { Scheduler } from "../core/scheduler.js";
import type { StateReplica } from "../core/state/state-replica.js";
import { encodeEpoch, encodeLeader, KEY, type LeaderRecord } from "../core/state/stored-values.js";
import type { KeyValueClient, TransactionResult } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";

/** Number of lease renewals sent per lease duration. */
const RENEWALS_PER_LEASE = 4;

/** A leadership term and the scheduler that acts under it. */
export interface ActiveLeadership {
  readonly term: LeadershipTerm;
  readonly scheduler: Scheduler;
}

/** Settings and callbacks of `Leadership`. */
export interface LeadershipOptions {
  readonly member: string;
  readonly leaseS: number;
  /**
   * Longest time, in seconds, for which a previous leader may still answer worker heartbeats after the end of its
   * term (`NodeTiming.leaseExtensionS`).
   */
  readonly leaseExtensionS: number;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly log: Logger;
  readonly createScheduler: (epoch: number, epochModRevision: number, now: number) => Scheduler;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** Called after this node acquired or lost leadership. */
  readonly onLeadershipChange: (isLeader: boolean) => void;
}

type LeadershipState =
  | { readonly kind: "standby" }
  /** Requests to acquire leadership, or to end the term of this node's previous process, are in flight. */
  | { readonly kind: "acquiring" }
  | { readonly kind: "leading"; readonly leadership: ActiveLeadership }
  | { readonly kind: "stopped" };

const STANDBY: LeadershipState = { kind: "standby" };

/** An attempt of this node, as a candidate, to become the leader. */
interface Candidacy {
  readonly leader: LeaderRecord;
  /** Monotonic time at which the lease was requested, in seconds. */
  readonly grantSentAt: number;
}

/** Acquires, renews and gives up this node's leadership. */
export class Leadership {
  /** True if the next transaction must advance the epoch, to reserve further fencing tokens. */
  fencingTokenAdvanceRequested = false;
  private state: LeadershipState = STANDBY;
  private electionCooldownUntil = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly keyValueClient: KeyValueClient,
    private readonly watcher: StateWatcher,
    private readonly replica: StateReplica,
    private readonly options: LeadershipOptions,
  ) {}

  /** The current term and its scheduler; null if this node does not lead. */
  get current(): ActiveLeadership | null {
    return this.state.kind === "leading" ? this.state.leadership : null;
  }

  /**
   * Stops acting as leader and renewing the lease, but does not revoke it, as if the process had ended: the term ends
   * when its lease expires.
   */
  stop(): void {
    this.state = { kind: "stopped" };
  }

  /**
   * Prevents this node from becoming a candidate for `durationS` seconds, so that another node can acquire
   * leadership.
   */
  startElectionCooldown(durationS: number): void {
    this.electionCooldownUntil = this.options.now() + durationS;
  }

  /**
   * Starts to acquire leadership if no leader is stored. If the stored leader is this node itself, the record was
   * written by its process before a restart, and that term is ended first.
   */
  campaign(): void {
    if (this.state.kind !== "standby") return;
    const { leader } = this.replica;
    if (leader === null) {
      if (this.options.now() >= this.electionCooldownUntil) void this.acquire();
    } else if (leader.value.member === this.options.member) {
      void this.endPreviousTerm(leader.value);
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

  /** Stores a higher epoch within the current term, and so reserves further fencing tokens. */
  async advanceFencingToken({ term, scheduler }: ActiveLeadership): Promise<void> {
    const epoch = nextEpoch(term.epoch);
    const result = await this.storeAdvancedEpoch(term, epoch);
    if (result.kind !== "refused") await this.watcher.readLatest();
    if (this.current?.term !== term) return;
    const { log, now, performEffects } = this.options;
    const advancedAt = now();
    this.fencingTokenAdvanceRequested = false;
    const { epoch: storedEpoch, leader } = this.replica;
    if (storedEpoch.value === epoch && leader?.value.leaseId === term.leaseId) {
      term.advanceEpoch(epoch, storedEpoch.modRevision);
      log.info({ epoch }, "fencing tokens reserved");
      const advancedEpoch = { epoch, modRevision: storedEpoch.modRevision };
      performEffects(scheduler.fencingTokenAdvanced(advancedEpoch, advancedAt));
    } else if (storedEpoch.value > term.epoch) {
      this.stepDown("the epoch was advanced by another controller");
    } else {
      performEffects(scheduler.fencingTokenAdvanced(null, advancedAt));
    }
  }

  /** Revokes the lease of a term that was held by this node's previous process, which no longer runs. */
  private async endPreviousTerm(leader: LeaderRecord): Promise<void> {
    this.state = { kind: "acquiring" };
    await this.keyValueClient.revokeLease(leader.leaseId);
    await this.watcher.readLatest();
    this.returnToStandby();
  }

  private async acquire(): Promise<void> {
    this.state = { kind: "acquiring" };
    try {
      const candidacy = await this.requestLease();
      if (candidacy === null) return;
      const result = await this.storeCandidacy(candidacy.leader);
      const isReplicaCurrent = await this.watcher.readLatest();
      if (!isReplicaCurrent || !this.isStoredLeader(candidacy.leader)) {
        this.abandonCandidacy(candidacy.leader, result);
      } else if (this.state.kind === "acquiring") {
        this.beginTerm(candidacy);
      }
    } finally {
      this.returnToStandby();
    }
  }

  private async requestLease(): Promise<Candidacy | null> {
    const { member, leaseS, now } = this.options;
    const grantSentAt = now();
    const grant = await this.keyValueClient.grantLease(leaseS * 1000);
    if (grant.kind === "failed") return null;
    const epoch = nextEpoch(this.replica.epoch.value);
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

  /** Checks the stored leader, because the result of the transaction may be unknown. */
  private isStoredLeader({ leaseId, epoch }: LeaderRecord): boolean {
    return this.replica.leader?.value.leaseId === leaseId && this.replica.epoch.value === epoch;
  }

  private abandonCandidacy({ leaseId }: LeaderRecord, { kind }: TransactionResult): void {
    if (kind !== "failed") this.options.log.info({ outcome: kind }, "leadership not acquired");
    void this.keyValueClient.revokeLease(leaseId);
  }

  private beginTerm({ leader, grantSentAt }: Candidacy): void {
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

  private returnToStandby(): void {
    if (this.state.kind === "acquiring") this.state = STANDBY;
  }

  /**
   * Sends renewals at a fixed interval, without waiting for the answer to the previous one. If a slow leader waits
   * for each answer, its lease can expire between two renewals.
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
      this.stepDown("the leadership lease expired");
    } else if (!term.isWithinGracePeriod(now(), leaseExtensionS)) {
      this.stepDown("no leadership lease renewal within the worker lease extension period");
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
