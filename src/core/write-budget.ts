/**
 * How many changes a second the leader may write: most of what the other nodes leave, as seen in
 * what they store for users, and two fifths at the least. Where the state service refuses, it keeps to
 * two thirds for a while. (With two thirds always, the placements of a new leader and thousands of tiny
 * jobs waited for writes beside an idle state service; and where many submissions came at once, these
 * were refused for the leader's sake.)
 */
export const OWN = 2 / 3;
const LEAST = 0.4;
/** Of the whole; the rest covers what is not seen yet, as a submission must not wait. */
const MOST = 0.85;
/** What others write may grow by half before it is seen. */
const LEAVE = 1.5;
/** Seconds over which others' changes are counted, in seconds' worth of the limit's burst. */
const OVER_S = 2;
const AFTER_REFUSAL_S = 5;

export class WriteBudget {
  private others = 0;
  private pending = 0;
  private at = Number.NEGATIVE_INFINITY;
  private refusedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly limit: number) {}

  /** So many submissions and cancellations were stored, by whichever node. */
  seen(changes: number): void {
    this.pending += changes;
  }

  refused(now: number): void {
    this.refusedAt = now;
  }

  rate(now: number): number {
    const passed = Math.min(OVER_S, now - this.at);
    if (passed > 0) {
      const weight = passed / OVER_S;
      this.others = (1 - weight) * this.others + weight * (this.pending / passed);
      this.pending = 0;
      this.at = now;
    }
    const most = now - this.refusedAt < AFTER_REFUSAL_S ? OWN : MOST;
    const left = MOST * this.limit - LEAVE * this.others;
    return Math.max(LEAST * this.limit, Math.min(most * this.limit, left));
  }
}
