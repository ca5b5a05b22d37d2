/**
 * Sharding of large jobs. A job with too many tasks for one value is stored in several values: one for the job
 * itself, and one for each shard. A shard is a range of consecutive tasks, of which at least one is not done. As soon
 * as all its tasks are done, the range is recorded in the job's own value, and the shard's key is deleted in the
 * same transaction.
 *
 * The values can be written independently of each other. Each write is conditional on the mod revision of the job's
 * own value, which changes whenever a shard is deleted, so a delayed copy of a write cannot restore a deleted shard.
 */

import type { JobSpec } from "../model/jobs.js";

/** Largest size in bytes of one active task in a value: its machine, its number and the separators. */
const TASK_BYTES = 24;
/** Share of a value that its tasks may take. The rest is reserved for attempts and incarnations. */
const FILL_RATIO = 0.9;
/** Share of an unsharded array's only value that its tasks and its fixed part (see `fixedJobBytes`) may take. */
const UNSHARDED_FILL_RATIO = 0.95;
/**
 * Bytes of one active task of an array if one or two other tasks of the array are on the same machine: its number
 * twice, and its share of the machine's name, which is stored once for all of them.
 */
const PACKED_TASK_BYTES = 16;
/** Bytes that a value takes for each distinct pair of attempt and incarnation. */
export const ATTEMPT_BYTES = 24;
/** Bytes of an unsharded job's value in addition to its spec and its tasks. */
const JOB_OVERHEAD_BYTES = 400;
/** An array is sharded if it has more tasks than this many shards hold, or too many for one value. */
const MINIMUM_SHARDS = 2;
/**
 * Size of the shards of a gang or service, as a share of the usual size. The state service may turn out to accept
 * only smaller values than the settings say. An array's values can then be made smaller by placing fewer of its tasks
 * at a time, but all tasks of a gang or service are placed at the same time. Its shards are therefore small from the
 * start.
 */
const ALL_AT_ONCE_SHARD_RATIO = 1 / 4;

/**
 * Largest number of tasks per shard for which a shard's value never exceeds `valueBytes`, regardless of the order in
 * which the tasks end.
 */
export function shardSizeFor(valueBytes: number): number {
  return Math.max(1, Math.floor((FILL_RATIO * valueBytes) / TASK_BYTES));
}

/** Whether the job's own value can be stored at all: it always contains the job's description. */
export const fitsDescription = (spec: JobSpec, valueBytes: number): boolean =>
  JSON.stringify(spec).length <= valueBytes;

/** Size in bytes of a job's value without its tasks. */
export function fixedJobBytes(spec: JobSpec): number {
  return JOB_OVERHEAD_BYTES + JSON.stringify(spec).length;
}

/**
 * Whether a job must be stored in shards. Smaller jobs are stored in one value, which takes one write per change
 * instead of several. An array can still make progress if only as many of its tasks are placed at a time as one value
 * holds, but the tasks of a gang or service must all run at the same time. If a gang with more tasks than fit
 * into one value were not sharded, the state service would refuse every attempt to write it, together with all other
 * changes in the same transaction.
 */
export function needsShards(spec: JobSpec, valueBytes: number): boolean {
  const size = shardSizeFor(valueBytes);
  if (spec.kind !== "array") return spec.tasks > size / 2 || mayOutgrowOneValue(spec, valueBytes);
  // The size of the spec must be included. With a limit of 2 KiB, a spec took half of the value, so that only 30
  // tasks of an array of 60 could be placed at a time.
  const maxActiveTasks =
    (UNSHARDED_FILL_RATIO * valueBytes - fixedJobBytes(spec)) / PACKED_TASK_BYTES;
  return spec.tasks > Math.min(MINIMUM_SHARDS * size, Math.max(1, maxActiveTasks));
}

/**
 * Whether the value of a gang or service may outgrow its size limit, with each task on a machine of its own and with an
 * attempt of its own. In a service, each replica that is started again gets an attempt of its own.
 */
function mayOutgrowOneValue(spec: JobSpec, valueBytes: number): boolean {
  if (spec.tasks < 2) return false;
  const bytes = fixedJobBytes(spec) + spec.tasks * (TASK_BYTES + ATTEMPT_BYTES);
  return bytes > UNSHARDED_FILL_RATIO * valueBytes;
}

/** Number of tasks in each shard of a new job. */
export function initialShardSize(spec: JobSpec, valueBytes: number): number {
  const size = shardSizeFor(valueBytes);
  return spec.kind === "array" ? size : Math.max(1, Math.floor(ALL_AT_ONCE_SHARD_RATIO * size));
}

/**
 * Number of tasks that may be active at the same time in an array's shard of `size` tasks, so that its value does not
 * exceed `valueBytes`. The rest of the value is reserved for the done tasks; in the worst case every other task is
 * done.
 */
export function maxActiveTasksInShard(size: number, valueBytes: number): number {
  if (size <= shardSizeFor(valueBytes)) return size;
  const doneBytes = Math.ceil(size / 2) * (String(size).length + 1);
  return Math.max(1, Math.floor((FILL_RATIO * valueBytes - doneBytes) / TASK_BYTES));
}

/**
 * Number of tasks in each shard of an active job that is resharded. All its shards and the job's own value must fit
 * into one transaction, which may contain `txnOps` changes.
 */
export function shardSizeForResharding(spec: JobSpec, valueBytes: number, txnOps: number): number {
  const maxShards = Math.max(1, txnOps - 1);
  return Math.max(initialShardSize(spec, valueBytes), Math.ceil(spec.tasks / maxShards));
}

/**
 * The leader's state for one stored value of a job: the versions of the job at which the value last changed and was
 * last stored, and the attempt numbers of its tasks.
 */
export class JobShard {
  /** Versions of the job at which the shard last changed, last got a placement, and was last stored. */
  changedVersion = 0;
  placedVersion = 0;
  persistedVersion = 0;
  /** Mod revision of the stored value; 0 if none is stored. */
  modRevision = 0;
  /**
   * In the main shard, the number of the next attempt. In any other shard, the newest attempt number. If no task
   * has been placed since the shard was loaded, it is the number for the next attempt.
   */
  attempt = 1;
  /** The last attempt number that `nextAttempt` chose for each task. */
  private readonly lastAttempts = new Map<number, number>();

  constructor(
    /** Index of the shard; -1 for the main shard, which is the job's own value. */
    readonly index: number,
    readonly firstTask: number,
    /** Exclusive end: the number of the task after the shard's last one. */
    readonly endTask: number,
  ) {}

  get isUnpersisted(): boolean {
    return this.changedVersion > this.persistedVersion;
  }

  /** Whether a placement in the shard is not stored yet. Its task must not start before it is. */
  get hasUnpersistedPlacement(): boolean {
    return this.placedVersion > this.persistedVersion;
  }

  /** Whether the shard is stored with all changes up to this version of the job. */
  isPersisted(version: number): boolean {
    return this.persistedVersion >= version || !this.isUnpersisted;
  }

  /**
   * Chooses the number for the next attempt of a task. Tasks share the shard's current number, `attempt`. It is
   * raised only if the task has already used it, so that few distinct numbers are stored.
   */
  nextAttempt(task: number): number {
    if ((this.lastAttempts.get(task) ?? 0) >= this.attempt) this.attempt++;
    this.lastAttempts.set(task, this.attempt);
    return this.attempt;
  }

  /** Raises the shard's attempt number to the number that all tasks of a gang share, and returns the latter. */
  adoptGangAttempt(attempt: number): number {
    this.attempt = Math.max(this.attempt, attempt);
    return attempt;
  }
}
