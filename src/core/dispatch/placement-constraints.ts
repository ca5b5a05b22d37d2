/**
 * Where a task of a job may be: on which kinds of machine, and in which zones given the job's other tasks.
 *
 * The only module that knows these constraints. Whatever places tasks, makes or holds room, moves tasks or rents
 * machines asks it, and the moment of a start asks it again. What is not known counts as the worst case: a machine
 * whose zone is unknown may be in any.
 */
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";

/** Zone of a machine of which nothing says where it is. */
export const UNKNOWN_ZONE = "";

const NO_LIMIT = Number.MAX_SAFE_INTEGER;

/** What the constraints of jobs distinguish in a machine. */
export interface MachineFacts {
  readonly type: Pick<MachineType, "name">;
  readonly zone: string;
  readonly spot: boolean;
}

/** May any task of the job be on such a machine, whatever its other tasks do? */
export function isMachineAllowed(spec: JobSpec, { type, zone, spot }: MachineFacts): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** At most half of the tasks, rounded up, may be in one zone if they are to be spread. */
const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);

/** Can all tasks run at one time if there is room in these zones only? */
export function areZonesSufficient(spec: JobSpec, zones: number): boolean {
  return !spec.spread || zones * spreadLimit(spec) >= spec.tasks;
}

/** The tasks of one job by zone: every attempt that may be on a machine, or may yet come to it. */
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

  /** Takes up to so many places in the zone, and says how many there were. */
  reserveIn(zone: string, most: number): number {
    const tasks = Math.min(most, this.capacityIn(zone));
    if (tasks > 0) this.add(zone, tasks);
    return tasks;
  }

  /** May a task that is counted in this zone start there, given all others that are counted? */
  mayStartIn(zone: string): boolean {
    const { oneZone, spread } = this.spec;
    if ((oneZone || spread) && zone === UNKNOWN_ZONE) return false;
    if (oneZone && !this.areAllIn(zone)) return false;
    return !spread || this.tasksIn(zone) + this.tasksIn(UNKNOWN_ZONE) <= spreadLimit(this.spec);
  }

  /** Its tasks must share a zone and stand in several: nothing more may start before one is left. */
  get isSplit(): boolean {
    return this.spec.oneZone && this.counts.size > 1;
  }

  /** The zone with the most tasks; null: there are none, or nothing says where they are. */
  get mainZone(): string | null {
    let main: string | null = null;
    for (const [zone, tasks] of this.counts) {
      if (zone === UNKNOWN_ZONE) continue;
      const most = main === null ? 0 : this.tasksIn(main);
      if (tasks > most || (tasks === most && main !== null && zone < main)) main = zone;
    }
    return main;
  }

  private tasksIn(zone: string): number {
    return this.counts.get(zone) ?? 0;
  }

  private areAllIn(zone: string): boolean {
    for (const other of this.counts.keys()) if (other !== zone) return false;
    return true;
  }
}
