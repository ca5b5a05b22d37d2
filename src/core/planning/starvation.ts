/** Puts jobs that have waited too long first, so that no job size in a class starves. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { machinesThatFit, slotsOnEmptyMachine } from "./eligibility.js";
import { waitedShareOfStartBound } from "./urgency.js";

/** Share of `START_LATENCY_BOUND_S` after which a waiting job may count as starving. */
const STARVING_AFTER_BOUND_SHARE = 0.5;

/**
 * Cooldown as a multiple of the time that a starving job takes if it uses all capacity. Starving jobs thus get two
 * thirds of the capacity.
 */
const COOLDOWN_FACTOR = 1.5;

/** Maximum cooldown, so that a wrong run time estimate does not block the next starving job for long. */
const MAX_COOLDOWN_S = START_LATENCY_BOUND_S / 4;

/**
 * Sets `isStarving` of every waiting job. In each class that is not in a cooldown, the largest job that has waited
 * for half of `START_LATENCY_BOUND_S` without a start counts as starving. Jobs past the bound are considered only if
 * there are no others. A starving job goes ahead of all but production jobs; there is one per class at a time. When
 * it has started, a cooldown lets other jobs go first. Its length gives starving jobs two thirds of the capacity:
 * with half of the capacity, the median job of the largest size started only after 289 s. Without the cooldown, all
 * jobs were started in the order of their size, the largest first, once a burst had lasted for two minutes.
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
  // A job past the bound comes after jobs that can still start within it.
  const pastBoundOrder = (job: ActiveJob): number =>
    waitedShareOfStartBound(job, context) >= 1 ? 1 : 0;
  for (const jobs of byClass.values()) {
    jobs.sort(
      (a, b) =>
        pastBoundOrder(a) - pastBoundOrder(b) ||
        b.spec.tasks - a.spec.tasks ||
        a.submittedAtMs - b.submittedAtMs,
    );
    jobs[0]!.isStarving = true;
  }
}

function mayBeStarving(job: ActiveJob, context: PlanningContext): boolean {
  if (job.isSuspect || job.doneTasks.size > 0 || job.placementCount > 0) return false;
  if (waitedShareOfStartBound(job, context) < STARVING_AFTER_BOUND_SHARE) return false;
  return context.now >= (context.cluster.starvationCooldownUntil.get(job.spec.class) ?? 0);
}

/** Starts the cooldown of the job's class if the job was starving. Called after tasks of the job were placed. */
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
  context.cluster.starvationCooldownUntil.set(jobClass, until);
}
