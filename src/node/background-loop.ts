/** Background loops that run for the lifetime of a node. */
import type { Logger } from "pino";

/** A loop that runs until it is stopped. */
export interface BackgroundLoop {
  /** Resolves only after `stop` was called. */
  run(): Promise<void>;
  /** Requests the loop to end after its current step, without waiting for it. */
  stop(): void;
}

/**
 * Runs a loop until it is stopped. If the loop fails, this logs the loop's name and rethrows the error, which reaches
 * the process's handler of unhandled rejections. The embedding program decides there whether to exit.
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
