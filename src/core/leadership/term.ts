/**
 * A leadership term, in which one controller is the leader. At any time there is at most one leader, and only the
 * leader makes writes that accept events (docs/design.md, exception 1).
 *
 * A term ends at the latest when the lease of the stored leader record expires. It is numbered by the epoch, a
 * counter that is never reset. This module computes the time until which the leader may act: the time at which the
 * last successful renewal was sent, plus the length of the lease, minus the possible clock drift and a margin. The
 * leader therefore stops acting before its lease can expire. Times are monotonic, in seconds, unless the name says
 * otherwise.
 */
import { MAXIMUM_CLOCK_DRIFT_RATIO } from "../model/constants.js";

/**
 * Longest time for which other work may delay a lease renewal, in seconds of processor time: twice the longest
 * scheduling cycle after a failover, including the heartbeats received during it.
 */
const MAXIMUM_STALL_CPU_S = 0.3;
const MINIMUM_LEASE_S = 0.5;
/** The leader stops acting before its lease expires, by the possible clock drift plus the lease divided by this. */
const SAFETY_MARGIN_DIVISOR = 10;

/**
 * Length of the leader's lease in seconds, rounded up to whole milliseconds. With a small share of a core even a
 * healthy leader renews late, so its lease is longer. (At 7.6% of a core, a scheduling cycle of 0.14 s of processor
 * time took 1.9 s, longer than the lease. Leadership changed 17 times in the first 165 s of a day, and each new
 * leader first had to contact all workers.)
 */
export function termLeaseS(configuredS: number, cpuShare: number): number {
  const leaseS = Math.max(MINIMUM_LEASE_S, configuredS, MAXIMUM_STALL_CPU_S / cpuShare);
  // The state service refuses lease lengths that are not whole milliseconds.
  return Math.ceil(1000 * leaseS) / 1000;
}

/** A leadership term at the time of its acquisition. */
export interface LeadershipTermOptions {
  readonly epoch: number;
  /** Mod revision of the stored epoch. */
  readonly epochModRevision: number;
  readonly leaseId: number;
  readonly leaseS: number;
  /** Monotonic time at which the lease was requested, in seconds. */
  readonly grantSentAt: number;
  /** Time of day at which leadership was acquired, in milliseconds. */
  readonly acquiredAtMs: number;
}

/** The current term of the leader in this process. */
export class LeadershipTerm {
  readonly leaseId: number;
  readonly acquiredAtMs: number;
  private readonly leaseS: number;
  private currentEpoch: number;
  private currentEpochModRevision: number;
  private validUntil: number;

  constructor(options: LeadershipTermOptions) {
    this.leaseId = options.leaseId;
    this.acquiredAtMs = options.acquiredAtMs;
    this.leaseS = options.leaseS;
    this.currentEpoch = options.epoch;
    this.currentEpochModRevision = options.epochModRevision;
    this.validUntil = this.validUntilFor(options.grantSentAt);
  }

  /** The stored epoch, which is also the highest fencing token of messages to the workers. */
  get epoch(): number {
    return this.currentEpoch;
  }

  get epochModRevision(): number {
    return this.currentEpochModRevision;
  }

  /** Adopts a higher epoch that was stored during this term to reserve further fencing tokens. */
  advanceEpoch(epoch: number, modRevision: number): void {
    this.currentEpoch = epoch;
    this.currentEpochModRevision = modRevision;
  }

  /**
   * Extends the term after a renewal request that was sent at this time has succeeded. A late answer to an older
   * request does not shorten it.
   */
  extendFrom(sentAt: number): void {
    this.validUntil = Math.max(this.validUntil, this.validUntilFor(sentAt));
  }

  mayAct(now: number): boolean {
    return now < this.validUntil;
  }

  /**
   * Whether the leader may still answer heartbeats, though without commands. It may do so until the end of the grace
   * period, which begins when it may no longer act. Without a grace period, workers would lose all their tasks when
   * the state service is down for all nodes. The next leader takes the grace period into account when it computes the
   * latest time at which a worker's lease can have been renewed (`gracePeriodS` of the scheduler).
   */
  isWithinGracePeriod(now: number, gracePeriodS: number): boolean {
    return now < this.validUntil + gracePeriodS;
  }

  private validUntilFor(sentAt: number): number {
    return (
      sentAt +
      this.leaseS * (1 - 2 * MAXIMUM_CLOCK_DRIFT_RATIO) -
      this.leaseS / SAFETY_MARGIN_DIVISOR
    );
  }
}
