/** How urgent a waiting job is, by the service-level objectives that the settings state for it. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { START_BOUND_S } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { Objective } from "../model/settings.js";
import type { PlanningContext } from "./context.js";
import { freeSlotsOn, slotsOnEmptyMachine } from "./eligibility.js";

/** Share of the users' bound on starting that a job has waited; above 1 it is past the bound. */
export const waitedShareOfStartBound = (job: ActiveJob, context: PlanningContext): number =>
  (context.wallMs - job.objectivesCountFromMs) / (1000 * START_BOUND_S);

/** Machines times estimated run time of a gang; 0 for others. An objective counts small and large gangs alike. */
export const estimatedMachineSeconds = ({ spec }: ActiveJob): number =>
  spec.kind === "gang" ? spec.tasks * Math.max(1, spec.estimateS) : 0;

/** How urgent a waiting job is. */
export interface Urgency {
  /** The latest time of day (ms) at which a start still meets some objective; infinite if none can be met. */
  readonly latestStartAtMs: number;
  /** 0: in time; 1: a gang, in time only for an objective on its end; 2: too late for all, or none applies. */
  readonly lateness: 0 | 1 | 2;
}

/**
 * The urgency by those objectives that a start now still meets. A job that can meet none any more comes last: an
 * hour's backlog served in order of arrival makes everybody late, while jobs that are late already lose little by
 * waiting on.
 */
export function urgencyOf(job: ActiveJob, context: PlanningContext): Urgency {
  const { spec, objectivesCountFromMs } = job;
  const imageS = expectedImagePullS(job, context);
  // Objectives on the start are decided once any task was placed.
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
    const startByMs = objectivesCountFromMs + 1000 * (withinS - imageS);
    if (startByMs < context.wallMs) continue;
    if (objective.kind !== "finished") hasStartObjective = true;
    latestStartAtMs = Math.min(latestStartAtMs, startByMs);
  }
  if (latestStartAtMs === Infinity) return { latestStartAtMs, lateness: 2 };
  return { latestStartAtMs, lateness: spec.kind === "gang" && !hasStartObjective ? 1 : 0 };
}

/** Seconds within which the job must run to meet the objective; null: the objective does not apply to it. */
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

/** Seconds that pulling the job's image takes on the fastest machine it may use; 0 if a free machine holds it. */
export function expectedImagePullS({ spec }: ActiveJob, context: PlanningContext): number {
  let fastestGbPerS = 0;
  for (const machine of context.snapshot.oneOfEachKind) {
    if (!isMachineAllowed(spec, machine) || slotsOnEmptyMachine(spec, machine) < 1) continue;
    fastestGbPerS = Math.max(fastestGbPerS, machine.type.fetchGbPerS);
  }
  for (const machine of context.snapshot.withImage.get(spec.image) ?? []) {
    if (isMachineAllowed(spec, machine) && freeSlotsOn(spec, machine) > 0) return 0;
  }
  return fastestGbPerS > 0 ? spec.imageGb / fastestGbPerS : 0;
}
