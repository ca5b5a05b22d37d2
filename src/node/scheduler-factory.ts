/** Creates the scheduler of a new leadership term. */
import type { Logger } from "pino";
import type { OperatorSettings } from "../config/operator.js";
import type { SchedulerOptions } from "../core/effects.js";
import { Scheduler } from "../core/scheduler.js";
import type { NodeSettings } from "../wire/settings.js";
import type { MachineTypeCatalog } from "./machine-type-catalog.js";
import type { NodeTiming } from "./node-timing.js";

/** Dependencies of `SchedulerFactory`. */
export interface SchedulerFactoryOptions {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  readonly timing: NodeTiming;
  readonly machineTypes: MachineTypeCatalog;
  readonly log: Logger;
}

/** Creates schedulers with this node's settings and the known machine types. */
export class SchedulerFactory {
  constructor(private readonly options: SchedulerFactoryOptions) {}

  /**
   * Creates the scheduler for the term with this epoch. `epochModRevision`: mod revision of the stored epoch. `now`:
   * start of the term, as a monotonic time in seconds.
   */
  create(epoch: number, epochModRevision: number, now: number): Scheduler {
    const { settings, machineTypes } = this.options;
    const options = this.schedulerOptions();
    const scheduler = new Scheduler({
      settings: settings.cluster,
      options,
      epoch,
      epochModRevision,
      startedAt: now,
    });
    scheduler.setMachineTypes(machineTypes.known);
    return scheduler;
  }

  private schedulerOptions(): SchedulerOptions {
    const { settings, operator, timing, log } = this.options;
    return {
      spareRatio: operator.spareCapacityRatio,
      maxMachines: operator.maxMachines,
      idleReleaseS: operator.maxIdleLeases * settings.cluster.leaseS,
      gracePeriodS: timing.gracePeriodS,
      leaseExtensionS: timing.leaseExtensionS,
      logsTasks: log.isLevelEnabled("debug"),
      controllersPerZone: controllersPerZone(settings),
    };
  }
}

/** Counts the other controllers in each zone. This controller is not included. */
function controllersPerZone({ peers }: NodeSettings): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { zone } of peers) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return counts;
}
