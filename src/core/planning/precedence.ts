/** How strongly a job holds its place: production, then what is within a guarantee, then the rest. */
import type { LiveJob } from "../live-job.js";

const WITHIN_GUARANTEE = 10;
const BEYOND_GUARANTEE = 20;

/**
 * The strongest first: production, then what is within its team's guarantee, then the rest, each by priority. Only
 * the stronger preempts, so two jobs can never stop each other in turn.
 */
export function precedenceOf(job: LiveJob, within: ReadonlySet<string>): number {
  if (job.spec.priority === "production") return 0;
  return within.has(job.spec.id) ? WITHIN_GUARANTEE + job.rank : beyondGuarantee(job.rank);
}

/** The precedence of work beyond its team's guarantee, by its priority. */
export const beyondGuarantee = (rank: number): number => BEYOND_GUARANTEE + rank;

export const isProduction = (precedence: number): boolean => precedence < WITHIN_GUARANTEE;

/** Production, or within its team's guarantee. */
export const isGuaranteed = (precedence: number): boolean => precedence < BEYOND_GUARANTEE;
