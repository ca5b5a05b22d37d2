/**
 * Placement constraints: on which kinds of machine a task may be, and in which zones given the job's other tasks.
 *
 * The only module that knows them. Placement, preemption, reservation, relocation and scale-out all ask it, and every
 * start asks it again. What is not known counts as the worst case: a machine whose zone is unknown may be in any.
 */
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";

/** Zone of a machine of which the zone is not known. */
export const UNKNOWN_ZONE = "";

const NO_LIMIT = Number.MAX_SAFE_INTEGER;

/** The properties of a machine that constraints refer to. */
export interface MachineFacts {
  readonly type: Pick<MachineType, "name">;
  readonly zone: string;
  readonly spot: boolean;
}

/** Whether a task of the job may be on such a machine, regardless of its other tasks. */
export function isMachineAllowed(spec: JobSpec, { type, zone, spot }: MachineFacts): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** Most tasks of a spread job in one zone: half of them, rounded up. */
const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);

/** Whether all tasks of the job can run at one time in so many zones. */
export function areZonesSufficient(spec: JobSpec, zones: number): boolean {
  return !spec.spread || zones * spreadLimit(spec) >= spec.tasks;
}

/** The tasks of one job by zone: every attempt that is on a machine, or may be, or may yet arrive there. */
export class ZoneOccupancy {
  private readonly counts = new Map<string, number>();

  constructor(private readonly spec: JobSpec) {}

  add(zone: string, tasks = 1): void {
    this.counts.set(zone, this.tasksIn(zone) + tasks);
  }

  remove(zone: string): void {
    const left = this.tasksIn(zone) - 1;
    if (left > 0) this.counts.set(zone, left);
    else this.counts.delete(zone);
  }

  copy(): ZoneOccupancy {
    const copy = new ZoneOccupancy(this.spec);
    for (const [zone, tasks] of this.counts) copy.add(zone, tasks);
    return copy;
  }

  /** How many more tasks may be placed in the zone. */
  capacityIn(zone: string): number {
    const { oneZone, spread } = this.spec;
    if ((oneZone || spread) && zone === UNKNOWN_ZONE) return 0;
    if (oneZone && !this.areAllIn(zone)) return 0;
    if (!spread) return NO_LIMIT;
    return Math.max(0, spreadLimit(this.spec) - this.tasksIn(zone) - this.tasksIn(UNKNOWN_ZONE));
  }

  /** Counts up to so many more tasks in the zone. Returns how many may be placed there. */
  reserveIn(zone: string, maximumTasks: number): number {
    const tasks = Math.min(maximumTasks, this.capacityIn(zone));
    if (tasks > 0) this.add(zone, tasks);
    return tasks;
  }

  /** Whether a task that is already counted in this zone may start there, given all others that are counted. */
  mayStartIn(zone: string): boolean {
    const { oneZone, spread } = this.spec;
    if ((oneZone || spread) && zone === UNKNOWN_ZONE) return false;
    if (oneZone && !this.areAllIn(zone)) return false;
    return !spread || this.tasksIn(zone) + this.tasksIn(UNKNOWN_ZONE) <= spreadLimit(this.spec);
  }

  /** Whether the tasks must share a zone and are in several: nothing more may start before one zone is left. */
  get isSplit(): boolean {
    return this.spec.oneZone && this.counts.size > 1;
  }

  /** The zone with the most tasks, of several the first by name; null if no task is in a known zone. */
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

  private areAllIn(zone: string): boolean {
    for (const other of this.counts.keys()) {
      if (other !== zone) return false;
    }
    return true;
  }
}
