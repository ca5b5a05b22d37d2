/** What goes into the next transaction of the leader, and in which order. */

import type { Cluster } from "../cluster.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { isGuaranteed } from "../planning/precedence.js";
import type { JobShard } from "./job-shards.js";
import { encodeJob, encodeJobShard } from "./job-values.js";
import type { Change, Precondition } from "./key-value.js";
import type { MachineRecordShard, MachineRecordShards } from "./machine-record-shards.js";
import { KEY, type StoredFinal } from "./state-replica.js";

export interface LeaderTransaction {
  readonly preconditions: Precondition[];
  readonly changes: Change[];
  /**
   * Jobs in it, with the version that becomes the stored one (null: the final record), the parts that
   * are stored, and those that are over and go.
   */
  readonly jobWrites: {
    readonly job: ActiveJob;
    readonly version: number | null;
    readonly parts: readonly JobShard[];
    readonly closed: readonly JobShard[];
  }[];
  readonly machineShardWrites: {
    readonly group: MachineRecordShard;
    readonly version: number;
    readonly names: string[];
  }[];
  /** Changes by what they are for. */
  readonly counts: { machines: number; placements: number; ends: number; progress: number };
}

export interface TransactionLimits {
  readonly maxChanges: number;
  readonly maxBytes: number;
  /** May a value of so many bytes be sent, or were smaller ones refused lately? */
  readonly maySendValue: (bytes: number) => boolean;
  /** Seconds by which a placement of one priority goes before one of the next. */
  readonly priorityStepS: number;
  /** Leave progress, and what is no more, for when there is plenty. */
  readonly urgentOnly: boolean;
}

const isTerminal = (job: ActiveJob): boolean =>
  job.placementCount === 0 && (job.isCancelled || job.isComplete);

export function composeTransaction(
  cluster: Cluster,
  groups: MachineRecordShards,
  epochMark: number,
  limits: TransactionLimits,
): LeaderTransaction | null {
  const { maxChanges: maxOps, maxBytes, urgentOnly } = limits;
  const w: LeaderTransaction = {
    preconditions: [{ key: KEY.epoch, modRevision: epochMark }],
    changes: [],
    jobWrites: [],
    machineShardWrites: [],
    counts: { machines: 0, placements: 0, ends: 0, progress: 0 },
  };
  let bytes = 200;
  for (const g of groups.unpersisted()) {
    if (!limits.maySendValue(g.bytes)) continue;
    if (w.changes.length + 1 > maxOps || (g.unpersistedMachines === 0 && urgentOnly)) break;
    if (bytes + g.bytes + 300 > maxBytes / 2) break;
    bytes += g.bytes + 300;
    const key = groups.keyOf(g);
    w.preconditions.push({ key, modRevision: g.modRevision });
    w.changes.push({ op: "put", key, value: g.toStored() });
    w.counts.machines++;
    w.machineShardWrites.push({ group: g, version: g.version, names: [...g.entries.keys()] });
  }
  for (const job of writeOrder(cluster, limits.priorityStepS)) {
    if (urgentOnly && !isTerminal(job) && !job.hasUnpersistedPlacement && job.resharded === null)
      continue;
    const left = maxOps - w.changes.length;
    const ending = isTerminal(job) && finalChangeCount(job) <= left;
    if (!ending && !job.isUnpersisted && !isTerminal(job)) continue;
    const piece = ending ? composeFinalRecord(job) : composeJobChanges(job, left, limits);
    if (piece === "nothing" || (piece === "no room" && job.resharded !== null)) continue;
    if (piece === "no room") break;
    const size = 400 + piece.bytes;
    if (bytes + size > maxBytes && w.changes.length > 0) break;
    bytes += size;
    w.counts[ending ? "ends" : job.hasUnpersistedPlacement ? "placements" : "progress"] +=
      piece.changes.length;
    w.preconditions.push(...piece.conditions);
    w.changes.push(...piece.changes);
    const { parts, closed } = piece;
    w.jobWrites.push({ job, version: ending ? null : job.version, parts, closed });
  }
  return w.changes.length === 0 ? null : w;
}

const jsonBytes = (value: unknown): number => JSON.stringify(value).length;

/** The largest value in a transaction, in bytes; 0 if it only removes keys. */
export function largestValueBytes(w: LeaderTransaction): number {
  let most = 0;
  for (const c of w.changes) if (c.op === "put") most = Math.max(most, jsonBytes(c.value));
  return most;
}

/** By how many priorities work within a guarantee goes before other work. */
const GUARANTEE_PRIORITY_STEPS = 2;

/** Of a change, what stands around its value, beside the key. */
const CHANGE_OVERHEAD_BYTES = 60;

interface JobWritePart {
  /** What its changes take in the transaction, about. */
  bytes: number;
  readonly conditions: Precondition[];
  readonly changes: Change[];
  readonly parts: JobShard[];
  readonly closed: JobShard[];
}

const storedShards = (job: ActiveJob): JobShard[] =>
  [...job.shards.values()].filter((p) => p.modRevision > 0);
const finalChangeCount = (job: ActiveJob): number =>
  (job.cancelledByUser ? 3 : 2) + storedShards(job).length;

/** The final record takes the place of all that is stored of the job. */
function composeFinalRecord(job: ActiveJob): JobWritePart {
  const { id, tasks } = job.spec;
  const value: StoredFinal = { s: job.isCancelled ? "cancelled" : "done", n: tasks };
  const conditions = [
    { key: KEY.activeJob(id), modRevision: job.mainShard.modRevision },
    { key: KEY.finalRecord(id), modRevision: 0 },
  ];
  // Done and cancelled exclude each other: whichever is stored first rejects the other.
  // (One that is cancelled through another leaves no key of its user's behind.)
  if (!job.cancelledByUser) conditions.push({ key: KEY.cancellation(id), modRevision: 0 });
  const changes: Change[] = [
    { op: "put", key: KEY.finalRecord(id), value },
    { op: "delete", key: KEY.activeJob(id) },
  ];
  if (job.cancelledByUser) changes.push({ op: "delete", key: KEY.cancellation(id) });
  for (const p of storedShards(job)) changes.push({ op: "delete", key: KEY.jobShard(id, p.index) });
  const bytes = changes.length * (CHANGE_OVERHEAD_BYTES + id.length) + jsonBytes(value);
  return { bytes, conditions, changes, parts: [], closed: [] };
}

/** What changed of a job: its own value, and its parts, as many as there is room for. */
function composeJobChanges(
  job: ActiveJob,
  room: number,
  { urgentOnly, maySendValue: allows }: TransactionLimits,
): JobWritePart | "no room" | "nothing" {
  const { id } = job.spec;
  const piece: JobWritePart = {
    bytes: 0,
    // Each time a part goes, this mark changes: a late copy of an older write cannot bring it back.
    conditions: [{ key: KEY.activeJob(id), modRevision: job.mainShard.modRevision }],
    changes: [],
    parts: [],
    closed: [],
  };
  // Cut into parts just now: all of them go with its own value, or none.
  const together = job.resharded;
  if (together !== null && 1 + together.size > room) return "no room";
  let left = room;
  const open: JobShard[] = [];
  for (const p of isTerminal(job) ? job.shards.values() : job.unpersistedShards) {
    if (p === job.mainShard) continue;
    if (!job.isShardTerminal(p)) {
      if (!urgentOnly || p.hasUnpersistedPlacement || together?.has(p)) open.push(p);
    } else if (p.modRevision === 0 || (together === null && left > 1)) {
      job.closeShard(p);
      piece.closed.push(p);
      if (p.modRevision === 0) continue;
      left--;
      piece.conditions.push({ key: KEY.jobShard(id, p.index), modRevision: p.modRevision });
      piece.changes.push({ op: "delete", key: KEY.jobShard(id, p.index) });
    }
  }
  if (job.mainShard.isUnpersisted) {
    if (left < 1) return "no room";
    const value = encodeJob(job);
    const bytes = jsonBytes(value);
    if (!allows(bytes)) return "nothing";
    left--;
    piece.bytes += bytes;
    piece.changes.unshift({ op: "put", key: KEY.activeJob(id), value });
    piece.parts.push(job.mainShard);
  }
  if (together !== null) open.sort((a, b) => Number(together.has(b)) - Number(together.has(a)));
  for (const p of open) {
    if (left < 1) break;
    const value = encodeJobShard(job, p);
    const bytes = jsonBytes(value);
    if (!allows(bytes)) {
      // What was cut goes whole or not at all.
      if (together?.has(p)) return "nothing";
      continue;
    }
    left--;
    piece.bytes += bytes;
    piece.conditions.push({ key: KEY.jobShard(id, p.index), modRevision: p.modRevision });
    piece.changes.push({ op: "put", key: KEY.jobShard(id, p.index), value });
    piece.parts.push(p);
  }
  piece.bytes += piece.changes.length * (CHANGE_OVERHEAD_BYTES + id.length);
  return piece.changes.length === 0 ? "nothing" : piece;
}

/**
 * Production placements first, then ends, since users wait for them and they are few; then other
 * placements, of which a busy day has more than can be written; then progress. (Ends behind all
 * placements: on a rough day 299 jobs were done and 25 users told.)
 *
 * Among the other placements a higher priority goes before what has waited a little longer, and not before
 * all: in a backlog of urgent gangs, placements of the first steps of pipelines were stored after 30 to 153 s.
 * What is within its team's guarantee is that much ahead again. (By priority alone, in such a backlog 0.66 of the work
 * within a guarantee started in time, and 0.78 with the strict order.)
 */
function writeOrder(cluster: Cluster, priorityLeadS: number): ActiveJob[] {
  const dueAt = (j: ActiveJob): number => {
    const steps = j.effectiveRank + (isGuaranteed(j.precedence) ? 0 : GUARANTEE_PRIORITY_STEPS);
    return (j.unpersistedSince ?? 0) + steps * priorityLeadS;
  };
  const level = (j: ActiveJob): number => {
    if (j.resharded !== null) return -1;
    if (isTerminal(j)) return 1;
    if (!j.hasUnpersistedPlacement) return 3;
    return j.spec.priority === "production" ? 0 : 2;
  };
  const dirty: { job: ActiveJob; level: number }[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.isUnpersisted || isTerminal(job)) dirty.push({ job, level: level(job) });
  }
  dirty.sort((a, b) => a.level - b.level || dueAt(a.job) - dueAt(b.job));
  return dirty.map((x) => x.job);
}

/** Changes that must go into one transaction, at the least. */
export function minimumTransactionChanges(cluster: Cluster): number {
  let most = 1;
  for (const job of cluster.jobs.values()) {
    if (job.resharded !== null) most = Math.max(most, 1 + job.resharded.size);
  }
  return most;
}

export function hasPendingWrite(cluster: Cluster, groups: MachineRecordShards): boolean {
  for (const job of cluster.jobs.values()) if (job.isUnpersisted || isTerminal(job)) return true;
  return groups.hasUnpersistedMachines;
}
