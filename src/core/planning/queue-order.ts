/** The order in which waiting jobs are offered room. */
import type { LiveJob } from "../live-job.js";
import type { PlanContext } from "./context.js";
import { beyondGuarantee, isProduction } from "./precedence.js";
import { starvingOf } from "./starvation.js";
import { area, type Urgency, urgencyOf } from "./urgency.js";

/** Waiting jobs, the most urgent first. */
export function order(ctx: PlanContext, within: ReadonlySet<string>): LiveJob[] {
  const waiting: LiveJob[] = [];
  for (const job of ctx.cluster.jobs.values()) {
    if (job.cancelled || job.complete || ctx.now < job.backoffUntil) continue;
    // What waits for other jobs stands in no line, holds no part of anything and drives no rental.
    if (job.waits) continue;
    if (job.pendingCount > 0) waiting.push(job);
    else job.waitingSince = null;
  }
  const urgency = new Map<LiveJob, Urgency>();
  for (const j of waiting) urgency.set(j, urgencyOf(j, ctx, within));
  const starving = starvingOf(waiting, ctx);
  const promises = ctx.settings.objectives.filter((o) => o.kind === "guarantee");
  const promisedS = Math.max(...promises.map((o) => o.withinS ?? Infinity));
  for (const j of waiting) {
    const kept = promises.length === 0 || ctx.wallMs - j.countsFrom <= 1000 * promisedS;
    j.inTime = j.spec.kind !== "gang" || kept;
  }
  const queueOf = (j: LiveJob): number => {
    // What fails wherever it goes never goes before what has not failed.
    if (j.suspected) return SUSPECT_QUEUE;
    if (starving.has(j)) return Math.min(1, j.precedence);
    // Gangs within a guarantee go first while that can still be kept. (In a burst those that were
    // late already went on before all others, in order of arrival, and everybody was late.)
    return j.inTime || isProduction(j.precedence) ? j.precedence : beyondGuarantee(j.rank);
  };
  return waiting.sort((a, b) => {
    const [ua, ub] = [urgency.get(a)!, urgency.get(b)!];
    return (
      queueOf(a) - queueOf(b) ||
      ua.late - ub.late ||
      (starving.has(a) && starving.has(b) ? 0 : area(a) - area(b)) ||
      ua.at - ub.at ||
      a.submittedAt - b.submittedAt ||
      (a.spec.id < b.spec.id ? -1 : 1)
    );
  });
}

/** Behind every other place in line. */
const SUSPECT_QUEUE = 40;
