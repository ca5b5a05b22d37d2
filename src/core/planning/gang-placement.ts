/** Places gangs: all tasks of an attempt at once, or none. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";
import { assignTasks, takeFirst } from "./assignment.js";
import { type Candidate, findCandidates } from "./candidates.js";
import type { PlanningContext } from "./context.js";
import { imagePullS } from "./eligibility.js";
import { shouldWaitForImage } from "./gang-image-wait.js";

/**
 * Result of an attempt to place a gang. `lacks capacity` also means that the team's quota is too small, or that
 * placements of an earlier attempt are left.
 */
export type GangOutcome = "placed" | "waits for image" | "lacks capacity";

/** Candidates on which a whole gang fits. */
interface GangFit {
  readonly candidates: readonly Candidate[];
  /** Highest cost of the candidates used, because the gang starts only when its last task can start. */
  readonly costS: number;
}

/** Places all tasks of a gang, but only once no placement of an earlier attempt is left. */
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
  delayTasksWithShortPulls(job, pullS, context);
  return "placed";
}

/**
 * Finds the candidates that take all tasks at the lowest cost. If the gang must be in one zone, each zone is tried by
 * itself; otherwise the candidates of all zones are used together.
 */
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

/** Highest cost in seconds among the first candidates that together take all tasks; null: they cannot. */
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
 * Delays the tasks whose image pull is short. A gang task with its image ready waits for its peers for `gang_wait_s`
 * at most; after that the whole gang is restarted. If the longest pull takes half of `gang_wait_s` or more, the tasks
 * whose pull takes less than half as long as the longest one start only when another task of the gang has pulled the
 * image, or after twice the longest pull time. Without the delay, a gang of four lost 85 s: one machine held the
 * image, the other three pulled it for 70 s, and `gang_wait_s` was 45 s.
 */
function delayTasksWithShortPulls(
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
