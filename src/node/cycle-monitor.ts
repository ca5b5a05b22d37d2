/** Watches over the scheduling loop: slow cycles, lag, and the node's load. */
import type { Logger } from "pino";
import type { StateReplica } from "../core/state/state-replica.js";
import type { Leadership } from "./leadership.js";
import type { NodeLoad } from "./node-load.js";

/** What the cycle monitor compares the loop's measurements with, and logs to. */
export interface CycleMonitorOptions {
  readonly heartbeatIntervalS: number;
  readonly replica: StateReplica;
  readonly leadership: Leadership;
  readonly load: NodeLoad;
  readonly log: Logger;
}

/** Takes what the scheduling loop measures. */
export class CycleMonitor {
  constructor(private readonly options: CycleMonitorOptions) {}

  /** A cycle lasted `durationS` seconds, and began `sinceLastCycleS` seconds after the end of the one before it. */
  handleCycleEnd(durationS: number, sinceLastCycleS: number): void {
    const { heartbeatIntervalS, replica, log } = this.options;
    if (durationS <= heartbeatIntervalS / 4) return;
    log.warn(
      { durationS, sinceLastCycleS, jobs: replica.activeJobs.size },
      "slow scheduling cycle",
    );
  }

  /** Timers are late by so much. */
  handleLag(lagS: number, isOverloaded: boolean): void {
    const { leadership, load, log } = this.options;
    const leading = leadership.current;
    if (leading !== null) leading.scheduler.isOverloaded = isOverloaded;
    const line = load.line(lagS);
    if (line !== null) log.info({ leads: leading !== null, ...line }, "load");
  }
}
