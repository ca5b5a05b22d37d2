/**
 * A limit on concurrent requests that adapts to measured latencies.
 *
 * While requests take about as long as the best latency lately measured, the limit grows by the reciprocal
 * of its square root with each request; when they take longer it shrinks in proportion. So it settles where
 * a queue would begin. A best latency learnt under load would hide the queue it was learnt in, so while
 * latencies stay high the limit is reduced now and then, and the best latency is learnt again.
 */

/** Weights of the smoothed latency so far and of the newest one. */
const SMOOTHED_WEIGHT = 0.9;
const NEWEST_WEIGHT = 0.1;
/** After this many requests, in multiples of the limit, the best latency is learnt again. */
const RESET_AFTER_LIMITS = 50;
/** What the limit is divided by meanwhile. */
const RESET_DIVISOR = 4;
/** Latencies up to this multiple of the best one show no queue. */
const TOLERATED_LATENCY_FACTOR = 2;
/** The least gradient that one request shrinks the limit by, and how much of the gradient applies. */
const MIN_GRADIENT = 0.5;
const GRADIENT_WEIGHT = 0.02;
const LIMIT_WEIGHT = 0.98;

/** Admits requests up to a limit that follows the measured latencies. */
export class AdaptiveConcurrencyLimit {
  private limit: number;
  private inProgress = 0;
  private bestDurationS = Number.POSITIVE_INFINITY;
  /** 0: nothing was measured since the last reset. */
  private smoothedDurationS = 0;
  private requestsSinceReset = 0;

  constructor(
    private readonly minLimit: number,
    private readonly maxLimit: number,
    /** Latency in seconds that is good enough: below it nothing is refused. */
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

  /** False: the request is to be refused at once. */
  tryAcquire(): boolean {
    if (this.inProgress >= Math.floor(this.limit)) return false;
    this.inProgress++;
    return true;
  }

  /** A request that `tryAcquire` admitted ended after `durationS` seconds. */
  release(durationS: number): void {
    const isLimitUsed = this.inProgress >= this.limit / 2;
    this.inProgress--;
    this.measure(durationS);
    if (this.isResetDue()) this.reset();
    else this.adjust(isLimitUsed);
    this.limit = Math.max(this.minLimit, Math.min(this.maxLimit, this.limit));
  }

  private measure(durationS: number): void {
    this.bestDurationS = Math.min(this.bestDurationS, durationS);
    this.smoothedDurationS =
      this.smoothedDurationS === 0
        ? durationS
        : SMOOTHED_WEIGHT * this.smoothedDurationS + NEWEST_WEIGHT * durationS;
    this.requestsSinceReset++;
  }

  private isResetDue(): boolean {
    return (
      this.smoothedDurationS > this.acceptableDurationS &&
      this.requestsSinceReset > RESET_AFTER_LIMITS * this.limit
    );
  }

  private reset(): void {
    this.requestsSinceReset = 0;
    this.limit /= RESET_DIVISOR;
    this.bestDurationS = Number.POSITIVE_INFINITY;
    this.smoothedDurationS = 0;
  }

  /** A limit of which less than half is used says nothing about a higher one: it does not grow. */
  private adjust(isLimitUsed: boolean): void {
    const toleratedS = Math.max(
      this.acceptableDurationS,
      TOLERATED_LATENCY_FACTOR * this.bestDurationS,
    );
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, toleratedS / this.smoothedDurationS));
    if (gradient < 1) this.limit *= LIMIT_WEIGHT + GRADIENT_WEIGHT * gradient;
    else if (isLimitUsed) this.limit += 1 / Math.sqrt(this.limit);
  }
}
