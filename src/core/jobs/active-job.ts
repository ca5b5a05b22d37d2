/** The leader's in-memory state of a job that is not terminal. */
import type { Expression } from "../../algebra/expression.js";
import type { Placement } from "../dispatch/placement.js";
import { ZoneOccupancy } from "../dispatch/placement-constraints.js";
import { priorityRank } from "../model/jobs.js";
import { FailureHistory } from "./failure-history.js";
import { eventName, formatResiduals, isEventAcceptable, parseResiduals } from "./pipeline.js";
import { type LoadedJob, ShardedJob } from "./sharded-job.js";

/**
 * Extends the stored state of a job with the parsed residuals of its dependencies, its urgency, its failures, and
 * results of the last scheduling cycle. A residual is the part of a dependency that remains to be satisfied after the
 * events so far. Times in ms are wall-clock times since the Unix epoch; other times are monotonic, in seconds.
 */
export class ActiveJob extends ShardedJob {
  /** Wall-clock time (ms) of the submission. */
  readonly submittedAtMs: number;
  /** Residuals in stored form. They are parsed only on first use, so that takeovers are fast. */
  residualsText: readonly string[];
  /** Rank of the most urgent priority among the job and its direct and transitive dependents. */
  effectiveRank: number;
  /** Wall-clock time (ms) by which the job should end to meet its own and its dependents' deadlines; null: none. */
  effectiveDeadlineMs: number | null;
  /** Epoch of the leader that accepted the job's start; 0: the start has not been accepted. */
  ownerEpoch: number;
  isStartAccepted: boolean;
  /** Attempts that workers report but that are not in the stored state. They use resources, and are being stopped. */
  readonly unrecordedPlacements = new Set<Placement>();
  /** Zones of all placements of the job, including unrecorded ones. */
  readonly zones: ZoneOccupancy;
  /** Whether any task of the job has run, as far as this leader knows. */
  firstTaskStarted = false;
  /** Time before which no task of the job is placed; set after failures. */
  backoffUntil = Number.NEGATIVE_INFINITY;
  readonly failures = new FailureHistory();
  /** Run times of completed tasks, in seconds. */
  readonly runTimes: number[] = [];
  /** Precedence in the last scheduling cycle; the job with the lower value comes first. See `precedenceOf`. */
  precedence = 0;
  /** Earliest time of the next search for tasks to preempt; set after a search that found none. */
  nextPreemptionAt = Number.NEGATIVE_INFINITY;
  /**
   * For a gang, whether a start in the last scheduling cycle would have met the longest of the start-time objectives
   * for work within a team's guarantee. True for other jobs, and if there is no such objective.
   */
  canStillMeetGuarantee = true;
  /** Whether the job is placed before others because it has waited for too long. */
  isStarving = false;
  /** Position in the queue in the last scheduling cycle. */
  queuePosition = Number.MAX_SAFE_INTEGER;
  /** Zone in which capacity is reserved for a gang until all its tasks fit; "": any zone; null: no reservation. */
  reservedZone: string | null = null;
  /** Time since which tasks of the job have waited for capacity; null: none waits. */
  waitingSince: number | null = null;
  /**
   * Time since which the job has waited for capacity, within its team's quota, without a task on any machine; null: it
   * has tasks on machines, or waits for its quota, or does not wait.
   */
  stalledSince: number | null = null;
  private parsedResiduals: Expression[] | null = null;
  /** Cached `isBlockedOnDependencies`, cleared when the residuals change; null: not computed. */
  private blockedCache: boolean | null = null;
  /**
   * Wall-clock time (ms) at which this leader found all dependencies of the job done; null: not all are known to be
   * done.
   */
  private readyAtMs: number | null = null;
  /** Cached `pendingCount`, cleared when the placements change; null: not computed. */
  private pendingCountCache: number | null = null;

  constructor(loaded: LoadedJob) {
    super(loaded);
    const { value } = loaded.stored;
    this.zones = new ZoneOccupancy(value.spec);
    this.submittedAtMs = value.submittedAtMs;
    this.effectiveRank = priorityRank(value.spec.priority);
    this.effectiveDeadlineMs = this.ownDeadlineMs;
    this.residualsText = value.residuals;
    this.ownerEpoch = value.ownerEpoch;
    this.isStartAccepted = value.ownerEpoch > 0;
  }

  /** Residuals of the job's dependencies, parsed. */
  get dependencies(): readonly Expression[] {
    this.parsedResiduals ??= parseResiduals(this.residualsText);
    return this.parsedResiduals;
  }

  set dependencies(residuals: Expression[]) {
    this.blockedCache = null;
    this.parsedResiduals = residuals;
    this.residualsText = formatResiduals(residuals);
  }

  /** Whether the job's dependencies currently forbid its start; see `isEventAcceptable`. */
  get isBlockedOnDependencies(): boolean {
    if (this.spec.after === undefined || this.isStartAccepted) return false;
    this.blockedCache ??= !isEventAcceptable(this.dependencies, eventName("start", this.spec.id));
    return this.blockedCache;
  }

  /**
   * Updates the times since which tasks have waited, after the placement step of a cycle. `isWithinQuota`: the team's
   * quota allows another task of the job.
   */
  recordPlacementStep(isWithinQuota: boolean, now: number): void {
    if (this.pendingCount === 0) {
      this.recordNothingWaits();
      return;
    }
    this.waitingSince ??= now;
    if (isWithinQuota && this.placementCount === 0) this.stalledSince ??= now;
    else this.stalledSince = null;
  }

  /** Records that no task of the job waits for capacity. */
  recordNothingWaits(): void {
    this.waitingSince = null;
    this.stalledSince = null;
  }

  /** Whether the job has no dependencies, or all of them are known to be done. */
  get isReady(): boolean {
    return this.spec.after === undefined || this.readyAtMs !== null;
  }

  /** Records the wall-clock time (ms) at which this leader first found all dependencies done. */
  markReady(wallMs: number): void {
    this.readyAtMs ??= wallMs;
  }

  /** Wall-clock time (ms) from which the job's service-level objectives, other than its deadline, are measured. */
  get objectivesStartMs(): number {
    if (this.spec.after === undefined) return this.submittedAtMs;
    return this.readyAtMs ?? this.submittedAtMs;
  }

  /** Wall-clock time (ms) of the job's own deadline; null: no deadline. */
  get ownDeadlineMs(): number | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : this.submittedAtMs + 1000 * deadlineS;
  }

  /** Whether the job is suspected of failing regardless of the machine. */
  get isSuspect(): boolean {
    return this.failures.suspicion !== null;
  }

  /**
   * Whether an attempt that was placed after the job became suspect is in progress. Its outcome shows whether the job
   * still fails.
   */
  get hasRetryInProgress(): boolean {
    const { suspicion } = this.failures;
    if (suspicion === null) return false;
    for (const placement of this.placements.values()) {
      if (placement.placedAt > suspicion.since) return true;
    }
    return false;
  }

  get isComplete(): boolean {
    return this.spec.kind !== "service" && this.doneTasks.size >= this.spec.tasks;
  }

  /** Number of attempts that use resources, including unrecorded ones. */
  get placementCount(): number {
    return this.placements.size + this.unrecordedPlacements.size;
  }

  *allPlacements(): Generator<Placement> {
    yield* this.placements.values();
    yield* this.unrecordedPlacements;
  }

  /**
   * Whether another attempt of this placement's task may be on a machine. Also true if this placement is not, or no
   * longer, the recorded one of its task.
   */
  hasOtherAttempt(placement: Placement): boolean {
    for (const other of this.unrecordedPlacements) {
      if (other !== placement && other.task === placement.task) return true;
    }
    return this.placements.get(placement.task) !== placement;
  }

  /** Tasks to be placed, in ascending order. A task with an unrecorded attempt is left out until the attempt ends. */
  *pendingTasks(): Generator<number> {
    const unrecorded = this.unrecordedTasks();
    for (const task of this.doneTasks.missing(this.spec.tasks)) {
      if (!this.placements.has(task) && !unrecorded.has(task)) yield task;
    }
  }

  /** Number of tasks to be placed. */
  get pendingCount(): number {
    this.pendingCountCache ??= this.countPending();
    return this.pendingCountCache;
  }

  /** Must be called after every change of the placements, also after a change that need not be stored. */
  invalidatePendingCount(): void {
    this.pendingCountCache = null;
  }

  override markChanged(task: number | null = null): void {
    super.markChanged(task);
    this.pendingCountCache = null;
  }

  private countPending(): number {
    let placed = 0;
    for (const task of this.placements.keys()) if (!this.doneTasks.has(task)) placed++;
    for (const task of this.unrecordedTasks()) {
      if (task >= this.spec.tasks || this.placements.has(task)) continue;
      if (!this.doneTasks.has(task)) placed++;
    }
    return this.spec.tasks - this.doneTasks.size - placed;
  }

  private unrecordedTasks(): ReadonlySet<number> {
    return new Set([...this.unrecordedPlacements].map((placement) => placement.task));
  }
}
