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
  description: string,
  condition: () => Promise<boolean> | boolean,
  { timeoutS = 20, intervalS = 0.02 }: WaitOptions = {},
): Promise<void> {
  for (let waitedS = 0; waitedS < timeoutS; waitedS += intervalS) {
    if (await condition()) return;
    await sleepSeconds(intervalS);
  }
  assert.fail(`condition was not met before the time-out: ${description}`);
}

/** As `waitUntil`, for clusters of processes: they take longer, and each evaluation may send a request. */
export const waitForProcesses = (
  description: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> => waitUntil(description, condition, { timeoutS: 40, intervalS: 0.1 });
