/** Jobs that have waited too long go first, so that no size of a class starves. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { START_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { machinesThatFit, slotsOnEmptyMachine } from "./eligibility.js";
import { waitedShareOfStartBound } from "./urgency.js";

/** Share of the users' bound on starting after which a waiting job may be starving. */
const STARVING_AFTER_BOUND_SHARE = 0.5;

/** The cooldown in multiples of the machine time of the starving job, so that it gets two thirds of the capacity. */
const COOLDOWN_FACTOR = 1.5;

/** A cooldown's limit: a wrong estimate of the run time must not block the next starving job for long. */
const MAX_COOLDOWN_S = START_BOUND_S / 4;

/**
 * Sets `isStarving` of every waiting job. Starving is, of each class outside its cooldown, the largest job that has
 * waited for half of the users' bound and has not started. It goes before all but production, one of a class at a
 * time; after each, the others go first for as long as leaves it two thirds of the capacity. (Without that, every job
 * went largest first once a burst had lasted for two minutes; with half, the middle one of the largest began after
 * 289 s.)
 */
export function markStarvingJobs(waiting: readonly ActiveJob[], context: PlanningContext): void {
  const byClass = new Map<string, ActiveJob[]>();
  for (const job of waiting) {
    job.isStarving = false;
    if (!mayBeStarving(job, context)) continue;
    const sameClass = byClass.get(job.spec.class);
    if (sameClass === undefined) byClass.set(job.spec.class, [job]);
    else sameClass.push(job);
  }
  // A job past the bound comes after those that can still start within it.
  const pastBound = (job: ActiveJob): number =>
    waitedShareOfStartBound(job, context) >= 1 ? 1 : 0;
  for (const jobs of byClass.values()) {
    jobs.sort(
      (a, b) =>
        pastBound(a) - pastBound(b) ||
        b.spec.tasks - a.spec.tasks ||
        a.submittedAtMs - b.submittedAtMs,
    );
    jobs[0]!.isStarving = true;
  }
}

function mayBeStarving(job: ActiveJob, context: PlanningContext): boolean {
  if (job.isSuspect || job.doneTasks.size > 0 || job.placementCount > 0) return false;
  if (waitedShareOfStartBound(job, context) < STARVING_AFTER_BOUND_SHARE) return false;
  return context.now >= (context.cluster.classCooldownUntil.get(job.spec.class) ?? 0);
}

/** To be called when tasks of a job were placed: if it was starving, a third of its class's capacity is for others. */
export function startStarvationCooldown(job: ActiveJob, context: PlanningContext): void {
  if (!job.isStarving) return;
  job.isStarving = false;
  const { class: jobClass, tasks, estimateS } = job.spec;
  let totalSlots = 0;
  for (const machine of machinesThatFit(job.spec, context)) {
    if (isMachineAllowed(job.spec, machine)) totalSlots += slotsOnEmptyMachine(job.spec, machine);
  }
  const cooldownS = (COOLDOWN_FACTOR * tasks * Math.max(1, estimateS)) / Math.max(1, totalSlots);
  const until = context.now + Math.min(cooldownS, MAX_COOLDOWN_S);
  context.cluster.classCooldownUntil.set(jobClass, until);
}
