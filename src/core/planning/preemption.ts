/** Finds the running tasks that may be preempted for a job at the lowest cost. */

import type { Placement } from "../dispatch/placement.js";
import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import { mayBlockGpuJobs } from "./candidates.js";
import type { GpuReservation, PlanningContext } from "./context.js";
import { imagePullS, machinesThatFit } from "./eligibility.js";
import { waitedShareOfStartBound } from "./urgency.js";

/** Share of `START_LATENCY_BOUND_S` that a job without GPUs must have waited before it preempts GPU jobs. */
const GPU_JOB_PROTECTION_BOUND_SHARE = 0.25;

/** Highest rank number (0 is the most urgent) at which a job beyond its team's guarantee may preempt. */
const MAX_RANK_BEYOND_GUARANTEE = 1;

/** Minimum number of CPUs counted per task in the cost of a preemption, so that no task costs nothing. */
const MIN_COUNTED_CPUS = 0.1;

/** The tasks to stop on a machine so that one task of a job fits there. */
export interface PreemptionChoice {
  readonly machine: Machine;
  readonly victims: readonly Placement[];
  /** Lost work, in CPU seconds, plus seconds of the image pull; lower is better. */
  readonly cost: number;
}

/** Amounts of resources on a machine. */
interface ResourceAmounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * Finds the cheapest set of tasks to stop so that one task of the job fits on a machine. `zones`: the zones of the
 * job's tasks, including tasks that are to run on machines being freed for it. Returns null if no set of tasks that
 * may be preempted would free enough.
 */
export function findPreemption(
  job: ActiveJob,
  zones: ZoneOccupancy,
  context: PlanningContext,
): PreemptionChoice | null {
  if (context.cluster.quotaSlots(job.spec) <= 0) return null;
  const avoidsBlockingGpuJobs = job.spec.kind === "service" && !mayBlockGpuJobs(job, context);
  let cheapest: PreemptionChoice | null = null;
  let lowestCost = Infinity;
  for (const machine of machinesThatFit(job.spec, context)) {
    if (!mayFreeCapacityOn(machine, job, zones, context)) continue;
    if (avoidsBlockingGpuJobs && serviceTaskBlocksGpuJobs(job, machine, context.gpuReservation))
      continue;
    const choice = cheapestPreemptionOn(machine, job, context, lowestCost);
    if (choice === null) continue;
    cheapest = choice;
    lowestCost = choice.cost;
  }
  return cheapest;
}

/**
 * Whether the machine and its zone permit preempting tasks there for the job. `mayPreempt` then checks each task.
 */
function mayFreeCapacityOn(
  machine: Machine,
  job: ActiveJob,
  zones: ZoneOccupancy,
  context: PlanningContext,
): boolean {
  if (machine.weakestPrecedence <= job.precedence) return false;
  // A reserved machine is either reserved for another job or already being freed for this one. In the latter case the
  // caller has already counted it. A machine that this job awaits has no task that may be preempted for it.
  if (machine.reservation !== null || zones.capacityIn(machine.zone) === 0) return false;
  // If `reservedZone` is the empty string, the gang may use any zone.
  if (job.reservedZone && machine.zone !== job.reservedZone) return false;
  return isMachineAllowed(job.spec, machine) && !job.failures.avoids(machine.name, context.now);
}

/**
 * Whether one task of the service, alone on the machine, would leave room for fewer tasks of some GPU job. True for
 * every GPU machine while no GPU job is known.
 */
function serviceTaskBlocksGpuJobs(
  { spec }: ActiveJob,
  machine: Machine,
  reservation: GpuReservation,
): boolean {
  if (machine.type.gpus <= 0) return false;
  if (reservation.gpuJobSpecs.length === 0) return true;
  const { cpus, gpus, memoryGb } = machine.type;
  return reservation.gpuJobSpecs.some(
    (gpuJob) =>
      isMachineAllowed(gpuJob, machine) &&
      taskSlots(gpuJob, cpus - spec.cpus, gpus, memoryGb) < taskSlots(gpuJob, cpus, gpus, memoryGb),
  );
}

/** The cheapest tasks to stop on this machine so that one task of the job fits; null: no set below `costLimit`. */
function cheapestPreemptionOn(
  machine: Machine,
  job: ActiveJob,
  context: PlanningContext,
  costLimit: number,
): PreemptionChoice | null {
  const { now } = context;
  let cost = imagePullS(machine, job.spec);
  if (cost >= costLimit) return null;
  const capacity = capacityAfterPendingStops(machine);
  const preemptible = [...machine.placements.values()].filter((placement) =>
    mayPreempt(job, placement, context),
  );
  const maxCapacity = { ...capacity };
  for (const placement of preemptible) addResources(maxCapacity, placement.job.spec);
  if (!fitsTask(job.spec, maxCapacity)) return null;
  preemptible.sort(
    (a, b) => b.job.effectiveRank - a.job.effectiveRank || lostWork(a, now) - lostWork(b, now),
  );
  const victims: Placement[] = [];
  for (const placement of preemptible) {
    if (fitsTask(job.spec, capacity)) break;
    addResources(capacity, placement.job.spec);
    victims.push(placement);
    cost += lostWork(placement, now);
  }
  return cost < costLimit ? { machine, victims, cost } : null;
}

/** Whether the job may preempt tasks at all: it is urgent, or within its team's guarantee. */
export const isEntitledToPreempt = (job: ActiveJob, context: PlanningContext): boolean =>
  job.effectiveRank <= MAX_RANK_BEYOND_GUARANTEE || context.guaranteedJobs.has(job.spec.id);

/** Whether this placement may be preempted for the job. */
export function mayPreempt(
  job: ActiveJob,
  placement: Placement,
  context: PlanningContext,
): boolean {
  const victim = placement.job;
  if (placement.stop !== null || job.precedence >= victim.precedence) return false;
  // CPUs are available on other machines too, but GPUs are not. Without this rule, low-priority jobs within their
  // guarantee stopped GPU gangs to get two of their CPUs. One gang was stopped eighteen times in half a minute, and
  // its image was pulled again each time.
  const takesGpus = victim.spec.gpus > 0 && job.spec.gpus === 0;
  if (
    takesGpus &&
    job.precedence > 0 &&
    waitedShareOfStartBound(job, context) < GPU_JOB_PROTECTION_BOUND_SHARE
  ) {
    return false;
  }
  if (victim.effectiveRank > job.effectiveRank) return true;
  // A job within its team's guarantee may preempt tasks of other teams' jobs that are beyond their guarantee,
  // regardless of rank. A gang that can no longer start in time for the guarantee may not, unless it is starving:
  // without this restriction, tasks were preempted and placed again fifty times.
  if (!job.canStillMeetGuarantee && !job.isStarving) return false;
  const { guaranteedJobs } = context;
  return (
    guaranteedJobs.has(job.spec.id) &&
    !guaranteedJobs.has(victim.spec.id) &&
    victim.spec.team !== job.spec.team
  );
}

/**
 * Work lost if the placement is stopped now, in CPU seconds. For a gang, the work of all its tasks is lost. For a
 * running task of a job with checkpoints, only the time that it needs to checkpoint (`saveS`) counts. For a task that
 * is not running yet, the time since its placement counts.
 */
function lostWork(placement: Placement, now: number): number {
  const { cpus, saveS, checkpointS, kind, tasks } = placement.job.spec;
  const isRunning = placement.state === "running";
  const spentS = now - (isRunning ? placement.runningSince : placement.placedAt);
  const lostS = isRunning && checkpointS > 0 ? saveS : spentS;
  return (1 + lostS) * Math.max(cpus, MIN_COUNTED_CPUS) * (kind === "gang" ? tasks : 1);
}

/** Free capacity of the machine once the tasks that are being stopped have ended. */
function capacityAfterPendingStops(machine: Machine): ResourceAmounts {
  const { freeCpus, freeGpus, freeMemoryGb } = machine;
  const capacity = { cpus: freeCpus, gpus: freeGpus, memoryGb: freeMemoryGb };
  for (const { stop, job } of machine.placements.values()) {
    if (stop !== null) addResources(capacity, job.spec);
  }
  return capacity;
}

const fitsTask = (spec: JobSpec, { cpus, gpus, memoryGb }: ResourceAmounts): boolean =>
  taskSlots(spec, cpus, gpus, memoryGb) >= 1;

function addResources(sum: ResourceAmounts, { cpus, gpus, memoryGb }: JobSpec): void {
  sum.cpus += cpus;
  sum.gpus += gpus;
  sum.memoryGb += memoryGb;
}
