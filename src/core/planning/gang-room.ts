/** Free room that is held for a gang of several machines until all its tasks fit. */
import type { LiveJob } from "../live-job.js";
import { type Machine, slots } from "../machine.js";
import type { JobSpec } from "../model.js";
import { machineAllowed } from "../placement-rules.js";
import type { PlanContext } from "./context.js";
import { imageWaitS, machinesThatFit, roomOpenTo } from "./eligibility.js";

/** Part of its tasks that the zone a gang gathers in is worth more than another one. */
const STAY = 1 / 4;

/** Places for tasks of a gang in one zone, or in all where any will do. */
interface ZoneRoom {
  free: number;
  all: number;
  /** On machines where room is being made for the gang. */
  made: number;
  /** Machines with free places, or on which room is being made. */
  readonly machines: Machine[];
}

const wholeMachine = (spec: JobSpec, m: Machine): number =>
  slots(spec, m.type.cpus, m.type.gpus, m.type.memoryGb);

/** Zones in which no other gang gathers; "" stands for all, if the gang is not bound to one. */
function roomByZone(job: LiveJob, ctx: PlanContext, taken: ReadonlySet<string>) {
  const { spec } = job;
  const zones = new Map<string, ZoneRoom>();
  const spread = job.zones.copy();
  for (const m of machinesThatFit(spec, ctx)) {
    if (!roomOpenTo(m, job)) continue;
    if (!machineAllowed(spec, m) || job.failures.avoids(m.name, ctx.now)) continue;
    const zone = spec.oneZone ? m.zone : "";
    if (taken.has(zone)) continue;
    const room = zones.get(zone) ?? { free: 0, all: 0, made: 0, machines: [] };
    zones.set(zone, room);
    const whole = wholeMachine(spec, m);
    const free = slots(spec, m.freeCpus, m.freeGpus, m.freeMemory);
    const made = m.reservedFor?.job === job;
    room.all += spec.spread ? spread.takeRoom(m.zone, whole) : whole;
    room.free += free;
    if (made) room.made += whole;
    if (free > 0 || made) room.machines.push(m);
  }
  return zones;
}

/** The zone that can hold the gang and lacks least; the one it gathers in already, unless another is far better. */
function bestZone(
  zones: ReadonlyMap<string, ZoneRoom>,
  tasks: number,
  before: string | null,
): string | null {
  let zone: string | null = null;
  let best = -1;
  for (const [name, room] of zones) {
    if (room.all < tasks) continue;
    const worth = room.free + room.made + (name === before ? STAY * tasks : 0);
    if (worth > best) {
      best = worth;
      zone = name;
    }
  }
  return zone;
}

function mayGather(job: LiveJob, ctx: PlanContext): boolean {
  const { tasks } = job.spec;
  if (tasks < 2 || job.suspected || job.present > 0) return false;
  return ctx.cluster.quotaSlots(job.spec) >= tasks;
}

/**
 * A gang of many machines would never find them free at one moment while smaller jobs take each as
 * it comes free. So what is free in one zone is held for it, and what waits behind it in this pass takes
 * the rest. The next pass begins anew: a gang that comes first in line does not find it held. One gang
 * gathers room in a zone at a time: two between them kept a third of it idle.
 */
export function gatherRoom(job: LiveJob, ctx: PlanContext, taken: Set<string>): void {
  const { spec } = job;
  const before = job.heldZone;
  job.heldZone = null;
  if (taken.has("") || taken.size >= ctx.settings.zones.length) return;
  if (!mayGather(job, ctx)) return;
  const zones = roomByZone(job, ctx, taken);
  const zone = bestZone(zones, spec.tasks, before);
  if (zone === null) return;
  job.heldZone = zone;
  let need = spec.tasks;
  const { machines } = zones.get(zone)!;
  machines.sort((a, b) => imageWaitS(a, spec) - imageWaitS(b, spec) || (a.name < b.name ? -1 : 1));
  const occupied = job.zones.copy();
  for (const m of machines) {
    if (need <= 0) break;
    const tasks = occupied.takeRoom(m.zone, wholeMachine(spec, m));
    if (tasks === 0) continue;
    need -= tasks;
    if (m.reservedFor === null || m.reservedFor.job !== job) {
      m.reservedFor = { job, until: ctx.now + ctx.settings.reportS, held: true };
    }
  }
  if (need > 0) taken.add(zone);
}
