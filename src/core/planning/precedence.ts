/** Computes the precedence of jobs: production first, then jobs within their team's guarantee, then all others. */
import type { ActiveJob } from "../jobs/active-job.js";

/** Precedence of the most urgent rank within a guarantee. Production jobs have a lower number. */
const GUARANTEED_PRECEDENCE = 10;

/** Precedence of the most urgent rank beyond the team's guarantee. */
const UNGUARANTEED_PRECEDENCE = 20;

/**
 * The precedence of a job. A lower number takes precedence over a higher one. A job preempts only jobs with a higher
 * number, so two jobs cannot preempt each other in turn. `guaranteedJobs`: ids of the jobs within their team's
 * guarantee.
 */
export function precedenceOf(job: ActiveJob, guaranteedJobs: ReadonlySet<string>): number {
  if (job.spec.priority === "production") return 0;
  return guaranteedJobs.has(job.spec.id)
    ? GUARANTEED_PRECEDENCE + job.effectiveRank
    : precedenceBeyondGuarantee(job.effectiveRank);
}

/** The precedence of a job beyond its team's guarantee, from its rank. */
export const precedenceBeyondGuarantee = (rank: number): number => UNGUARANTEED_PRECEDENCE + rank;

/** Whether this is the precedence of production jobs. */
export const isProduction = (precedence: number): boolean => precedence < GUARANTEED_PRECEDENCE;

/** Whether this is the precedence of production jobs or of jobs within their team's guarantee. */
export const isGuaranteed = (precedence: number): boolean => precedence < UNGUARANTEED_PRECEDENCE;
