/** Composes the changes of one job for a transaction of the leader. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { JobShard } from "./job-shards.js";
import { encodeJob, encodeJobShard, valueBytesWithClosedShard } from "./job-values.js";
import type { Change, Precondition } from "./key-value.js";
import { encodeFinalRecord, KEY } from "./stored-values.js";
import { VALUE_FILL_RATIO } from "./value-size-limit.js";

/** Bytes of an encoded change besides its key and value. */
const CHANGE_OVERHEAD_BYTES = 60;

/** Limits on the changes of a job that may be written now. */
export interface JobChangeLimits {
  /**
   * Whether only urgent changes are written. Progress then waits for spare write budget: jobs that have only progress
   * to store are not written, and in other jobs, neither are open shards that have only progress to store.
   */
  readonly urgentOnly: boolean;
  /** Size in bytes that values are planned not to exceed (`ValueSizeLimit`). */
  readonly plannedValueBytes: number;
  /** Whether a value of this size may be sent; false if a value of this or a smaller size was refused recently. */
  readonly maySendValue: (bytes: number) => boolean;
}

/** The changes of one job in a transaction. */
export interface JobChanges {
  readonly kind: "changes";
  /** Approximate size of the changes in the transaction, in bytes. */
  readonly bytes: number;
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
  /** Shards whose values are written. The main shard represents the job's own value. */
  readonly shards: readonly JobShard[];
  /** Terminal shards. Their keys are deleted if they are stored. */
  readonly closedShards: readonly JobShard[];
}

/** Result of composing a job's changes. */
export type JobChangeResult =
  | JobChanges
  /** The changes exceed the number that the transaction can still take. */
  | { readonly kind: "does not fit" }
  /** The job has no changes that may be written now. */
  | { readonly kind: "nothing" };

const DOES_NOT_FIT: JobChangeResult = { kind: "does not fit" };
const NOTHING: JobChangeResult = { kind: "nothing" };

/** Changes of a job while they are being composed. */
interface Draft {
  readonly job: ActiveJob;
  remainingChanges: number;
  valueBytes: number;
  readonly preconditions: Precondition[];
  readonly changes: Change[];
  readonly shards: JobShard[];
  readonly closedShards: JobShard[];
}

/** Whether the job is cancelled or complete, and none of its tasks is placed on a machine. */
export const isTerminal = (job: ActiveJob): boolean =>
  job.placementCount === 0 && (job.isCancelled || job.isComplete);

/**
 * Size of a value as the state service measures it, in bytes: the length of its JSON text. Length and size are equal
 * only if the text is ASCII.
 */
export const jsonBytes = (value: unknown): number => JSON.stringify(value).length;

const storedShards = (job: ActiveJob): JobShard[] =>
  [...job.shards.values()].filter((shard) => shard.modRevision > 0);

/** Number of changes that storing the final record of a job takes. */
export const finalChangeCount = (job: ActiveJob): number =>
  (job.cancelledByUser ? 3 : 2) + storedShards(job).length;

/** Composes the final record of a job, which replaces all other stored values of the job. */
export function composeFinalRecord(job: ActiveJob): JobChanges {
  const { id, tasks } = job.spec;
  const value = encodeFinalRecord({ outcome: job.isCancelled ? "cancelled" : "done", tasks });
  const preconditions = [
    { key: KEY.activeJob(id), modRevision: job.mainShard.modRevision },
    { key: KEY.finalRecord(id), modRevision: 0 },
  ];
  // A job ends either as done or as cancelled by its user: the final record and the user's cancellation each require
  // that the other is not stored, so the one that is stored first prevents the other. (A job that is cancelled
  // because of a dependency has no cancellation record.)
  if (!job.cancelledByUser) preconditions.push({ key: KEY.cancellation(id), modRevision: 0 });
  const changes: Change[] = [
    { op: "put", key: KEY.finalRecord(id), value },
    { op: "delete", key: KEY.activeJob(id) },
  ];
  if (job.cancelledByUser) changes.push({ op: "delete", key: KEY.cancellation(id) });
  for (const shard of storedShards(job)) {
    changes.push({ op: "delete", key: KEY.jobShard(id, shard.index) });
  }
  const bytes = changes.length * (CHANGE_OVERHEAD_BYTES + id.length) + jsonBytes(value);
  return { kind: "changes", bytes, preconditions, changes, shards: [], closedShards: [] };
}

/** Composes the changes of an active job: its own value, and as many of its shards as the limits allow. */
export function composeJobChanges(
  job: ActiveJob,
  maxChanges: number,
  limits: JobChangeLimits,
): JobChangeResult {
  // After resharding, all new shards must be written in one transaction with the job's own value.
  const { reshardedShards } = job;
  if (reshardedShards !== null && 1 + reshardedShards.size > maxChanges) return DOES_NOT_FIT;
  const draft = newDraft(job, maxChanges);
  const openShards = closeTerminalShards(draft, limits);
  if (job.mainShard.isUnpersisted) {
    if (draft.remainingChanges < 1) return DOES_NOT_FIT;
    if (!putMainShard(draft, limits) && !mayWriteShardsAlone(draft)) return NOTHING;
  }
  if (reshardedShards !== null) {
    openShards.sort((a, b) => Number(reshardedShards.has(b)) - Number(reshardedShards.has(a)));
  }
  if (!putShards(draft, openShards, limits) || draft.changes.length === 0) return NOTHING;
  const { preconditions, changes, shards, closedShards } = draft;
  const overheadBytes = changes.length * (CHANGE_OVERHEAD_BYTES + job.spec.id.length);
  const bytes = draft.valueBytes + overheadBytes;
  return { kind: "changes", bytes, preconditions, changes, shards, closedShards };
}

/**
 * Whether shards may be written although the job's own value is too large to be sent, as it was stored under a larger
 * limit. Without a closed shard, the stored value may not show yet that the job has shards.
 */
function mayWriteShardsAlone({ job, changes }: Draft): boolean {
  return job.closedShards.size > 0 && job.reshardedShards === null && changes.length === 0;
}

function newDraft(job: ActiveJob, maxChanges: number): Draft {
  const { modRevision } = job.mainShard;
  return {
    job,
    remainingChanges: maxChanges,
    valueBytes: 0,
    // The mod revision of the job's own value changes whenever a shard is deleted. A delayed copy of an older
    // transaction therefore cannot restore a deleted shard.
    preconditions: [{ key: KEY.activeJob(job.spec.id), modRevision }],
    changes: [],
    shards: [],
    closedShards: [],
  };
}

/** Closes terminal shards, deleting their keys, and returns the open shards that are to be written. */
function closeTerminalShards(draft: Draft, limits: JobChangeLimits): JobShard[] {
  const { job } = draft;
  const openShards: JobShard[] = [];
  for (const shard of isTerminal(job) ? job.shards.values() : job.unpersistedShards) {
    if (shard === job.mainShard) continue;
    const isClosable = job.isShardTerminal(shard) && mayClose(job, shard, limits);
    if (isClosable) closeShard(draft, shard);
    else if (isDue(job, shard, limits)) openShards.push(shard);
  }
  return openShards;
}

/** Whether an open shard is to be written now. */
function isDue(job: ActiveJob, shard: JobShard, { urgentOnly }: JobChangeLimits): boolean {
  if (!shard.isUnpersisted) return false;
  return !urgentOnly || shard.hasUnpersistedPlacement || job.reshardedShards?.has(shard) === true;
}

/** Closes a terminal shard. If it is stored, it is closed only if the transaction has room for deleting its key. */
function closeShard(draft: Draft, shard: JobShard): void {
  const { job } = draft;
  const isStored = shard.modRevision > 0;
  const mayDelete = job.reshardedShards === null && draft.remainingChanges > 1;
  if (isStored && !mayDelete) return;
  job.closeShard(shard);
  draft.closedShards.push(shard);
  if (isStored) deleteShard(draft, shard);
}

/**
 * Whether the job's own value still fits its size limit once it lists the tasks of this shard. Otherwise the shard keeps
 * a value of its own until a shard beside it is closed, or the job ends.
 */
function mayClose(
  job: ActiveJob,
  shard: JobShard,
  { plannedValueBytes }: JobChangeLimits,
): boolean {
  if (job.isCancelled || job.isComplete) return true;
  return valueBytesWithClosedShard(job, shard) <= VALUE_FILL_RATIO * plannedValueBytes;
}

function deleteShard(draft: Draft, { index, modRevision }: JobShard): void {
  const key = KEY.jobShard(draft.job.spec.id, index);
  draft.remainingChanges--;
  draft.preconditions.push({ key, modRevision });
  draft.changes.push({ op: "delete", key });
}

/** Adds the job's own value to the draft. Returns false if a value of its size may not be sent now. */
function putMainShard(draft: Draft, limits: JobChangeLimits): boolean {
  const { job } = draft;
  const { plannedValueBytes, maySendValue } = limits;
  let value = encodeJob(job);
  if (job.isCancelled && jsonBytes(value) > plannedValueBytes) value = encodeJob(job, "none");
  const bytes = jsonBytes(value);
  if (!maySendValue(bytes)) return false;
  draft.remainingChanges--;
  draft.valueBytes += bytes;
  draft.changes.unshift({ op: "put", key: KEY.activeJob(job.spec.id), value });
  draft.shards.push(job.mainShard);
  return true;
}

/** Adds open shards to the draft. Returns false if one that was just resharded may not be sent now. */
function putShards(
  draft: Draft,
  openShards: readonly JobShard[],
  { maySendValue }: JobChangeLimits,
): boolean {
  const { job } = draft;
  for (const shard of openShards) {
    if (draft.remainingChanges < 1) break;
    const value = encodeJobShard(job, shard);
    const bytes = jsonBytes(value);
    if (maySendValue(bytes)) {
      const key = KEY.jobShard(job.spec.id, shard.index);
      draft.remainingChanges--;
      draft.valueBytes += bytes;
      draft.preconditions.push({ key, modRevision: shard.modRevision });
      draft.changes.push({ op: "put", key, value });
      draft.shards.push(shard);
    } else if (job.reshardedShards?.has(shard)) {
      return false;
    }
  }
  return true;
}
