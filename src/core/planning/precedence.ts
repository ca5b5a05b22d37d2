/** Precedence of jobs: production first, then jobs within their team's guarantee, then the rest. */
import type { ActiveJob } from "../jobs/active-job.js";

/** Precedence of the most urgent rank within a guarantee; production is below it. */
const GUARANTEED_PRECEDENCE = 10;

/** Precedence of the most urgent rank beyond a guarantee. */
const UNGUARANTEED_PRECEDENCE = 20;

/**
 * The precedence of a job, the lower the stronger. Only a stronger job preempts, so two jobs can never stop each other
 * in turn. `guaranteedJobs`: ids of the jobs within their team's guarantee.
 */
export function precedenceOf(job: ActiveJob, guaranteedJobs: ReadonlySet<string>): number {
  if (job.spec.priority === "production") return 0;
  return guaranteedJobs.has(job.spec.id)
    ? GUARANTEED_PRECEDENCE + job.effectiveRank
    : precedenceBeyondGuarantee(job.effectiveRank);
}

/** The precedence of a job beyond its team's guarantee, by its rank. */
export const precedenceBeyondGuarantee = (rank: number): number => UNGUARANTEED_PRECEDENCE + rank;

/** Is this the precedence of production jobs? */
export const isProduction = (precedence: number): boolean => precedence < GUARANTEED_PRECEDENCE;

/** Is this the precedence of production jobs, or of jobs within their team's guarantee? */
export const isGuaranteed = (precedence: number): boolean => precedence < UNGUARANTEED_PRECEDENCE;
