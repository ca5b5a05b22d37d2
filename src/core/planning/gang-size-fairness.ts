/**
 * Keeps every size of a class of gangs from starving in a backlog.
 *
 * Small gangs go first, as an aim counts them as much as large ones. In a backlog that lasts, this order alone
 * serves few of the largest: in a burst of four times the jobs less than half of the gangs of four began within
 * the bound. So the jobs that began lately are counted for each class and size. While a smaller share of some
 * size began than `MIN_BEGUN_SHARE`, the first jobs in the queue of the size that is furthest behind go before
 * the rest of their class.
 */

import type { ActiveJob } from "../jobs/active-job.js";
import { gangSizeKey } from "../jobs/gang-starts.js";
import { START_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { expectedImagePullS, waitedShareOfStartBound } from "./urgency.js";

/** Half of each size is to be served at the least; a fifth of that is margin. */
const MIN_STARTED_SHARE = 0.6;

/** Jobs added to those that began, so that in small numbers a single one decides nothing. */
const SMOOTHING = 1;

/** Part of the bound on beginning after which a waiting job counts as one that did not begin. */
const COUNTED_AFTER_BOUND_SHARE = 1 / 8;

/** Waiting jobs of one class and size. */
interface SizeQueue {
  /** Those that can still begin within the bound, as their team's limit allows, in the order of the queue. */
  readonly startable: ActiveJob[];
  /** Jobs that have waited long enough to count as not begun. */
  unserved: number;
}

/** If it is placed now, and fetches its image, it begins within the users' bound. */
function canStartInTime(job: ActiveJob, ctx: PlanningContext): boolean {
  const waitedS = (ctx.wallMs - job.objectivesCountFromMs) / 1000;
  return waitedS + expectedImagePullS(job, ctx) < START_BOUND_S;
}

function sizeQueues(queue: readonly ActiveJob[], ctx: PlanningContext): Map<string, SizeQueue> {
  const most = ctx.settings.zones.length;
  const sizes = new Map<string, SizeQueue>();
  for (const job of queue) {
    if (job.spec.kind !== "gang" || job.isSuspect || job.placementCount > 0) continue;
    const key = gangSizeKey(job.spec);
    let size = sizes.get(key);
    if (size === undefined) {
      size = { startable: [], unserved: 0 };
      sizes.set(key, size);
    }
    if (waitedShareOfStartBound(job, ctx) >= COUNTED_AFTER_BOUND_SHARE) size.unserved++;
    if (size.startable.length >= most) continue;
    if (ctx.cluster.quotaSlots(job.spec) < job.spec.tasks) continue;
    if (canStartInTime(job, ctx)) size.startable.push(job);
  }
  return sizes;
}

/**
 * Of each class, the first waiting jobs of the size of which the smallest share began, if that is too small: one
 * for each zone, as a gang may be bound to one, and room is gathered for one gang in a zone at a time.
 */
function underservedJobs(
  queue: readonly ActiveJob[],
  ctx: PlanningContext,
): Map<string, readonly ActiveJob[]> {
  const jobs = new Map<string, readonly ActiveJob[]>();
  const shares = new Map<string, number>();
  for (const [key, { startable, unserved }] of sizeQueues(queue, ctx)) {
    const [first] = startable;
    if (first === undefined || unserved === 0) continue;
    const begun = ctx.cluster.gangStarts.recentStarts(key, ctx.now);
    const share = (begun + SMOOTHING) / (begun + unserved + SMOOTHING);
    if (share >= (shares.get(first.spec.class) ?? MIN_STARTED_SHARE)) continue;
    shares.set(first.spec.class, share);
    jobs.set(first.spec.class, startable);
  }
  return jobs;
}

/** Moves those jobs before all others of their class; whatever else is in the queue keeps its order. */
export function promoteUnderservedSizes(queue: ActiveJob[], ctx: PlanningContext): ActiveJob[] {
  const promoted = underservedJobs(queue, ctx);
  if (promoted.size === 0) return queue;
  const moved = new Set([...promoted.values()].flat());
  const out: ActiveJob[] = [];
  for (const job of queue) {
    out.push(...(promoted.get(job.spec.class) ?? []));
    promoted.delete(job.spec.class);
    if (!moved.has(job)) out.push(job);
  }
  return out;
}
