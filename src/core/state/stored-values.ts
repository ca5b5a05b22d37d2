/**
 * The stored format of the cluster's state: keys, values, and the codec of each value.
 *
 * | key           | value                | content                                                                |
 * | ------------- | -------------------- | ---------------------------------------------------------------------- |
 * | `p/<id>`      | `StoredJob`          | an active job                                                          |
 * | `q/<id>/<n>`  | `StoredShard`        | shard n of a large active job: its placements and done tasks           |
 * | `d/<id>`      | `StoredFinal`        | the final record of a job; never deleted                               |
 * | `x/<id>`      | `StoredCancellation` | a user's cancellation of a job whose final record is not stored yet    |
 * | `g/<n>`       | `StoredMachineShard` | machines that may run tasks, many in one value                         |
 * | `lead`        | `StoredLeader`       | the leader; attached to its lease                                      |
 * | `epoch`       | `StoredEpoch`        | the epoch, raised with each term; also the workers' fencing token      |
 * | `types`       | `MachineType[]`      | the machine types, for controllers that start while the cloud is down  |
 *
 * Stored field names are short because the size of a value is limited to a few KiB, and must not change because other
 * versions of the software read them. Only this module reads and writes them; all other modules use the records with
 * descriptive field names. (Keys that start with `a/` belong to admission.)
 */
import type { JobSpec } from "../model/jobs.js";

/** Keys of the cluster's state. The table above describes their values. */
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

/** A parsed key of the cluster's state. */
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

/**
 * Parses a key; null if it belongs to another part of the software, such as admission. Every node parses each changed
 * key, so this must be cheap.
 */
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

/** A decoded value with the revision of the state service at which its key last changed. */
export interface Versioned<V> {
  readonly value: V;
  readonly modRevision: number;
}

/**
 * Placements that share one attempt number and one worker incarnation. Their tasks may be on a machine. Machine
 * names alternate with the ranges of the tasks on the machine (`0-5,7`). Many machines share one attempt number, so
 * grouping by it saves space in a value, which is limited to a few KiB.
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
  /** Residuals of the job's dependencies, as text. */
  readonly residuals: readonly string[];
  /** Number of changes of this job so far. */
  readonly version: number;
  readonly nextAttempt: number;
  /** Epoch of the leader that accepted the job's start; 0 before that. */
  readonly ownerEpoch: number;
  /** Ranges of the done tasks. For a sharded job, only the tasks of its closed shards. */
  readonly doneTasks: string;
  readonly placements: readonly StoredPlacements[];
  /** Number of tasks in each shard of a sharded job; null if the job is stored in one value. */
  readonly shardSize: number | null;
}

/** Version of a job in the value that its submission stores. */
export const SUBMITTED_VERSION = 1;

/** Encodes a job record. For a job that is not sharded, as most are, the shard size is omitted to save space. */
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

/** Decodes a stored job. */
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

/** The job spec if the value is that of a submission; null if it is a later change of the job. */
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

/** One shard of a large job. Task numbers are relative to the shard's first task. */
export interface JobShardRecord {
  /** Version of the job when this value was written. */
  readonly version: number;
  /** Number of the newest attempt in this shard, or a higher number. */
  readonly newestAttempt: number;
  readonly doneTasks: string;
  readonly placements: readonly StoredPlacements[];
}

/** Encodes a shard of a job. */
export function encodeJobShardRecord(shard: JobShardRecord): StoredShard {
  return {
    v: shard.version,
    n: shard.newestAttempt,
    done: shard.doneTasks,
    pl: shard.placements,
  };
}

/** Decodes a stored shard of a job. */
export function decodeJobShardRecord(value: unknown): JobShardRecord {
  const stored = value as StoredShard;
  return {
    version: stored.v,
    newestAttempt: stored.n,
    doneTasks: stored.done,
    placements: stored.pl,
  };
}

interface StoredFinal {
  readonly s: "done" | "cancelled";
  readonly n: number;
}

/** The final outcome of a job. */
export interface FinalRecord {
  readonly outcome: "done" | "cancelled";
  readonly tasks: number;
}

/** Encodes a final record. */
export function encodeFinalRecord({ outcome, tasks }: FinalRecord): StoredFinal {
  return { s: outcome, n: tasks };
}

/** Decodes a stored final record. */
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
   * Whether the cancellation counts as confirmed before the final record is stored. Always false in newly written
   * records: a cancellation is confirmed once the final record is stored, after every task has provably ended.
   * Earlier versions of the software wrote true.
   */
  readonly confirmedAtOnce: boolean;
}

/** Encodes a cancellation. `requestedAtMs` is the time of day of the user's request. */
export function encodeCancellation(requestedAtMs: number): StoredCancellation {
  return { at: requestedAtMs, told: false };
}

/** Decodes a stored cancellation. */
export function decodeCancellation(value: unknown): CancellationRecord {
  return { confirmedAtOnce: (value as StoredCancellation).told !== false };
}

/** A machine as stored in a machine-record shard. */
export type StoredMachine = readonly [address: string, type: string, zone: string, spot: boolean];

/** Machine records by machine name. */
export type StoredMachineShard = Readonly<Record<string, StoredMachine>>;

interface StoredLeader {
  readonly member: string;
  readonly epoch: number;
  readonly lease: number;
  readonly at: number;
}

/** The current leader, as stored. */
export interface LeaderRecord {
  readonly member: string;
  readonly epoch: number;
  readonly leaseId: number;
  /**
   * Time of day at which leadership was acquired, in milliseconds. Other nodes may compare it with their own time of
   * day, since their clocks agree within a known bound.
   */
  readonly acquiredAtMs: number;
}

/** Encodes the leader record. */
export function encodeLeader(leader: LeaderRecord): StoredLeader {
  const { member, epoch, leaseId, acquiredAtMs } = leader;
  return { member, epoch, lease: leaseId, at: acquiredAtMs };
}

/** Decodes the stored leader record. */
export function decodeLeader(value: unknown): LeaderRecord {
  const { member, epoch, lease, at } = value as StoredLeader;
  return { member, epoch, leaseId: lease, acquiredAtMs: at };
}

interface StoredEpoch {
  readonly n: number;
}

/** Encodes the epoch. */
export function encodeEpoch(epoch: number): StoredEpoch {
  return { n: epoch };
}

/** Decodes the stored epoch. */
export function decodeEpoch(value: unknown): number {
  return (value as StoredEpoch).n;
}
