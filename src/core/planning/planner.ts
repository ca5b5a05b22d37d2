/**
 * One planning pass: which waiting task goes to which machine. It works on the leader's view, which may be
 * stale: a placement counts once it is stored, and workers refuse what does not fit them.
 */
import type { LiveJob } from "../live-job.js";
import { placeTasks } from "./array-placement.js";
import type { PlanContext } from "./context.js";
import { placeGang } from "./gang-placement.js";
import { gatherRoom } from "./gang-room.js";
import { promoteUnderServed } from "./gang-size-fairness.js";
import type { GpuReserve } from "./gpu-reserve.js";
import { order } from "./queue-order.js";
import { yieldToOthers } from "./starvation.js";
import { waitedShare } from "./urgency.js";

/** One pass over all that waits. Returns the jobs that still have tasks waiting for room. */
export function plan(
  ctx: PlanContext,
  within: ReadonlySet<string>,
  reserve: GpuReserve,
  mayStart: (job: LiveJob) => boolean,
): LiveJob[] {
  const left: LiveJob[] = [];
  const taken = new Set<string>();
  const queue = promoteUnderServed(order(ctx, within), ctx);
  queue.forEach((job, i) => {
    job.queuePosition = i;
  });
  for (const job of queue) {
    if (!mayStart(job)) continue;
    const before = job.present;
    let forImage = false;
    if (job.spec.kind === "gang") {
      const outcome = placeGang(job, ctx, reserve);
      forImage = outcome === "image";
      // What is free is left to others while it only waits for its image.
      if (outcome !== "room" || job.waitingSince === null) job.heldZone = null;
      else gatherRoom(job, ctx, taken);
    } else placeTasks(job, ctx, reserve);
    if (job.present > before) {
      if (waitedShare(job, ctx) < 1) ctx.cluster.gangStarts.began(job, ctx.now);
      yieldToOthers(job, ctx);
    }
    if (job.pendingCount > 0) {
      job.waitingSince ??= ctx.now;
      // Nothing is stopped, held or rented for a job that fails wherever it goes, or has room.
      if (!job.suspected && !forImage) left.push(job);
    } else job.waitingSince = null;
  }
  return left;
}
