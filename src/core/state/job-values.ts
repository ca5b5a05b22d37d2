/** The values in which a job stands in the state service, and the most bytes that they may come to. */

import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import { fixedJobBytes, type JobShard } from "./job-shards.js";
import type { StoredJob, StoredShard } from "./state-replica.js";
import { encodePlacements } from "./stored-placements.js";

/** What separates a machine's name from others, and what is said of each start, in bytes. */
const MACHINE_NAME_OVERHEAD_BYTES = 6;
const ATTEMPT_BYTES = 24;

/** The job's own value. */
export function encodeJob(job: ActiveJob): StoredJob {
  const own = job.shardSize === null;
  const value: StoredJob = {
    j: job.spec,
    at: job.submittedAtMs,
    r: job.residualsText,
    v: job.version,
    n: job.mainShard.attempt,
    o: job.ownerEpoch,
    done: own ? job.doneTasks.toString() : tasksOfClosedShards(job),
    pl: own ? encodePlacements(job.placements.values(), 0) : [],
  };
  return job.shardSize === null ? value : { ...value, c: job.shardSize };
}

/** Tasks of parts that are over, as ranges: neighbours are one. */
function tasksOfClosedShards(job: ActiveJob): string {
  const size = job.shardSize!;
  const parts = Math.ceil(job.spec.tasks / size);
  const ranges: string[] = [];
  let from: number | null = null;
  for (let n = 0; n <= parts; n++) {
    const over = n < parts && job.closedShards.has(n);
    if (over) from ??= n;
    else if (from !== null) {
      ranges.push(`${from * size}-${Math.min(job.spec.tasks, n * size) - 1}`);
      from = null;
    }
  }
  return ranges.join(",");
}

/** The value of one part of a job. */
export function encodeJobShard(job: ActiveJob, part: JobShard): StoredShard {
  const done: number[] = [];
  const placed: Placement[] = [];
  for (let t = part.firstTask; t < part.endTask; t++) {
    if (job.doneTasks.has(t)) done.push(t - part.firstTask);
    const p = job.placements.get(t);
    if (p !== undefined) placed.push(p);
  }
  return {
    v: job.version,
    n: part.attempt,
    done: TaskRanges.of(done).toString(),
    pl: encodePlacements(placed, part.firstTask),
  };
}

/** The most bytes that a number of this job and what separates it take in a value. */
export function taskNumberBytes(job: ActiveJob): number {
  return String(job.spec.tasks).length + 1;
}

/** Bytes of a job's value less what is said of its tasks, counted once for each of its residuals. */
const fixedSizeCache = new WeakMap<ActiveJob, { residuals: readonly string[]; bytes: number }>();

function fixedValueBytes(job: ActiveJob): number {
  const known = fixedSizeCache.get(job);
  if (known !== undefined && known.residuals === job.residualsText) return known.bytes;
  const bytes = fixedJobBytes(job.spec) + JSON.stringify(job.residualsText).length;
  fixedSizeCache.set(job, { residuals: job.residualsText, bytes });
  return bytes;
}

/**
 * The most bytes that the stored value may come to as tasks end in any order: then each task in
 * flight may stand by itself, among those placed and between those done.
 */
export function maxValueBytes(job: ActiveJob): number {
  const machines = new Set<string>();
  const starts = new Set<string>();
  for (const p of job.placements.values()) {
    machines.add(`${p.machine.name} ${p.attempt}`);
    starts.add(`${p.attempt} ${p.incarnation}`);
  }
  let names = 0;
  for (const m of machines) names += m.length + MACHINE_NAME_OVERHEAD_BYTES;
  const tasks = 2 * taskNumberBytes(job) * (job.placements.size + job.doneTasks.rangeCount);
  return fixedValueBytes(job) + names + ATTEMPT_BYTES * starts.size + tasks;
}
