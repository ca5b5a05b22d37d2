/** Reserves free capacity for gangs of several tasks until all tasks of the gang fit. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots, type Machine, taskSlots } from "../machines/machine.js";
import type { PlanningContext } from "./context.js";
import { imagePullS, isCapacityOpenTo, machinesThatFit } from "./eligibility.js";
import { mayPreempt } from "./preemption.js";

/** Bonus for the zone reserved in the last cycle, as a share of the gang's tasks, so that the zone rarely changes. */
const RESERVED_ZONE_BONUS = 1 / 4;

/** Key for all zones together, used for gangs that need not be in one zone. */
const ANY_ZONE = "";

/** Capacity for tasks of a gang in one zone, or in all zones if the gang need not be in one. */
interface ZoneCapacity {
  freeSlots: number;
  /** Slots that the zone's machines can have: those that are free, and those that other tasks will leave. */
  totalSlots: number;
  /** Slots on machines that are being freed for the gang by preemption. */
  preemptedSlots: number;
  /** Machines that have free slots or are being freed for the gang. */
  readonly machines: Machine[];
}

/**
 * Reserves free capacity of one zone, until the next cycle, for a gang that could not be placed. Without a
 * reservation, smaller jobs take each machine as it becomes free, and a large gang never finds enough of them free at
 * the same time. Jobs later in the queue get the remaining capacity. The reservation ends with the next cycle, so it
 * does not block a gang that is ahead in the queue by then. Only one gang at a time reserves in a zone: with two
 * reservations, a third of the zone's capacity stayed idle. `reservedZones`: the zones that were reserved in this
 * cycle for other gangs, which still lack capacity there. This gang's zone is added if the gang still lacks capacity
 * there.
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

/**
 * Capacity for the gang by zone, except in the zones reserved for other gangs. If the gang need not be in one zone,
 * the capacity of all zones together is returned under `ANY_ZONE`.
 */
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
    const totalSlots = attainableSlots(job, machine, context);
    const freeSlots = freeTaskSlots(spec, machine);
    const isBeingFreed = machine.reservation?.job === job;
    capacity.totalSlots += spec.spread ? occupancy.reserveIn(machine.zone, totalSlots) : totalSlots;
    capacity.freeSlots += freeSlots;
    if (isBeingFreed) capacity.preemptedSlots += totalSlots;
    if (freeSlots > 0 || isBeingFreed) capacity.machines.push(machine);
  }
  return capacities;
}

/**
 * Number of the gang's tasks that fit on the machine once all other tasks there have ended, except service tasks that
 * may not be preempted for the gang: these have no end. Capacity was held without end for a gang that waited for a
 * machine with such a task, and an array was left waiting beside the held machines.
 */
function attainableSlots(job: ActiveJob, machine: Machine, context: PlanningContext): number {
  let { cpus, gpus, memoryGb } = machine.type;
  for (const placement of context.snapshot.serviceTasks.get(machine) ?? []) {
    if (mayPreempt(job, placement, context)) continue;
    const { spec } = placement.job;
    cpus -= spec.cpus;
    gpus -= spec.gpus;
    memoryGb -= spec.memoryGb;
  }
  return taskSlots(job.spec, cpus, gpus, memoryGb);
}

const emptyCapacity = (): ZoneCapacity => ({
  freeSlots: 0,
  totalSlots: 0,
  preemptedSlots: 0,
  machines: [],
});

/**
 * Chooses, of the zones that can take the whole gang, the one with the most free and preempted slots. The previous
 * zone is kept unless another zone exceeds it by more than `RESERVED_ZONE_BONUS` of the gang's tasks.
 */
function chooseZone(
  capacities: ReadonlyMap<string, ZoneCapacity>,
  tasks: number,
  previousZone: string | null,
): string | null {
  let bestZone: string | null = null;
  let bestScore = -1;
  for (const [zone, { freeSlots, totalSlots, preemptedSlots }] of capacities) {
    if (totalSlots < tasks) continue;
    const bonus = zone === previousZone ? RESERVED_ZONE_BONUS * tasks : 0;
    const score = freeSlots + preemptedSlots + bonus;
    if (score > bestScore) {
      bestScore = score;
      bestZone = zone;
    }
  }
  return bestZone;
}

/**
 * Reserves as many machines as the gang needs, those with the shortest image pull first. Returns the number of slots
 * that are still missing.
 */
function reserveMachines(job: ActiveJob, machines: Machine[], context: PlanningContext): number {
  const { spec } = job;
  const until = context.now + context.settings.heartbeatIntervalS;
  machines.sort((a, b) => imagePullS(a, spec) - imagePullS(b, spec) || (a.name < b.name ? -1 : 1));
  const occupancy = job.zones.copy();
  let missingSlots = spec.tasks;
  for (const machine of machines) {
    if (missingSlots <= 0) break;
    const slots = occupancy.reserveIn(machine.zone, attainableSlots(job, machine, context));
    if (slots === 0) continue;
    missingSlots -= slots;
    if (machine.reservation === null || machine.reservation.job !== job) {
      machine.reservation = { job, until, held: true };
    }
  }
  return missingSlots;
}
