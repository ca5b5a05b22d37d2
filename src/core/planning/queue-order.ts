/** The order in which waiting jobs are offered capacity. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { PlanningContext } from "./context.js";
import { isProduction, precedenceBeyondGuarantee } from "./precedence.js";
import { markStarvingJobs } from "./starvation.js";
import { estimatedMachineSeconds, type Urgency, urgencyOf } from "./urgency.js";

/** Precedence of suspected jobs: after that of all other jobs. */
const SUSPECTED_PRECEDENCE = 40;

/** Precedence of starving jobs: right after production. */
const STARVING_PRECEDENCE = 1;

/** The waiting jobs, the most urgent first. Sets `isStarving` and `guaranteeStillReachable` of each. */
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
    // A job blocked on dependencies is not queued, and neither reserves capacity nor causes a scale-out.
    if (job.isBlockedOnDependencies) continue;
    if (job.pendingCount > 0) waiting.push(job);
    else job.waitingSince = null;
  }
  return waiting;
}

/** For gangs: a start now is still in time for the longest of the objectives on guarantees. */
function markReachableGuarantees(waiting: readonly ActiveJob[], context: PlanningContext): void {
  const guarantees = context.settings.objectives.filter(({ kind }) => kind === "guarantee");
  const longestS = Math.max(...guarantees.map(({ withinS }) => withinS ?? Infinity));
  for (const job of waiting) {
    job.guaranteeStillReachable =
      job.spec.kind !== "gang" ||
      guarantees.length === 0 ||
      context.wallMs - job.objectivesCountFromMs <= 1000 * longestS;
  }
}

function queuePrecedence(job: ActiveJob): number {
  // A job that fails everywhere never goes before one that has not failed.
  if (job.isSuspect) return SUSPECTED_PRECEDENCE;
  if (job.isStarving) return Math.min(STARVING_PRECEDENCE, job.precedence);
  // Gangs within a guarantee go first while the guarantee can still be met. (In a burst, those that were late already
  // went on before all others, in order of arrival, and everybody was late.)
  return job.guaranteeStillReachable || isProduction(job.precedence)
    ? job.precedence
    : precedenceBeyondGuarantee(job.effectiveRank);
}
