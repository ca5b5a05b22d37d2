/** Measures work of the scheduler, and keeps its faults from ending the process. */
import type { Logger } from "pino";
import type { Leadership } from "./leadership.js";
import type { Activity, NodeLoad } from "./node-load.js";

/** What a guard measures by, and what it needs to step down. */
export interface SchedulerGuardOptions {
  readonly leadership: Leadership;
  readonly load: NodeLoad;
  readonly log: Logger;
  /** For how long the others campaign first after a fault. */
  readonly electionCooldownS: number;
}

/** Runs work of the scheduler, and steps down when it fails. */
export class SchedulerGuard {
  constructor(private readonly options: SchedulerGuardOptions) {}

  /**
   * A fault must not end the process, nor leave a leader whose view may be half changed: whoever
   * leads next starts from the stored state.
   */
  run(activity: Activity, work: () => void): void {
    const { leadership, load, log, electionCooldownS } = this.options;
    try {
      load.measure(activity, work);
    } catch (error) {
      log.error({ err: error as Error }, "scheduler fault");
      leadership.startElectionCooldown(electionCooldownS);
      leadership.stepDown("scheduler fault");
    }
  }
}
