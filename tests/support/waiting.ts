/** Waits for conditions that a test expects to become true. */
import assert from "node:assert/strict";
import { sleepSeconds } from "../../src/time/sleep.js";

/**
 * Interval between two evaluations of the condition, and the time-out; neither includes the evaluations themselves.
 */
export interface WaitOptions {
  readonly timeoutS?: number;
  readonly intervalS?: number;
}

/** Returns once the condition is true. Fails the test with the description of the condition after the time-out. */
export async function waitUntil(
  what: string,
  isTrue: () => Promise<boolean> | boolean,
  { timeoutS = 20, intervalS = 0.02 }: WaitOptions = {},
): Promise<void> {
  for (let waitedS = 0; waitedS < timeoutS; waitedS += intervalS) {
    if (await isTrue()) return;
    await sleepSeconds(intervalS);
  }
  assert.fail(`condition not met within ${timeoutS} s: ${what}`);
}

/** As `waitUntil`, for clusters of processes: they take longer, and each evaluation may send a request. */
export const waitForProcesses = (
  what: string,
  isTrue: () => Promise<boolean> | boolean,
): Promise<void> => waitUntil(what, isTrue, { timeoutS: 40, intervalS: 0.1 });
