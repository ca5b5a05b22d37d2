/** Waiting by the steady clock. */
// The default import, so that tests can mock the timer: a named import is bound before they do.
import timers from "node:timers/promises";

/** Resolves after so many seconds. With a signal, rejects with an `AbortError` once it aborts. */
export async function sleepSeconds(seconds: number, signal?: AbortSignal): Promise<void> {
  await timers.setTimeout(1000 * seconds, undefined, { signal });
}
