/**
 * A limit on requests in progress that adjusts itself to measured times.
 *
 * While requests take about as long as the best lately seen, the limit grows by the square root of
 * itself; when they take longer it shrinks in proportion. So it settles where a queue would begin.
 * A best time learnt under load would hide the queue it was learnt in, so while times are not good
 * the limit is reduced now and then, and the best is measured again.
 */
export class AdaptiveConcurrencyLimit {
  private limit: number;
  private inProgress = 0;
  private bestDurationS = Number.POSITIVE_INFINITY;
  private smoothedDurationS = 0;
  private requestsSinceReset = 0;

  constructor(
    private readonly minLimit: number,
    private readonly maxLimit: number,
    /** A time that is good enough, in seconds: below it nothing is refused. */
    private readonly acceptableDurationS: number,
  ) {
    this.limit = Math.sqrt(minLimit * maxLimit);
  }

  get currentLimit(): number {
    return Math.floor(this.limit);
  }
  get requestsInProgress(): number {
    return this.inProgress;
  }

  /** False: refuse the request at once. */
  tryAcquire(): boolean {
    if (this.inProgress >= Math.floor(this.limit)) return false;
    this.inProgress++;
    return true;
  }

  release(durationS: number): void {
    const full = this.inProgress >= this.limit / 2;
    this.inProgress--;
    this.bestDurationS = Math.min(this.bestDurationS, durationS);
    this.smoothedDurationS =
      this.smoothedDurationS === 0 ? durationS : 0.9 * this.smoothedDurationS + 0.1 * durationS;
    this.requestsSinceReset++;
    if (
      this.smoothedDurationS > this.acceptableDurationS &&
      this.requestsSinceReset > 50 * this.limit
    ) {
      this.requestsSinceReset = 0;
      this.limit /= 4;
      this.bestDurationS = Number.POSITIVE_INFINITY;
      this.smoothedDurationS = 0;
    } else {
      const usual = Math.max(this.acceptableDurationS, 2 * this.bestDurationS);
      const gradient = Math.max(0.5, Math.min(1, usual / this.smoothedDurationS));
      if (gradient < 1) this.limit *= 0.98 + 0.02 * gradient;
      else if (full) this.limit += 1 / Math.sqrt(this.limit);
    }
    this.limit = Math.max(this.minLimit, Math.min(this.maxLimit, this.limit));
  }
}
