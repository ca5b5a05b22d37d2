/** The changes of one job that go into a transaction of the leader. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { JobShard } from "./job-shards.js";
import { encodeJob, encodeJobShard } from "./job-values.js";
import type { Change, Precondition } from "./key-value.js";
import { encodeFinalRecord, KEY } from "./stored-values.js";

/** Bytes of a change around its key and value. */
const CHANGE_OVERHEAD_BYTES = 60;

/** Capacity of the transaction for one job's changes. */
export interface JobChangeLimits {
  /** Leave progress, and the removal of what has ended, for when there is plenty of write budget. */
  readonly urgentOnly: boolean;
  /** May a value of so many bytes be sent, or were smaller ones refused lately? */
  readonly maySendValue: (bytes: number) => boolean;
}

/** What is to be written of a job. */
export interface JobChanges {
  readonly kind: "changes";
  /** What they take in the transaction, about. */
  readonly bytes: number;
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
  /** Shards whose values are in it; the main shard stands for the job's own value. */
  readonly shards: readonly JobShard[];
  /** Terminal shards, whose values are deleted if they are stored. */
  readonly closedShards: readonly JobShard[];
}

/** How composing a job's changes ended. */
export type JobChangeResult =
  | JobChanges
  /** More changes would be needed than are left. */
  | { readonly kind: "does not fit" }
  /** Nothing may be written now. */
  | { readonly kind: "nothing" };

const DOES_NOT_FIT: JobChangeResult = { kind: "does not fit" };
const NOTHING: JobChangeResult = { kind: "nothing" };

/** Changes of a job while they are collected. */
interface Draft {
  readonly job: ActiveJob;
  remainingChanges: number;
  valueBytes: number;
  readonly preconditions: Precondition[];
  readonly changes: Change[];
  readonly shards: JobShard[];
  readonly closedShards: JobShard[];
}

/** Nothing of the job is on any machine, nor will be. */
export const isTerminal = (job: ActiveJob): boolean =>
  job.placementCount === 0 && (job.isCancelled || job.isComplete);

/** Length of a value as JSON, the form in which the store counts. */
export const jsonBytes = (value: unknown): number => JSON.stringify(value).length;

const storedShards = (job: ActiveJob): JobShard[] =>
  [...job.shards.values()].filter((shard) => shard.modRevision > 0);

/** Changes that the final record of a job takes. */
export const finalChangeCount = (job: ActiveJob): number =>
  (job.cancelledByUser ? 3 : 2) + storedShards(job).length;

/** The final record replaces all that is stored of the job. */
export function composeFinalRecord(job: ActiveJob): JobChanges {
  const { id, tasks } = job.spec;
  const value = encodeFinalRecord({ outcome: job.isCancelled ? "cancelled" : "done", tasks });
  const preconditions = [
    { key: KEY.activeJob(id), modRevision: job.mainShard.modRevision },
    { key: KEY.finalRecord(id), modRevision: 0 },
  ];
  // Done and cancelled exclude each other: whichever is stored first rejects the other.
  // (A job that is cancelled through another has no cancellation of its own.)
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

/** What changed of a job: its own value, and as many of its shards as the limits allow. */
export function composeJobChanges(
  job: ActiveJob,
  maxChanges: number,
  limits: JobChangeLimits,
): JobChangeResult {
  // Resharded just now: all of its shards are written with its own value, or none.
  const { resharded } = job;
  if (resharded !== null && 1 + resharded.size > maxChanges) return DOES_NOT_FIT;
  const draft = newDraft(job, maxChanges);
  const openShards = closeTerminalShards(draft, limits);
  if (job.mainShard.isUnpersisted) {
    if (draft.remainingChanges < 1) return DOES_NOT_FIT;
    if (!putOwnValue(draft, limits)) return NOTHING;
  }
  if (resharded !== null) {
    openShards.sort((a, b) => Number(resharded.has(b)) - Number(resharded.has(a)));
  }
  if (!putShards(draft, openShards, limits) || draft.changes.length === 0) return NOTHING;
  const { preconditions, changes, shards, closedShards } = draft;
  const overheadBytes = changes.length * (CHANGE_OVERHEAD_BYTES + job.spec.id.length);
  const bytes = draft.valueBytes + overheadBytes;
  return { kind: "changes", bytes, preconditions, changes, shards, closedShards };
}

function newDraft(job: ActiveJob, maxChanges: number): Draft {
  const { modRevision } = job.mainShard;
  return {
    job,
    remainingChanges: maxChanges,
    valueBytes: 0,
    // Whenever a shard is deleted, this mod revision changes: a late copy of an older transaction cannot restore it.
    preconditions: [{ key: KEY.activeJob(job.spec.id), modRevision }],
    changes: [],
    shards: [],
    closedShards: [],
  };
}

/** Deletes terminal shards; returns those that are to be written. */
function closeTerminalShards(draft: Draft, { urgentOnly }: JobChangeLimits): JobShard[] {
  const { job } = draft;
  const { resharded } = job;
  const openShards: JobShard[] = [];
  for (const shard of isTerminal(job) ? job.shards.values() : job.unpersistedShards) {
    if (shard === job.mainShard) continue;
    const isStored = shard.modRevision > 0;
    if (!job.isShardTerminal(shard)) {
      const isDue = !urgentOnly || shard.hasUnpersistedPlacement || resharded?.has(shard);
      if (isDue) openShards.push(shard);
    } else if (!isStored || (resharded === null && draft.remainingChanges > 1)) {
      job.closeShard(shard);
      draft.closedShards.push(shard);
      if (isStored) deleteShard(draft, shard);
    }
  }
  return openShards;
}

function deleteShard(draft: Draft, { index, modRevision }: JobShard): void {
  const key = KEY.jobShard(draft.job.spec.id, index);
  draft.remainingChanges--;
  draft.preconditions.push({ key, modRevision });
  draft.changes.push({ op: "delete", key });
}

/** False: its value may not be sent now. */
function putOwnValue(draft: Draft, { maySendValue }: JobChangeLimits): boolean {
  const { job } = draft;
  const value = encodeJob(job);
  const bytes = jsonBytes(value);
  if (!maySendValue(bytes)) return false;
  draft.remainingChanges--;
  draft.valueBytes += bytes;
  draft.changes.unshift({ op: "put", key: KEY.activeJob(job.spec.id), value });
  draft.shards.push(job.mainShard);
  return true;
}

/** False: a shard that must be written with the others may not be sent now. */
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
    } else if (job.resharded?.has(shard)) {
      return false;
    }
  }
  return true;
}
