/**
 * Fairness between the sizes of a class of gangs, so that none starves in a backlog.
 *
 * Small gangs go first, as an objective counts them as much as large ones. In a backlog that lasts, this order alone
 * serves few of the largest: in a burst of four times the jobs less than half of the gangs of four started within the
 * users' bound. So recent starts are counted for each class and size. While a smaller share of some size started than
 * `MIN_STARTED_SHARE`, the first jobs in the queue of the size with the smallest share go before the rest of their
 * class.
 */

import type { ActiveJob } from "../jobs/active-job.js";
import { gangSizeKey } from "../jobs/gang-starts.js";
import { START_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { expectedImagePullS, waitedShareOfStartBound } from "./urgency.js";

/** Share of each size that must start; half is the objective, a fifth of that is margin. */
const MIN_STARTED_SHARE = 0.6;

/** Jobs added to those that started, so that in small numbers a single one decides nothing. */
const SMOOTHING = 1;

/** Share of the users' bound on starting after which a waiting job counts as not started. */
const COUNTED_AFTER_BOUND_SHARE = 1 / 8;

/** Waiting jobs of one class and size. */
interface SizeQueue {
  /** Jobs that can still start within the bound, as their team's limit allows, in the order of the queue. */
  readonly startable: ActiveJob[];
  /** Number of jobs that have waited long enough to count as not started. */
  notStarted: number;
}

/** Would a job that is placed now, and pulls its image, start within the users' bound? */
function canStartInTime(job: ActiveJob, context: PlanningContext): boolean {
  const waitedS = (context.wallMs - job.objectivesCountFromMs) / 1000;
  return waitedS + expectedImagePullS(job, context) < START_BOUND_S;
}

function sizeQueues(queue: readonly ActiveJob[], context: PlanningContext): Map<string, SizeQueue> {
  const maxStartable = context.settings.zones.length;
  const sizes = new Map<string, SizeQueue>();
  for (const job of queue) {
    if (job.spec.kind !== "gang" || job.isSuspect || job.placementCount > 0) continue;
    const key = gangSizeKey(job.spec);
    let size = sizes.get(key);
    if (size === undefined) {
      size = { startable: [], notStarted: 0 };
      sizes.set(key, size);
    }
    if (waitedShareOfStartBound(job, context) >= COUNTED_AFTER_BOUND_SHARE) size.notStarted++;
    if (size.startable.length >= maxStartable) continue;
    if (context.cluster.quotaSlots(job.spec) < job.spec.tasks) continue;
    if (canStartInTime(job, context)) size.startable.push(job);
  }
  return sizes;
}

/**
 * Of each class, the first waiting jobs of the size with the smallest share of starts, if that is too small: one for
 * each zone, as a gang may be bound to one, and capacity is reserved for one gang in a zone at a time.
 */
function underservedJobs(
  queue: readonly ActiveJob[],
  context: PlanningContext,
): Map<string, readonly ActiveJob[]> {
  const jobs = new Map<string, readonly ActiveJob[]>();
  const shares = new Map<string, number>();
  for (const [key, { startable, notStarted }] of sizeQueues(queue, context)) {
    const [first] = startable;
    if (first === undefined || notStarted === 0) continue;
    const started = context.cluster.gangStarts.recentStarts(key, context.now);
    const share = (started + SMOOTHING) / (started + notStarted + SMOOTHING);
    if (share >= (shares.get(first.spec.class) ?? MIN_STARTED_SHARE)) continue;
    shares.set(first.spec.class, share);
    jobs.set(first.spec.class, startable);
  }
  return jobs;
}

/** Moves the jobs of sizes with too few starts before all others of their class; the others keep their order. */
export function promoteUnderservedSizes(queue: ActiveJob[], context: PlanningContext): ActiveJob[] {
  const promoted = underservedJobs(queue, context);
  if (promoted.size === 0) return queue;
  const moved = new Set([...promoted.values()].flat());
  const reordered: ActiveJob[] = [];
  for (const job of queue) {
    reordered.push(...(promoted.get(job.spec.class) ?? []));
    promoted.delete(job.spec.class);
    if (!moved.has(job)) reordered.push(job);
  }
  return reordered;
}
