/** How strongly a job holds its place: production, then what is within a guarantee, then the rest. */
import type { ActiveJob } from "../jobs/active-job.js";

const GUARANTEED_PRECEDENCE = 10;
const UNGUARANTEED_PRECEDENCE = 20;

/**
 * The strongest first: production, then what is within its team's guarantee, then the rest, each by priority. Only
 * the stronger preempts, so two jobs can never stop each other in turn.
 */
export function precedenceOf(job: ActiveJob, within: ReadonlySet<string>): number {
  if (job.spec.priority === "production") return 0;
  return within.has(job.spec.id)
    ? GUARANTEED_PRECEDENCE + job.effectiveRank
    : precedenceBeyondGuarantee(job.effectiveRank);
}

/** The precedence of work beyond its team's guarantee, by its priority. */
export const precedenceBeyondGuarantee = (rank: number): number => UNGUARANTEED_PRECEDENCE + rank;

export const isProduction = (precedence: number): boolean => precedence < GUARANTEED_PRECEDENCE;

/** Production, or within its team's guarantee. */
export const isGuaranteed = (precedence: number): boolean => precedence < UNGUARANTEED_PRECEDENCE;
