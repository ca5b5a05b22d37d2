/**
 * How many changes a second the leader may write: most of what the other controllers leave, as seen from
 * what they store for users, and two fifths of the limit at the least. After the state service refused a
 * write for its rate, the leader keeps to two thirds for a while. (With two thirds always, the placements of
 * a new leader and thousands of tiny jobs waited for writes beside an idle state service; and where many
 * submissions came at once, these were refused for the leader's sake.)
 */

/** The leader's largest share of the limit after a refusal. */
export const LEADER_SHARE_AFTER_REFUSAL = 2 / 3;
const MIN_LEADER_SHARE = 0.4;
/** The rest covers changes of others that are not seen yet, as a submission must not wait. */
const MAX_LEADER_SHARE = 0.85;
/** The others' changes may grow by half before that is seen. */
const OTHERS_HEADROOM_FACTOR = 1.5;
/** Seconds over which the others' changes are averaged; the limit's burst covers as many seconds. */
const AVERAGING_WINDOW_S = 2;
const REFUSAL_COOLDOWN_S = 5;

/** The leader's rate of changes, by what the other nodes are seen to write. */
export class WriteBudget {
  private othersChangesPerS = 0;
  private unaveragedChanges = 0;
  private averagedAt = Number.NEGATIVE_INFINITY;
  private refusedAt = Number.NEGATIVE_INFINITY;

  /** `limitPerS`: changes a second that the state service accepts from all controllers together. */
  constructor(private readonly limitPerS: number) {}

  /** So many submissions and cancellations were stored, by whichever controller. */
  recordRequestChanges(changes: number): void {
    this.unaveragedChanges += changes;
  }

  /** The state service refused a write for its rate. */
  recordRefusal(now: number): void {
    this.refusedAt = now;
  }

  /** Changes a second that the leader may write now. */
  leaderChangesPerS(now: number): number {
    this.averageOthersChanges(now);
    const wasRefusedLately = now - this.refusedAt < REFUSAL_COOLDOWN_S;
    const maxShare = wasRefusedLately ? LEADER_SHARE_AFTER_REFUSAL : MAX_LEADER_SHARE;
    const leftPerS =
      MAX_LEADER_SHARE * this.limitPerS - OTHERS_HEADROOM_FACTOR * this.othersChangesPerS;
    const allowedPerS = Math.min(maxShare * this.limitPerS, leftPerS);
    return Math.max(MIN_LEADER_SHARE * this.limitPerS, allowedPerS);
  }

  private averageOthersChanges(now: number): void {
    const elapsedS = Math.min(AVERAGING_WINDOW_S, now - this.averagedAt);
    if (elapsedS <= 0) return;
    const weight = elapsedS / AVERAGING_WINDOW_S;
    this.othersChangesPerS =
      (1 - weight) * this.othersChangesPerS + weight * (this.unaveragedChanges / elapsedS);
    this.unaveragedChanges = 0;
    this.averagedAt = now;
  }
}
