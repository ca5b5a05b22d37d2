/** Which running tasks may be stopped to make room for a job, and which of them cost least. */

import type { Placement } from "../dispatch/placement.js";
import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import { acceptsAnyMachine } from "./candidates.js";
import type { PlanningContext } from "./context.js";
import { imagePullS, machinesThatFit } from "./eligibility.js";
import type { GpuReservation } from "./gpu-reservation.js";
import { waitedShareOfStartBound } from "./urgency.js";

/** May this placement be stopped to make room for the job? */
function mayPreempt(
  job: ActiveJob,
  p: Placement,
  ctx: PlanningContext,
  within: ReadonlySet<string>,
): boolean {
  if (p.stop !== null) return false;
  if (job.precedence >= p.job.precedence) return false;
  // CPUs are to be had elsewhere, GPUs are not. (Low work within its guarantee stopped gangs for two
  // of their CPUs, one of them eighteen times in half a minute, each time with its image fetched anew.)
  const takesGpus = p.job.spec.gpus > 0 && job.spec.gpus === 0;
  if (takesGpus && job.precedence > 0 && waitedShareOfStartBound(job, ctx) < 0.25) return false;
  if (p.job.effectiveRank > job.effectiveRank) return true;
  // To give a team its guarantee, what another team runs beyond its own may be stopped; but a gang that
  // waits in line stops none that went before it. (Each was placed again and stopped again, fifty times.)
  if (!job.guaranteeStillReachable && !job.isStarving) return false;
  return within.has(job.spec.id) && !within.has(p.job.spec.id) && p.job.spec.team !== job.spec.team;
}

/**
 * Work lost if the placement is stopped now, in task seconds times CPUs: of a gang, by all its tasks;
 * of one that fetches its image, the fetch.
 */
function lostWork(p: Placement, now: number): number {
  const { cpus, saveS, checkpointS, kind, tasks } = p.job.spec;
  const running = p.state === "running";
  const spent = now - (running ? p.runningSince : p.placedAt);
  const lost = running && checkpointS > 0 ? saveS : spent;
  return (1 + lost) * Math.max(cpus, 0.1) * (kind === "gang" ? tasks : 1);
}

/** Amounts of a machine. */
interface ResourceAmounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

const fitsTask = (spec: JobSpec, a: ResourceAmounts): boolean =>
  taskSlots(spec, a.cpus, a.gpus, a.memoryGb) >= 1;

function addResources(a: ResourceAmounts, { cpus, gpus, memoryGb }: JobSpec): void {
  a.cpus += cpus;
  a.gpus += gpus;
  a.memoryGb += memoryGb;
}

/** What is free on a machine, or will be without stopping more. */
function capacityAfterPendingStops(m: Machine): ResourceAmounts {
  const free = { cpus: m.freeCpus, gpus: m.freeGpus, memoryGb: m.freeMemoryGb };
  for (const p of m.placements.values()) if (p.stop !== null) addResources(free, p.job.spec);
  return free;
}

/** With all that may be stopped gone, would a replica there keep a GPU job out? */
function replicaBlocksGpuJobs(job: ActiveJob, m: Machine, reserve: GpuReservation): boolean {
  if (m.type.gpus <= 0) return false;
  if (reserve.gpuJobSpecs.length === 0) return true;
  const { cpus, gpus, memoryGb } = m.type;
  return reserve.gpuJobSpecs.some(
    (g) =>
      isMachineAllowed(g, m) &&
      taskSlots(g, cpus - job.spec.cpus, gpus, memoryGb) < taskSlots(g, cpus, gpus, memoryGb),
  );
}

/** Room on a machine for one task of a job, by stopping these; the cost is in lost work and image time. */
interface PreemptionChoice {
  readonly machine: Machine;
  readonly victims: Placement[];
  readonly cost: number;
}

/** The cheapest tasks to stop on this machine so that one task of the job fits; null: none, or too dear. */
function cheapestPreemptionOn(
  m: Machine,
  job: ActiveJob,
  ctx: PlanningContext,
  within: ReadonlySet<string>,
  below: number,
): PreemptionChoice | null {
  let cost = imagePullS(m, job.spec);
  if (cost >= below) return null;
  const free = capacityAfterPendingStops(m);
  const stoppable = [...m.placements.values()].filter((p) => mayPreempt(job, p, ctx, within));
  const most = { ...free };
  for (const p of stoppable) addResources(most, p.job.spec);
  if (!fitsTask(job.spec, most)) return null;
  stoppable.sort(
    (a, b) =>
      b.job.effectiveRank - a.job.effectiveRank || lostWork(a, ctx.now) - lostWork(b, ctx.now),
  );
  const victims: Placement[] = [];
  for (const p of stoppable) {
    if (fitsTask(job.spec, free)) break;
    addResources(free, p.job.spec);
    victims.push(p);
    cost += lostWork(p, ctx.now);
  }
  return cost < below ? { machine: m, victims, cost } : null;
}

/**
 * The cheapest set of tasks whose end lets one task of the job in, and where. `zones`: where its tasks are, and will
 * be on machines where room is being made for it.
 */
export function findPreemption(
  job: ActiveJob,
  zones: ZoneOccupancy,
  ctx: PlanningContext,
  within: ReadonlySet<string>,
  reserve: GpuReservation,
): PreemptionChoice | null {
  if (ctx.cluster.quotaSlots(job.spec) <= 0) return null;
  const zone = job.reservedZone || null;
  const sparesGpus = job.spec.kind === "service" && !acceptsAnyMachine(job, ctx);
  let best: PreemptionChoice | null = null;
  let bestCost = Infinity;
  for (const m of machinesThatFit(job.spec, ctx)) {
    if (m.weakestPrecedence <= job.precedence) continue;
    // Room is being made or held there already; the caller has counted it.
    if (m.reservation !== null || zones.capacityIn(m.zone) === 0) continue;
    if (zone !== null && m.zone !== zone) continue;
    if (!isMachineAllowed(job.spec, m)) continue;
    if (job.failures.avoids(m.name, ctx.now)) continue;
    if (sparesGpus && replicaBlocksGpuJobs(job, m, reserve)) continue;
    const cheaper: PreemptionChoice | null = cheapestPreemptionOn(m, job, ctx, within, bestCost);
    if (cheaper === null) continue;
    best = cheaper;
    bestCost = cheaper.cost;
  }
  return best;
}
