/** Encoding of an active job and its shards into stored values, and the most bytes that a job's value may take. */

import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import { fixedJobBytes, type JobShard } from "./job-shards.js";
import { encodePlacements } from "./stored-placements.js";
import { encodeJobRecord, encodeJobShardRecord } from "./stored-values.js";

/** Separators around a machine's name in a value, in bytes. */
const MACHINE_NAME_OVERHEAD_BYTES = 6;
/** What a value says of each attempt and incarnation, in bytes. */
const ATTEMPT_BYTES = 24;

/** The job's own value. */
export function encodeJob(job: ActiveJob): ReturnType<typeof encodeJobRecord> {
  const isSharded = job.shardSize !== null;
  return encodeJobRecord({
    spec: job.spec,
    submittedAtMs: job.submittedAtMs,
    residuals: job.residualsText,
    version: job.version,
    nextAttempt: job.mainShard.attempt,
    ownerEpoch: job.ownerEpoch,
    doneTasks: isSharded ? tasksOfClosedShards(job) : job.doneTasks.toString(),
    placements: isSharded ? [] : encodePlacements(job.placements.values(), 0),
    shardSize: job.shardSize,
  });
}

/** Tasks of terminal shards, as ranges: those of neighbouring shards are one range. */
function tasksOfClosedShards(job: ActiveJob): string {
  const size = job.shardSize!;
  const shards = Math.ceil(job.spec.tasks / size);
  const ranges: string[] = [];
  let firstClosed: number | null = null;
  for (let index = 0; index <= shards; index++) {
    const isClosed = index < shards && job.closedShards.has(index);
    if (isClosed) {
      firstClosed ??= index;
    } else if (firstClosed !== null) {
      const endTask = Math.min(job.spec.tasks, index * size);
      ranges.push(`${firstClosed * size}-${endTask - 1}`);
      firstClosed = null;
    }
  }
  return ranges.join(",");
}

/** The value of one shard of a job. */
export function encodeJobShard(
  job: ActiveJob,
  shard: JobShard,
): ReturnType<typeof encodeJobShardRecord> {
  const done: number[] = [];
  const placed: Placement[] = [];
  for (let task = shard.firstTask; task < shard.endTask; task++) {
    if (job.doneTasks.has(task)) done.push(task - shard.firstTask);
    const placement = job.placements.get(task);
    if (placement !== undefined) placed.push(placement);
  }
  return encodeJobShardRecord({
    version: job.version,
    nextAttempt: shard.attempt,
    doneTasks: TaskRanges.of(done).toString(),
    placements: encodePlacements(placed, shard.firstTask),
  });
}

/** The most bytes that a task number of this job takes in a value, with its separator. */
export function taskNumberBytes(job: ActiveJob): number {
  return String(job.spec.tasks).length + 1;
}

/** Bytes of a job's value without its tasks, counted once for each of its residuals. */
const fixedSizeCache = new WeakMap<ActiveJob, { residuals: readonly string[]; bytes: number }>();

function fixedValueBytes(job: ActiveJob): number {
  const cached = fixedSizeCache.get(job);
  if (cached !== undefined && cached.residuals === job.residualsText) return cached.bytes;
  const bytes = fixedJobBytes(job.spec) + JSON.stringify(job.residualsText).length;
  fixedSizeCache.set(job, { residuals: job.residualsText, bytes });
  return bytes;
}

/**
 * The most bytes that the job's value may take as its tasks end in any order: at the worst each task under way is a
 * range of its own, among those placed and between those done.
 */
export function maxValueBytes(job: ActiveJob): number {
  const machineAttempts = new Set<string>();
  const attempts = new Set<string>();
  for (const placement of job.placements.values()) {
    machineAttempts.add(`${placement.machine.name} ${placement.attempt}`);
    attempts.add(`${placement.attempt} ${placement.incarnation}`);
  }
  let nameBytes = 0;
  for (const machineAttempt of machineAttempts) {
    nameBytes += machineAttempt.length + MACHINE_NAME_OVERHEAD_BYTES;
  }
  const taskBytes = 2 * taskNumberBytes(job) * (job.placements.size + job.doneTasks.rangeCount);
  return fixedValueBytes(job) + nameBytes + ATTEMPT_BYTES * attempts.size + taskBytes;
}
