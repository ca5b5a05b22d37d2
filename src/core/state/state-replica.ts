/**
 * This node's replica of the stored state: decoded records, updated with the changes that the watcher reads.
 *
 * Every node has a replica, and answers users' queries about jobs from it.
 */

import { assertNever } from "../assert-never.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import type { JobView } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import { DependencyIndex } from "./dependency-index.js";
import { FinalRecordTable } from "./final-record-table.js";
import type { ChangeEvent, KeyValueItem } from "./key-value.js";
import { ReplicaLoad } from "./replica-load.js";
import { storedPlacementRanges } from "./stored-placements.js";
import {
  type CancellationRecord,
  decodeCancellation,
  decodeEpoch,
  decodeFinalRecord,
  decodeJobRecord,
  decodeJobShardRecord,
  decodeLeader,
  type FinalRecord,
  type JobRecord,
  type JobShardRecord,
  type LeaderRecord,
  parseKey,
  type StoredKey,
  type StoredMachineShard,
  SUBMITTED_VERSION,
  type Versioned,
} from "./stored-values.js";

/** Summary of a batch of applied changes, so that the leader need not visit every job. */
export interface ReplicaChange {
  /** Ids of the jobs with any changed key. */
  readonly jobs: Set<string>;
  /** Whether the leader or the epoch changed. */
  leadership: boolean;
  /** Number of submissions and cancellations among the changes. */
  userRequests: number;
}

interface TaskCounts {
  done: number;
  running: number;
}

const NO_SHARDS: ReadonlyMap<number, Versioned<JobShardRecord>> = new Map();
const NO_EPOCH: Versioned<number> = { value: 0, modRevision: 0 };

/** A node's copy of the stored state, complete up to `revision`. */
export class StateReplica {
  readonly activeJobs = new Map<string, Versioned<JobRecord>>();
  readonly finalRecords = new FinalRecordTable();
  /** Cancellations of jobs whose final record is not stored yet. */
  readonly cancellations = new Map<string, CancellationRecord>();
  readonly machineShards = new Map<number, Versioned<StoredMachineShard>>();
  leader: Versioned<LeaderRecord> | null = null;
  epoch = NO_EPOCH;
  machineTypes: readonly MachineType[] | null = null;
  machineTypesModRevision = 0;
  /** Revision of the state service up to which all changes are applied. */
  revision = -1;

  private readonly shards = new Map<string, Map<number, Versioned<JobShardRecord>>>();
  /** Task counts cached per stored value, because values are queried far more often than they change. */
  private readonly taskCounts = new WeakMap<object, TaskCounts>();
  private readonly dependencies = new DependencyIndex(this.activeJobs, this.finalRecords);

  /** Replaces the content with these items. */
  reset(items: readonly KeyValueItem[], revision: number): void {
    const load = new ReplicaLoad();
    load.add(items);
    this.completeLoad(load, revision);
  }

  /**
   * Replaces the content with a full read, whose pages were added to `load`. `revision` is that of the state service
   * before the first page was read.
   */
  completeLoad({ otherItems, finalRecords }: ReplicaLoad, revision: number): void {
    this.activeJobs.clear();
    this.finalRecords.replaceWith(finalRecords);
    this.shards.clear();
    this.cancellations.clear();
    this.machineShards.clear();
    this.dependencies.clear();
    this.leader = null;
    this.epoch = NO_EPOCH;
    for (const item of otherItems) {
      const key = parseKey(item.key);
      if (key !== null) this.put(key, item.value, item.modRevision);
    }
    this.revision = revision;
  }

  /** Applies watched changes, and skips those that are already applied. */
  apply(events: readonly ChangeEvent[], revision: number): ReplicaChange {
    const change: ReplicaChange = { jobs: new Set(), leadership: false, userRequests: 0 };
    for (const event of events) {
      if (event.modRevision <= this.revision) continue;
      const key = parseKey(event.key);
      if (key === null) continue;
      if (event.removed) this.remove(key);
      else this.put(key, event.value, event.modRevision);
      this.recordChange(change, key, event.removed);
    }
    if (revision > this.revision) this.revision = revision;
    return change;
  }

  /** Ids of the active jobs that depend on this one. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.dependencies.dependentsOf(id);
  }

  /** The outcome of a job, as an event for its dependents, or null if none is stored yet. */
  outcomeOf(id: string): "done" | "failed" | null {
    return this.dependencies.outcomeOf(id);
  }

  /** Stored shards of a large job, by their index. */
  shardsOf(id: string): ReadonlyMap<number, Versioned<JobShardRecord>> {
    return this.shards.get(id) ?? NO_SHARDS;
  }

  /**
   * The state of a job as reported to users, or null if no such job was ever accepted.
   *
   * Only this method decides when a cancellation is confirmed to a user, for every node and every kind of request
   * (cancellation, query, repeated submission). It is confirmed once the final record is stored, and the leader
   * stores that only when no task of the job can be on a machine or start any more. A node that answers worker
   * heartbeats therefore need not know of confirmed cancellations, however stale its replica is. (When a cancellation
   * was confirmed as soon as it was stored, a leader whose requests the state service refused did not learn of it,
   * and its answers to heartbeats kept the cancelled tasks running for longer than `cancel_s`.) A job that can never
   * start because of its dependencies has no tasks on machines, so it is reported as cancelled before its final
   * record is stored.
   */
  view(id: string): JobView | null {
    const final = this.finalRecords.get(id);
    if (final !== undefined) {
      const done = final.outcome === "done" ? final.tasks : 0;
      return { id, state: final.outcome, done, running: 0 };
    }
    const job = this.activeJobs.get(id);
    if (job === undefined) return null;
    let { done, running } = this.countTasks(job);
    for (const shard of this.shardsOf(id).values()) {
      const counts = this.countTasks(shard);
      done += counts.done;
      running += counts.running;
    }
    // The own value of a complete job lists all tasks, while some shards still list theirs.
    done = Math.min(done, job.value.spec.tasks);
    if (this.cancellations.get(id)?.confirmedAtOnce || this.dependencies.canNeverStart(id)) {
      return { id, state: "cancelled", done, running: 0 };
    }
    return { id, state: running > 0 ? "running" : "queued", done, running };
  }

  private put(key: StoredKey, value: unknown, modRevision: number): void {
    switch (key.kind) {
      case "activeJob":
        this.putJob(key.id, { value: decodeJobRecord(value), modRevision });
        break;
      case "jobShard":
        this.putShard(key.id, key.index, { value: decodeJobShardRecord(value), modRevision });
        break;
      case "finalRecord":
        this.putFinalRecord(key.id, decodeFinalRecord(value));
        break;
      case "cancellation":
        this.cancellations.set(key.id, decodeCancellation(value));
        break;
      case "machineShard":
        this.machineShards.set(key.index, { value: value as StoredMachineShard, modRevision });
        break;
      case "leader":
        this.leader = { value: decodeLeader(value), modRevision };
        break;
      case "epoch":
        this.epoch = { value: decodeEpoch(value), modRevision };
        break;
      case "machineTypes":
        this.machineTypes = value as readonly MachineType[];
        this.machineTypesModRevision = modRevision;
        break;
      default:
        assertNever(key);
    }
  }

  private remove(key: StoredKey): void {
    switch (key.kind) {
      case "activeJob":
        this.removeJob(key.id);
        break;
      case "jobShard":
        this.removeShard(key.id, key.index);
        break;
      case "finalRecord":
        this.finalRecords.delete(key.id);
        break;
      case "cancellation":
        this.cancellations.delete(key.id);
        break;
      case "machineShard":
        this.machineShards.delete(key.index);
        break;
      case "leader":
        this.leader = null;
        break;
      case "epoch":
      case "machineTypes":
        // Never deleted.
        break;
      default:
        assertNever(key);
    }
  }

  private recordChange(change: ReplicaChange, key: StoredKey, removed: boolean): void {
    switch (key.kind) {
      case "activeJob":
        change.jobs.add(key.id);
        if (!removed && this.activeJobs.get(key.id)!.value.version === SUBMITTED_VERSION) {
          change.userRequests++;
        }
        break;
      case "cancellation":
        change.jobs.add(key.id);
        if (!removed) change.userRequests++;
        break;
      case "finalRecord":
      case "jobShard":
        change.jobs.add(key.id);
        break;
      case "leader":
      case "epoch":
        change.leadership = true;
        break;
      case "machineShard":
      case "machineTypes":
        break;
      default:
        assertNever(key);
    }
  }

  private putJob(id: string, job: Versioned<JobRecord>): void {
    const isKnown = this.activeJobs.has(id);
    this.activeJobs.set(id, job);
    if (!isKnown) this.dependencies.add(id, job.value);
  }

  private removeJob(id: string): void {
    this.dependencies.remove(id, this.activeJobs.get(id)?.value);
    this.activeJobs.delete(id);
  }

  private putShard(id: string, index: number, shard: Versioned<JobShardRecord>): void {
    let shards = this.shards.get(id);
    if (shards === undefined) {
      shards = new Map();
      this.shards.set(id, shards);
    }
    shards.set(index, shard);
  }

  private removeShard(id: string, index: number): void {
    const shards = this.shards.get(id);
    shards?.delete(index);
    if (shards?.size === 0) this.shards.delete(id);
  }

  private putFinalRecord(id: string, final: FinalRecord): void {
    this.finalRecords.set(id, final);
    if (final.outcome === "cancelled") this.dependencies.propagateFailure(id);
  }

  private countTasks(stored: Versioned<JobRecord | JobShardRecord>): TaskCounts {
    let counts = this.taskCounts.get(stored);
    if (counts === undefined) {
      counts = { done: TaskRanges.parse(stored.value.doneTasks).size, running: 0 };
      for (const { tasks } of storedPlacementRanges(stored.value.placements)) {
        counts.running += TaskRanges.parse(tasks).size;
      }
      this.taskCounts.set(stored, counts);
    }
    return counts;
  }
}
