/** Machines with free capacity for a task of a job, the best first. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { GpuReservation, PlanningContext } from "./context.js";
import { freeSlotsOn, imagePullS, isCapacityOpenTo } from "./eligibility.js";
import { blocksGpuJob } from "./gpu-reservation.js";

/** Boot times that it costs to block a GPU job: GPUs should stay usable. */
const GPU_BLOCKING_COST_BOOTS = 2;

/** Cost in seconds of each service replica on the machine: replicas are spread, so that a lost machine ends few. */
const REPLICA_SPREAD_COST_S = 0.2;

/** Cost in seconds of a machine with all CPUs free: other tasks are bin packed, and leave these to replicas. */
const BIN_PACKING_COST_S = 0.5;

/**
 * Cost in seconds of a spot machine for a job without checkpoints, which loses all its work to an interruption, and
 * gain for one with checkpoints. (Of the jobs that ended late, half had a task on a machine that was interrupted.)
 */
const SPOT_COST_S = 1;

/** Heartbeat intervals after which a waiting job accepts any machine. */
const PICKY_HEARTBEAT_INTERVALS = 2;

/** A machine that takes tasks of a job now. */
export interface Candidate {
  readonly machine: Machine;
  /** How many tasks of the job fit. */
  readonly freeSlots: number;
  /** Cost of placing a task there: about the seconds until it runs, with penalties; lower is better. */
  readonly costS: number;
}

/** Has the job waited so long that any machine will do? */
export const acceptsAnyMachine = (job: ActiveJob, context: PlanningContext): boolean =>
  job.waitingSince !== null &&
  context.now - job.waitingSince > PICKY_HEARTBEAT_INTERVALS * context.settings.heartbeatIntervalS;

/** The machines with free capacity for the job, sorted by cost and then by name. */
export function findCandidates(job: ActiveJob, context: PlanningContext): Candidate[] {
  const { spec } = job;
  const { gpuReservation } = context;
  const candidates: Candidate[] = [];
  for (const machine of context.snapshot.withFreeCapacity) {
    const freeSlots = freeSlotsOn(spec, machine);
    if (freeSlots === 0 || !isCapacityOpenTo(machine, job)) continue;
    if (!isMachineAllowed(spec, machine) || job.zones.capacityIn(machine.zone) === 0) continue;
    if (job.failures.avoids(machine.name, context.now)) continue;
    if (isReplicaTooEarlyForGpus(job, machine, context)) continue;
    const slots = Math.min(freeSlots, slotsBesideGpuJobs(spec, machine, gpuReservation));
    if (slots <= 0) continue;
    const costS = placementCostS(machine, spec, gpuReservation);
    candidates.push({ machine, freeSlots: slots, costS });
  }
  return candidates.sort((a, b) => a.costS - b.costS || (a.machine.name < b.machine.name ? -1 : 1));
}

/** A replica stays for long: it blocks a GPU job only after there was time to free capacity elsewhere. */
function isReplicaTooEarlyForGpus(
  job: ActiveJob,
  machine: Machine,
  context: PlanningContext,
): boolean {
  return (
    job.spec.kind === "service" &&
    !acceptsAnyMachine(job, context) &&
    blocksGpuJob(machine, job.spec, context.gpuReservation)
  );
}

/** How many tasks fit beside one GPU job of any shape, where the machine is reserved for GPU jobs; else unlimited. */
function slotsBesideGpuJobs(spec: JobSpec, machine: Machine, reservation: GpuReservation): number {
  let slots = Infinity;
  if (spec.gpus > 0 || spec.priority === "production") return slots;
  if (!reservation.reservedMachines.has(machine)) return slots;
  for (const gpuJob of reservation.gpuJobSpecs) {
    if (freeSlotsOn(gpuJob, machine) < 1) continue;
    const cpusBeside = machine.freeCpus - gpuJob.cpus;
    const memoryGbBeside = machine.freeMemoryGb - gpuJob.memoryGb;
    slots = Math.min(slots, taskSlots(spec, cpusBeside, Infinity, memoryGbBeside));
  }
  return slots;
}

function placementCostS(machine: Machine, spec: JobSpec, reservation: GpuReservation): number {
  let costS = imagePullS(machine, spec);
  if (blocksGpuJob(machine, spec, reservation)) {
    costS += machine.type.bootS * GPU_BLOCKING_COST_BOOTS;
  }
  if (spec.kind === "service") {
    for (const { job } of machine.placements.values()) {
      if (job.spec.kind === "service") costS += REPLICA_SPREAD_COST_S;
    }
    return costS;
  }
  costS += BIN_PACKING_COST_S * (machine.freeCpus / Math.max(machine.type.cpus, 1));
  if (machine.spot) costS += spec.checkpointS > 0 ? -SPOT_COST_S : SPOT_COST_S;
  return costS;
}
