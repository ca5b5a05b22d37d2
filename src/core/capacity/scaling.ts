/** Plans scale-out, for waiting jobs and for spare capacity, and finds surplus machines to release. */
import type { Cluster } from "../cluster.js";
import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots, type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import { mayRelocate } from "../planning/zone-relocation.js";
import { isBootLate } from "./boot-timeouts.js";
import { cheapestOffer, offerKey, type ZonePredicate } from "./offers.js";
import type { ScalingContext } from "./scaling-context.js";

/** Maximum number of machines in one scale-out request, as limited by the cloud protocol. */
const MAX_MACHINES_PER_REQUEST = 50;

/** A request for machines of one type in one zone; either all of them are spot machines or none is. */
export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
  /** Reason, for the log. */
  readonly why: string;
}

/** A class of jobs, represented by the spec of its latest job, and the number of placed tasks of the class. */
export interface JobShape {
  readonly spec: JobSpec;
  placedTasks: number;
}

/**
 * Allocates capacity of booting machines to up to `tasks` tasks of the job and counts them in `zones`. Returns the
 * number of tasks that got capacity.
 */
type BootingCapacityAllocator = (job: ActiveJob, zones: ZoneOccupancy, tasks: number) => number;

const anyZone: ZonePredicate = () => true;

/** Number of machines by zone. */
export function countMachinesByZone(cluster: Cluster): Map<string, number> {
  const machinesByZone = new Map<string, number>();
  for (const { zone } of cluster.machines.values()) {
    machinesByZone.set(zone, (machinesByZone.get(zone) ?? 0) + 1);
  }
  return machinesByZone;
}

/** Number of machines that are late in booting, by `offerKey`. */
export function countLateBootsByOffer(cluster: Cluster, now: number): Map<string, number> {
  const lateBootsByOffer = new Map<string, number>();
  for (const machine of cluster.machines.values()) {
    if (!isBootLate(machine, now)) continue;
    const key = offerKey(machine.type.name, machine.zone, machine.spot);
    lateBootsByOffer.set(key, (lateBootsByOffer.get(key) ?? 0) + 1);
  }
  return lateBootsByOffer;
}

/** Number of tasks of the job that fit the free capacity of all machines that count as capacity for new tasks. */
export function freeSlots(cluster: Cluster, spec: JobSpec, now: number): number {
  let slots = 0;
  for (const machine of cluster.machines.values()) {
    if (!countsAsCapacity(machine, now) || !isMachineAllowed(spec, machine)) continue;
    slots += freeTaskSlots(spec, machine);
  }
  return slots;
}

/**
 * Plans the next request to the cloud, for waiting jobs or otherwise for spare capacity. Requests are planned one at
 * a time, because the cloud accepts few, and each answer changes the capacity that is still missing.
 */
export function planScaleOut(
  scaling: ScalingContext,
  waitingJobs: readonly ActiveJob[],
  shapes: Iterable<JobShape>,
): ScaleOutRequest | null {
  if (scaling.cluster.machines.size >= scaling.maxMachines) return null;
  return scaleOutForWaiting(scaling, waitingJobs) ?? scaleOutForSpare(scaling, shapes);
}

/**
 * Finds a machine that has been idle for `idleS` seconds and whose release leaves every class of jobs its spare
 * capacity. Returns one machine at most.
 */
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
 * Plans one request for all waiting jobs that need the same offer. The first job that lacks capacity determines the
 * machine type, the zone and whether spot machines are requested. Later jobs for which the same offer is the cheapest
 * add their machines to the request. With a separate request for each job, it took a minute to request all the
 * capacity that the cloud offered.
 */
function scaleOutForWaiting(
  scaling: ScalingContext,
  waitingJobs: readonly ActiveJob[],
): ScaleOutRequest | null {
  const { cluster, maxMachines } = scaling;
  const allocateBootingCapacity = createBootingCapacityAllocator(cluster, scaling.now);
  let combined = null as ScaleOutRequest | null;
  for (const job of waitingJobs) {
    const request = scaleOutForJob(job, allocateBootingCapacity, scaling);
    if (request === null) continue;
    if (combined === null) combined = request;
    else if (isSameOffer(request, combined)) {
      const count = Math.min(MAX_MACHINES_PER_REQUEST, combined.count + request.count);
      combined = { ...combined, count };
    }
    if (combined.count >= MAX_MACHINES_PER_REQUEST) break;
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

/**
 * Plans machines for the tasks of a waiting job that do not fit on booting machines, in the zones that the placement
 * of its other tasks allows.
 */
function scaleOutForJob(
  job: ActiveJob,
  allocateBootingCapacity: BootingCapacityAllocator,
  scaling: ScalingContext,
): ScaleOutRequest | null {
  const { spec } = job;
  const limit = spec.kind === "gang" ? spec.tasks : scaling.cluster.quotaSlots(spec);
  const needed = Math.min(job.pendingCount, limit);
  if (needed <= 0) return null;
  const zones = job.zones.copy();
  const missing = needed - allocateBootingCapacity(job, zones, needed);
  if (missing <= 0) return null;
  const why = `${spec.id} waits for capacity`;
  const request = scaleOutFor(spec, missing, why, scaling, (zone) => zones.capacityIn(zone) > 0);
  if (request !== null || !mayRelocate(job, scaling.now)) return request;
  // The cloud offers nothing more in the job's zone, so capacity for the whole job is requested in another one.
  const isOtherZone = (zone: string): boolean => zone !== job.zones.mainZone;
  return scaleOutFor(spec, spec.tasks, why, scaling, isOtherZone);
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
    MAX_MACHINES_PER_REQUEST,
  );
  if (count <= 0) return null;
  return { type: offer.type.name, zone: offer.zone, spot: offer.spot, count, why };
}

const isSameOffer = (a: ScaleOutRequest, b: ScaleOutRequest): boolean =>
  a.type === b.type && a.zone === b.zone && a.spot === b.spot;

const spareTasks = (shape: JobShape, { spareRatio }: ScalingContext): number =>
  Math.max(1, Math.ceil(spareRatio * shape.placedTasks));

/**
 * Whether the machine counts as capacity for new tasks. A machine that is late in booting does not, because it may
 * never come up; nor does one that is drained, unreachable or about to be reclaimed.
 */
function countsAsCapacity(machine: Machine, now: number): boolean {
  if (machine.drainReason !== null || machine.interruptionAt !== null) return false;
  if (machine.state === "booting") return !isBootLate(machine, now);
  return machine.state === "up" && machine.unreachableSince === null;
}

/**
 * Creates an allocator for the capacity of booting machines. It is called for each job in turn, and allocates each
 * part of the capacity once. For a gang that is not spread over zones, machines in any zone count, because the gang
 * is placed as a whole wherever all its tasks fit.
 */
function createBootingCapacityAllocator(cluster: Cluster, now: number): BootingCapacityAllocator {
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
