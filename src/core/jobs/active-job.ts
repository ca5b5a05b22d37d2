/**
 * A job that is not over, as the leader knows it: its residuals, its tasks that are done, the placements of the
 * others, and which of this is stored.
 */
import type { Expression } from "../../algebra/expression.js";
import type { Placement } from "../dispatch/placement.js";
import { ZoneOccupancy } from "../dispatch/placement-constraints.js";
import { type JobSpec, priorityRank } from "../model/jobs.js";
import { range } from "../range.js";
import { JobShard } from "../state/job-shards.js";
import type { JobRecord, JobShardRecord, Versioned } from "../state/stored-values.js";
import { FailureHistory } from "./failure-history.js";
import { eventName, formatResiduals, isEventAcceptable, parseResiduals } from "./pipeline.js";
import { TaskRanges } from "./task-ranges.js";

export class ActiveJob {
  readonly spec: JobSpec;
  readonly submittedAtMs: number;
  /** Residuals as stored; parsed only when an event residuates them, so that a takeover is quick. */
  residualsText: readonly string[];
  private parsedResiduals: Expression[] | null = null;
  /** Its start is not accepted yet, for jobs that must be done before it; null: not looked at since. */
  private blockedCache: boolean | null = null;
  /** Time of day (ms) from which what is promised of it counts, other than its deadline. */
  private readyAtMs: number | null = null;
  /** Its own priority, or the highest of those that need it, directly or through others. */
  effectiveRank: number;
  /** Latest end (ms of the day) for its own deadline, and for those that wait for it. */
  effectiveDeadlineMs: number | null;
  version: number;
  /** Its own value, and the parts of a large one of which any task was placed. */
  readonly mainShard: JobShard;
  readonly shards = new Map<number, JobShard>();
  readonly unpersistedShards = new Set<JobShard>();
  /** Tasks in a part; null: it stands in one value. */
  shardSize: number | null;
  /** Parts that must be stored together with its own value, which held their tasks before. */
  resharded: Set<JobShard> | null = null;
  private reshardedAtVersion = 0;
  /** Numbers of the parts that are over. */
  readonly closedShards = new Set<number>();
  ownerEpoch: number;
  readonly doneTasks: TaskRanges;
  readonly placements = new Map<number, Placement>();
  /** Since when a placement of it waits to be stored; null: none does. */
  unpersistedSince: number | null = null;
  /** Attempts on machines that our records did not hold: they count, and are stopped. */
  readonly unrecorded = new Set<Placement>();
  /** Zones of all its placements, the unrecorded ones too. */
  readonly zones: ZoneOccupancy;
  /** A task of it ran, as far as this leader knows. */
  firstTaskStarted = false;
  isCancelled = false;
  /** By its user; otherwise through one that it needs, and no key of its own says so. */
  cancelledByUser = false;
  isStartAccepted = false;
  backoffUntil = Number.NEGATIVE_INFINITY;
  readonly failures = new FailureHistory();
  /** Run times of tasks that completed, in seconds. */
  readonly runTimes: number[] = [];
  /** How strongly it holds its place, the strongest first, as of the last pass. */
  precedence = 0;
  /** No search for tasks to stop before then: the last one found none. */
  nextPreemptionAt = Number.NEGATIVE_INFINITY;
  /** Its team's guarantee can still be kept, if it is a gang. */
  guaranteeStillReachable = true;
  /** It goes first because it has waited for too long. */
  isStarving = false;
  /** Its place in line as of the last pass. */
  queuePosition = Number.MAX_SAFE_INTEGER;
  /** Zone in which room is held for a gang until all its tasks fit; "" if any zone will do. */
  reservedZone: string | null = null;
  /** Time at which tasks of it first waited for room. */
  waitingSince: number | null = null;
  /** Tasks that wait for a place, until something changes. */
  private pendingCountCache: number | null = null;

  /** `inParts`: tasks in a part, if it was never placed and is to stand in parts. */
  constructor(
    stored: JobRecord,
    mark: number,
    parts: ReadonlyMap<number, Versioned<JobShardRecord>>,
    inParts: number | null,
  ) {
    this.spec = stored.spec;
    this.zones = new ZoneOccupancy(stored.spec);
    this.submittedAtMs = stored.submittedAtMs;
    this.effectiveRank = priorityRank(stored.spec.priority);
    this.effectiveDeadlineMs = this.ownDeadlineMs;
    this.residualsText = stored.residuals;
    this.version = stored.version;
    this.mainShard = new JobShard(-1, 0, stored.spec.tasks);
    this.mainShard.persistedVersion = stored.version;
    this.mainShard.modRevision = mark;
    this.mainShard.attempt = stored.nextAttempt;
    this.ownerEpoch = stored.ownerEpoch;
    this.doneTasks = TaskRanges.parse(stored.doneTasks);
    this.isStartAccepted = stored.ownerEpoch > 0;
    this.shardSize = stored.shardSize ?? (stored.ownerEpoch === 0 ? inParts : null);
    if (this.shardSize === null) return;
    const size = this.shardSize;
    for (const n of range(Math.ceil(this.spec.tasks / size))) {
      if (this.doneTasks.has(n * size) && !parts.has(n)) this.closedShards.add(n);
    }
    for (const [n, { value, modRevision: partMark }] of parts) {
      const part = this.shardAt(n);
      part.modRevision = partMark;
      part.persistedVersion = value.version;
      // What its tasks were tried with is not all known any more.
      part.attempt = value.nextAttempt + 1;
      // A gang's number may be in a part that was stored, and not in its own value that was not.
      if (this.spec.kind === "gang")
        this.mainShard.attempt = Math.max(this.mainShard.attempt, part.attempt);
      this.version = Math.max(this.version, value.version);
      for (const t of TaskRanges.parse(value.doneTasks)) this.doneTasks.add(part.firstTask + t);
    }
  }

  /** The part that a task stands in. */
  shardOf(task: number): JobShard {
    if (this.shardSize === null || task >= this.spec.tasks) return this.mainShard;
    return this.shardAt(Math.floor(task / this.shardSize));
  }
  private shardAt(n: number): JobShard {
    let part = this.shards.get(n);
    if (part === undefined) {
      const size = this.shardSize!;
      part = new JobShard(n, n * size, Math.min(this.spec.tasks, (n + 1) * size));
      this.shards.set(n, part);
    }
    return part;
  }

  /** Attempt number for a task that is placed now; those of one pass have `of` in common. */
  attemptFor(task: number, of: number): number {
    if (this.shardSize === null) return of;
    const part = this.shardOf(task);
    return this.spec.kind === "gang" ? part.shareAttempt(of) : part.nextAttempt(task);
  }

  /** Is everything about a task that was true at this version stored? */
  isPersisted(task: number, version: number): boolean {
    return this.shardOf(task).isPersisted(version);
  }
  /** Placements are not stored yet: starts wait. */
  get hasUnpersistedPlacement(): boolean {
    for (const part of this.unpersistedShards) if (part.hasUnpersistedPlacement) return true;
    return false;
  }
  /** Nothing of the part is under way, nor will be. */
  isShardTerminal(part: JobShard): boolean {
    if (this.shardSize === null || part === this.mainShard) return false;
    for (let t = part.firstTask; t < part.endTask; t++) {
      if (this.placements.has(t) || !(this.isCancelled || this.doneTasks.has(t))) return false;
    }
    return true;
  }
  /** Its key goes with the next write of the job's own value. */
  closeShard(part: JobShard): void {
    if (!this.isCancelled) this.closedShards.add(part.index);
    if (!this.mainShard.isUnpersisted) this.markChanged();
  }
  /** As of this version the part is stored, or gone. */
  markPersisted(part: JobShard, version: number, mark: number): void {
    // (A late copy of a write from before says nothing of the parts.)
    if (part === this.mainShard && version >= this.reshardedAtVersion) this.resharded = null;
    part.modRevision = Math.max(part.modRevision, mark);
    part.persistedVersion = Math.max(part.persistedVersion, version);
    if (!part.isUnpersisted) this.unpersistedShards.delete(part);
    if (!this.hasUnpersistedPlacement) this.unpersistedSince = null;
  }
  removeShard(part: JobShard): void {
    this.unpersistedShards.delete(part);
    this.shards.delete(part.index);
  }
  /** The records were read again after a write whose end was not known. */
  refreshFromReplica(
    live: Versioned<JobRecord>,
    parts: ReadonlyMap<number, Versioned<JobShardRecord>>,
  ): void {
    this.markPersisted(this.mainShard, live.value.version, live.modRevision);
    for (const part of this.shards.values()) {
      const now = parts.get(part.index);
      if (now === undefined) part.modRevision = 0;
      else this.markPersisted(part, now.value.version, now.modRevision);
    }
  }

  get dependencies(): readonly Expression[] {
    this.parsedResiduals ??= parseResiduals(this.residualsText);
    return this.parsedResiduals;
  }
  get ownDeadlineMs(): number | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : this.submittedAtMs + 1000 * deadlineS;
  }

  /** By its dependencies: its start would make one of them zero, or insecure, as things stand. */
  get isBlockedOnDependencies(): boolean {
    if (this.spec.after === undefined || this.isStartAccepted) return false;
    this.blockedCache ??= !isEventAcceptable(this.dependencies, eventName("start", this.spec.id));
    return this.blockedCache;
  }
  /** The last of the jobs that it needs is done, as of this time of day. */
  markReady(wallMs: number): void {
    this.readyAtMs ??= wallMs;
  }
  get objectivesCountFromMs(): number {
    return this.spec.after === undefined
      ? this.submittedAtMs
      : (this.readyAtMs ?? this.submittedAtMs);
  }
  get isReady(): boolean {
    return this.spec.after === undefined || this.readyAtMs !== null;
  }

  set dependencies(next: Expression[]) {
    this.blockedCache = null;
    this.parsedResiduals = next;
    this.residualsText = formatResiduals(next);
  }

  /** It fails wherever it goes, as far as is known. */
  get isSuspect(): boolean {
    return this.failures.suspicion !== null;
  }
  /** A try of it is under way, to see whether it still fails. */
  get isOnProbation(): boolean {
    const { suspicion: suspect } = this.failures;
    if (suspect === null) return false;
    for (const p of this.placements.values()) if (p.placedAt > suspect.since) return true;
    return false;
  }

  get isUnpersisted(): boolean {
    return this.unpersistedShards.size > 0;
  }
  get isComplete(): boolean {
    return this.spec.kind !== "service" && this.doneTasks.size >= this.spec.tasks;
  }
  get placementCount(): number {
    return this.placements.size + this.unrecorded.size;
  }
  /** Something to be stored changed: of a task, or of the job as a whole. */
  markChanged(task: number | null = null): void {
    const part = task === null ? this.mainShard : this.shardOf(task);
    part.changedVersion = ++this.version;
    this.unpersistedShards.add(part);
    this.pendingCountCache = null;
  }
  /** Its placements changed, whether or not that must be stored. */
  invalidatePendingCount(): void {
    this.pendingCountCache = null;
  }

  /** Tasks that wait for a place. One of which an unrecorded attempt may run waits for the end of that. */
  *pendingTasks(): Generator<number> {
    const unrecorded = this.unrecordedTasks();
    for (const t of this.doneTasks.missing(this.spec.tasks)) {
      if (!this.placements.has(t) && !unrecorded.has(t)) yield t;
    }
  }
  private unrecordedTasks(): ReadonlySet<number> {
    return new Set([...this.unrecorded].map((p) => p.task));
  }
  /** Another attempt of this task may be on a machine. */
  hasOtherAttempt(p: Placement): boolean {
    for (const other of this.unrecorded) if (other !== p && other.task === p.task) return true;
    return this.placements.get(p.task) !== p;
  }
  get pendingCount(): number {
    this.pendingCountCache ??= this.countPending();
    return this.pendingCountCache;
  }
  private countPending(): number {
    let placed = 0;
    for (const t of this.placements.keys()) if (!this.doneTasks.has(t)) placed++;
    for (const t of this.unrecordedTasks()) {
      if (t < this.spec.tasks && !this.doneTasks.has(t) && !this.placements.has(t)) placed++;
    }
    return this.spec.tasks - this.doneTasks.size - placed;
  }

  *allPlacements(): Generator<Placement> {
    yield* this.placements.values();
    yield* this.unrecorded;
  }

  /**
   * It stands in one value, stored when a value might be larger, and may not fit one now: it is cut into
   * parts, which are stored together with its own value, so that at any moment either holds the tasks.
   */
  reshard(size: number): void {
    this.shardSize = size;
    this.resharded = new Set();
    for (const n of range(Math.ceil(this.spec.tasks / size))) {
      const to = Math.min(this.spec.tasks, (n + 1) * size);
      let done = 0;
      let placed = false;
      for (let t = n * size; t < to; t++) {
        if (this.doneTasks.has(t)) done++;
        if (this.placements.has(t)) placed = true;
      }
      if (done === to - n * size && !placed) this.closedShards.add(n);
      else if (done > 0 || placed) {
        const part = this.shardAt(n);
        part.attempt = Math.max(part.attempt, this.mainShard.attempt);
        part.changedVersion = ++this.version;
        this.unpersistedShards.add(part);
        this.resharded.add(part);
      }
    }
    this.markChanged();
    this.reshardedAtVersion = this.version;
  }
}
