/**
 * Limits how many changes per second the leader writes. It may use most of the capacity that the other controllers
 * leave, estimated from the submissions and cancellations that they store, and always at least 2/5 of the limit. For
 * a while after the state service refused a write because of its rate, the leader uses at most 2/3 of the limit.
 *
 * A fixed share of 2/3 failed in two ways: the placements of a new leader, or of thousands of tiny jobs, were stored
 * late although the state service was idle; and when many submissions arrived at the same time, the submissions were
 * refused because of the leader's writes.
 */

/** Largest share of the limit that the leader uses after a refusal. */
export const LEADER_SHARE_AFTER_REFUSAL = 2 / 3;
const MIN_LEADER_SHARE = 0.4;
/**
 * Largest share of the limit that the leader uses. The rest is reserved for changes of other nodes that the leader
 * has not seen yet, since submissions must not wait.
 */
const MAX_LEADER_SHARE = 0.85;
/** Lets the rate of the other nodes' changes grow by half before the leader sees the growth. */
const OTHERS_HEADROOM_FACTOR = 1.5;
/**
 * Time over which the other nodes' changes are averaged. The rate limit's burst covers the same number of seconds.
 */
const AVERAGING_WINDOW_S = 2;
const REFUSAL_COOLDOWN_S = 5;

/** Computes the leader's rate of changes from the observed changes of the other nodes. */
export class WriteBudget {
  private othersChangesPerS = 0;
  private changesSinceAverage = 0;
  private averagedAt = Number.NEGATIVE_INFINITY;
  private refusedAt = Number.NEGATIVE_INFINITY;

  /** `limitPerS` is the number of changes per second that the state service accepts from all controllers together. */
  constructor(private readonly limitPerS: number) {}

  /** Records the number of submissions and cancellations that were stored, by any controller. */
  recordRequestChanges(changes: number): void {
    this.changesSinceAverage += changes;
  }

  /** Records that the state service refused a write because of its rate. */
  recordRefusal(now: number): void {
    this.refusedAt = now;
  }

  /** Number of changes per second that the leader may write now. */
  leaderChangesPerS(now: number): number {
    this.updateOthersAverage(now);
    const wasRefusedLately = now - this.refusedAt < REFUSAL_COOLDOWN_S;
    const maxShare = wasRefusedLately ? LEADER_SHARE_AFTER_REFUSAL : MAX_LEADER_SHARE;
    const leftPerS =
      MAX_LEADER_SHARE * this.limitPerS - OTHERS_HEADROOM_FACTOR * this.othersChangesPerS;
    const allowedPerS = Math.min(maxShare * this.limitPerS, leftPerS);
    return Math.max(MIN_LEADER_SHARE * this.limitPerS, allowedPerS);
  }

  private updateOthersAverage(now: number): void {
    const elapsedS = Math.min(AVERAGING_WINDOW_S, now - this.averagedAt);
    if (elapsedS <= 0) return;
    const weight = elapsedS / AVERAGING_WINDOW_S;
    this.othersChangesPerS =
      (1 - weight) * this.othersChangesPerS + weight * (this.changesSinceAverage / elapsedS);
    this.changesSinceAverage = 0;
    this.averagedAt = now;
  }
}
