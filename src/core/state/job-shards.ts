/**
 * A job of very many tasks is stored in several values: one for the job itself, and one for each shard of
 * consecutive tasks of which some are active. A shard whose tasks are all done becomes a range in the
 * job's own value, and its key is deleted in the same transaction.
 *
 * Each value is written by itself. So that no late copy of a write can bring a deleted shard back, all of them
 * are conditional on the mod revision of the job's own value, which changes whenever a shard is deleted.
 */

import type { JobSpec } from "../model/jobs.js";

/** Most bytes of one active task: its machine, its number, and what separates them. */
const TASK_BYTES = 24;
/** Share of a value that its tasks may take; the rest is for attempts and incarnations. */
const FILL_RATIO = 0.9;
/** The same for the single value of an unsharded array. */
const UNSHARDED_FILL_RATIO = 0.95;
/** Bytes of an array's task on a machine with one or two others: its number twice, and its share of the name. */
const PACKED_TASK_BYTES = 16;
/** Bytes of an unsharded job's value besides its spec and its tasks. */
const JOB_OVERHEAD_BYTES = 400;
/** An array that would need fewer shards than this stays unsharded. */
const MINIMUM_SHARDS = 2;
/**
 * All tasks of a gang or service are placed at one time, so its shards cannot be kept smaller by placing fewer.
 * They are smaller from the start, in case the state service accepts smaller values than is known.
 */
const ALL_AT_ONCE_SHARD_RATIO = 1 / 4;

/** Tasks in a shard so that, however they end, it fits one value. */
export function shardSizeFor(valueBytes: number): number {
  return Math.max(1, Math.floor((FILL_RATIO * valueBytes) / TASK_BYTES));
}

/** Bytes of a job's value without what it says of its tasks. */
export function fixedJobBytes(spec: JobSpec): number {
  return JOB_OVERHEAD_BYTES + JSON.stringify(spec).length;
}

/**
 * Whether a job must be stored in shards. Smaller jobs stand in one value: that is one write for each change
 * instead of several, and an array that may place only as many tasks as one value holds still goes on. The tasks
 * of gangs and services must all run at one time. (A gang of more tasks than fit one value made a write that was
 * refused for ever, with all others in the same transaction.)
 */
export function needsShards(spec: JobSpec, valueBytes: number): boolean {
  const size = shardSizeFor(valueBytes);
  if (spec.kind !== "array") return spec.tasks > size / 2;
  // With values of 2 KiB an array of sixty was placed thirty at a time: its spec alone is half of such a value.
  const activeAtOnce =
    (UNSHARDED_FILL_RATIO * valueBytes - fixedJobBytes(spec)) / PACKED_TASK_BYTES;
  return spec.tasks > Math.min(MINIMUM_SHARDS * size, Math.max(1, activeAtOnce));
}

/** Tasks in a shard of a new job. */
export function initialShardSize(spec: JobSpec, valueBytes: number): number {
  const size = shardSizeFor(valueBytes);
  return spec.kind === "array" ? size : Math.max(1, Math.floor(ALL_AT_ONCE_SHARD_RATIO * size));
}

/**
 * Tasks that may be active in a shard of an array at one time, if values are to be no larger than `valueBytes`:
 * the rest is for the tasks that are done, at the worst every other one.
 */
export function placeableInShard(size: number, valueBytes: number): number {
  if (size <= shardSizeFor(valueBytes)) return size;
  const doneBytes = Math.ceil(size / 2) * (String(size).length + 1);
  return Math.max(1, Math.floor((FILL_RATIO * valueBytes - doneBytes) / TASK_BYTES));
}

/** Tasks in a shard of a job that is resharded while active: all its shards go into one transaction. */
export function reshardingSize(spec: JobSpec, valueBytes: number, txnOps: number): number {
  const maxShards = Math.max(1, txnOps - 1);
  return Math.max(initialShardSize(spec, valueBytes), Math.ceil(spec.tasks / maxShards));
}

/** The leader's record of one stored value of a job: what of it changed and what is persisted. */
export class JobShard {
  /** Versions of the job at which the shard last changed, last got a placement, and was last persisted. */
  changedVersion = 0;
  placedVersion = 0;
  persistedVersion = 0;
  /** Of its stored value; 0 if there is none. */
  modRevision = 0;
  /** Number of the next attempt; in a shard of a large job, of the newest. */
  attempt = 1;
  private readonly lastAttempts = new Map<number, number>();

  constructor(
    /** -1: the job's own value. */
    readonly index: number,
    readonly firstTask: number,
    /** The task after the shard's last one. */
    readonly endTask: number,
  ) {}

  get isUnpersisted(): boolean {
    return this.changedVersion > this.persistedVersion;
  }

  /** A placement in it is not persisted yet: the task must not start. */
  get hasUnpersistedPlacement(): boolean {
    return this.placedVersion > this.persistedVersion;
  }

  /** Everything that held of the shard at this version of the job is persisted. */
  isPersisted(version: number): boolean {
    return this.persistedVersion >= version || !this.isUnpersisted;
  }

  /** Attempt number for a task: a new one only if the task had an attempt before, so that few are stored. */
  nextAttempt(task: number): number {
    if ((this.lastAttempts.get(task) ?? 0) >= this.attempt) this.attempt++;
    this.lastAttempts.set(task, this.attempt);
    return this.attempt;
  }

  /** All tasks of a gang have the same attempt number. */
  shareAttempt(attempt: number): number {
    this.attempt = Math.max(this.attempt, attempt);
    return attempt;
  }
}
