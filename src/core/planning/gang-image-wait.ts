/**
 * Decides whether a GPU gang that fits now should wait instead for machines that already hold its image.
 *
 * Here, the first objective of a gang is the one whose time bound ends first, among those objectives for the gang's
 * start time whose bounds have not passed yet. The second objective is the one whose bound ends next.
 */
import type { ActiveJob } from "../jobs/active-job.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { isGuaranteed } from "./precedence.js";

/** A gang waits to meet its first objective only if at least this many GPU machines per task hold its image. */
const MIN_HOLDERS_PER_TASK_TO_MEET_OBJECTIVE = 4;

/** A gang waits merely to avoid an image pull only if at least this many GPU machines per task hold its image. */
const MIN_HOLDERS_PER_TASK_TO_AVOID_PULL = 8;

/**
 * Longest time that a gang of one task waits to avoid an image pull, as a share of the pull time. A gang of n tasks
 * waits for at most 1/n of that time.
 */
const MAX_WAIT_SHARE_OF_PULL = 1 / 4;

/**
 * Time bound, in seconds, that is used for the second objective if a gang has only one objective whose bound has not
 * passed yet.
 */
const DEFAULT_SECOND_OBJECTIVE_S = START_LATENCY_BOUND_S / 2;

/**
 * A gang waits to meet its first objective only if the time left for the second one exceeds the pull time multiplied
 * by this factor, plus one heartbeat interval. If the wait fails and the gang must pull the image after all, it can
 * then still meet the second objective.
 */
const SECOND_OBJECTIVE_MARGIN_FACTOR = 1.4;

/**
 * Whether the gang should wait for machines that hold its image. If many machines hold it, some of them become free
 * every few seconds, so a wait of a small part of the pull time often avoids the pull. The more tasks the gang has,
 * the shorter this wait may be. Without such waits, five of six GPU tasks pulled an image that a third of all GPU
 * machines already held. `maxCostS`: highest placement cost, in seconds, among the machines that the gang would use
 * now. Most of this cost is the image pull, so it is used as the pull time.
 */
export function shouldWaitForImage(
  job: ActiveJob,
  maxCostS: number,
  context: PlanningContext,
): boolean {
  const { gpus, tasks, image } = job.spec;
  const holders = context.snapshot.gpuMachineCountByImage.get(image) ?? 0;
  if (gpus <= 0 || holders < MIN_HOLDERS_PER_TASK_TO_MEET_OBJECTIVE * tasks) return false;
  if (pullMissesFirstObjective(job, maxCostS, context)) return true;
  if (holders < MIN_HOLDERS_PER_TASK_TO_AVOID_PULL * tasks) return false;
  const waitedS = job.waitingSince === null ? 0 : context.now - job.waitingSince;
  return waitedS < (maxCostS * MAX_WAIT_SHARE_OF_PULL) / tasks;
}

/**
 * Whether the gang would miss its first objective if it pulled its image now, while the second objective leaves
 * enough time for a wait and a pull after it. The first objective can then be met only on machines that hold the
 * image. If the second objective leaves too little time, the result is false, because a wait would endanger that one
 * too.
 *
 * Without such waits, image pulls and not the queue caused most missed objectives: with an objective of 30 s for jobs
 * within their team's guarantee, most gangs that missed it had been placed within five seconds, but then pulled their
 * image for 30 s or more.
 */
function pullMissesFirstObjective(
  job: ActiveJob,
  maxCostS: number,
  context: PlanningContext,
): boolean {
  const ageS = (context.wallMs - job.objectivesStartMs) / 1000;
  const hasGuarantee = isGuaranteed(job.precedence);
  const remainingS: number[] = [];
  for (const { kind, class: jobClass, withinS } of context.settings.objectives) {
    if (withinS === null || withinS <= ageS) continue;
    const isWaitObjective = kind === "wait" && jobClass === job.spec.class;
    if (isWaitObjective || (kind === "guarantee" && hasGuarantee)) remainingS.push(withinS - ageS);
  }
  remainingS.sort((a, b) => a - b);
  const [firstS, secondS = DEFAULT_SECOND_OBJECTIVE_S - ageS] = remainingS;
  if (firstS === undefined || maxCostS <= firstS) return false;
  return secondS > SECOND_OBJECTIVE_MARGIN_FACTOR * maxCostS + context.settings.heartbeatIntervalS;
}
