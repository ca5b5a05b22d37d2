/**
 * One planning pass: which waiting task goes to which machine. It works on the leader's view, which may be
 * stale: a placement counts once it is stored, and workers refuse what does not fit them.
 */
import type { ActiveJob } from "../jobs/active-job.js";
import { placeIndependentTasks } from "./array-placement.js";
import type { PlanningContext } from "./context.js";
import { reserveGangCapacity } from "./gang-capacity.js";
import { placeGang } from "./gang-placement.js";
import { promoteUnderservedSizes } from "./gang-size-fairness.js";
import type { GpuReservation } from "./gpu-reservation.js";
import { orderQueue } from "./queue-order.js";
import { startStarvationCooldown } from "./starvation.js";
import { waitedShareOfStartBound } from "./urgency.js";

/** One pass over all that waits. Returns the jobs that still have tasks waiting for room. */
export function placeWaitingJobs(
  ctx: PlanningContext,
  within: ReadonlySet<string>,
  reserve: GpuReservation,
  mayStart: (job: ActiveJob) => boolean,
): ActiveJob[] {
  const left: ActiveJob[] = [];
  const taken = new Set<string>();
  const queue = promoteUnderservedSizes(orderQueue(ctx, within), ctx);
  queue.forEach((job, i) => {
    job.queuePosition = i;
  });
  for (const job of queue) {
    if (!mayStart(job)) continue;
    const before = job.placementCount;
    let forImage = false;
    if (job.spec.kind === "gang") {
      const outcome = placeGang(job, ctx, reserve);
      forImage = outcome === "image";
      // What is free is left to others while it only waits for its image.
      if (outcome !== "room" || job.waitingSince === null) job.reservedZone = null;
      else reserveGangCapacity(job, ctx, taken);
    } else placeIndependentTasks(job, ctx, reserve);
    if (job.placementCount > before) {
      if (waitedShareOfStartBound(job, ctx) < 1) ctx.cluster.gangStarts.noteStart(job, ctx.now);
      startStarvationCooldown(job, ctx);
    }
    if (job.pendingCount > 0) {
      job.waitingSince ??= ctx.now;
      // Nothing is stopped, held or rented for a job that fails wherever it goes, or has room.
      if (!job.isSuspect && !forImage) left.push(job);
    } else job.waitingSince = null;
  }
  return left;
}
