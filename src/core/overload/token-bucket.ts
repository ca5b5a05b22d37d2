/** A token bucket: a budget per second with a burst. The caller passes the time, in seconds. */
export class TokenBucket {
  private availableTokens: number;
  private refilledAt = 0;

  /** `burst`: the most tokens that it holds; it starts full. */
  constructor(
    private ratePerS: number,
    private burst: number,
  ) {
    this.availableTokens = burst;
  }

  /** Tokens above the new burst are lost. */
  setRate(ratePerS: number, burst: number): void {
    this.ratePerS = ratePerS;
    this.burst = burst;
    this.availableTokens = Math.min(this.availableTokens, burst);
  }

  /** Takes all of the tokens, or none and returns false. */
  tryTake(tokens: number, now: number): boolean {
    this.refill(now);
    if (this.availableTokens < tokens) return false;
    this.availableTokens -= tokens;
    return true;
  }

  /** Takes the tokens even below zero: for what must not wait, at the expense of what may. */
  takeOnCredit(tokens: number, now: number): void {
    this.refill(now);
    this.availableTokens -= tokens;
  }

  /** Tokens that can be taken now; negative after `takeOnCredit` took more than there were. */
  available(now: number): number {
    this.refill(now);
    return this.availableTokens;
  }

  /** Seconds until so many tokens can be taken. */
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
