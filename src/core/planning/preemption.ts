/** Which running tasks may be stopped to make room for a job, and which of them cost least. */
import type { LiveJob } from "../live-job.js";
import { type Machine, slots } from "../machine.js";
import type { JobSpec } from "../model.js";
import type { Placement } from "../placement.js";
import { machineAllowed, type ZoneOccupancy } from "../placement-rules.js";
import { takesAnyPlace } from "./candidates.js";
import type { PlanContext } from "./context.js";
import { imageWaitS, machinesThatFit } from "./eligibility.js";
import type { GpuReserve } from "./gpu-reserve.js";
import { waitedShare } from "./urgency.js";

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

/** Amounts of a machine. */
interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

const fits = (spec: JobSpec, a: Amounts): boolean => slots(spec, a.cpus, a.gpus, a.memoryGb) >= 1;

function addTo(a: Amounts, { cpus, gpus, memoryGb }: JobSpec): void {
  a.cpus += cpus;
  a.gpus += gpus;
  a.memoryGb += memoryGb;
}

/** What is free on a machine, or will be without stopping more. */
function comingFree(m: Machine): Amounts {
  const free = { cpus: m.freeCpus, gpus: m.freeGpus, memoryGb: m.freeMemory };
  for (const p of m.placements.values()) if (p.stop !== null) addTo(free, p.job.spec);
  return free;
}

/** With all that may be stopped gone, would a replica there keep a GPU job out? */
function replicaBlocksGpus(job: LiveJob, m: Machine, reserve: GpuReserve): boolean {
  if (m.type.gpus <= 0) return false;
  if (reserve.specs.length === 0) return true;
  const { cpus, gpus, memoryGb } = m.type;
  return reserve.specs.some(
    (g) =>
      machineAllowed(g, m) &&
      slots(g, cpus - job.spec.cpus, gpus, memoryGb) < slots(g, cpus, gpus, memoryGb),
  );
}

/** Room on a machine for one task of a job, by stopping these; the cost is in lost work and image time. */
interface Room {
  readonly machine: Machine;
  readonly victims: Placement[];
  readonly cost: number;
}

/** The cheapest tasks to stop on this machine so that one task of the job fits; null: none, or too dear. */
function roomOn(
  m: Machine,
  job: LiveJob,
  ctx: PlanContext,
  within: ReadonlySet<string>,
  below: number,
): Room | null {
  let cost = imageWaitS(m, job.spec);
  if (cost >= below) return null;
  const free = comingFree(m);
  const stoppable = [...m.placements.values()].filter((p) => mayPreempt(job, p, ctx, within));
  const most = { ...free };
  for (const p of stoppable) addTo(most, p.job.spec);
  if (!fits(job.spec, most)) return null;
  stoppable.sort((a, b) => b.job.rank - a.job.rank || lossOf(a, ctx.now) - lossOf(b, ctx.now));
  const victims: Placement[] = [];
  for (const p of stoppable) {
    if (fits(job.spec, free)) break;
    addTo(free, p.job.spec);
    victims.push(p);
    cost += lossOf(p, ctx.now);
  }
  return cost < below ? { machine: m, victims, cost } : null;
}

/**
 * The cheapest set of tasks whose end lets one task of the job in, and where. `zones`: where its tasks are, and will
 * be on machines where room is being made for it.
 */
export function makeRoom(
  job: LiveJob,
  zones: ZoneOccupancy,
  ctx: PlanContext,
  within: ReadonlySet<string>,
  reserve: GpuReserve,
): Room | null {
  if (ctx.cluster.quotaSlots(job.spec) <= 0) return null;
  const zone = job.heldZone || null;
  const sparesGpus = job.spec.kind === "service" && !takesAnyPlace(job, ctx);
  let best: Room | null = null;
  let bestCost = Infinity;
  for (const m of machinesThatFit(job.spec, ctx)) {
    if (m.weakest <= job.precedence) continue;
    // Room is being made or held there already; the caller has counted it.
    if (m.reservedFor !== null || zones.roomIn(m.zone) === 0) continue;
    if (zone !== null && m.zone !== zone) continue;
    if (!machineAllowed(job.spec, m)) continue;
    if (job.failures.avoids(m.name, ctx.now)) continue;
    if (sparesGpus && replicaBlocksGpus(job, m, reserve)) continue;
    const cheaper: Room | null = roomOn(m, job, ctx, within, bestCost);
    if (cheaper === null) continue;
    best = cheaper;
    bestCost = cheaper.cost;
  }
  return best;
}
