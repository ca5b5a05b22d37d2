/** Reports jobs of which no further task can be placed because of the size of their stored value. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";

/** Seconds between two log lines on the same job. */
const REPORT_INTERVAL_S = 60;

/** Logs each such job at intervals, with the number of times that a task was not placed for this reason. */
export class ValueLimitReports {
  private readonly reportedAt = new WeakMap<ActiveJob, number>();
  private count = 0;

  constructor(private readonly context: LeaderContext) {}

  /** Records that a value of `bytes` bytes leaves no room for a further task of the job. */
  report(job: ActiveJob, bytes: number, now: number): void {
    this.count++;
    const reportedAt = this.reportedAt.get(job);
    if (reportedAt !== undefined && now - reportedAt < REPORT_INTERVAL_S) return;
    this.reportedAt.set(job, now);
    const limit = Math.floor(this.context.valueSizeLimit.plannedBytes);
    const fields = { job: job.spec.id, bytes, limit, count: this.count };
    this.context.warn("task not placed: value size limit", fields);
  }
}
