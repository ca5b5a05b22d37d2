/** Jobs that have waited for too long go first, so that none of any size starves. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { taskSlots } from "../machines/machine.js";
import { START_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { machinesThatFit } from "./eligibility.js";
import { waitedShareOfStartBound } from "./urgency.js";

/**
 * Of each class, the largest job that has waited for half of that bound without a start. It goes
 * before all but production, one of a class at a time, and after each the others come first for as long
 * as leaves it two thirds of all there is. (Without that, every job went largest first once a burst
 * had lasted for two minutes; with half, the middle one of the largest began after 289 s.)
 */
export function markStarvingJobs(
  waiting: readonly ActiveJob[],
  ctx: PlanningContext,
): Set<ActiveJob> {
  const worst = new Map<string, ActiveJob[]>();
  for (const j of waiting) {
    if (j.isSuspect || j.doneTasks.size > 0 || j.placementCount > 0) continue;
    if (waitedShareOfStartBound(j, ctx) < 0.5) continue;
    if (ctx.now < (ctx.cluster.classCooldownUntil.get(j.spec.class) ?? 0)) continue;
    const of = worst.get(j.spec.class);
    if (of === undefined) worst.set(j.spec.class, [j]);
    else of.push(j);
  }
  const out = new Set<ActiveJob>();
  for (const jobs of worst.values()) {
    // Whoever is past the bound comes after those that still can begin within it.
    const past = (j: ActiveJob): number => (waitedShareOfStartBound(j, ctx) >= 1 ? 1 : 0);
    jobs.sort(
      (a, b) =>
        past(a) - past(b) || b.spec.tasks - a.spec.tasks || a.submittedAtMs - b.submittedAtMs,
    );
    out.add(jobs[0]!);
  }
  for (const j of waiting) j.isStarving = out.has(j);
  return out;
}

/** A starving job was placed: a third of the room of its class is for others. */
export function startStarvationCooldown(job: ActiveJob, ctx: PlanningContext): void {
  if (!job.isStarving) return;
  job.isStarving = false;
  let room = 0;
  for (const m of machinesThatFit(job.spec, ctx)) {
    if (!isMachineAllowed(job.spec, m)) continue;
    room += taskSlots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
  }
  const forS = (1.5 * job.spec.tasks * Math.max(1, job.spec.estimateS)) / Math.max(1, room);
  ctx.cluster.classCooldownUntil.set(job.spec.class, ctx.now + Math.min(forS, START_BOUND_S / 4));
}
