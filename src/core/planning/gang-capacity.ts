/** Free capacity that is reserved for a gang of several machines until all its tasks fit. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";
import type { PlanningContext } from "./context.js";
import {
  freeSlotsOn,
  imagePullS,
  isCapacityOpenTo,
  machinesThatFit,
  slotsOnEmptyMachine,
} from "./eligibility.js";

/** Share of its tasks that a gang's reserved zone counts more than others, so that it rarely changes zones. */
const RESERVED_ZONE_BONUS = 1 / 4;

/** Stands for all zones together, for gangs that are not bound to one. */
const ANY_ZONE = "";

/** Capacity for tasks of a gang in one zone, or in all where any will do. */
interface ZoneCapacity {
  freeSlots: number;
  /** On empty machines. */
  totalSlots: number;
  /** On machines that are being freed for the gang. */
  preemptedSlots: number;
  /** Machines with free slots, or which are being freed. */
  readonly machines: Machine[];
}

/**
 * Reserves the free capacity of one zone for a gang that could not be placed, until the next cycle. Smaller jobs would
 * take each machine as it comes free, and a gang of many would never find them free at one moment; jobs that follow in
 * the queue get the rest. In the next cycle a gang that precedes it does not find the capacity reserved. One gang at a
 * time reserves in a zone: two together kept a third of it idle. `reservedZones`: zones with a reservation of this
 * cycle; the gang's zone is added while it lacks capacity there.
 */
export function reserveGangCapacity(
  job: ActiveJob,
  context: PlanningContext,
  reservedZones: Set<string>,
): void {
  const previousZone = job.reservedZone;
  job.reservedZone = null;
  if (reservedZones.has(ANY_ZONE) || reservedZones.size >= context.settings.zones.length) return;
  if (!mayReserveCapacity(job, context)) return;
  const capacities = capacityByZone(job, context, reservedZones);
  const zone = chooseZone(capacities, job.spec.tasks, previousZone);
  if (zone === null) return;
  job.reservedZone = zone;
  const missingSlots = reserveMachines(job, capacities.get(zone)!.machines, context);
  if (missingSlots > 0) reservedZones.add(zone);
}

function mayReserveCapacity(job: ActiveJob, context: PlanningContext): boolean {
  const { tasks } = job.spec;
  if (tasks < 2 || job.isSuspect || job.placementCount > 0) return false;
  return context.cluster.quotaSlots(job.spec) >= tasks;
}

/** Capacity for the gang in each zone without another reservation, or under `ANY_ZONE` if it is not bound to one. */
function capacityByZone(
  job: ActiveJob,
  context: PlanningContext,
  reservedZones: ReadonlySet<string>,
): Map<string, ZoneCapacity> {
  const { spec } = job;
  const capacities = new Map<string, ZoneCapacity>();
  const occupancy = job.zones.copy();
  for (const machine of machinesThatFit(spec, context)) {
    if (!isCapacityOpenTo(machine, job)) continue;
    if (!isMachineAllowed(spec, machine) || job.failures.avoids(machine.name, context.now))
      continue;
    const zone = spec.oneZone ? machine.zone : ANY_ZONE;
    if (reservedZones.has(zone)) continue;
    const capacity = capacities.get(zone) ?? emptyCapacity();
    capacities.set(zone, capacity);
    const totalSlots = slotsOnEmptyMachine(spec, machine);
    const freeSlots = freeSlotsOn(spec, machine);
    const isBeingFreed = machine.reservation?.job === job;
    capacity.totalSlots += spec.spread ? occupancy.reserveIn(machine.zone, totalSlots) : totalSlots;
    capacity.freeSlots += freeSlots;
    if (isBeingFreed) capacity.preemptedSlots += totalSlots;
    if (freeSlots > 0 || isBeingFreed) capacity.machines.push(machine);
  }
  return capacities;
}

const emptyCapacity = (): ZoneCapacity => ({
  freeSlots: 0,
  totalSlots: 0,
  preemptedSlots: 0,
  machines: [],
});

/** The zone that can take the gang and lacks the least capacity; the previous one, unless another is far better. */
function chooseZone(
  capacities: ReadonlyMap<string, ZoneCapacity>,
  tasks: number,
  previousZone: string | null,
): string | null {
  let bestZone: string | null = null;
  let bestValue = -1;
  for (const [zone, { freeSlots, totalSlots, preemptedSlots }] of capacities) {
    if (totalSlots < tasks) continue;
    const bonus = zone === previousZone ? RESERVED_ZONE_BONUS * tasks : 0;
    const value = freeSlots + preemptedSlots + bonus;
    if (value > bestValue) {
      bestValue = value;
      bestZone = zone;
    }
  }
  return bestZone;
}

/** Reserves as many machines as the gang needs, those with the shortest image pull first. Returns slots missing. */
function reserveMachines(job: ActiveJob, machines: Machine[], context: PlanningContext): number {
  const { spec } = job;
  const until = context.now + context.settings.heartbeatIntervalS;
  machines.sort((a, b) => imagePullS(a, spec) - imagePullS(b, spec) || (a.name < b.name ? -1 : 1));
  const occupancy = job.zones.copy();
  let missingSlots = spec.tasks;
  for (const machine of machines) {
    if (missingSlots <= 0) break;
    const slots = occupancy.reserveIn(machine.zone, slotsOnEmptyMachine(spec, machine));
    if (slots === 0) continue;
    missingSlots -= slots;
    if (machine.reservation === null || machine.reservation.job !== job) {
      machine.reservation = { job, until, held: true };
    }
  }
  return missingSlots;
}
