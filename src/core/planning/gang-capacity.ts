/** Reserves free capacity for gangs of several tasks until all tasks of the gang fit. */

import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots, type Machine, taskSlots } from "../machines/machine.js";
import type { PlanningContext } from "./context.js";
import { imagePullS, isCapacityOpenTo, machinesThatFit } from "./eligibility.js";
import { isEntitledToPreempt, mayPreempt } from "./preemption.js";

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
  /** Machines that have no free slot, and will have one once the tasks there have ended. */
  readonly busyMachines: Machine[];
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
  const { machines, busyMachines } = capacities.get(zone)!;
  const gang = { job, occupancy: job.zones.copy(), missingSlots: job.spec.tasks };
  reserveMachines(gang, byImagePull(machines, job), "held", context);
  if (gang.missingSlots <= 0) return;
  reservedZones.add(zone);
  awaitMachines(gang, busyMachines, context);
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
    addMachine(capacity, job, machine, totalSlots);
    capacity.totalSlots += spec.spread ? occupancy.reserveIn(machine.zone, totalSlots) : totalSlots;
  }
  return capacities;
}

/** Adds a machine with this number of attainable slots, except the slots themselves, which depend on the zone. */
function addMachine(
  capacity: ZoneCapacity,
  job: ActiveJob,
  machine: Machine,
  totalSlots: number,
): void {
  const freeSlots = freeTaskSlots(job.spec, machine);
  const isBeingFreed = machine.reservation?.job === job;
  capacity.freeSlots += freeSlots;
  if (isBeingFreed) capacity.preemptedSlots += totalSlots;
  if (freeSlots > 0 || isBeingFreed) capacity.machines.push(machine);
  else if (totalSlots > 0) capacity.busyMachines.push(machine);
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
  busyMachines: [],
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
 * Also reserves machines on which nothing is free yet, if the gang cannot do without them and they become free bit by
 * bit only. Otherwise smaller jobs take each CPU that becomes free there, and the machines that are held for the gang
 * already are held without end. Not reserved are machines that preemption may free for the gang, and those on which a
 * whole slot becomes free at once: the latter are held as soon as it does.
 */
function awaitMachines(
  gang: ReservingGang,
  busyMachines: readonly Machine[],
  context: PlanningContext,
): void {
  const { job, occupancy } = gang;
  const fragmented: Machine[] = [];
  for (const machine of busyMachines) {
    if (isFreedInFragments(machine, job) && !mayBeFreedFor(job, machine, context)) {
      fragmented.push(machine);
      continue;
    }
    const slots = attainableSlots(job, machine, context);
    gang.missingSlots -= occupancy.reserveIn(machine.zone, slots);
  }
  reserveMachines(gang, byExpectedVacancy(fragmented), "awaited", context);
}

/** Whether each task on the machine that will end is too small to leave room for a task of the gang by itself. */
function isFreedInFragments({ placements }: Machine, gang: ActiveJob): boolean {
  for (const { job } of placements.values()) {
    const { kind, cpus, gpus, memoryGb } = job.spec;
    if (kind !== "service" && taskSlots(gang.spec, cpus, gpus, memoryGb) > 0) return false;
  }
  return true;
}

/** Whether preemption may free some of the machine for the gang. */
function mayBeFreedFor(
  gang: ActiveJob,
  { placements }: Machine,
  context: PlanningContext,
): boolean {
  if (!isEntitledToPreempt(gang, context)) return false;
  return [...placements.values()].some((placement) => mayPreempt(gang, placement, context));
}

/** The machines, those with the shortest image pull first. */
function byImagePull(machines: readonly Machine[], { spec }: ActiveJob): Machine[] {
  return [...machines].sort(
    (a, b) => imagePullS(a, spec) - imagePullS(b, spec) || compareNames(a, b),
  );
}

/** The machines, those first whose tasks should end the soonest. */
function byExpectedVacancy(machines: readonly Machine[]): Machine[] {
  const vacantAt = new Map(machines.map((machine) => [machine, expectedVacancy(machine)]));
  return [...machines].sort((a, b) => vacantAt.get(a)! - vacantAt.get(b)! || compareNames(a, b));
}

/** Time at which the tasks on the machine should have ended, by their owners' estimates; services are left out. */
function expectedVacancy({ placements }: Machine): number {
  let vacantAt = 0;
  for (const { placedAt, job } of placements.values()) {
    if (job.spec.kind !== "service") vacantAt = Math.max(vacantAt, placedAt + job.spec.estimateS);
  }
  return vacantAt;
}

const compareNames = (a: Machine, b: Machine): number => (a.name < b.name ? -1 : 1);

/** A gang for which machines are reserved, with the slots that are still missing. */
interface ReservingGang {
  readonly job: ActiveJob;
  readonly occupancy: ZoneOccupancy;
  missingSlots: number;
}

/** Reserves as many of these machines as the gang still needs, in their order. */
function reserveMachines(
  gang: ReservingGang,
  machines: readonly Machine[],
  kind: "held" | "awaited",
  context: PlanningContext,
): void {
  const { job, occupancy } = gang;
  const until = context.now + context.settings.heartbeatIntervalS;
  for (const machine of machines) {
    if (gang.missingSlots <= 0) return;
    const slots = occupancy.reserveIn(machine.zone, attainableSlots(job, machine, context));
    if (slots === 0) continue;
    gang.missingSlots -= slots;
    if (machine.reservation?.job !== job) machine.reservation = { job, until, kind };
  }
}
