/** Measures scheduler work, and prevents its errors from ending the process. */
import type { Logger } from "pino";
import type { Leadership } from "./leadership.js";
import type { Activity, NodeLoad } from "./node-load.js";

/** Dependencies of `SchedulerGuard`. */
export interface SchedulerGuardOptions {
  readonly leadership: Leadership;
  readonly load: NodeLoad;
  readonly log: Logger;
  /** Seconds after an error for which this node does not become a candidate, so that another node can lead. */
  readonly electionCooldownS: number;
}

/** Runs scheduler work, and steps down if it throws. */
export class SchedulerGuard {
  constructor(private readonly options: SchedulerGuardOptions) {}

  /**
   * An error must not end the process. The leader steps down because its in-memory state may be inconsistent; the
   * next leader starts from the stored state.
   */
  run(activity: Activity, work: () => void): void {
    const { leadership, load, log, electionCooldownS } = this.options;
    try {
      load.measure(activity, work);
    } catch (error) {
      log.error({ err: error as Error }, "unhandled scheduler error");
      leadership.startElectionCooldown(electionCooldownS);
      leadership.stepDown("unhandled scheduler error");
    }
  }
}
