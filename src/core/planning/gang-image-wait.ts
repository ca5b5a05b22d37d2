/** Decides whether a GPU gang that fits now should wait instead for machines that already hold its image. */
import type { ActiveJob } from "../jobs/active-job.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { isGuaranteed } from "./precedence.js";

/** Minimum number of machines holding the image, per task of the gang, for a wait in order to meet an objective. */
const MIN_HOLDERS_PER_TASK_TO_MEET_OBJECTIVE = 4;

/**
 * Minimum number of machines holding the image, per task of the gang, for a wait that only serves to avoid a pull.
 */
const MIN_HOLDERS_PER_TASK_TO_AVOID_PULL = 8;

/**
 * Longest wait to avoid a pull, as a share of the pull time, for a gang of one task; 1/n of that for one of n tasks.
 */
const MAX_WAIT_SHARE_OF_PULL = 1 / 4;

/** Time bound, in seconds, that is used as the second objective if only one objective can still be met. */
const DEFAULT_SECOND_OBJECTIVE_S = START_LATENCY_BOUND_S / 2;

/**
 * Factor on the pull time. A gang waits for the sake of its first objective only if the time left until the second
 * one exceeds the pull time times this factor, so that it can still meet the second one with a pull after the wait.
 */
const SECOND_OBJECTIVE_MARGIN_FACTOR = 1.4;

/**
 * Whether the gang should wait for machines that hold its image. If many machines hold it, some of them become free
 * every few seconds, so a wait of a small part of the pull time often avoids the pull. The more tasks the gang has,
 * the shorter it waits. Without such waits, five of six GPU tasks pulled an image that a third of all GPU machines
 * already held. `maxCostS`: highest placement cost in seconds among the machines that the gang would use now; most of
 * it is the image pull.
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
 * Whether a gang that pulls its image now would miss the first objective for its start time, while the second one
 * leaves enough time to wait. The first objective can then be met only on machines that hold the image. Such gangs
 * should wait, because with a guarantee of 30 s most gangs that missed it had been placed within five seconds and
 * then pulled their image for 30 s or more.
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
