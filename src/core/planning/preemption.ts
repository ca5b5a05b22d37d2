/** Which running tasks may be preempted for a job, and which of them cost least. */

import type { Placement } from "../dispatch/placement.js";
import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import { acceptsAnyMachine } from "./candidates.js";
import type { GpuReservation, PlanningContext } from "./context.js";
import { imagePullS, machinesThatFit } from "./eligibility.js";
import { waitedShareOfStartBound } from "./urgency.js";

/** Share of the users' bound on starting for which a job without GPUs preempts no job that uses GPUs. */
const SPARES_GPU_JOBS_BOUND_SHARE = 0.25;

/** CPUs at which a smaller task counts in the cost of a preemption: its loss must not count as nothing. */
const MIN_COUNTED_CPUS = 0.1;

/** Tasks to stop on a machine so that one task of a job fits there. */
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
 * The cheapest set of tasks to stop so that one task of the job fits on a machine. `zones`: the zones of its tasks,
 * including those that are to run on machines being freed for it. Null: no preemption is allowed or helps.
 */
export function findPreemption(
  job: ActiveJob,
  zones: ZoneOccupancy,
  context: PlanningContext,
): PreemptionChoice | null {
  if (context.cluster.quotaSlots(job.spec) <= 0) return null;
  const sparesGpus = job.spec.kind === "service" && !acceptsAnyMachine(job, context);
  let cheapest: PreemptionChoice | null = null;
  let lowestCost = Infinity;
  for (const machine of machinesThatFit(job.spec, context)) {
    if (!mayFree(machine, job, zones, context)) continue;
    if (sparesGpus && replicaBlocksGpuJobs(job, machine, context.gpuReservation)) continue;
    const choice = cheapestPreemptionOn(machine, job, context, lowestCost);
    if (choice === null) continue;
    cheapest = choice;
    lowestCost = choice.cost;
  }
  return cheapest;
}

/** May capacity be freed on the machine for the job, by all but the tasks that run there? */
function mayFree(
  machine: Machine,
  job: ActiveJob,
  zones: ZoneOccupancy,
  context: PlanningContext,
): boolean {
  if (machine.weakestPrecedence <= job.precedence) return false;
  // Reserved: either for another job, or being freed for this one, which the caller has counted.
  if (machine.reservation !== null || zones.capacityIn(machine.zone) === 0) return false;
  // (An empty string stands for any zone.)
  if (job.reservedZone && machine.zone !== job.reservedZone) return false;
  return isMachineAllowed(job.spec, machine) && !job.failures.avoids(machine.name, context.now);
}

/** Would a replica on the machine keep a GPU job out even after preemption of all other tasks? */
function replicaBlocksGpuJobs(
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

/** The cheapest tasks to stop on this machine so that one task of the job fits; null: none below `costLimit`. */
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

/** May this placement be preempted for the job? */
function mayPreempt(job: ActiveJob, placement: Placement, context: PlanningContext): boolean {
  const victim = placement.job;
  if (placement.stop !== null || job.precedence >= victim.precedence) return false;
  // CPUs can be found elsewhere, GPUs cannot. (Low work within its guarantee stopped gangs for two of their CPUs, one
  // of them eighteen times in half a minute, each time with its image pulled anew.)
  const takesGpus = victim.spec.gpus > 0 && job.spec.gpus === 0;
  if (
    takesGpus &&
    job.precedence > 0 &&
    waitedShareOfStartBound(job, context) < SPARES_GPU_JOBS_BOUND_SHARE
  ) {
    return false;
  }
  if (victim.effectiveRank > job.effectiveRank) return true;
  // For a team's guarantee, tasks of another team beyond its own guarantee may be preempted; but a late gang preempts
  // none that was placed before it. (Each was placed again and stopped again, fifty times.)
  if (!job.guaranteeStillReachable && !job.isStarving) return false;
  const { guaranteedJobs } = context;
  return (
    guaranteedJobs.has(job.spec.id) &&
    !guaranteedJobs.has(victim.spec.id) &&
    victim.spec.team !== job.spec.team
  );
}

/**
 * Work lost if the placement is stopped now, in task seconds times CPUs: for a gang, of all its tasks; for a task that
 * is not running yet, the time since its placement.
 */
function lostWork(placement: Placement, now: number): number {
  const { cpus, saveS, checkpointS, kind, tasks } = placement.job.spec;
  const isRunning = placement.state === "running";
  const spentS = now - (isRunning ? placement.runningSince : placement.placedAt);
  const lostS = isRunning && checkpointS > 0 ? saveS : spentS;
  return (1 + lostS) * Math.max(cpus, MIN_COUNTED_CPUS) * (kind === "gang" ? tasks : 1);
}

/** What is free on a machine now, or will be once the tasks that are being stopped have ended. */
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
