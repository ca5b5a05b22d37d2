/**
 * The placement step of a scheduling cycle, which assigns waiting tasks to machines. The leader's view of the
 * machines may be stale. This does no harm, because a placement takes effect only once it is stored, and workers
 * refuse tasks that do not fit.
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
 * Places tasks of the waiting jobs in queue order. `acceptStart` decides whether a job may start; once it has
 * accepted a start, the start is not revoked. Returns the jobs that still lack capacity, in the same order: the
 * caller preempts tasks and provisions machines for these.
 */
export function placeWaitingJobs(
  context: PlanningContext,
  acceptStart: (job: ActiveJob) => boolean,
): ActiveJob[] {
  const lackingCapacity: ActiveJob[] = [];
  /** Zones in which a gang has reserved capacity in this cycle and still needs more. */
  const reservedZones = new Set<string>();
  const queue = promoteUnderservedSizes(orderQueue(context), context);
  queue.forEach((job, position) => {
    job.queuePosition = position;
  });
  for (const job of queue) {
    if (!acceptStart(job)) continue;
    const placedBefore = job.placementCount;
    const waitsForImage = placeJob(job, context, reservedZones);
    if (job.placementCount > placedBefore) recordStart(job, context);
    job.recordPlacementStep(isWithinQuota(job, context), context.now);
    if (job.pendingCount === 0) continue;
    // A job that fails on every machine, or waits only for its image, triggers no preemption and no scale-out.
    if (!job.isSuspect && !waitsForImage) lackingCapacity.push(job);
  }
  return lackingCapacity;
}

/**
 * Places as many tasks of the job as possible. Returns whether the job is a gang that fits the free capacity but
 * waits for machines that hold its image.
 */
function placeJob(job: ActiveJob, context: PlanningContext, reservedZones: Set<string>): boolean {
  let waitsForImage = false;
  if (job.spec.kind === "gang") {
    const outcome = placeGang(job, context);
    waitsForImage = outcome === "waits for image";
    // A gang that only waits for its image reserves nothing, so other jobs can use the free capacity.
    if (outcome !== "lacks capacity" || job.waitingSince === null) job.reservedZone = null;
    else reserveGangCapacity(job, context, reservedZones);
  } else {
    placeIndependentTasks(job, context);
  }
  return waitsForImage;
}

/** Whether the team's quota allows another task of the job, or the whole gang. */
function isWithinQuota({ spec }: ActiveJob, { cluster }: PlanningContext): boolean {
  return cluster.quotaSlots(spec) >= (spec.kind === "gang" ? spec.tasks : 1);
}

/** Counts a timely start for the fairness between gang sizes, and starts the cooldown if the job was starving. */
function recordStart(job: ActiveJob, context: PlanningContext): void {
  if (waitedShareOfStartBound(job, context) < 1) {
    context.cluster.gangStarts.recordStart(job, context.now);
  }
  startStarvationCooldown(job, context);
}
