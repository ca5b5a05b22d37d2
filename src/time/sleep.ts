/** Waiting by the steady clock. */
import { setTimeout as delay } from "node:timers/promises";

/** Resolves after so many seconds. With a signal, rejects with an `AbortError` once it aborts. */
export async function sleepSeconds(seconds: number, signal?: AbortSignal): Promise<void> {
  await delay(1000 * seconds, undefined, { signal });
}
