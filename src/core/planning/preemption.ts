/** Which running tasks may be stopped to make room for a job, and which of them cost least. */
import { type LiveJob, type Machine, type Placement, slots } from "../cluster.js";
import { takesAnyPlace } from "./candidates.js";
import type { PlanContext } from "./context.js";
import { boundZone, imageWaitS, machinesThatFit, spreadRoom, typeAllowed } from "./eligibility.js";
import type { GpuReserve } from "./gpu-reserve.js";
import { waitedShare } from "./urgency.js";

/**
 * How strongly a job holds its place, the strongest first: production, then what is within its
 * team's guarantee, then the rest, each by priority. Only the stronger preempts, so two jobs can
 * never stop each other in turn.
 */
export function precedenceOf(job: LiveJob, within: ReadonlySet<string>): number {
  if (job.spec.priority === "production") return 0;
  return (within.has(job.spec.id) ? 10 : 20) + job.rank;
}

/** May this placement be stopped to make room for the job? */
function mayPreempt(
  job: LiveJob,
  p: Placement,
  ctx: PlanContext,
  within: ReadonlySet<string>,
): boolean {
  if (p.stop !== null) return false;
  if (job.precedence >= p.job.precedence) return false;
  // CPUs are to be had elsewhere, GPUs are not. (Low work within its guarantee stopped gangs for two
  // of their CPUs, one of them eighteen times in half a minute, each time with its image fetched anew.)
  const takesGpus = p.job.spec.gpus > 0 && job.spec.gpus === 0;
  if (takesGpus && job.precedence > 0 && waitedShare(job, ctx) < 0.25) return false;
  if (p.job.rank > job.rank) return true;
  // To give a team its guarantee, what another team runs beyond its own may be stopped; but a gang that
  // waits in line stops none that went before it. (Each was placed again and stopped again, fifty times.)
  if (!job.inTime && !job.starving) return false;
  return within.has(job.spec.id) && !within.has(p.job.spec.id) && p.job.spec.team !== job.spec.team;
}

/**
 * Work lost if the placement is stopped now, in task seconds times CPUs: of a gang, by all its tasks;
 * of one that fetches its image, the fetch.
 */
function lossOf(p: Placement, now: number): number {
  const { cpus, saveS, checkpointS, kind, tasks } = p.job.spec;
  const running = p.state === "running";
  const spent = now - (running ? p.runningSince : p.placedAt);
  const lost = running && checkpointS > 0 ? saveS : spent;
  return (1 + lost) * Math.max(cpus, 0.1) * (kind === "gang" ? tasks : 1);
}

/** The cheapest set of tasks whose end lets one task of the job in, and where. */
export function makeRoom(
  job: LiveJob,
  ctx: PlanContext,
  within: ReadonlySet<string>,
  reserve: GpuReserve,
): { machine: Machine; victims: Placement[] } | null {
  if (ctx.cluster.quotaSlots(job.spec) <= 0) return null;
  const room = spreadRoom(job);
  const zone = boundZone(job) ?? (job.heldZone || null);
  let best: { machine: Machine; victims: Placement[] } | null = null;
  let bestCost = Infinity;
  for (const m of machinesThatFit(job.spec, ctx)) {
    if (m.weakest <= job.precedence) continue;
    // Room is being made or held there already; the caller has counted it.
    if (m.reservedFor !== null || room(m.zone) <= 0) continue;
    if (zone !== null && m.zone !== zone) continue;
    if (!typeAllowed(job.spec, m.type.name, m.zone, m.spot)) continue;
    if (job.avoids(m.name, ctx.now)) continue;
    let cpus = m.freeCpus;
    let gpus = m.freeGpus;
    let memory = m.freeMemory;
    // What is being stopped already will be free without stopping more.
    for (const p of m.placements.values()) {
      if (p.stop === null) continue;
      cpus += p.job.spec.cpus;
      gpus += p.job.spec.gpus;
      memory += p.job.spec.memoryGb;
    }
    const victims: Placement[] = [];
    if (job.spec.kind === "service" && !takesAnyPlace(job, ctx)) {
      // With all that may be stopped gone, would a replica here keep a GPU job out?
      const empty =
        reserve.specs.length === 0 ||
        reserve.specs.some(
          (g) =>
            typeAllowed(g, m.type.name, m.zone, m.spot) &&
            slots(g, m.type.cpus - job.spec.cpus, m.type.gpus, m.type.memoryGb) <
              slots(g, m.type.cpus, m.type.gpus, m.type.memoryGb),
        );
      if (empty && m.type.gpus > 0) continue;
    }
    let cost = imageWaitS(m, job.spec);
    if (cost >= bestCost) continue;
    const stoppable = [...m.placements.values()].filter((p) => mayPreempt(job, p, ctx, within));
    let most = cpus;
    let mostGpus = gpus;
    let mostMemory = memory;
    for (const p of stoppable) {
      most += p.job.spec.cpus;
      mostGpus += p.job.spec.gpus;
      mostMemory += p.job.spec.memoryGb;
    }
    if (slots(job.spec, most, mostGpus, mostMemory) < 1) continue;
    const order = stoppable.sort(
      (a, b) => b.job.rank - a.job.rank || lossOf(a, ctx.now) - lossOf(b, ctx.now),
    );
    for (const p of order) {
      if (slots(job.spec, cpus, gpus, memory) >= 1) break;
      cpus += p.job.spec.cpus;
      gpus += p.job.spec.gpus;
      memory += p.job.spec.memoryGb;
      victims.push(p);
      cost += lossOf(p, ctx.now);
    }
    if (slots(job.spec, cpus, gpus, memory) < 1) continue;
    if (cost < bestCost) {
      best = { machine: m, victims };
      bestCost = cost;
    }
  }
  return best;
}
