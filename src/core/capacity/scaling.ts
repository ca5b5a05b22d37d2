/** Plans how the pool of machines grows, for jobs that wait and ahead of need, and which machines are surplus. */
import type { Cluster } from "../cluster.js";
import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import { mayRelocate } from "../planning/zone-relocation.js";
import { isBootLate } from "./boot-timeouts.js";
import { cheapestOffer, offerKey, type ZonePredicate } from "./offers.js";
import type { ScalingContext } from "./scaling-context.js";

/** Limit of the protocol. */
const MAXIMUM_MACHINES_PER_REQUEST = 50;

/** A request for machines of one kind. */
export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
  /** For the log. */
  readonly why: string;
}

/** The resources of a class of jobs, as of the last job of the class, and how many of its tasks are placed. */
export interface JobShape {
  readonly spec: JobSpec;
  runningTasks: number;
}

/** Free capacity on booting machines: takes up to so many tasks of a job, and counts them in its zones. */
type BootingCapacity = (job: ActiveJob, zones: ZoneOccupancy, tasks: number) => number;

const anyZone: ZonePredicate = () => true;

/** How many machines there are in each zone. */
export function countMachinesByZone(cluster: Cluster): Map<string, number> {
  const machinesByZone = new Map<string, number>();
  for (const { zone } of cluster.machines.values()) {
    machinesByZone.set(zone, (machinesByZone.get(zone) ?? 0) + 1);
  }
  return machinesByZone;
}

/** How many machines boot late, by `offerKey`. */
export function countLateBootsByOffer(cluster: Cluster, now: number): Map<string, number> {
  const lateBootsByOffer = new Map<string, number>();
  for (const machine of cluster.machines.values()) {
    if (!isBootLate(machine, now)) continue;
    const key = offerKey(machine.type.name, machine.zone, machine.spot);
    lateBootsByOffer.set(key, (lateBootsByOffer.get(key) ?? 0) + 1);
  }
  return lateBootsByOffer;
}

/** Tasks of a job that fit the free capacity of machines that are up, or boot in time. */
export function freeSlots(cluster: Cluster, spec: JobSpec, now: number): number {
  let slots = 0;
  for (const machine of cluster.machines.values()) {
    if (!acceptsNewTasks(machine, now) || !isMachineAllowed(spec, machine)) continue;
    slots += taskSlots(spec, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb);
  }
  return slots;
}

/**
 * The next request, for jobs that wait or else for spare capacity. One at a time: the cloud takes few requests, and each
 * answer changes what is missing.
 */
export function planScaleOut(
  scaling: ScalingContext,
  waitingJobs: readonly ActiveJob[],
  shapes: Iterable<JobShape>,
): ScaleOutRequest | null {
  if (scaling.cluster.machines.size >= scaling.maxMachines) return null;
  return scaleOutForWaiting(scaling, waitingJobs) ?? scaleOutForSpare(scaling, shapes);
}

/** Machines, one at the most, that are idle although all classes have more than their spare capacity. */
export function findSurplusMachines(
  scaling: ScalingContext,
  shapes: readonly JobShape[],
  idleS: number,
): Machine[] {
  const { cluster, now } = scaling;
  const idle = [...cluster.machines.values()].filter(
    ({ state, placements, idleSince }) =>
      state === "up" && placements.size === 0 && now - idleSince >= idleS,
  );
  if (idle.length === 0) return [];
  const freeByShape = new Map(shapes.map((shape) => [shape, freeSlots(cluster, shape.spec, now)]));
  const isNeededFor = (machine: Machine, shape: JobShape): boolean => {
    if (!isMachineAllowed(shape.spec, machine)) return false;
    const { cpus, gpus, memoryGb } = machine.type;
    const slotsHere = taskSlots(shape.spec, cpus, gpus, memoryGb);
    const spare = spareTasks(shape, scaling);
    return slotsHere > 0 && freeByShape.get(shape)! - slotsHere < spare;
  };
  const surplus = idle.find((machine) => !shapes.some((shape) => isNeededFor(machine, shape)));
  return surplus === undefined ? [] : [surplus];
}

/**
 * The first job that lacks capacity decides which machines are requested; later ones that the same kind serves best are
 * added. (With one request for each job a minute passed until all was requested that the cloud offered.)
 */
function scaleOutForWaiting(
  scaling: ScalingContext,
  waitingJobs: readonly ActiveJob[],
): ScaleOutRequest | null {
  const { cluster, maxMachines } = scaling;
  const takeBootingCapacity = allocateBootingCapacity(cluster, scaling.now);
  let combined = null as ScaleOutRequest | null;
  for (const job of waitingJobs) {
    const request = scaleOutForJob(job, takeBootingCapacity, scaling);
    if (request === null) continue;
    if (combined === null) combined = request;
    else if (isSameKind(request, combined)) {
      const count = Math.min(MAXIMUM_MACHINES_PER_REQUEST, combined.count + request.count);
      combined = { ...combined, count };
    }
    if (combined.count >= MAXIMUM_MACHINES_PER_REQUEST) break;
  }
  if (combined === null) return null;
  return { ...combined, count: Math.min(combined.count, maxMachines - cluster.machines.size) };
}

function scaleOutForSpare(
  scaling: ScalingContext,
  shapes: Iterable<JobShape>,
): ScaleOutRequest | null {
  for (const shape of shapes) {
    const spare = spareTasks(shape, scaling);
    const free = freeSlots(scaling.cluster, shape.spec, scaling.now);
    if (free >= spare) continue;
    const why = `spare capacity for ${shape.spec.class}`;
    const request = scaleOutFor(shape.spec, spare - free, why, scaling, anyZone);
    if (request !== null) return request;
  }
  return null;
}

/** Capacity for a waiting job, where its other tasks allow it, less what booting machines will provide. */
function scaleOutForJob(
  job: ActiveJob,
  takeBootingCapacity: BootingCapacity,
  scaling: ScalingContext,
): ScaleOutRequest | null {
  const { spec } = job;
  const limit = spec.kind === "gang" ? spec.tasks : scaling.cluster.quotaSlots(spec);
  const needed = Math.min(job.pendingCount, limit);
  if (needed <= 0) return null;
  const zones = job.zones.copy();
  const missing = needed - takeBootingCapacity(job, zones, needed);
  if (missing <= 0) return null;
  const why = `${spec.id} waits for capacity`;
  const request = scaleOutFor(spec, missing, why, scaling, (zone) => zones.capacityIn(zone) > 0);
  if (request !== null || !mayRelocate(job, scaling.now)) return request;
  // Its zone offers nothing more: capacity for all of it in another.
  const isElsewhere = (zone: string): boolean => zone !== job.zones.mainZone;
  return scaleOutFor(spec, spec.tasks, why, scaling, isElsewhere);
}

function scaleOutFor(
  spec: JobSpec,
  missingTasks: number,
  why: string,
  scaling: ScalingContext,
  isZoneAllowed: ZonePredicate,
): ScaleOutRequest | null {
  const offer = cheapestOffer(spec, missingTasks, scaling, isZoneAllowed);
  if (offer === null) return null;
  const count = Math.min(
    Math.ceil(missingTasks / offer.tasksPerMachine),
    scaling.maxMachines - scaling.cluster.machines.size,
    MAXIMUM_MACHINES_PER_REQUEST,
  );
  if (count <= 0) return null;
  return { type: offer.type.name, zone: offer.zone, spot: offer.spot, count, why };
}

const isSameKind = (a: ScaleOutRequest, b: ScaleOutRequest): boolean =>
  a.type === b.type && a.zone === b.zone && a.spot === b.spot;

const spareTasks = (shape: JobShape, { spareRatio }: ScalingContext): number =>
  Math.max(1, Math.ceil(spareRatio * shape.runningTasks));

/** Unreachable, drained and late machines offer no capacity, though late ones may still come up. */
function acceptsNewTasks(machine: Machine, now: number): boolean {
  if (machine.drainReason !== null || machine.interruptionAt !== null) return false;
  if (machine.state === "booting") return !isBootLate(machine, now);
  return machine.state === "up" && machine.unreachableSince === null;
}

/**
 * Allocates the capacity of booting machines, to each job in turn and each part of it once. (A gang is placed as a whole
 * once all of it fits somewhere, so for a gang it counts in any zone.)
 */
function allocateBootingCapacity(cluster: Cluster, now: number): BootingCapacity {
  const freeByMachine = new Map<Machine, { cpus: number; gpus: number; memoryGb: number }>();
  for (const machine of cluster.machines.values()) {
    if (machine.state !== "booting" || isBootLate(machine, now)) continue;
    const { cpus, gpus, memoryGb } = machine.type;
    freeByMachine.set(machine, { cpus, gpus, memoryGb });
  }
  return ({ spec }, zones, tasks) => {
    const isAnyZoneAllowed = spec.kind === "gang" && !spec.spread;
    let allocated = 0;
    for (const [machine, free] of freeByMachine) {
      if (allocated >= tasks) break;
      if (!isMachineAllowed(spec, machine)) continue;
      const slots = taskSlots(spec, free.cpus, free.gpus, free.memoryGb);
      const fitting = Math.min(tasks - allocated, slots);
      const placed = isAnyZoneAllowed ? fitting : zones.reserveIn(machine.zone, fitting);
      if (placed <= 0) continue;
      allocated += placed;
      free.cpus -= placed * spec.cpus;
      free.gpus -= placed * spec.gpus;
      free.memoryGb -= placed * spec.memoryGb;
    }
    return allocated;
  };
}
