/** Computes how urgent a waiting job is, from its deadline and the service-level objectives in the settings. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots } from "../machines/machine.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { Objective } from "../model/settings.js";
import type { PlanningContext } from "./context.js";
import { slotsOnEmptyMachine } from "./eligibility.js";

/** The time that the job has waited, as a share of `START_LATENCY_BOUND_S`. Above 1 the job is past the bound. */
export const waitedShareOfStartBound = (job: ActiveJob, context: PlanningContext): number =>
  (context.wallMs - job.objectivesStartMs) / (1000 * START_LATENCY_BOUND_S);

/**
 * Number of tasks times estimated run time, for a gang; 0 for other jobs. Gangs with a lower product go first,
 * because objectives count each gang once, whatever its size.
 */
export const estimatedMachineSeconds = ({ spec }: ActiveJob): number =>
  spec.kind === "gang" ? spec.tasks * Math.max(1, spec.estimateS) : 0;

/** How urgent a waiting job is. */
export interface Urgency {
  /**
   * Time of day (ms) by which the job must be placed to meet its most urgent objective or deadline among those that
   * it can still meet; infinite if it can no longer meet any.
   */
  readonly latestStartAtMs: number;
  /**
   * 0: in time; 1: a gang that can still meet only its deadline or an objective for its end time; 2: too late for all
   * of them, or none applies.
   */
  readonly lateness: 0 | 1 | 2;
}

/**
 * Computes the urgency from the deadline and the objectives that a start now still meets. A job that can no longer
 * meet any of them comes last: it loses little by waiting longer, whereas serving an hour's backlog in order of
 * arrival would make every job late.
 */
export function urgencyOf(job: ActiveJob, context: PlanningContext): Urgency {
  const { spec, objectivesStartMs } = job;
  const imageS = expectedImagePullS(job, context);
  // Objectives for the start time no longer apply once a task has been placed.
  const hasStarted = job.doneTasks.size > 0 || job.placements.size > 0;
  let latestStartAtMs = Infinity;
  let hasStartObjective = false;
  if (job.effectiveDeadlineMs !== null) {
    const startByMs = job.effectiveDeadlineMs - 1000 * (spec.estimateS + imageS);
    if (startByMs >= context.wallMs) latestStartAtMs = startByMs;
  }
  for (const objective of context.settings.objectives) {
    const withinS = startWithinS(objective, spec, hasStarted, context);
    if (withinS === null) continue;
    const startByMs = objectivesStartMs + 1000 * (withinS - imageS);
    if (startByMs < context.wallMs) continue;
    if (objective.kind !== "finished") hasStartObjective = true;
    latestStartAtMs = Math.min(latestStartAtMs, startByMs);
  }
  if (latestStartAtMs === Infinity) return { latestStartAtMs, lateness: 2 };
  return { latestStartAtMs, lateness: spec.kind === "gang" && !hasStartObjective ? 1 : 0 };
}

/** Seconds within which the job must start running to meet the objective; null: the objective does not apply. */
function startWithinS(
  { kind, class: jobClass, withinS }: Objective,
  spec: JobSpec,
  hasStarted: boolean,
  context: PlanningContext,
): number | null {
  if (withinS === null) return null;
  if (kind === "finished") return jobClass === spec.class ? withinS - spec.estimateS : null;
  if (hasStarted) return null;
  const applies =
    (kind === "wait" && jobClass === spec.class) ||
    (kind === "guarantee" && context.guaranteedJobs.has(spec.id));
  return applies ? withinS : null;
}

/**
 * Seconds that the image pull takes on the fastest machine type allowed; 0 if a machine with room holds the image.
 */
export function expectedImagePullS({ spec }: ActiveJob, context: PlanningContext): number {
  let fastestGbPerS = 0;
  for (const machine of context.snapshot.oneOfEachKind) {
    if (!isMachineAllowed(spec, machine) || slotsOnEmptyMachine(spec, machine) < 1) continue;
    fastestGbPerS = Math.max(fastestGbPerS, machine.type.fetchGbPerS);
  }
  for (const machine of context.snapshot.withImage.get(spec.image) ?? []) {
    if (isMachineAllowed(spec, machine) && freeTaskSlots(spec, machine) > 0) return 0;
  }
  return fastestGbPerS > 0 ? spec.imageGb / fastestGbPerS : 0;
}
