/** Counts the recent starts of gangs by class and size, so that capacity can be shared fairly between gang sizes. */
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";

interface StartedJob {
  readonly spec: JobSpec;
}

/** Returns the key of a gang's class and size. */
export const gangSizeKey = (spec: JobSpec): string => `${spec.class} ${spec.tasks}`;

/**
 * Start times of gangs, by class and size. A gang counts as started when it is first placed. The times are not
 * stored: a new leader counts every gang that has placements as started at the takeover.
 */
export class GangStarts {
  private readonly startTimes = new Map<string, number[]>();
  private readonly countedJobs = new WeakSet<StartedJob>();

  /** Records that a job was placed. A gang is counted once, even if it restarts; other jobs are not counted. */
  recordStart(job: StartedJob, now: number): void {
    if (job.spec.kind !== "gang" || this.countedJobs.has(job)) return;
    this.countedJobs.add(job);
    const key = gangSizeKey(job.spec);
    const times = this.startTimes.get(key);
    if (times === undefined) this.startTimes.set(key, [now]);
    else times.push(now);
  }

  /** Number of gangs with this key that started within the last `START_LATENCY_BOUND_S` seconds. */
  countRecentStarts(key: string, now: number): number {
    const times = this.startTimes.get(key);
    if (times === undefined) return 0;
    while (times.length > 0 && now - times[0]! > START_LATENCY_BOUND_S) times.shift();
    return times.length;
  }
}
