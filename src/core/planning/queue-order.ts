/** Orders the waiting jobs. Capacity is assigned in this order, except as `promoteUnderservedSizes` changes it. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { PlanningContext } from "./context.js";
import { isProduction, precedenceBeyondGuarantee } from "./precedence.js";
import { markStarvingJobs } from "./starvation.js";
import { estimatedMachineSeconds, type Urgency, urgencyOf } from "./urgency.js";

/** Precedence of jobs suspected of failing on every machine. They come after all other jobs. */
const SUSPECT_PRECEDENCE = 40;

/** Precedence of starving jobs. They come directly after production jobs. */
const STARVING_PRECEDENCE = 1;

/** Returns the waiting jobs, the most urgent first, and sets `isStarving` and `canStillMeetGuarantee` of each. */
export function orderQueue(context: PlanningContext): ActiveJob[] {
  const waiting = waitingJobs(context);
  const urgencies = new Map<ActiveJob, Urgency>();
  for (const job of waiting) urgencies.set(job, urgencyOf(job, context));
  markStarvingJobs(waiting, context);
  markReachableGuarantees(waiting, context);
  return waiting.sort((first, second) => {
    const [firstUrgency, secondUrgency] = [urgencies.get(first)!, urgencies.get(second)!];
    return (
      queuePrecedence(first) - queuePrecedence(second) ||
      firstUrgency.lateness - secondUrgency.lateness ||
      (first.isStarving && second.isStarving
        ? 0
        : estimatedMachineSeconds(first) - estimatedMachineSeconds(second)) ||
      firstUrgency.latestStartAtMs - secondUrgency.latestStartAtMs ||
      first.submittedAtMs - second.submittedAtMs ||
      (first.spec.id < second.spec.id ? -1 : 1)
    );
  });
}

function waitingJobs(context: PlanningContext): ActiveJob[] {
  const waiting: ActiveJob[] = [];
  for (const job of context.cluster.jobs.values()) {
    if (job.isCancelled || job.isComplete || context.now < job.backoffUntil) continue;
    // Jobs blocked on dependencies are not queued, so they neither reserve capacity nor trigger a scale-out.
    if (job.isBlockedOnDependencies) continue;
    if (job.pendingCount > 0) waiting.push(job);
    else job.recordNothingWaits();
  }
  return waiting;
}

/**
 * Sets `canStillMeetGuarantee`: for a gang, whether a start now still meets the longest of the guarantee
 * objectives. It is true for other jobs, and for all jobs if the settings have no guarantee objective.
 */
function markReachableGuarantees(waiting: readonly ActiveJob[], context: PlanningContext): void {
  const guarantees = context.settings.objectives.filter(({ kind }) => kind === "guarantee");
  const longestS = Math.max(...guarantees.map(({ withinS }) => withinS ?? Infinity));
  for (const job of waiting) {
    job.canStillMeetGuarantee =
      job.spec.kind !== "gang" ||
      guarantees.length === 0 ||
      context.wallMs - job.objectivesStartMs <= 1000 * longestS;
  }
}

function queuePrecedence(job: ActiveJob): number {
  // A job that fails on every machine never goes ahead of one that does not.
  if (job.isSuspect) return SUSPECT_PRECEDENCE;
  if (job.isStarving) return Math.min(STARVING_PRECEDENCE, job.precedence);
  // Gangs within a guarantee go first only while the guarantee can still be met. Without this rule, gangs that were
  // already late stayed ahead of all others in a burst, in order of arrival, and made every job late.
  return job.canStillMeetGuarantee || isProduction(job.precedence)
    ? job.precedence
    : precedenceBeyondGuarantee(job.effectiveRank);
}
