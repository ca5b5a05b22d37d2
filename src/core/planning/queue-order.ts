/** The order in which waiting jobs are offered room. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { PlanningContext } from "./context.js";
import { isProduction, precedenceBeyondGuarantee } from "./precedence.js";
import { markStarvingJobs } from "./starvation.js";
import { estimatedMachineSeconds, type Urgency, urgencyOf } from "./urgency.js";

/** Waiting jobs, the most urgent first. */
export function orderQueue(ctx: PlanningContext, within: ReadonlySet<string>): ActiveJob[] {
  const waiting: ActiveJob[] = [];
  for (const job of ctx.cluster.jobs.values()) {
    if (job.isCancelled || job.isComplete || ctx.now < job.backoffUntil) continue;
    // What waits for other jobs stands in no line, holds no part of anything and drives no rental.
    if (job.isBlockedOnDependencies) continue;
    if (job.pendingCount > 0) waiting.push(job);
    else job.waitingSince = null;
  }
  const urgency = new Map<ActiveJob, Urgency>();
  for (const j of waiting) urgency.set(j, urgencyOf(j, ctx, within));
  const starving = markStarvingJobs(waiting, ctx);
  const promises = ctx.settings.objectives.filter((o) => o.kind === "guarantee");
  const promisedS = Math.max(...promises.map((o) => o.withinS ?? Infinity));
  for (const j of waiting) {
    const kept = promises.length === 0 || ctx.wallMs - j.objectivesCountFromMs <= 1000 * promisedS;
    j.guaranteeStillReachable = j.spec.kind !== "gang" || kept;
  }
  const queueOf = (j: ActiveJob): number => {
    // What fails wherever it goes never goes before what has not failed.
    if (j.isSuspect) return SUSPECTED_PRECEDENCE;
    if (starving.has(j)) return Math.min(1, j.precedence);
    // Gangs within a guarantee go first while that can still be kept. (In a burst those that were
    // late already went on before all others, in order of arrival, and everybody was late.)
    return j.guaranteeStillReachable || isProduction(j.precedence)
      ? j.precedence
      : precedenceBeyondGuarantee(j.effectiveRank);
  };
  return waiting.sort((a, b) => {
    const [ua, ub] = [urgency.get(a)!, urgency.get(b)!];
    return (
      queueOf(a) - queueOf(b) ||
      ua.lateness - ub.lateness ||
      (starving.has(a) && starving.has(b)
        ? 0
        : estimatedMachineSeconds(a) - estimatedMachineSeconds(b)) ||
      ua.latestStartAtMs - ub.latestStartAtMs ||
      a.submittedAtMs - b.submittedAtMs ||
      (a.spec.id < b.spec.id ? -1 : 1)
    );
  });
}

/** Behind every other place in line. */
const SUSPECTED_PRECEDENCE = 40;
