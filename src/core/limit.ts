/**
 * A limit on requests in progress that adjusts itself to measured times.
 *
 * While requests take about as long as the best lately seen, the limit grows by the square root of
 * itself; when they take longer it shrinks in proportion. So it settles where a queue would begin.
 */
export class AdaptiveLimit {
  private limit: number;
  private inProgress = 0;
  /**
   * Shortest time seen, let up slowly so that it follows a change of the machine: by the same share
   * for each full round of requests, as a step for each request would let a busy hour hide a queue.
   */
  private best = Number.POSITIVE_INFINITY;
  private smoothed = 0;

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
    this.best = Math.min(this.best * (1 + 1e-4 / this.limit), tookS);
    this.smoothed = this.smoothed === 0 ? tookS : 0.9 * this.smoothed + 0.1 * tookS;
    const usual = Math.max(this.goodS, 2 * this.best);
    const gradient = Math.max(0.5, Math.min(1, usual / this.smoothed));
    if (gradient < 1) this.limit = this.limit * (0.98 + 0.02 * gradient);
    else if (full) this.limit += Math.sqrt(this.limit) / this.limit;
    this.limit = Math.max(this.min, Math.min(this.max, this.limit));
  }
}
