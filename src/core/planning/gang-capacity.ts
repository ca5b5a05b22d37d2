/** Free room that is held for a gang of several machines until all its tasks fit. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { PlanningContext } from "./context.js";
import { imagePullS, isCapacityOpenTo, machinesThatFit } from "./eligibility.js";

/** Part of its tasks that the zone a gang gathers in is worth more than another one. */
const RESERVED_ZONE_BONUS = 1 / 4;

/** Places for tasks of a gang in one zone, or in all where any will do. */
interface ZoneCapacity {
  freeSlots: number;
  totalSlots: number;
  /** On machines where room is being made for the gang. */
  preemptedSlots: number;
  /** Machines with free places, or on which room is being made. */
  readonly machines: Machine[];
}

const slotsOnEmptyMachine = (spec: JobSpec, m: Machine): number =>
  taskSlots(spec, m.type.cpus, m.type.gpus, m.type.memoryGb);

/** Zones in which no other gang gathers; "" stands for all, if the gang is not bound to one. */
function capacityByZone(job: ActiveJob, ctx: PlanningContext, taken: ReadonlySet<string>) {
  const { spec } = job;
  const zones = new Map<string, ZoneCapacity>();
  const spread = job.zones.copy();
  for (const m of machinesThatFit(spec, ctx)) {
    if (!isCapacityOpenTo(m, job)) continue;
    if (!isMachineAllowed(spec, m) || job.failures.avoids(m.name, ctx.now)) continue;
    const zone = spec.oneZone ? m.zone : "";
    if (taken.has(zone)) continue;
    const room = zones.get(zone) ?? {
      freeSlots: 0,
      totalSlots: 0,
      preemptedSlots: 0,
      machines: [],
    };
    zones.set(zone, room);
    const whole = slotsOnEmptyMachine(spec, m);
    const free = taskSlots(spec, m.freeCpus, m.freeGpus, m.freeMemoryGb);
    const made = m.reservation?.job === job;
    room.totalSlots += spec.spread ? spread.reserveIn(m.zone, whole) : whole;
    room.freeSlots += free;
    if (made) room.preemptedSlots += whole;
    if (free > 0 || made) room.machines.push(m);
  }
  return zones;
}

/** The zone that can hold the gang and lacks least; the one it gathers in already, unless another is far better. */
function chooseZone(
  zones: ReadonlyMap<string, ZoneCapacity>,
  tasks: number,
  before: string | null,
): string | null {
  let zone: string | null = null;
  let best = -1;
  for (const [name, room] of zones) {
    if (room.totalSlots < tasks) continue;
    const worth =
      room.freeSlots + room.preemptedSlots + (name === before ? RESERVED_ZONE_BONUS * tasks : 0);
    if (worth > best) {
      best = worth;
      zone = name;
    }
  }
  return zone;
}

function mayReserveCapacity(job: ActiveJob, ctx: PlanningContext): boolean {
  const { tasks } = job.spec;
  if (tasks < 2 || job.isSuspect || job.placementCount > 0) return false;
  return ctx.cluster.quotaSlots(job.spec) >= tasks;
}

/**
 * A gang of many machines would never find them free at one moment while smaller jobs take each as
 * it comes free. So what is free in one zone is held for it, and what waits behind it in this pass takes
 * the rest. The next pass begins anew: a gang that comes first in line does not find it held. One gang
 * gathers room in a zone at a time: two between them kept a third of it idle.
 */
export function reserveGangCapacity(
  job: ActiveJob,
  ctx: PlanningContext,
  taken: Set<string>,
): void {
  const { spec } = job;
  const before = job.reservedZone;
  job.reservedZone = null;
  if (taken.has("") || taken.size >= ctx.settings.zones.length) return;
  if (!mayReserveCapacity(job, ctx)) return;
  const zones = capacityByZone(job, ctx, taken);
  const zone = chooseZone(zones, spec.tasks, before);
  if (zone === null) return;
  job.reservedZone = zone;
  let need = spec.tasks;
  const { machines } = zones.get(zone)!;
  machines.sort((a, b) => imagePullS(a, spec) - imagePullS(b, spec) || (a.name < b.name ? -1 : 1));
  const occupied = job.zones.copy();
  for (const m of machines) {
    if (need <= 0) break;
    const tasks = occupied.reserveIn(m.zone, slotsOnEmptyMachine(spec, m));
    if (tasks === 0) continue;
    need -= tasks;
    if (m.reservation === null || m.reservation.job !== job) {
      m.reservation = { job, until: ctx.now + ctx.settings.heartbeatIntervalS, held: true };
    }
  }
  if (need > 0) taken.add(zone);
}
