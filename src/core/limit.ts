/**
 * A limit on requests in progress that adjusts itself to measured times.
 *
 * While requests take about as long as the best lately seen, the limit grows by the square root of
 * itself; when they take longer it shrinks in proportion. So it settles where a queue would begin.
 * A best time learnt under load would hide the queue it was learnt in, so while times are not good
 * the limit is cut now and then, and the best is learnt again.
 */
export class AdaptiveLimit {
  private limit: number;
  private inProgress = 0;
  private best = Number.POSITIVE_INFINITY;
  private smoothed = 0;
  private sinceCut = 0;

  constructor(
    private readonly min: number,
    private readonly max: number,
    /** A time that is good enough, in seconds: below it nothing is refused. */
    private readonly goodS: number,
  ) {
    this.limit = Math.sqrt(min * max);
  }

  get current(): number {
    return Math.floor(this.limit);
  }
  get active(): number {
    return this.inProgress;
  }

  /** False: refuse the request at once. */
  enter(): boolean {
    if (this.inProgress >= Math.floor(this.limit)) return false;
    this.inProgress++;
    return true;
  }

  leave(tookS: number): void {
    const full = this.inProgress >= this.limit / 2;
    this.inProgress--;
    this.best = Math.min(this.best, tookS);
    this.smoothed = this.smoothed === 0 ? tookS : 0.9 * this.smoothed + 0.1 * tookS;
    this.sinceCut++;
    if (this.smoothed > this.goodS && this.sinceCut > 50 * this.limit) {
      this.sinceCut = 0;
      this.limit /= 4;
      this.best = Number.POSITIVE_INFINITY;
      this.smoothed = 0;
    } else {
      const usual = Math.max(this.goodS, 2 * this.best);
      const gradient = Math.max(0.5, Math.min(1, usual / this.smoothed));
      if (gradient < 1) this.limit *= 0.98 + 0.02 * gradient;
      else if (full) this.limit += 1 / Math.sqrt(this.limit);
    }
    this.limit = Math.max(this.min, Math.min(this.max, this.limit));
  }
}
