/** Waiting for what a test expects to come about. */
import assert from "node:assert/strict";
import { sleepSeconds } from "../../src/time/sleep.js";

/** How often a condition is looked at, and for how long, beside the time that looking takes. */
export interface WaitOptions {
  readonly timeoutS?: number;
  readonly intervalS?: number;
}

/** Returns once the condition holds; fails the test, with what it waited for, if it never does. */
export async function waitUntil(
  what: string,
  isTrue: () => Promise<boolean> | boolean,
  { timeoutS = 20, intervalS = 0.02 }: WaitOptions = {},
): Promise<void> {
  for (let waitedS = 0; waitedS < timeoutS; waitedS += intervalS) {
    if (await isTrue()) return;
    await sleepSeconds(intervalS);
  }
  assert.fail(`never: ${what}`);
}

/** The same for clusters of processes: they take longer, and each look may be a request. */
export const waitForProcesses = (
  what: string,
  isTrue: () => Promise<boolean> | boolean,
): Promise<void> => waitUntil(what, isTrue, { timeoutS: 40, intervalS: 0.1 });
