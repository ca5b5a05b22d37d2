/**
 * Sharding of large jobs. A job with too many tasks for one value is stored in several: one for the job itself, and
 * one for each shard, which is a range of consecutive tasks, at least one of which is active. When all tasks of a
 * shard are done, it is recorded as a range in the job's own value, and its key is deleted in the same transaction.
 *
 * The values can be written independently of each other. Each write is conditional on the mod revision of the job's
 * own value, which changes whenever a shard is deleted, so a delayed copy of a write cannot restore a deleted shard.
 */

import type { JobSpec } from "../model/jobs.js";

/** Largest size in bytes of one active task in a value: its machine, its number and the separators. */
const TASK_BYTES = 24;
/** Share of a value that its tasks may take. The rest is reserved for attempts and incarnations. */
const FILL_RATIO = 0.9;
/** Share of the single value of an unsharded array that its fixed part and its tasks may take. */
const UNSHARDED_FILL_RATIO = 0.95;
/**
 * Bytes of an array's task on a machine with one or two other tasks of the array: its number twice, and its share of
 * the machine's name.
 */
const PACKED_TASK_BYTES = 16;
/** Bytes of an unsharded job's value in addition to its spec and its tasks. */
const JOB_OVERHEAD_BYTES = 400;
/** An array that would need fewer shards than this stays unsharded. */
const MINIMUM_SHARDS = 2;
/**
 * Size of a gang's or service's shards as a share of the usual size. All tasks of such a job are placed at the same
 * time, so placing fewer tasks cannot make a value smaller later. The shards are therefore smaller from the start, in
 * case the state service accepts only smaller values than the settings say.
 */
const ALL_AT_ONCE_SHARD_RATIO = 1 / 4;

/**
 * Number of tasks per shard such that a shard's value does not exceed `valueBytes`, in whichever order its tasks end.
 */
export function shardSizeFor(valueBytes: number): number {
  return Math.max(1, Math.floor((FILL_RATIO * valueBytes) / TASK_BYTES));
}

/** Size in bytes of a job's value without its tasks. */
export function fixedJobBytes(spec: JobSpec): number {
  return JOB_OVERHEAD_BYTES + JSON.stringify(spec).length;
}

/**
 * Whether a job must be stored in shards. Smaller jobs are stored in one value, which takes one write per change
 * instead of several. An array can still make progress if only as many of its tasks are placed at a time as one value
 * holds, but the tasks of a gang or service must all run at the same time. (Before gangs were sharded, the state
 * service refused the write of a gang with more tasks than fit one value again and again, together with all other
 * changes in its transaction.)
 */
export function needsShards(spec: JobSpec, valueBytes: number): boolean {
  const size = shardSizeFor(valueBytes);
  if (spec.kind !== "array") return spec.tasks > size / 2;
  // The spec counts too: with a limit of 2 KiB it took half of the value, and an array of 60 tasks was placed 30 at a
  // time.
  const maxActiveTasks =
    (UNSHARDED_FILL_RATIO * valueBytes - fixedJobBytes(spec)) / PACKED_TASK_BYTES;
  return spec.tasks > Math.min(MINIMUM_SHARDS * size, Math.max(1, maxActiveTasks));
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

/** Number of tasks in each shard of an active job that is resharded. All its shards must fit one transaction. */
export function shardSizeForResharding(spec: JobSpec, valueBytes: number, txnOps: number): number {
  const maxShards = Math.max(1, txnOps - 1);
  return Math.max(initialShardSize(spec, valueBytes), Math.ceil(spec.tasks / maxShards));
}

/**
 * The leader's state for one stored value of a job: at which versions of the job it changed, and up to which version
 * it is stored.
 */
export class JobShard {
  /** Versions of the job at which the shard last changed, last got a placement, and was last stored. */
  changedVersion = 0;
  placedVersion = 0;
  persistedVersion = 0;
  /** Mod revision of the stored value; 0 if none is stored. */
  modRevision = 0;
  /** In the main shard the number of the next attempt; in any other shard the number of the newest attempt. */
  attempt = 1;
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
   * Chooses the number for the next attempt of a task. The current number is raised only if the task already had it,
   * so that few distinct numbers are stored.
   */
  nextAttempt(task: number): number {
    if ((this.lastAttempts.get(task) ?? 0) >= this.attempt) this.attempt++;
    this.lastAttempts.set(task, this.attempt);
    return this.attempt;
  }

  /** Uses the attempt number that all tasks of a gang share, and returns it. */
  adoptGangAttempt(attempt: number): number {
    this.attempt = Math.max(this.attempt, attempt);
    return attempt;
  }
}
