/**
 * Encodes an active job and its shards as stored values, and computes the largest size that a job's value may reach.
 */

import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import { ATTEMPT_BYTES, fixedJobBytes, type JobShard } from "./job-shards.js";
import { encodePlacements } from "./stored-placements.js";
import { encodeJobRecord, encodeJobShardRecord } from "./stored-values.js";

/** Bytes of the separators around a machine's name in a value. */
const MACHINE_NAME_OVERHEAD_BYTES = 6;
/** Which tasks of closed shards a job's own value lists. */
export type ListedTasks = "closed shards" | "none";

/**
 * Encodes the job's own value. A sharded job that is cancelled may leave out the tasks of its closed shards, as no task
 * of it starts any more.
 */
export function encodeJob(
  job: ActiveJob,
  listedTasks: ListedTasks = "closed shards",
): ReturnType<typeof encodeJobRecord> {
  const isSharded = job.shardSize !== null;
  return encodeJobRecord({
    spec: job.spec,
    submittedAtMs: job.submittedAtMs,
    residuals: job.residualsText,
    version: job.version,
    nextAttempt: job.mainShard.attempt,
    ownerEpoch: job.ownerEpoch,
    doneTasks: isSharded ? tasksOfClosedShards(job, listedTasks) : job.doneTasks.toString(),
    placements: isSharded ? [] : encodePlacements(job.placements.values(), 0),
    shardSize: job.shardSize,
  });
}

/**
 * Task ranges of the closed shards. Consecutive closed shards are merged into one range. Once all tasks are done, they
 * are a single range, also while some shards are still stored.
 */
function tasksOfClosedShards(job: ActiveJob, listedTasks: ListedTasks): string {
  if (listedTasks === "none") return "";
  if (job.isComplete) return `0-${job.spec.tasks - 1}`;
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

/** Largest size in bytes of a sharded job's own value once one more shard is closed. */
export function valueBytesWithClosedShard(job: ActiveJob, shard: JobShard): number {
  const rangeBytes = 2 * taskNumberBytes(job);
  return fixedValueBytes(job) + rangeBytes * job.closedShards.rangeCountWith(shard.index);
}

/** Encodes the value of one shard of a job. */
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
    newestAttempt: shard.attempt,
    doneTasks: TaskRanges.of(done).toString(),
    placements: encodePlacements(placed, shard.firstTask),
  });
}

/** Largest size in bytes of a task number of this job in a value, including its separator. */
export function taskNumberBytes(job: ActiveJob): number {
  return String(job.spec.tasks).length + 1;
}

/** Size in bytes of a job's value without its tasks. Recomputed only when the job's residuals change. */
const fixedSizeCache = new WeakMap<ActiveJob, { residuals: readonly string[]; bytes: number }>();

function fixedValueBytes(job: ActiveJob): number {
  const cached = fixedSizeCache.get(job);
  if (cached !== undefined && cached.residuals === job.residualsText) return cached.bytes;
  const bytes = fixedJobBytes(job.spec) + JSON.stringify(job.residualsText).length;
  fixedSizeCache.set(job, { residuals: job.residualsText, bytes });
  return bytes;
}

/**
 * Largest size in bytes that the job's value may reach, in whichever order its tasks end. In the worst case each
 * running task is a range of its own, both in the placements and between the done tasks.
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
