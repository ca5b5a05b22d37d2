/**
 * The stored state of an active job: its done and placed tasks, the shards in which these are stored, and the changes
 * that are not stored yet.
 */
import type { Placement } from "../dispatch/placement.js";
import type { JobSpec } from "../model/jobs.js";
import { JobShard } from "../state/job-shards.js";
import type { JobRecord, JobShardRecord, Versioned } from "../state/stored-values.js";
import { ClosedShards } from "./closed-shards.js";
import { TaskRanges } from "./task-ranges.js";

/** Index of the main shard, which is the job record itself. */
const MAIN_SHARD_INDEX = -1;

/** Cause of a cancellation. Only a cancellation `by user` is stored under a key of its own. */
export type CancellationCause = "by user" | "by dependency";

/** A job as read from the state service. */
export interface LoadedJob {
  readonly stored: Versioned<JobRecord>;
  /** The job's stored shards, by index. */
  readonly shards: ReadonlyMap<number, Versioned<JobShardRecord>>;
  /** Tasks per shard, used if the job's start was never accepted; null: the job needs no shards. */
  readonly initialShardSize: number | null;
}

/** The stored state of an active job. `ActiveJob` adds the state that only the leader has. */
export class ShardedJob {
  readonly spec: JobSpec;
  /** Version of the job, incremented with each change that is to be stored. */
  version: number;
  /** The job record. */
  readonly mainShard: JobShard;
  /** Shards of a large job that have had a task placed, by index. */
  readonly shards = new Map<number, JobShard>();
  readonly unpersistedShards = new Set<JobShard>();
  /** Tasks per shard; null: all tasks are stored in the job record. */
  shardSize: number | null;
  /**
   * Shards created by `reshard` that must be stored in one transaction with the job record, because the stored record
   * still contains their tasks; null: none.
   */
  reshardedShards: Set<JobShard> | null = null;
  /**
   * Indexes of closed shards, all of whose tasks are done. The job record lists these tasks, so the shards need no
   * stored values of their own.
   */
  readonly closedShards = new ClosedShards();
  readonly doneTasks: TaskRanges;
  /** Placements by task number. */
  readonly placements = new Map<number, Placement>();
  /** Time at which the first placement that still waits to be stored was made; null: none waits. */
  unpersistedSince: number | null = null;
  /** Cause of the job's cancellation; null: the job is not cancelled. */
  cancellation: CancellationCause | null = null;
  private reshardedAtVersion = 0;

  constructor({ stored: { value, modRevision }, shards, initialShardSize }: LoadedJob) {
    this.spec = value.spec;
    this.version = value.version;
    this.mainShard = new JobShard(MAIN_SHARD_INDEX, 0, value.spec.tasks);
    this.mainShard.persistedVersion = value.version;
    this.mainShard.modRevision = modRevision;
    this.mainShard.attempt = value.nextAttempt;
    this.doneTasks = TaskRanges.parse(value.doneTasks);
    this.shardSize = value.shardSize ?? (value.ownerEpoch === 0 ? initialShardSize : null);
    if (this.shardSize !== null) this.loadShards(shards, this.shardSize);
  }

  get isCancelled(): boolean {
    return this.cancellation !== null;
  }

  get cancelledByUser(): boolean {
    return this.cancellation === "by user";
  }

  get isUnpersisted(): boolean {
    return this.unpersistedShards.size > 0;
  }

  /** Whether a placement is not stored yet, so that its task must not start. */
  get hasUnpersistedPlacement(): boolean {
    for (const shard of this.unpersistedShards) if (shard.hasUnpersistedPlacement) return true;
    return false;
  }

  /** Returns the shard in which a task is stored, and adds it if it does not exist yet. */
  shardOf(task: number): JobShard {
    if (this.shardSize === null || task >= this.spec.tasks) return this.mainShard;
    return this.findOrAddShard(Math.floor(task / this.shardSize), this.shardSize);
  }

  /**
   * Chooses the attempt number for a task to be placed. `cycleAttempt`: number shared by tasks placed in the same
   * cycle.
   */
  attemptFor(task: number, cycleAttempt: number): number {
    if (this.shardSize === null) return cycleAttempt;
    const shard = this.shardOf(task);
    return this.spec.kind === "gang"
      ? shard.adoptGangAttempt(cycleAttempt)
      : shard.nextAttempt(task);
  }

  /** Whether the shard that contains the task is stored with all changes up to this version of the job. */
  isPersisted(task: number, version: number): boolean {
    return this.shardOf(task).isPersisted(version);
  }

  /**
   * Whether none of the shard's tasks has a placement or will get another one, because each task is done or the job
   * is cancelled. Always false for the main shard.
   */
  isShardTerminal(shard: JobShard): boolean {
    if (this.shardSize === null || shard === this.mainShard) return false;
    for (let task = shard.firstTask; task < shard.endTask; task++) {
      if (this.placements.has(task)) return false;
      if (!this.isCancelled && !this.doneTasks.has(task)) return false;
    }
    return true;
  }

  /** Closes a terminal shard. Its key is deleted with the next write of the job record. */
  closeShard(shard: JobShard): void {
    if (!this.isCancelled) this.closedShards.add(shard.index);
    if (!this.mainShard.isUnpersisted) this.markChanged();
  }

  /** Records a change that has to be stored: in the shard of the given task, or (null) in the job record. */
  markChanged(task: number | null = null): void {
    const shard = task === null ? this.mainShard : this.shardOf(task);
    shard.changedVersion = ++this.version;
    this.unpersistedShards.add(shard);
  }

  /** Records that the shard is stored, with all changes up to this version of the job and with this mod revision. */
  markPersisted(shard: JobShard, version: number, modRevision: number): void {
    // A late notification of a write from before the resharding does not show that the new shards are stored.
    if (shard === this.mainShard && version >= this.reshardedAtVersion) this.reshardedShards = null;
    shard.modRevision = Math.max(shard.modRevision, modRevision);
    shard.persistedVersion = Math.max(shard.persistedVersion, version);
    if (!shard.isUnpersisted) this.unpersistedShards.delete(shard);
    if (!this.hasUnpersistedPlacement) this.unpersistedSince = null;
  }

  /** Removes a closed shard whose key has been deleted. */
  removeShard(shard: JobShard): void {
    this.unpersistedShards.delete(shard);
    this.shards.delete(shard.index);
  }

  /** Applies the stored state, which was read again after a transaction with an unknown outcome. */
  refreshFromReplica(
    stored: Versioned<JobRecord>,
    storedShards: ReadonlyMap<number, Versioned<JobShardRecord>>,
  ): void {
    this.markPersisted(this.mainShard, stored.value.version, stored.modRevision);
    for (const shard of this.shards.values()) {
      const storedShard = storedShards.get(shard.index);
      if (storedShard === undefined) shard.modRevision = 0;
      else this.markPersisted(shard, storedShard.value.version, storedShard.modRevision);
    }
  }

  /**
   * Splits a job into shards. It was stored as a single value when larger values were accepted, and may no longer fit
   * one. The shards are stored in one transaction with the job record, so that each task is always stored in one or
   * the other.
   */
  reshard(shardSize: number): void {
    this.shardSize = shardSize;
    this.reshardedShards = new Set();
    const shardCount = Math.ceil(this.spec.tasks / shardSize);
    for (let index = 0; index < shardCount; index++) {
      this.moveTasksToShard(index, shardSize, this.reshardedShards);
    }
    this.markChanged();
    this.reshardedAtVersion = this.version;
  }

  private moveTasksToShard(index: number, shardSize: number, reshardedShards: Set<JobShard>): void {
    const firstTask = index * shardSize;
    const endTask = Math.min(this.spec.tasks, firstTask + shardSize);
    let done = 0;
    let hasPlacement = false;
    for (let task = firstTask; task < endTask; task++) {
      if (this.doneTasks.has(task)) done++;
      if (this.placements.has(task)) hasPlacement = true;
    }
    if (done === endTask - firstTask && !hasPlacement) this.closedShards.add(index);
    else if (done > 0 || hasPlacement) {
      const shard = this.findOrAddShard(index, shardSize);
      shard.attempt = Math.max(shard.attempt, this.mainShard.attempt);
      shard.changedVersion = ++this.version;
      this.unpersistedShards.add(shard);
      reshardedShards.add(shard);
    }
  }

  private loadShards(
    stored: ReadonlyMap<number, Versioned<JobShardRecord>>,
    shardSize: number,
  ): void {
    const shardCount = Math.ceil(this.spec.tasks / shardSize);
    for (let index = 0; index < shardCount; index++) {
      if (this.doneTasks.has(index * shardSize) && !stored.has(index)) this.closedShards.add(index);
    }
    for (const [index, { value, modRevision }] of stored) {
      const shard = this.findOrAddShard(index, shardSize);
      shard.modRevision = modRevision;
      shard.persistedVersion = value.version;
      // The last attempt number of each task is not stored, so all tasks continue above the shard's newest number.
      shard.attempt = value.newestAttempt + 1;
      // A gang's attempt number may already be in a stored shard but not yet in the job record.
      if (this.spec.kind === "gang") {
        this.mainShard.attempt = Math.max(this.mainShard.attempt, shard.attempt);
      }
      this.version = Math.max(this.version, value.version);
      for (const task of TaskRanges.parse(value.doneTasks))
        this.doneTasks.add(shard.firstTask + task);
    }
  }

  private findOrAddShard(index: number, shardSize: number): JobShard {
    let shard = this.shards.get(index);
    if (shard === undefined) {
      const firstTask = index * shardSize;
      const endTask = Math.min(this.spec.tasks, firstTask + shardSize);
      shard = new JobShard(index, firstTask, endTask);
      this.shards.set(index, shard);
    }
    return shard;
  }
}
