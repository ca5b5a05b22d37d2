/** Placement of gangs: all tasks of an attempt at once, or none. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";
import { assignTasks, takeFirst } from "./assignment.js";
import { type Candidate, findCandidates } from "./candidates.js";
import type { PlanningContext } from "./context.js";
import { imagePullS } from "./eligibility.js";
import { shouldWaitForImage } from "./gang-image-wait.js";

/** What came of an attempt to place a gang. */
export type GangOutcome = "placed" | "waits for image" | "lacks capacity";

/** Candidates that take a whole gang. */
interface GangFit {
  readonly candidates: readonly Candidate[];
  /** Highest cost among the candidates used: the gang starts when its last task can. */
  readonly costS: number;
}

/** Places a gang as a whole, and only when nothing of an earlier attempt is left. */
export function placeGang(job: ActiveJob, context: PlanningContext): GangOutcome {
  if (job.placementCount > 0) return "lacks capacity";
  if (context.cluster.quotaSlots(job.spec) < job.spec.tasks) return "lacks capacity";
  const candidates = findCandidates(job, context);
  const tasks = takeFirst(job.pendingTasks(), job.spec.tasks);
  const fit = findCheapestFit(job, candidates, tasks.length);
  if (fit === null) return "lacks capacity";
  if (shouldWaitForImage(job, fit.costS, context)) return "waits for image";
  const pullS = new Map<Machine, number>();
  for (const { machine } of fit.candidates) pullS.set(machine, imagePullS(machine, job.spec));
  assignTasks(job, tasks, fit.candidates, context);
  delayShortPulls(job, pullS, context);
  return "placed";
}

/** Of the zones, if the gang is bound to one, else of all machines together: the cheapest that takes all tasks. */
function findCheapestFit(
  job: ActiveJob,
  candidates: readonly Candidate[],
  tasks: number,
): GangFit | null {
  let cheapest: GangFit | null = null;
  for (const group of job.spec.oneZone ? groupByZone(candidates) : [candidates]) {
    const costS = costOfGang(job, group, tasks);
    if (costS !== null && costS < (cheapest?.costS ?? Infinity)) {
      cheapest = { candidates: group, costS };
    }
  }
  return cheapest;
}

function groupByZone(candidates: readonly Candidate[]): Iterable<readonly Candidate[]> {
  const byZone = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const sameZone = byZone.get(candidate.machine.zone);
    if (sameZone === undefined) byZone.set(candidate.machine.zone, [candidate]);
    else sameZone.push(candidate);
  }
  return byZone.values();
}

/** Highest cost in seconds among the first candidates that take all tasks; null: they do not fit. */
function costOfGang(
  job: ActiveJob,
  candidates: readonly Candidate[],
  tasks: number,
): number | null {
  let missingSlots = tasks;
  let highestCostS = 0;
  const zones = job.zones.copy();
  for (const { machine, freeSlots, costS } of candidates) {
    if (missingSlots <= 0) break;
    const slots = zones.reserveIn(machine.zone, Math.min(missingSlots, freeSlots));
    if (slots === 0) continue;
    missingSlots -= slots;
    highestCostS = Math.max(highestCostS, costS);
  }
  return missingSlots <= 0 ? highestCostS : null;
}

/**
 * A gang task whose image is ready waits for its peers no longer than `gang_wait_s`, and then all start anew. Where
 * some machines pull for half of that and more, tasks on the others start when the first of these peers is ready. (A
 * gang of four lost 85 s: one had its image, three pulled for 70 s, 45 are allowed.)
 */
function delayShortPulls(
  job: ActiveJob,
  pullS: ReadonlyMap<Machine, number>,
  context: PlanningContext,
): void {
  let longestS = 0;
  for (const { machine } of job.placements.values()) {
    longestS = Math.max(longestS, pullS.get(machine) ?? 0);
  }
  if (longestS < context.settings.gangWaitS / 2) return;
  for (const placement of job.placements.values()) {
    if ((pullS.get(placement.machine) ?? 0) < longestS / 2) placement.startDelayS = 2 * longestS;
  }
}
