/** Decides whether a GPU gang that fits now should wait instead for machines that already hold its image. */
import type { ActiveJob } from "../jobs/active-job.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { isGuaranteed } from "./precedence.js";

/** A gang waits in order to meet an objective only if at least this many machines per task hold its image. */
const IMAGE_HOLDERS_PER_TASK_FOR_OBJECTIVE = 4;

/** A gang waits without an objective at stake only if at least this many machines per task hold its image. */
const IMAGE_HOLDERS_PER_TASK_FOR_WAIT = 8;

/** Share of the pull time that a gang of one task waits; a gang of n tasks waits 1/n of that. */
const WAIT_SHARE_OF_PULL = 1 / 4;

/** Time bound, in seconds, that replaces the later objective if only one objective is left. */
const FALLBACK_OBJECTIVE_S = START_LATENCY_BOUND_S / 2;

/**
 * Number of pull times that must be left before the objective after the next one, so that the wait does not endanger
 * it.
 */
const MIN_PULLS_BEFORE_LATER_OBJECTIVE = 1.4;

/**
 * Whether the gang should wait for machines that hold its image. If many machines hold it, some become free every few
 * seconds, so the gang waits for a small part of the pull time, and for less time the more tasks it has. Five of six
 * GPU tasks had pulled images that a third of all GPU machines already held. `pullS`: highest placement cost of
 * the machines that are free now, mainly the seconds of the image pull.
 */
export function shouldWaitForImage(
  job: ActiveJob,
  pullS: number,
  context: PlanningContext,
): boolean {
  const { gpus, tasks, image } = job.spec;
  const holders = context.snapshot.gpuMachinesWithImage.get(image) ?? 0;
  if (gpus <= 0 || holders < IMAGE_HOLDERS_PER_TASK_FOR_OBJECTIVE * tasks) return false;
  if (pullMissesNextObjective(job, pullS, context)) return true;
  if (holders < IMAGE_HOLDERS_PER_TASK_FOR_WAIT * tasks) return false;
  const waitedS = job.waitingSince === null ? 0 : context.now - job.waitingSince;
  return waitedS < (pullS * WAIT_SHARE_OF_PULL) / tasks;
}

/**
 * Whether a pull would miss the next objective on the start but still meet the one after it. Only a machine that
 * holds the image can then meet the next objective. With the guarantee at 30 s, most gangs that missed it had been
 * placed within five seconds and then pulled for 30 s or more.
 */
function pullMissesNextObjective(job: ActiveJob, pullS: number, context: PlanningContext): boolean {
  const ageS = (context.wallMs - job.objectivesStartMs) / 1000;
  const hasGuarantee = isGuaranteed(job.precedence);
  const remainingS: number[] = [];
  for (const { kind, class: jobClass, withinS } of context.settings.objectives) {
    if (withinS === null || withinS <= ageS) continue;
    const isOnWait = kind === "wait" && jobClass === job.spec.class;
    if (isOnWait || (kind === "guarantee" && hasGuarantee)) remainingS.push(withinS - ageS);
  }
  remainingS.sort((a, b) => a - b);
  const [nextS, laterS = FALLBACK_OBJECTIVE_S - ageS] = remainingS;
  if (nextS === undefined || pullS <= nextS) return false;
  return laterS > MIN_PULLS_BEFORE_LATER_OBJECTIVE * pullS + context.settings.heartbeatIntervalS;
}
