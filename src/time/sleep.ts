/** Delays measured by the monotonic clock. */
// Uses the default import because tests replace the timers on it; a named import would keep the original timers.
import timers from "node:timers/promises";

/** Resolves after `seconds`, or rejects with an `AbortError` once `signal` aborts. */
export async function sleepSeconds(seconds: number, signal?: AbortSignal): Promise<void> {
  await timers.setTimeout(1000 * seconds, undefined, { signal });
}
