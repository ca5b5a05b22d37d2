/** Composes the leader's next transaction: which changes it contains, and in which order. */

import { assertNever } from "../assert-never.js";
import type { Cluster } from "../cluster.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { isGuaranteed } from "../planning/precedence.js";
import {
  composeFinalRecord,
  composeJobChanges,
  finalChangeCount,
  isTerminal,
  type JobChangeLimits,
  type JobChanges,
  jsonBytes,
} from "./job-changes.js";
import type { JobShard } from "./job-shards.js";
import type { Change, Precondition } from "./key-value.js";
import type { MachineRecordShard, MachineRecordShards } from "./machine-record-shards.js";
import { KEY } from "./stored-values.js";

/**
 * Approximate bytes of a transaction besides its changes, and of each job and machine-record shard besides its
 * values.
 */
const TRANSACTION_OVERHEAD_BYTES = 200;
const JOB_OVERHEAD_BYTES = 400;
const MACHINE_SHARD_OVERHEAD_BYTES = 300;

/** Number of priority steps by which jobs within their team's guarantee are written before other jobs. */
const GUARANTEE_PRIORITY_STEPS = 2;

/** The part of a transaction that writes one job. */
export interface JobWrite {
  readonly job: ActiveJob;
  /** Version of the job that the transaction stores; null if it stores the job's final record. */
  readonly version: number | null;
  readonly shards: readonly JobShard[];
  /** Terminal shards. Their keys are deleted if they are stored. */
  readonly closedShards: readonly JobShard[];
}

/** A machine-record shard in a transaction, with the version that is stored if the transaction is committed. */
export interface MachineShardWrite {
  readonly shard: MachineRecordShard;
  readonly version: number;
  readonly names: readonly string[];
}

/** A transaction of the leader: the content to send, and the writes that are stored when it is committed. */
export interface LeaderTransaction {
  readonly preconditions: Precondition[];
  readonly changes: Change[];
  readonly jobWrites: JobWrite[];
  readonly machineShardWrites: MachineShardWrite[];
  /** Number of changes by purpose. */
  readonly counts: { machines: number; placements: number; ends: number; progress: number };
}

/** Limits on one transaction. */
export interface TransactionLimits extends JobChangeLimits {
  readonly maxChanges: number;
  readonly maxBytes: number;
  /** Seconds of waiting time that outweigh one step of priority between two placements. */
  readonly priorityStepS: number;
}

/** A transaction that is being composed, with its size so far. */
interface Draft {
  readonly transaction: LeaderTransaction;
  bytes: number;
}

/**
 * Composes the leader's next transaction, which requires this mod revision of the epoch's key. Returns null if there
 * is nothing to write.
 */
export function composeTransaction(
  cluster: Cluster,
  machineShards: MachineRecordShards,
  epochModRevision: number,
  limits: TransactionLimits,
): LeaderTransaction | null {
  const transaction: LeaderTransaction = {
    preconditions: [{ key: KEY.epoch, modRevision: epochModRevision }],
    changes: [],
    jobWrites: [],
    machineShardWrites: [],
    counts: { machines: 0, placements: 0, ends: 0, progress: 0 },
  };
  const draft = { transaction, bytes: TRANSACTION_OVERHEAD_BYTES };
  addMachineShards(draft, machineShards, limits);
  addJobs(draft, cluster, limits);
  return transaction.changes.length === 0 ? null : transaction;
}

/** Adds machine-record shards, which may take at most half of the transaction's bytes. */
function addMachineShards(
  draft: Draft,
  machineShards: MachineRecordShards,
  limits: TransactionLimits,
): void {
  const { preconditions, changes, machineShardWrites, counts } = draft.transaction;
  for (const shard of machineShards.shardsToWrite()) {
    if (!limits.maySendValue(shard.bytes)) continue;
    if (changes.length + 1 > limits.maxChanges) return;
    if (limits.urgentOnly && shard.unpersistedMachineCount === 0) return;
    const bytes = draft.bytes + shard.bytes + MACHINE_SHARD_OVERHEAD_BYTES;
    if (bytes > limits.maxBytes / 2) return;
    draft.bytes = bytes;
    const key = machineShards.keyOf(shard);
    preconditions.push({ key, modRevision: shard.modRevision });
    changes.push({ op: "put", key, value: shard.toStored() });
    counts.machines++;
    const names = [...shard.entries.keys()];
    machineShardWrites.push({ shard, version: shard.version, names });
  }
}

function addJobs(draft: Draft, cluster: Cluster, limits: TransactionLimits): void {
  const { changes } = draft.transaction;
  for (const job of writeOrder(cluster, limits.priorityStepS)) {
    if (limits.urgentOnly && !isUrgent(job)) continue;
    const maxChanges = limits.maxChanges - changes.length;
    const isEnding = isTerminal(job) && finalChangeCount(job) <= maxChanges;
    const result = isEnding ? composeFinalRecord(job) : composeJobChanges(job, maxChanges, limits);
    switch (result.kind) {
      case "nothing":
        break;
      case "does not fit":
        // A resharded job may need more changes than are left. It is skipped, so that other jobs do not wait for it.
        if (job.reshardedShards === null) return;
        break;
      case "changes":
        if (!addJobChanges(draft, job, result, isEnding, limits.maxBytes)) return;
        break;
      default:
        assertNever(result);
    }
  }
}

/**
 * Adds a job's changes to the draft. Returns false if they exceed the bytes of a transaction. The first changes are
 * always added.
 */
function addJobChanges(
  draft: Draft,
  job: ActiveJob,
  jobChanges: JobChanges,
  isEnding: boolean,
  maxBytes: number,
): boolean {
  const { preconditions, changes, jobWrites, counts } = draft.transaction;
  const bytes = draft.bytes + JOB_OVERHEAD_BYTES + jobChanges.bytes;
  if (bytes > maxBytes && changes.length > 0) return false;
  draft.bytes = bytes;
  counts[purposeOf(job, isEnding)] += jobChanges.changes.length;
  preconditions.push(...jobChanges.preconditions);
  changes.push(...jobChanges.changes);
  const { shards, closedShards } = jobChanges;
  jobWrites.push({ job, version: isEnding ? null : job.version, shards, closedShards });
  return true;
}

function purposeOf(job: ActiveJob, isEnding: boolean): "ends" | "placements" | "progress" {
  if (isEnding) return "ends";
  return job.hasUnpersistedPlacement ? "placements" : "progress";
}

function isUrgent(job: ActiveJob): boolean {
  return isTerminal(job) || job.hasUnpersistedPlacement || job.reshardedShards !== null;
}

/** The largest value in a transaction, in bytes; 0 if it only deletes keys. */
export function largestValueBytes(transaction: LeaderTransaction): number {
  let largest = 0;
  for (const change of transaction.changes) {
    if (change.op === "put") largest = Math.max(largest, jsonBytes(change.value));
  }
  return largest;
}

/** Classes of writes. A lower class is written first. */
const WRITE_CLASS = {
  resharding: -1,
  productionPlacement: 0,
  end: 1,
  placement: 2,
  progress: 3,
} as const;

function writeClass(job: ActiveJob): number {
  if (job.reshardedShards !== null) return WRITE_CLASS.resharding;
  if (isTerminal(job)) return WRITE_CLASS.end;
  if (!job.hasUnpersistedPlacement) return WRITE_CLASS.progress;
  if (job.spec.priority === "production") return WRITE_CLASS.productionPlacement;
  return WRITE_CLASS.placement;
}

/**
 * Jobs with changes, in the order in which they are written: first jobs that are being resharded; then production
 * placements; then ends, because users wait for them and they are few; then other placements, of which there can be
 * more than can be written under high load; then progress. (When ends came after all placements, 299 jobs were done
 * on a day with many faults, but only 25 users had been told.)
 *
 * Within a class, jobs are ordered by waiting time, and each step of priority counts as `priorityStepS` seconds of
 * it. Priority is not absolute. When it was, the placements of the first steps of pipelines were stored only after 30
 * to 153 s in a backlog of urgent gangs. A job within its team's guarantee is ahead by `GUARANTEE_PRIORITY_STEPS`
 * more steps. (Without these steps, 0.66 of the work within a guarantee started in time in such a backlog; when
 * priority was absolute, 0.78 did.)
 */
function writeOrder(cluster: Cluster, priorityStepS: number): ActiveJob[] {
  const dueAt = (job: ActiveJob): number => {
    const steps = job.effectiveRank + (isGuaranteed(job.precedence) ? 0 : GUARANTEE_PRIORITY_STEPS);
    return (job.unpersistedSince ?? 0) + steps * priorityStepS;
  };
  const pending: { job: ActiveJob; writeClass: number }[] = [];
  for (const job of cluster.jobs.values()) {
    if (hasChanges(job)) pending.push({ job, writeClass: writeClass(job) });
  }
  pending.sort((a, b) => a.writeClass - b.writeClass || dueAt(a.job) - dueAt(b.job));
  return pending.map(({ job }) => job);
}

const hasChanges = (job: ActiveJob): boolean => job.isUnpersisted || isTerminal(job);

/** Smallest number of changes that a transaction must be able to take, so that every resharded job fits one. */
export function minimumTransactionChanges(cluster: Cluster): number {
  let minimum = 1;
  for (const job of cluster.jobs.values()) {
    if (job.reshardedShards !== null) minimum = Math.max(minimum, 1 + job.reshardedShards.size);
  }
  return minimum;
}

/**
 * Whether a change of a job, urgent or not, or a new machine record has to be written. Other changes of machine
 * records do not count; they are written together with these.
 */
export function hasPendingWrite(cluster: Cluster, machineShards: MachineRecordShards): boolean {
  for (const job of cluster.jobs.values()) {
    if (hasChanges(job)) return true;
  }
  return machineShards.hasUnpersistedMachines;
}
