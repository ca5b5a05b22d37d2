/**
 * Placement constraints. They limit the machines on which a task may run and, depending on the job's other tasks, the
 * zones in which it may run.
 *
 * This is the only module that implements them. Placement, preemption, reservation, relocation and scale-out all use
 * it, and every start is checked again. Unknown properties are treated as the worst case: a machine whose zone is
 * unknown may be in any zone.
 */
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";

/** Placeholder for the zone of a machine whose zone is not known. */
export const UNKNOWN_ZONE = "";

const NO_LIMIT = Number.MAX_SAFE_INTEGER;

/** The properties of a machine that the placement constraints depend on. */
export interface MachineAttributes {
  readonly type: Pick<MachineType, "name">;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether a task of the job may run on such a machine, regardless of the job's other tasks. */
export function isMachineAllowed(spec: JobSpec, { type, zone, spot }: MachineAttributes): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** Maximum number of tasks of a spread job in one zone: half of its tasks, rounded up. */
const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);

/** Whether all tasks of the job can run at the same time in the given number of zones. */
export function areZonesSufficient(spec: JobSpec, zones: number): boolean {
  return !spec.spread || zones * spreadLimit(spec) >= spec.tasks;
}

/**
 * Counts the tasks of one job by zone. An attempt counts in the zone of its machine if it runs, may run, or may still
 * be started.
 */
export class ZoneOccupancy {
  private readonly counts = new Map<string, number>();

  constructor(private readonly spec: JobSpec) {}

  add(zone: string, tasks = 1): void {
    this.counts.set(zone, this.tasksIn(zone) + tasks);
  }

  remove(zone: string): void {
    const remainingTasks = this.tasksIn(zone) - 1;
    if (remainingTasks > 0) this.counts.set(zone, remainingTasks);
    else this.counts.delete(zone);
  }

  copy(): ZoneOccupancy {
    const copy = new ZoneOccupancy(this.spec);
    for (const [zone, tasks] of this.counts) copy.add(zone, tasks);
    return copy;
  }

  /** Number of further tasks that may be placed in the zone. */
  capacityIn(zone: string): number {
    const { oneZone, spread } = this.spec;
    if ((oneZone || spread) && zone === UNKNOWN_ZONE) return 0;
    if (oneZone && !this.areAllTasksIn(zone)) return 0;
    if (!spread) return NO_LIMIT;
    return Math.max(0, spreadLimit(this.spec) - this.tasksIn(zone) - this.tasksIn(UNKNOWN_ZONE));
  }

  /** Reserves capacity in the zone for up to `maximumTasks` further tasks. Returns the number reserved. */
  reserveIn(zone: string, maximumTasks: number): number {
    const tasks = Math.min(maximumTasks, this.capacityIn(zone));
    if (tasks > 0) this.add(zone, tasks);
    return tasks;
  }

  /** Whether a task that is already counted in the zone may start there, given the job's other counted tasks. */
  mayStartIn(zone: string): boolean {
    const { oneZone, spread } = this.spec;
    if ((oneZone || spread) && zone === UNKNOWN_ZONE) return false;
    if (oneZone && !this.areAllTasksIn(zone)) return false;
    return !spread || this.tasksIn(zone) + this.tasksIn(UNKNOWN_ZONE) <= spreadLimit(this.spec);
  }

  /** Whether a one-zone job has tasks in several zones. Until all are in one zone, none of them may start. */
  get isSplit(): boolean {
    return this.spec.oneZone && this.counts.size > 1;
  }

  /** The known zone with the most tasks; of equal ones, the first by name. Null if no task is in a known zone. */
  get mainZone(): string | null {
    let mainZone: string | null = null;
    for (const [zone, tasks] of this.counts) {
      if (zone === UNKNOWN_ZONE) continue;
      const mostTasks = mainZone === null ? 0 : this.tasksIn(mainZone);
      const isFirstOfEqual = tasks === mostTasks && mainZone !== null && zone < mainZone;
      if (tasks > mostTasks || isFirstOfEqual) mainZone = zone;
    }
    return mainZone;
  }

  private tasksIn(zone: string): number {
    return this.counts.get(zone) ?? 0;
  }

  private areAllTasksIn(zone: string): boolean {
    for (const other of this.counts.keys()) {
      if (other !== zone) return false;
    }
    return true;
  }
}
