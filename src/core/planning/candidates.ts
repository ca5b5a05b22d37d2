/** Finds the machines with free capacity for a task of a job and orders them by cost. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots, type Machine, taskSlots } from "../machines/machine.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { GpuReservation, PlanningContext } from "./context.js";
import { imagePullS, isCapacityOpenTo } from "./eligibility.js";
import { blocksGpuJob } from "./gpu-reservation.js";

/** Cost of blocking a GPU job, as a multiple of the machine's boot time. It keeps GPUs usable for GPU jobs. */
const GPU_BLOCKING_COST_BOOTS = 2;

/**
 * Cost in seconds per service task on the machine. It spreads service tasks, so a machine failure ends fewer of them.
 */
const SERVICE_TASK_SPREAD_COST_S = 0.2;

/**
 * Cost in seconds of a machine with all CPUs free; other machines cost less, in proportion to their free CPUs. Tasks
 * other than service tasks are thereby packed onto fuller machines.
 */
const BIN_PACKING_COST_S = 0.5;

/**
 * Cost in seconds of a spot machine for a job without checkpoints, because an interruption loses all the work of its
 * task. For a job with checkpoints, the same amount is deducted from the machine's cost. Half of the jobs that ended
 * late had a task on a spot machine that was interrupted.
 */
const SPOT_COST_S = 1;

/** Heartbeat intervals of waiting after which a service is placed even where its tasks block GPU jobs. */
const GPU_BLOCKING_AFTER_HEARTBEAT_INTERVALS = 2;

/**
 * Share of `START_LATENCY_BOUND_S` after which a job without a task on any machine may use machines reserved for GPU
 * jobs. No job may be left waiting for 90 s beside a machine with room; the rest of that time is needed to find out
 * that a machine failed, and to pull the image.
 */
const RESERVATION_BOUND_SHARE = 1 / 4;

const NO_MACHINES: ReadonlySet<Machine> = new Set();

/** A machine with free capacity for tasks of a job. */
export interface Candidate {
  readonly machine: Machine;
  /** Number of tasks of the job that may be placed on it. */
  readonly freeSlots: number;
  /** Cost of placing a task there: the estimated seconds until it runs, plus penalties. Lower is better. */
  readonly costS: number;
}

/** Whether a service has waited so long that it may be placed on machines where its tasks block GPU jobs. */
export const mayBlockGpuJobs = (job: ActiveJob, context: PlanningContext): boolean =>
  job.waitingSince !== null &&
  context.now - job.waitingSince >
    GPU_BLOCKING_AFTER_HEARTBEAT_INTERVALS * context.settings.heartbeatIntervalS;

/**
 * Returns the machines with free capacity for the job, sorted by cost and then by name. Machines reserved for GPU jobs
 * are left out, unless the job has waited for so long that it would otherwise be left waiting beside them: the
 * reservation lasts as long as GPU jobs are known, and an array waited beside two empty machines without end. A gang
 * then gets all of them, as it uses no more than it needs, and any other job the one that is the least useful to GPU
 * jobs: when jobs got all of them, gangs within a guarantee started late.
 */
export function findCandidates(job: ActiveJob, context: PlanningContext): Candidate[] {
  const { reservedMachines } = context.gpuReservation;
  const candidates = findCandidatesBeside(reservedMachines, job, context);
  if (!isStalledPastReservation(job, context)) return candidates;
  if (job.spec.kind === "gang") return findCandidatesBeside(NO_MACHINES, job, context);
  if (candidates.length > 0) return candidates;
  const reserved = findCandidatesBeside(NO_MACHINES, job, context);
  return leastUsefulToGpuJobs(reserved, reservedMachines);
}

/** The candidate that comes last in the order of the reserved machines, as a list; empty if there is no candidate. */
function leastUsefulToGpuJobs(
  candidates: readonly Candidate[],
  reservedMachines: ReadonlySet<Machine>,
): Candidate[] {
  for (const machine of [...reservedMachines].reverse()) {
    const candidate = candidates.find((other) => other.machine === machine);
    if (candidate !== undefined) return [candidate];
  }
  return [];
}

const isStalledPastReservation = (job: ActiveJob, context: PlanningContext): boolean =>
  job.stalledSince !== null &&
  context.now - job.stalledSince > RESERVATION_BOUND_SHARE * START_LATENCY_BOUND_S;

/** As `findCandidates`, with the capacity that these reserved machines have beside a GPU job. */
function findCandidatesBeside(
  reservedMachines: ReadonlySet<Machine>,
  job: ActiveJob,
  context: PlanningContext,
): Candidate[] {
  const { spec } = job;
  const { gpuReservation } = context;
  const candidates: Candidate[] = [];
  for (const machine of context.snapshot.withFreeCapacity) {
    const freeSlots = freeTaskSlots(spec, machine);
    if (freeSlots === 0 || !isCapacityOpenTo(machine, job)) continue;
    if (!isMachineAllowed(spec, machine) || job.zones.capacityIn(machine.zone) === 0) continue;
    if (job.failures.avoids(machine.name, context.now)) continue;
    if (mustAvoidBlockingGpuJobs(job, machine, context)) continue;
    const slots = reservedMachines.has(machine)
      ? Math.min(freeSlots, slotsBesideGpuJobs(spec, machine, gpuReservation))
      : freeSlots;
    if (slots <= 0) continue;
    const costS = placementCostS(machine, spec, gpuReservation);
    candidates.push({ machine, freeSlots: slots, costS });
  }
  return candidates.sort((a, b) => a.costS - b.costS || (a.machine.name < b.machine.name ? -1 : 1));
}

/**
 * Whether the job is a service that must not be placed on this machine yet, because its tasks would block GPU jobs
 * there. Service tasks run for a long time, so a service first waits for free capacity elsewhere (`mayBlockGpuJobs`).
 */
function mustAvoidBlockingGpuJobs(
  job: ActiveJob,
  machine: Machine,
  context: PlanningContext,
): boolean {
  return (
    job.spec.kind === "service" &&
    !mayBlockGpuJobs(job, context) &&
    blocksGpuJob(machine, job.spec, context.gpuReservation)
  );
}

/**
 * Number of tasks that may be placed on a reserved machine beside one task of any GPU job that fits there now. Infinite
 * for production jobs and GPU jobs.
 */
function slotsBesideGpuJobs(spec: JobSpec, machine: Machine, reservation: GpuReservation): number {
  let slots = Infinity;
  if (spec.gpus > 0 || spec.priority === "production") return slots;
  for (const gpuJob of reservation.gpuJobSpecs) {
    if (freeTaskSlots(gpuJob, machine) < 1) continue;
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
      if (job.spec.kind === "service") costS += SERVICE_TASK_SPREAD_COST_S;
    }
    return costS;
  }
  costS += BIN_PACKING_COST_S * (machine.freeCpus / Math.max(machine.type.cpus, 1));
  if (machine.spot) costS += spec.checkpointS > 0 ? -SPOT_COST_S : SPOT_COST_S;
  return costS;
}
