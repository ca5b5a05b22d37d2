/** The limit on the rate of requests that the state service enforces. */
import { TokenBucket } from "../../src/core/overload/token-bucket.js";
import { steadyNowS } from "../../src/time/steady-clock.js";

/** Allows a number of requests per second, with a burst of one second's worth, and counts the others. */
export class RequestRateLimit {
  refusedCount = 0;
  private readonly bucket: TokenBucket;

  constructor(requestsPerS: number) {
    this.bucket = new TokenBucket(requestsPerS, requestsPerS);
  }

  /** Whether the request is within the limit. */
  take(): boolean {
    const isAllowed = this.bucket.tryTake(1, steadyNowS());
    if (!isAllowed) this.refusedCount++;
    return isAllowed;
  }
}
