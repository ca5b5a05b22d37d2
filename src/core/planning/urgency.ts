/** How urgent a waiting job is, by the aims that the settings state for it. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { taskSlots } from "../machines/machine.js";
import { START_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";

/** Part of the users' bound that a job has waited. */
export const waitedShareOfStartBound = (j: ActiveJob, ctx: PlanningContext): number =>
  (ctx.wallMs - j.objectivesCountFromMs) / (1000 * START_BOUND_S);

/** What a gang takes up: machines for how long. An aim counts a small one as much as a large one. */
export const estimatedMachineSeconds = (j: ActiveJob): number =>
  j.spec.kind === "gang" ? j.spec.tasks * Math.max(1, j.spec.estimateS) : 0;

export interface Urgency {
  /** The latest time of day (ms) at which a start still meets some aim. */
  readonly latestStartAtMs: number;
  /** 0: in time; of gangs, 1: only for an aim on its end; 2: for none any more. */
  readonly lateness: number;
}

/**
 * Aims that the settings state for the job and that a start now still meets. What can meet none any
 * more comes last: an hour's backlog served in order of arrival makes everybody late, while those who
 * are late already lose little by waiting on.
 */
export function urgencyOf(
  job: ActiveJob,
  ctx: PlanningContext,
  within: ReadonlySet<string>,
): Urgency {
  const { spec } = job;
  let best = Infinity;
  let startAim = false;
  const imageS = expectedImagePullS(job, ctx);
  const consider = (afterS: number, start: boolean): void => {
    by(job.objectivesCountFromMs + 1000 * (afterS - imageS), start);
  };
  const by = (at: number, start: boolean): void => {
    if (at < ctx.wallMs) return;
    if (start) startAim = true;
    best = Math.min(best, at);
  };
  // A job of which some tasks have started has its start aim behind it.
  const begun = job.doneTasks.size > 0 || job.placements.size > 0;
  // Its own deadline, counted from the submission, or what those that wait for it leave of theirs.
  if (job.effectiveDeadlineMs !== null)
    by(job.effectiveDeadlineMs - 1000 * (spec.estimateS + imageS), false);
  for (const o of ctx.settings.objectives) {
    if (o.withinS === null) continue;
    if (o.kind === "finished" && o.class === spec.class) {
      consider(o.withinS - spec.estimateS, false);
    } else if (begun) continue;
    else if (o.kind === "wait" && o.class === spec.class) consider(o.withinS, true);
    else if (o.kind === "guarantee" && within.has(spec.id)) consider(o.withinS, true);
  }
  const late = best === Infinity ? 2 : spec.kind === "gang" && !startAim ? 1 : 0;
  return { latestStartAtMs: best, lateness: late };
}

/** Seconds that the job's image takes where it could run, or none if a machine free now holds it. */
export function expectedImagePullS(job: ActiveJob, ctx: PlanningContext): number {
  let rate = 0;
  for (const m of ctx.snapshot.oneOfEachKind) {
    if (!isMachineAllowed(job.spec, m)) continue;
    if (taskSlots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb) < 1) continue;
    rate = Math.max(rate, m.type.fetchGbPerS);
  }
  for (const m of ctx.snapshot.withImage.get(job.spec.image) ?? []) {
    if (!isMachineAllowed(job.spec, m)) continue;
    if (taskSlots(job.spec, m.freeCpus, m.freeGpus, m.freeMemoryGb) > 0) return 0;
  }
  return rate > 0 ? job.spec.imageGb / rate : 0;
}
