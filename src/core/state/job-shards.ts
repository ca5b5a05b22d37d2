/**
 * A job of very many tasks stands in the state as several values: one for the job, and one for each
 * stretch of its tasks of which some are under way. A stretch that is over is a range in the job's own
 * value, and its key goes in the same transaction.
 *
 * Each value is written by itself. So that no late copy of a write can bring a stretch back, all are
 * conditional on the mark of the job's own value, which changes whenever one goes.
 */

import type { JobSpec } from "../model/jobs.js";

/** Most bytes of one task that is under way: its machine, its number, what separates them. */
const TASK_BYTES = 24;
/** Of a value, what tasks may take; the rest is for attempts and sessions. */
const FILL_RATIO = 0.9;

/** Tasks in a part: however they end, they fit one value. */
export const shardSizeFor = (valueBytes: number): number =>
  Math.max(1, Math.floor((FILL_RATIO * valueBytes) / TASK_BYTES));

/** A job's value less what is said of its tasks. */
export const fixedJobBytes = (spec: JobSpec): number => 400 + JSON.stringify(spec).length;
/** A task of an array, on a machine with one or two others: its number twice, and its part of the name. */
const PACKED_TASK_BYTES = 16;

/**
 * Smaller jobs stand in one value: that is one write for each change instead of several, and an array
 * that is kept to what one value holds still goes on. The tasks of gangs and services must all run at
 * one time. (A gang of more than fits one value made a write that was refused for ever, with all others
 * in the same transaction.)
 */
const MINIMUM_SHARDS = 2;
export const needsShards = (spec: JobSpec, valueBytes: number): boolean => {
  if (spec.kind !== "array") return spec.tasks > shardSizeFor(valueBytes) / 2;
  // With values of 2 KiB an array of sixty went out thirty at a time: half of such a value is its own text.
  const atOnce = (0.95 * valueBytes - fixedJobBytes(spec)) / PACKED_TASK_BYTES;
  return spec.tasks > Math.min(MINIMUM_SHARDS * shardSizeFor(valueBytes), Math.max(1, atOnce));
};

/**
 * All tasks of a gang or service are placed at one time, so its parts cannot be kept smaller by placing fewer. They
 * are smaller from the start, in case the state service takes smaller values than is known.
 */
const ALL_AT_ONCE_SHARD_RATIO = 1 / 4;

/** Tasks in a part of a new job. */
export const initialShardSize = (spec: JobSpec, valueBytes: number): number => {
  const size = shardSizeFor(valueBytes);
  return spec.kind === "array" ? size : Math.max(1, Math.floor(ALL_AT_ONCE_SHARD_RATIO * size));
};

/**
 * Tasks that may be under way in a part of an array at one time, if values are to be no larger than this: the rest
 * is for the tasks that are done, at the worst every other one.
 */
export function placeableInShard(size: number, valueBytes: number): number {
  if (size <= shardSizeFor(valueBytes)) return size;
  const doneBytes = Math.ceil(size / 2) * (String(size).length + 1);
  return Math.max(1, Math.floor((FILL_RATIO * valueBytes - doneBytes) / TASK_BYTES));
}

/** Tasks in a part of a job that is cut while it is under way: its parts go into one transaction. */
export const reshardingSize = (spec: JobSpec, valueBytes: number, txnOps: number): number =>
  Math.max(initialShardSize(spec, valueBytes), Math.ceil(spec.tasks / Math.max(1, txnOps - 1)));

export class JobShard {
  /** Versions of the job at which it last changed, was given a placement, and was stored. */
  changedVersion = 0;
  placedVersion = 0;
  persistedVersion = 0;
  /** Mark of its stored value; 0: there is none. */
  modRevision = 0;
  /** Number of the next attempt; in a part of a large job, of the newest. */
  attempt = 1;
  private readonly lastAttempts = new Map<number, number>();

  constructor(
    /** -1: the job's own value. */
    readonly index: number,
    readonly firstTask: number,
    readonly endTask: number,
  ) {}

  /** A new number only for a task that was tried before, so that few are stored. */
  nextAttempt(task: number): number {
    if ((this.lastAttempts.get(task) ?? 0) >= this.attempt) this.attempt++;
    this.lastAttempts.set(task, this.attempt);
    return this.attempt;
  }

  /** All tasks of a gang have one number. */
  shareAttempt(attempt: number): number {
    this.attempt = Math.max(this.attempt, attempt);
    return attempt;
  }

  get isUnpersisted(): boolean {
    return this.changedVersion > this.persistedVersion;
  }
  /** A placement in it is not stored yet: its start waits. */
  get hasUnpersistedPlacement(): boolean {
    return this.placedVersion > this.persistedVersion;
  }
  /** All that was true of it at this version is stored. */
  isPersisted(version: number): boolean {
    return this.persistedVersion >= version || !this.isUnpersisted;
  }
}
