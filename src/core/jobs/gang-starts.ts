/** How many gangs of each class and size started lately, within the users' bound on starting. */
import { START_BOUND_S } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";

interface StartedJob {
  readonly spec: JobSpec;
}

/** Names the class and size that a gang belongs to. */
export const gangSizeKey = (spec: JobSpec): string => `${spec.class} ${spec.tasks}`;

/** Times at which gangs started, by class and size. Not stored: a new leader counts anew. */
export class GangStarts {
  private readonly startTimes = new Map<string, number[]>();
  private readonly counted = new WeakSet<StartedJob>();

  /** A job was placed. A gang counts once, however often it starts again; other jobs do not count. */
  noteStart(job: StartedJob, now: number): void {
    if (job.spec.kind !== "gang" || this.counted.has(job)) return;
    this.counted.add(job);
    const key = gangSizeKey(job.spec);
    const times = this.startTimes.get(key);
    if (times === undefined) this.startTimes.set(key, [now]);
    else times.push(now);
  }

  /** How many of a class and size started within the last `START_BOUND_S` seconds. */
  recentStarts(key: string, now: number): number {
    const times = this.startTimes.get(key);
    if (times === undefined) return 0;
    while (times.length > 0 && now - times[0]! > START_BOUND_S) times.shift();
    return times.length;
  }
}
