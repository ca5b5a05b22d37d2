/** Delays measured by the monotonic clock. */
// Tests mock the timers through the default export of this module; a named import is bound before they do.
import timers from "node:timers/promises";

/** Resolves after `seconds`, or rejects with an `AbortError` once `signal` aborts. */
export async function sleepSeconds(seconds: number, signal?: AbortSignal): Promise<void> {
  await timers.setTimeout(1000 * seconds, undefined, { signal });
}
