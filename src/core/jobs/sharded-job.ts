/**
 * The stored side of an active job: which tasks are done and placed, the shards in which it is stored, and what of
 * this is persisted.
 */
import type { Placement } from "../dispatch/placement.js";
import type { JobSpec } from "../model/jobs.js";
import { JobShard } from "../state/job-shards.js";
import type { JobRecord, JobShardRecord, Versioned } from "../state/stored-values.js";
import { TaskRanges } from "./task-ranges.js";

/** Index of the main shard: the job's own value. */
const MAIN_SHARD_INDEX = -1;

/** Why a job is cancelled. Only the first leaves a key of its own in the store. */
export type CancellationCause = "by user" | "by dependency";

/** A stored job, as it is read. */
export interface LoadedJob {
  readonly stored: Versioned<JobRecord>;
  /** Its stored shards, by index. */
  readonly shards: ReadonlyMap<number, Versioned<JobShardRecord>>;
  /** Tasks in a shard, if its start was never accepted and it needs shards; null: it needs none. */
  readonly initialShardSize: number | null;
}

/** The stored side of an active job; `ActiveJob` adds what only the leader knows. */
export class ShardedJob {
  readonly spec: JobSpec;
  /** Counts the changes that are to be stored. */
  version: number;
  /** The job's own value. */
  readonly mainShard: JobShard;
  /** Shards of a large job of which any task was placed, by index. */
  readonly shards = new Map<number, JobShard>();
  readonly unpersistedShards = new Set<JobShard>();
  /** Tasks in a shard; null: all stand in the job's own value. */
  shardSize: number | null;
  /** Shards that must be stored together with the job's own value, which held their tasks before; null: none. */
  resharded: Set<JobShard> | null = null;
  /** Indexes of the shards that are terminal, and not stored by themselves any more. */
  readonly closedShards = new Set<number>();
  readonly doneTasks: TaskRanges;
  /** By task. */
  readonly placements = new Map<number, Placement>();
  /** Since when a placement of it waits to be stored; null: none does. */
  unpersistedSince: number | null = null;
  /** Null: it is not cancelled. */
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

  /** A placement is not stored yet: its start waits. */
  get hasUnpersistedPlacement(): boolean {
    for (const shard of this.unpersistedShards) if (shard.hasUnpersistedPlacement) return true;
    return false;
  }

  /** The shard in which a task is stored. */
  shardOf(task: number): JobShard {
    if (this.shardSize === null || task >= this.spec.tasks) return this.mainShard;
    return this.shardAt(Math.floor(task / this.shardSize), this.shardSize);
  }

  /** Attempt number for a task that is placed now; `shared`: the number of those placed in the same cycle. */
  attemptFor(task: number, shared: number): number {
    if (this.shardSize === null) return shared;
    const shard = this.shardOf(task);
    return this.spec.kind === "gang" ? shard.shareAttempt(shared) : shard.nextAttempt(task);
  }

  /** Everything about a task that was true at this version is stored. */
  isPersisted(task: number, version: number): boolean {
    return this.shardOf(task).isPersisted(version);
  }

  /** No task of the shard is placed, nor will be. */
  isShardTerminal(shard: JobShard): boolean {
    if (this.shardSize === null || shard === this.mainShard) return false;
    for (let task = shard.firstTask; task < shard.endTask; task++) {
      if (this.placements.has(task)) return false;
      if (!this.isCancelled && !this.doneTasks.has(task)) return false;
    }
    return true;
  }

  /** The shard is terminal: its key is deleted with the next write of the job's own value. */
  closeShard(shard: JobShard): void {
    if (!this.isCancelled) this.closedShards.add(shard.index);
    if (!this.mainShard.isUnpersisted) this.markChanged();
  }

  /** Something to be stored changed: of a task, or (null) of the job as a whole. */
  markChanged(task: number | null = null): void {
    const shard = task === null ? this.mainShard : this.shardOf(task);
    shard.changedVersion = ++this.version;
    this.unpersistedShards.add(shard);
  }

  /** The shard is stored as of this version of the job, with this mod revision. */
  markPersisted(shard: JobShard, version: number, modRevision: number): void {
    // A late copy of an earlier write says nothing of shards that were made since.
    if (shard === this.mainShard && version >= this.reshardedAtVersion) this.resharded = null;
    shard.modRevision = Math.max(shard.modRevision, modRevision);
    shard.persistedVersion = Math.max(shard.persistedVersion, version);
    if (!shard.isUnpersisted) this.unpersistedShards.delete(shard);
    if (!this.hasUnpersistedPlacement) this.unpersistedSince = null;
  }

  /** The key of a closed shard is deleted. */
  removeShard(shard: JobShard): void {
    this.unpersistedShards.delete(shard);
    this.shards.delete(shard.index);
  }

  /** The stored state was read again after a transaction with an unknown outcome. */
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
   * Resharding: the job stands in one value, stored when values might be larger, and may not fit one now. The shards
   * are stored together with its own value, so that at any moment either holds the tasks.
   */
  reshard(shardSize: number): void {
    this.shardSize = shardSize;
    this.resharded = new Set();
    const shardCount = Math.ceil(this.spec.tasks / shardSize);
    for (let index = 0; index < shardCount; index++) {
      this.moveTasksToShard(index, shardSize, this.resharded);
    }
    this.markChanged();
    this.reshardedAtVersion = this.version;
  }

  private moveTasksToShard(index: number, shardSize: number, resharded: Set<JobShard>): void {
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
      const shard = this.shardAt(index, shardSize);
      shard.attempt = Math.max(shard.attempt, this.mainShard.attempt);
      shard.changedVersion = ++this.version;
      this.unpersistedShards.add(shard);
      resharded.add(shard);
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
      const shard = this.shardAt(index, shardSize);
      shard.modRevision = modRevision;
      shard.persistedVersion = value.version;
      // The last attempts of single tasks are not stored.
      shard.attempt = value.nextAttempt + 1;
      // A gang's attempt number may be in a shard that was stored, and not yet in its own value.
      if (this.spec.kind === "gang") {
        this.mainShard.attempt = Math.max(this.mainShard.attempt, shard.attempt);
      }
      this.version = Math.max(this.version, value.version);
      for (const task of TaskRanges.parse(value.doneTasks))
        this.doneTasks.add(shard.firstTask + task);
    }
  }

  private shardAt(index: number, shardSize: number): JobShard {
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
