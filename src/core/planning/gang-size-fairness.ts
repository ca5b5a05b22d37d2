/**
 * Fairness between gang sizes within a class, so that no size starves in a backlog.
 *
 * The queue puts small gangs first, because objectives count each gang once, whatever its size. In a lasting backlog
 * this order starts few large gangs: in a burst of four times the usual number of jobs, less than half of the gangs
 * of four started within the bound `START_LATENCY_BOUND_S`. Therefore recent starts are counted by class and size.
 * While fewer than `MIN_STARTED_SHARE` of the gangs of some size started, the first queued jobs of the size with the
 * smallest share go before all others of their class.
 */

import type { ActiveJob } from "../jobs/active-job.js";
import { gangSizeKey } from "../jobs/gang-starts.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { PlanningContext } from "./context.js";
import { expectedImagePullS, waitedShareOfStartBound } from "./urgency.js";

/**
 * Share of the gangs of each size that should start in time. The objective demands one half; a fifth of that is added
 * as a margin.
 */
const MIN_STARTED_SHARE = 0.6;

/**
 * Number added both to the started jobs and to the total when the share of started jobs is computed, so that a single
 * job does not decide the result while these numbers are small.
 */
const SMOOTHING = 1;

/** Share of `START_LATENCY_BOUND_S` after which a waiting job counts as not started. */
const NOT_STARTED_AFTER_BOUND_SHARE = 1 / 8;

/** Waiting jobs of one class and size. */
interface SizeQueue {
  /**
   * The first jobs in queue order that can still start within the bound and their team's quota, at most as many as
   * there are zones.
   */
  readonly startable: ActiveJob[];
  /** Number of jobs that have waited long enough to count as not started. */
  notStarted: number;
}

/** Whether the job, if placed now, would start within `START_LATENCY_BOUND_S` including its image pull. */
function canStartInTime(job: ActiveJob, context: PlanningContext): boolean {
  const waitedS = (context.wallMs - job.objectivesStartMs) / 1000;
  return waitedS + expectedImagePullS(job, context) < START_LATENCY_BOUND_S;
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
    if (waitedShareOfStartBound(job, context) >= NOT_STARTED_AFTER_BOUND_SHARE) size.notStarted++;
    if (size.startable.length >= maxStartable) continue;
    if (context.cluster.quotaSlots(job.spec) < job.spec.tasks) continue;
    if (canStartInTime(job, context)) size.startable.push(job);
  }
  return sizes;
}

/**
 * Returns, by class, the first waiting jobs of the size with the smallest share of starts, if that share is too
 * small. For each class, at most as many jobs are returned as there are zones, because a gang may have to be in one
 * zone, and capacity is reserved for only one gang per zone at a time.
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
    const started = context.cluster.gangStarts.countRecentStarts(key, context.now);
    const share = (started + SMOOTHING) / (started + notStarted + SMOOTHING);
    if (share >= (shares.get(first.spec.class) ?? MIN_STARTED_SHARE)) continue;
    shares.set(first.spec.class, share);
    jobs.set(first.spec.class, startable);
  }
  return jobs;
}

/** Moves jobs of sizes with too few starts ahead of all others in their class. The others keep their order. */
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
