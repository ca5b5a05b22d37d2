/**
 * The placement step of a scheduling cycle: which waiting task goes to which machine. It works on the leader's view,
 * which may be stale: a placement counts once it is persisted, and workers refuse tasks that do not fit them.
 */
import type { ActiveJob } from "../jobs/active-job.js";
import { placeIndependentTasks } from "./array-placement.js";
import type { PlanningContext } from "./context.js";
import { reserveGangCapacity } from "./gang-capacity.js";
import { placeGang } from "./gang-placement.js";
import { promoteUnderservedSizes } from "./gang-size-fairness.js";
import { orderQueue } from "./queue-order.js";
import { startStarvationCooldown } from "./starvation.js";
import { waitedShareOfStartBound } from "./urgency.js";

/**
 * Places tasks of the waiting jobs, in the order of the queue. `mayStart` accepts the start of a job for good. Returns
 * the jobs that still lack capacity, in the same order: for these, others are preempted and machines provisioned.
 */
export function placeWaitingJobs(
  context: PlanningContext,
  mayStart: (job: ActiveJob) => boolean,
): ActiveJob[] {
  const lackingCapacity: ActiveJob[] = [];
  /** Zones in which a gang has reserved capacity in this cycle, and lacks more. */
  const reservedZones = new Set<string>();
  const queue = promoteUnderservedSizes(orderQueue(context), context);
  queue.forEach((job, position) => {
    job.queuePosition = position;
  });
  for (const job of queue) {
    if (!mayStart(job)) continue;
    const waitsForImage = placeJob(job, context, reservedZones);
    if (job.pendingCount === 0) {
      job.waitingSince = null;
      continue;
    }
    job.waitingSince ??= context.now;
    // A job that fails everywhere, or only waits for its image, causes no preemption, reservation or scale-out.
    if (!job.isSuspect && !waitsForImage) lackingCapacity.push(job);
  }
  return lackingCapacity;
}

/** Places what can be placed of a job. Returns whether it is a gang that has capacity and waits for its image. */
function placeJob(job: ActiveJob, context: PlanningContext, reservedZones: Set<string>): boolean {
  const placedBefore = job.placementCount;
  let waitsForImage = false;
  if (job.spec.kind === "gang") {
    const outcome = placeGang(job, context);
    waitsForImage = outcome === "waits for image";
    // While a gang only waits for its image, free capacity is left to other jobs.
    if (outcome !== "lacks capacity" || job.waitingSince === null) job.reservedZone = null;
    else reserveGangCapacity(job, context, reservedZones);
  } else {
    placeIndependentTasks(job, context);
  }
  if (job.placementCount > placedBefore) noteStarted(job, context);
  return waitsForImage;
}

/** Counts a start for fairness between gang sizes, and starts the cooldown after a starving job. */
function noteStarted(job: ActiveJob, context: PlanningContext): void {
  if (waitedShareOfStartBound(job, context) < 1) {
    context.cluster.gangStarts.noteStart(job, context.now);
  }
  startStarvationCooldown(job, context);
}
