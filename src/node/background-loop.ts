/** The loops that run in the background for as long as a node does. */
import type { Logger } from "pino";

/** A loop that runs until it is stopped. */
export interface BackgroundLoop {
  /** Resolves after `stop`, and not before. */
  run(): Promise<void>;
  /** Ends the loop after what it does now, without waiting for it. */
  stop(): void;
}

/**
 * Runs a loop until it is stopped. One that fails is named in the log, and its error is rethrown to the process's own
 * handler of unhandled rejections: whether the program ends is for the program to decide.
 */
export async function runInBackground(
  name: string,
  loop: BackgroundLoop,
  log: Logger,
): Promise<void> {
  try {
    await loop.run();
  } catch (error) {
    log.error({ err: error as Error, loop: name }, "background loop failed");
    throw error;
  }
}
