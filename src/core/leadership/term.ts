/**
 * A leadership term: one controller at a time is the leader and makes all accepting writes
 * (docs/design.md, exception 1).
 *
 * A term rests on a leased key and a permanent counter (the epoch). This module holds the arithmetic of when the
 * leader may act: from the moment a renewal was sent, by its own clock, less the clock drift and a margin, so that
 * it has stopped before its lease can have expired. Times are steady seconds unless the name says otherwise.
 */
import { CLOCK_DRIFT } from "../model/constants.js";

/**
 * Processor time for which a leader may be held up, in seconds: the longest scheduling cycle after a failover, with the
 * heartbeats received meanwhile, and as much again.
 */
const MAXIMUM_STALL_S = 0.3;
const MINIMUM_LEASE_S = 0.5;
/** The lease divided by this is left unused, beside the clock drift. */
const SAFETY_MARGIN_DIVISOR = 10;

/**
 * Length of the leader's lease in seconds, in whole milliseconds. On a small share of a core a healthy leader answers
 * late as well, so its lease is longer. (At 7.6% of a core a cycle of 0.14 s took 1.9 s, longer than the lease: leadership
 * changed 17 times in the first 165 s of a day, and each change began with a first contact to all workers.)
 */
export function termLeaseS(configuredS: number, cpuShare: number): number {
  const leaseS = Math.max(MINIMUM_LEASE_S, configuredS, MAXIMUM_STALL_S / cpuShare);
  // The key-value store accepts whole milliseconds, and refuses any other length.
  return Math.ceil(1000 * leaseS) / 1000;
}

/** A term as it was acquired. */
export interface LeadershipTermOptions {
  readonly epoch: number;
  /** Mod revision of the stored epoch. */
  readonly epochModRevision: number;
  readonly leaseId: number;
  readonly leaseS: number;
  /** Steady time at which the lease was requested. */
  readonly grantSentAt: number;
  /** Time of day at which leadership was acquired, in milliseconds. */
  readonly acquiredAtMs: number;
}

/** The term of the leader in this process. */
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

  /** The stored count of terms, which is the workers' fencing token as well. */
  get epoch(): number {
    return this.currentEpoch;
  }

  get epochModRevision(): number {
    return this.currentEpochModRevision;
  }

  /** The epoch was advanced within this term, which fences off commands still in flight. */
  advanceEpoch(epoch: number, modRevision: number): void {
    this.currentEpoch = epoch;
    this.currentEpochModRevision = modRevision;
  }

  /** The lease was renewed by a request sent at this time; a late answer to an older request shortens nothing. */
  extendFrom(sentAt: number): void {
    this.validUntil = Math.max(this.validUntil, this.validUntilFor(sentAt));
  }

  mayAct(now: number): boolean {
    return now < this.validUntil;
  }

  /**
   * For a while after it may no longer act, the leader goes on answering heartbeats, without commands: the key-value
   * store may be down for everybody, and workers would lose all their tasks. The next leader allows for this time
   * (`gracePeriodS` of the scheduler).
   */
  isWithinGracePeriod(now: number, gracePeriodS: number): boolean {
    return now < this.validUntil + gracePeriodS;
  }

  private validUntilFor(sentAt: number): number {
    return sentAt + this.leaseS * (1 - 2 * CLOCK_DRIFT) - this.leaseS / SAFETY_MARGIN_DIVISOR;
  }
}
