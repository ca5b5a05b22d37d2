/** A budget of so many a second with a burst; time is given by the caller, in seconds. */
export class TokenBucket {
  private availableTokens: number;
  private refilledAt = 0;

  constructor(
    private ratePerS: number,
    private burst: number,
  ) {
    this.availableTokens = burst;
  }

  private refill(now: number): void {
    if (now > this.refilledAt) {
      this.availableTokens = Math.min(
        this.burst,
        this.availableTokens + (now - this.refilledAt) * this.ratePerS,
      );
      this.refilledAt = now;
    }
  }

  setRate(rate: number, burst: number): void {
    this.ratePerS = rate;
    this.burst = burst;
    this.availableTokens = Math.min(this.availableTokens, burst);
  }

  tryTake(n: number, now: number): boolean {
    this.refill(now);
    if (this.availableTokens < n) return false;
    this.availableTokens -= n;
    return true;
  }

  /** Takes even what is not there: for what must not wait, at the expense of what may. */
  takeOnCredit(n: number, now: number): void {
    this.refill(now);
    this.availableTokens -= n;
  }

  available(now: number): number {
    this.refill(now);
    return this.availableTokens;
  }

  /** Seconds until n can be taken. */
  secondsUntilAvailable(n: number, now: number): number {
    this.refill(now);
    return this.availableTokens >= n ? 0 : (n - this.availableTokens) / this.ratePerS;
  }
}
