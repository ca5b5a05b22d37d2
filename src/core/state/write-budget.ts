/**
 * How many changes a second the leader may write: most of what the other nodes leave, as seen in
 * what they store for users, and two fifths at the least. Where the state service refuses, it keeps to
 * two thirds for a while. (With two thirds always, the placements of a new leader and thousands of tiny
 * jobs waited for writes beside an idle state service; and where many submissions came at once, these
 * were refused for the leader's sake.)
 */
export const LEADER_SHARE_AFTER_REFUSAL = 2 / 3;
const MIN_LEADER_SHARE = 0.4;
/** Of the whole; the rest covers what is not seen yet, as a submission must not wait. */
const MAX_LEADER_SHARE = 0.85;
/** What others write may grow by half before it is seen. */
const OTHERS_HEADROOM_FACTOR = 1.5;
/** Seconds over which others' changes are counted, in seconds' worth of the limit's burst. */
const AVERAGING_WINDOW_S = 2;
const REFUSAL_COOLDOWN_S = 5;

export class WriteBudget {
  private othersChangesPerS = 0;
  private unaveragedChanges = 0;
  private averagedAt = Number.NEGATIVE_INFINITY;
  private refusedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly limitPerS: number) {}

  /** So many submissions and cancellations were stored, by whichever node. */
  recordRequestChanges(changes: number): void {
    this.unaveragedChanges += changes;
  }

  recordRefusal(now: number): void {
    this.refusedAt = now;
  }

  leaderChangesPerS(now: number): number {
    const passed = Math.min(AVERAGING_WINDOW_S, now - this.averagedAt);
    if (passed > 0) {
      const weight = passed / AVERAGING_WINDOW_S;
      this.othersChangesPerS =
        (1 - weight) * this.othersChangesPerS + weight * (this.unaveragedChanges / passed);
      this.unaveragedChanges = 0;
      this.averagedAt = now;
    }
    const most =
      now - this.refusedAt < REFUSAL_COOLDOWN_S ? LEADER_SHARE_AFTER_REFUSAL : MAX_LEADER_SHARE;
    const left =
      MAX_LEADER_SHARE * this.limitPerS - OTHERS_HEADROOM_FACTOR * this.othersChangesPerS;
    return Math.max(MIN_LEADER_SHARE * this.limitPerS, Math.min(most * this.limitPerS, left));
  }
}
