/**
 * The forms in which the cluster's state is stored: keys, values, and the codec of each value.
 *
 * | key           | value                | content                                                                |
 * | ------------- | -------------------- | ---------------------------------------------------------------------- |
 * | `p/<id>`      | `StoredJob`          | an active job                                                          |
 * | `q/<id>/<n>`  | `StoredShard`        | shard n of a large active job: its tasks under way                     |
 * | `d/<id>`      | `StoredFinal`        | how a job ended; never deleted                                         |
 * | `x/<id>`      | `StoredCancellation` | a user's cancellation of a job whose end is not stored yet             |
 * | `g/<n>`       | `StoredMachineShard` | machines that may run tasks, many in one value                         |
 * | `lead`        | `StoredLeader`       | the leader; attached to its lease                                      |
 * | `epoch`       | `StoredEpoch`        | the count of terms, which is the workers' fencing token as well        |
 * | `types`       | `MachineType[]`      | the machine types, for a start while the cloud API is down             |
 *
 * Stored field names are short because a value is limited to few KiB, and fixed because other versions read them. They
 * are read and written in this module alone; the rest of the code sees the records with named fields. (Keys below `a/`
 * belong to admission.)
 */
import type { JobSpec } from "../model/jobs.js";

/** Keys of the cluster's state; the table above tells what they hold. */
export const KEY = {
  activeJob: (id: string) => `p/${id}`,
  jobShard: (id: string, index: number) => `q/${id}/${index}`,
  finalRecord: (id: string) => `d/${id}`,
  cancellation: (id: string) => `x/${id}`,
  machineShard: (index: number) => `g/${index}`,
  leader: "lead",
  epoch: "epoch",
  machineTypes: "types",
} as const;

/** A key of the cluster's state, parsed. */
export type StoredKey =
  | { readonly kind: "activeJob"; readonly id: string }
  | { readonly kind: "jobShard"; readonly id: string; readonly index: number }
  | { readonly kind: "finalRecord"; readonly id: string }
  | { readonly kind: "cancellation"; readonly id: string }
  | { readonly kind: "machineShard"; readonly index: number }
  | { readonly kind: "leader" }
  | { readonly kind: "epoch" }
  | { readonly kind: "machineTypes" };

const LEADER_KEY: StoredKey = { kind: "leader" };
const EPOCH_KEY: StoredKey = { kind: "epoch" };
const MACHINE_TYPES_KEY: StoredKey = { kind: "machineTypes" };

/** Null: the key belongs to another part of the software. Every node parses each changed key, so this is kept cheap. */
export function parseKey(key: string): StoredKey | null {
  if (key[1] !== "/") return parseSingletonKey(key);
  const name = key.slice(2);
  switch (key[0]) {
    case "p":
      return { kind: "activeJob", id: name };
    case "q":
      return parseShardName(name);
    case "d":
      return { kind: "finalRecord", id: name };
    case "x":
      return { kind: "cancellation", id: name };
    case "g":
      return { kind: "machineShard", index: Number(name) };
    default:
      return null;
  }
}

function parseSingletonKey(key: string): StoredKey | null {
  switch (key) {
    case KEY.leader:
      return LEADER_KEY;
    case KEY.epoch:
      return EPOCH_KEY;
    case KEY.machineTypes:
      return MACHINE_TYPES_KEY;
    default:
      return null;
  }
}

function parseShardName(name: string): StoredKey {
  const slash = name.lastIndexOf("/");
  return { kind: "jobShard", id: name.slice(0, slash), index: Number(name.slice(slash + 1)) };
}

/** A decoded value with the revision of the store at which its key last changed. */
export interface Versioned<V> {
  readonly value: V;
  readonly modRevision: number;
}

/**
 * Placements that may exist: for each attempt and incarnation, machine names alternating with the ranges of the tasks
 * on them (`0-5,7`). Many machines share one attempt, and a value holds few KiB.
 */
export type StoredPlacements = readonly [
  attempt: number,
  incarnation: number,
  machinesAndTasks: readonly string[],
];

interface StoredJob {
  readonly j: JobSpec;
  readonly at: number;
  readonly r: readonly string[];
  readonly v: number;
  readonly n: number;
  readonly o: number;
  readonly done: string;
  readonly pl: readonly StoredPlacements[];
  readonly c?: number;
}

/** An active job as stored. */
export interface JobRecord {
  /** The submission as it was accepted. */
  readonly spec: JobSpec;
  /** Time of day of the submission, in milliseconds. */
  readonly submittedAtMs: number;
  /** Residuals of the job's dependencies. */
  readonly residuals: readonly string[];
  /** Counts the changes of this job. */
  readonly version: number;
  readonly nextAttempt: number;
  /** Epoch of the leader that owns the job; 0 before its start is accepted. */
  readonly ownerEpoch: number;
  /** Ranges of the tasks that are done; of a sharded job those of terminal shards. */
  readonly doneTasks: string;
  readonly placements: readonly StoredPlacements[];
  /** Tasks in each shard of a job that is too large for one value; null: it is stored in one value. */
  readonly shardSize: number | null;
}

/** Version of a job as its submission stores it. */
export const SUBMITTED_VERSION = 1;

/** Bytes count against the store's limit on a value, so the field that most jobs lack is left out. */
export function encodeJobRecord(job: JobRecord): StoredJob {
  const value: StoredJob = {
    j: job.spec,
    at: job.submittedAtMs,
    r: job.residuals,
    v: job.version,
    n: job.nextAttempt,
    o: job.ownerEpoch,
    done: job.doneTasks,
    pl: job.placements,
  };
  return job.shardSize === null ? value : { ...value, c: job.shardSize };
}

/** A stored job, read with named fields. */
export function decodeJobRecord(value: unknown): JobRecord {
  const stored = value as StoredJob;
  return {
    spec: stored.j,
    submittedAtMs: stored.at,
    residuals: stored.r,
    version: stored.v,
    nextAttempt: stored.n,
    ownerEpoch: stored.o,
    doneTasks: stored.done,
    placements: stored.pl,
    shardSize: stored.c ?? null,
  };
}

/** The job that a value of its key submits; null: it is a later change of the job. */
export function decodeSubmission(value: unknown): JobSpec | null {
  const stored = value as StoredJob;
  return stored.v === SUBMITTED_VERSION ? stored.j : null;
}

interface StoredShard {
  readonly v: number;
  readonly n: number;
  readonly done: string;
  readonly pl: readonly StoredPlacements[];
}

/** Some tasks of a large job; task numbers are relative to the shard's first. */
export interface JobShardRecord {
  /** The job's version as of this value. */
  readonly version: number;
  readonly nextAttempt: number;
  readonly doneTasks: string;
  readonly placements: readonly StoredPlacements[];
}

/** A shard of a job, as it is stored. */
export function encodeJobShardRecord(shard: JobShardRecord): StoredShard {
  return {
    v: shard.version,
    n: shard.nextAttempt,
    done: shard.doneTasks,
    pl: shard.placements,
  };
}

/** A stored shard of a job, read with named fields. */
export function decodeJobShardRecord(value: unknown): JobShardRecord {
  const stored = value as StoredShard;
  return {
    version: stored.v,
    nextAttempt: stored.n,
    doneTasks: stored.done,
    placements: stored.pl,
  };
}

interface StoredFinal {
  readonly s: "done" | "cancelled";
  readonly n: number;
}

/** The end of a job. */
export interface FinalRecord {
  readonly outcome: "done" | "cancelled";
  readonly tasks: number;
}

/** A final record, as it is stored. */
export function encodeFinalRecord({ outcome, tasks }: FinalRecord): StoredFinal {
  return { s: outcome, n: tasks };
}

/** A stored final record, read with named fields. */
export function decodeFinalRecord(value: unknown): FinalRecord {
  const stored = value as StoredFinal;
  return { outcome: stored.s, tasks: stored.n };
}

interface StoredCancellation {
  readonly at: number;
  readonly told: boolean;
}

/** A user's cancellation, as stored. */
export interface CancellationRecord {
  /**
   * Users may be told at once. False in all that is written now: a cancellation is confirmed when the end is stored,
   * which is when every task has provably ended. Earlier versions wrote true.
   */
  readonly confirmedAtOnce: boolean;
}

/** `requestedAtMs`: time of day of the user's request. */
export function encodeCancellation(requestedAtMs: number): StoredCancellation {
  return { at: requestedAtMs, told: false };
}

/** A stored cancellation, read with named fields. */
export function decodeCancellation(value: unknown): CancellationRecord {
  return { confirmedAtOnce: (value as StoredCancellation).told !== false };
}

/** A machine, as stored in a machine-record shard. */
export type StoredMachine = readonly [address: string, type: string, zone: string, spot: boolean];

/** Machine records by machine name. */
export type StoredMachineShard = Readonly<Record<string, StoredMachine>>;

interface StoredLeader {
  readonly member: string;
  readonly epoch: number;
  readonly lease: number;
  readonly at: number;
}

/** Who leads, as stored. */
export interface LeaderRecord {
  readonly member: string;
  readonly epoch: number;
  readonly leaseId: number;
  /** Time of day at which leadership was acquired, in milliseconds; clocks agree within a known bound. */
  readonly acquiredAtMs: number;
}

/** The leader, as it is stored. */
export function encodeLeader(leader: LeaderRecord): StoredLeader {
  const { member, epoch, leaseId, acquiredAtMs } = leader;
  return { member, epoch, lease: leaseId, at: acquiredAtMs };
}

/** The stored leader, read with named fields. */
export function decodeLeader(value: unknown): LeaderRecord {
  const { member, epoch, lease, at } = value as StoredLeader;
  return { member, epoch, leaseId: lease, acquiredAtMs: at };
}

interface StoredEpoch {
  readonly n: number;
}

/** The epoch, as it is stored. */
export function encodeEpoch(epoch: number): StoredEpoch {
  return { n: epoch };
}

/** The stored epoch. */
export function decodeEpoch(value: unknown): number {
  return (value as StoredEpoch).n;
}
