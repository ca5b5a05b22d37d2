/** Token bucket: limits a rate per second and allows bursts. The caller passes the current time, in seconds. */
export class TokenBucket {
  private availableTokens: number;
  private refilledAt = 0;

  /** `burst`: capacity of the bucket, which starts full. */
  constructor(
    private ratePerS: number,
    private burst: number,
  ) {
    this.availableTokens = burst;
  }

  /**
   * Creates a bucket from which single tokens are taken. Its capacity is at least one token: one that is derived from a
   * small rate may be less, and then no token could ever be taken.
   */
  static forSingleTokens(ratePerS: number, burst: number): TokenBucket {
    return new TokenBucket(ratePerS, Math.max(1, burst));
  }

  /** Changes rate and capacity. Tokens above the new `burst` are discarded. */
  setRate(ratePerS: number, burst: number): void {
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.availableTokens = Math.min(this.availableTokens, burst);
  }

  /** Takes the requested tokens. Returns false, and takes none, if too few are available. */
  tryTake(tokens: number, now: number): boolean {
    this.refill(now);
    if (this.availableTokens < tokens) return false;
    this.availableTokens -= tokens;
    return true;
  }

  /**
   * Takes the tokens even if the balance becomes negative, for work that must not wait. Work that can wait is delayed
   * until the balance is refilled.
   */
  takeOnCredit(tokens: number, now: number): void {
    this.refill(now);
    this.availableTokens -= tokens;
  }

  /** Current balance of tokens; negative after `takeOnCredit` has taken more than were available. */
  available(now: number): number {
    this.refill(now);
    return this.availableTokens;
  }

  /** Seconds until the given number of tokens is available. */
  secondsUntilAvailable(tokens: number, now: number): number {
    this.refill(now);
    return this.availableTokens >= tokens ? 0 : (tokens - this.availableTokens) / this.ratePerS;
  }

  private refill(now: number): void {
    if (now <= this.refilledAt) return;
    const refilled = this.availableTokens + (now - this.refilledAt) * this.ratePerS;
    this.availableTokens = Math.min(this.burst, refilled);
    this.refilledAt = now;
  }
}
