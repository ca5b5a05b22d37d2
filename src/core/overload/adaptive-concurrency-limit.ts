/**
 * A limit on concurrent requests that adapts to measured latencies.
 *
 * While requests take about as long as the best latency measured recently, each request raises the limit by
 * 1 / sqrt(limit). When requests take longer, the limit shrinks, and it shrinks faster the longer they take. It thus
 * settles at the point where a queue would form. A best latency measured under load already includes queueing time,
 * which would hide the queue. So while latencies stay high, the limit is reduced periodically and the best latency is
 * measured again.
 *
 * Only the ends of admitted requests change the limit. It is therefore never below one, however small the maximum is:
 * otherwise it would admit nothing for good.
 */

/** Weights of the previous value and of the newest sample in the exponentially smoothed latency. */
const SMOOTHED_WEIGHT = 0.9;
const NEWEST_WEIGHT = 0.1;
/** Number of requests, in multiples of the limit, after which the best latency is measured again. */
const RESET_AFTER_LIMITS = 50;
/** The limit is divided by this number before the best latency is measured again. */
const RESET_DIVISOR = 4;
/** Latencies up to this multiple of the best latency do not indicate a queue. */
const TOLERATED_LATENCY_FACTOR = 2;
/**
 * The gradient is the ratio of the tolerated to the measured latency, and at least `MIN_GRADIENT`. When the limit
 * shrinks, it is multiplied by `LIMIT_WEIGHT + GRADIENT_WEIGHT * gradient`.
 */
const MIN_GRADIENT = 0.5;
const GRADIENT_WEIGHT = 0.02;
const LIMIT_WEIGHT = 0.98;

/** Number of requests that are admitted at least, so that their latencies can raise the limit again. */
const LEAST_LIMIT = 1;

/** Admits concurrent requests up to a limit that adapts to the measured latencies. */
export class AdaptiveConcurrencyLimit {
  private readonly minLimit: number;
  private limit: number;
  private inProgress = 0;
  private bestDurationS = Number.POSITIVE_INFINITY;
  /** 0 until the first measurement after a reset. */
  private smoothedDurationS = 0;
  private requestsSinceReset = 0;

  constructor(
    minLimit: number,
    private readonly maxLimit: number,
    /** Latency, in seconds, up to which the limit does not shrink. */
    private readonly acceptableDurationS: number,
  ) {
    this.minLimit = Math.max(LEAST_LIMIT, minLimit);
    this.limit = Math.sqrt(this.minLimit * maxLimit);
  }

  get currentLimit(): number {
    return Math.floor(this.limit);
  }

  get requestsInProgress(): number {
    return this.inProgress;
  }

  /** Admits a request; returns false if the caller must reject it at once. */
  tryAcquire(): boolean {
    if (this.inProgress >= Math.floor(this.limit)) return false;
    this.inProgress++;
    return true;
  }

  /** Records that a request admitted by `tryAcquire` ended after `durationS` seconds. */
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

  /**
   * Shrinks or grows the limit. It does not grow while less than half of it is used, since latencies measured then
   * are no evidence that a higher limit would be safe.
   */
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
