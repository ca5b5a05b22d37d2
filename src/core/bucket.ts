/** A budget of so many a second with a burst; time is given by the caller, in seconds. */
export class Bucket {
  private level: number;
  private at = 0;

  constructor(
    private rate: number,
    private burst: number,
  ) {
    this.level = burst;
  }

  private refill(now: number): void {
    if (now > this.at) {
      this.level = Math.min(this.burst, this.level + (now - this.at) * this.rate);
      this.at = now;
    }
  }

  setRate(rate: number, burst: number): void {
    this.rate = rate;
    this.burst = burst;
    this.level = Math.min(this.level, burst);
  }

  take(n: number, now: number): boolean {
    this.refill(now);
    if (this.level < n) return false;
    this.level -= n;
    return true;
  }

  /** Takes even what is not there: for what must not wait, at the expense of what may. */
  force(n: number, now: number): void {
    this.refill(now);
    this.level -= n;
  }

  available(now: number): number {
    this.refill(now);
    return this.level;
  }

  /** Seconds until n can be taken. */
  wait(n: number, now: number): number {
    this.refill(now);
    return this.level >= n ? 0 : (n - this.level) / this.rate;
  }
}
