/**
 * The term: one controller at a time makes all accepting writes (docs/design.md, exception 1).
 *
 * It rests on a leased key and a permanent counter. This is the arithmetic of when the leader may
 * act: it counts from when a renewal was sent, by its own clock, less what clocks may drift apart
 * and a margin, so that it has stopped before the lease can have lapsed.
 */
import { CLOCK_DRIFT } from "../model/constants.js";

/**
 * Processor time for which a leader may be held up, in seconds: the longest pass after a takeover, with the reports that
 * have come in meanwhile, and as much again.
 */
const MAXIMUM_STALL_S = 0.3;
const MINIMUM_LEASE_S = 0.5;

/**
 * Length of the term's lease. On a small share of a core a healthy leader answers late as well, and its lease is the
 * longer. (At 7.6% of a core a pass of 0.14 s took 1.9 s, longer than the lease: the term moved 17 times in the first 165 s
 * of a day, and after each move all workers had to be met anew.)
 */
export function termLeaseS(wantedS: number, cpuShare: number): number {
  const leaseS = Math.max(MINIMUM_LEASE_S, wantedS, MAXIMUM_STALL_S / cpuShare);
  // The state service takes whole milliseconds, and refuses any other length.
  return Math.ceil(1000 * leaseS) / 1000;
}

export class LeadershipTerm {
  private validUntil: number;

  constructor(
    readonly member: string,
    public epoch: number,
    public epochModRevision: number,
    readonly leaseId: number,
    private readonly leaseS: number,
    grantSentAt: number,
    /** Time of day at which it was taken, in milliseconds. */
    readonly acquiredAtMs = 0,
  ) {
    this.validUntil = this.validUntilFor(grantSentAt);
  }

  private validUntilFor(sentAt: number): number {
    return sentAt + this.leaseS * (1 - 2 * CLOCK_DRIFT) - this.leaseS / 10;
  }

  extendFrom(sentAt: number): void {
    this.validUntil = Math.max(this.validUntil, this.validUntilFor(sentAt));
  }

  mayAct(now: number): boolean {
    return now < this.validUntil;
  }

  /**
   * For a while after it may no longer act, the leader goes on answering reports, without commands:
   * the state service may be down for everybody, and workers would lose all their tasks. Whoever
   * takes over counts this time in (`graceS` of the scheduler).
   */
  isWithinGracePeriod(now: number, graceS: number): boolean {
    return now < this.validUntil + graceS;
  }
}
