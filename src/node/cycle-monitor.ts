/** Monitors the scheduling loop: logs slow cycles and the node's load, and reports overload to the scheduler. */
import type { Logger } from "pino";
import type { StateReplica } from "../core/state/state-replica.js";
import type { Leadership } from "./leadership.js";
import type { NodeLoad } from "./node-load.js";

/** Dependencies of `CycleMonitor`. */
export interface CycleMonitorOptions {
  readonly heartbeatIntervalS: number;
  readonly replica: StateReplica;
  readonly leadership: Leadership;
  readonly load: NodeLoad;
  readonly log: Logger;
}

/** Handles the measurements of the scheduling loop. */
export class CycleMonitor {
  constructor(private readonly options: CycleMonitorOptions) {}

  /**
   * Logs a cycle that took longer than a quarter of the heartbeat interval. `sinceLastCycleS`: seconds from the end
   * of the previous cycle to the start of this one.
   */
  handleCycleEnd(durationS: number, sinceLastCycleS: number): void {
    const { heartbeatIntervalS, replica, log } = this.options;
    if (durationS <= heartbeatIntervalS / 4) return;
    log.warn(
      { durationS, sinceLastCycleS, jobs: replica.activeJobs.size },
      "slow scheduling cycle",
    );
  }

  /**
   * Handles a measurement of the average timer lag: updates the scheduler's overload flag, and logs the load report
   * if one is due.
   */
  handleLag(lagS: number, isOverloaded: boolean): void {
    const { leadership, load, log } = this.options;
    const activeLeadership = leadership.current;
    if (activeLeadership !== null) activeLeadership.scheduler.isOverloaded = isOverloaded;
    const report = load.takeDueReport(lagS);
    if (report !== null) log.info({ leads: activeLeadership !== null, ...report }, "load");
  }
}
