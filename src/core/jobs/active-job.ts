/** A job that is not terminal, as the leader knows it. */
import type { Expression } from "../../algebra/expression.js";
import type { Placement } from "../dispatch/placement.js";
import { ZoneOccupancy } from "../dispatch/placement-constraints.js";
import { priorityRank } from "../model/jobs.js";
import { FailureHistory } from "./failure-history.js";
import { eventName, formatResiduals, isEventAcceptable, parseResiduals } from "./pipeline.js";
import { type LoadedJob, ShardedJob } from "./sharded-job.js";

/** Adds to the stored side of a job its dependencies, its urgency, and what the last scheduling cycles found. */
export class ActiveJob extends ShardedJob {
  /** Time of day of the submission, in milliseconds. */
  readonly submittedAtMs: number;
  /** Residuals as stored; parsed only when an event residuates them, so that a takeover is quick. */
  residualsText: readonly string[];
  /** Rank of its own priority, or the highest of its dependents, direct or not. */
  effectiveRank: number;
  /** Time of day (ms) by which it should end, for its own deadline and for its dependents; null: no deadline. */
  effectiveDeadlineMs: number | null;
  /** Epoch of the leader that accepted its start; 0: none has. */
  ownerEpoch: number;
  isStartAccepted: boolean;
  /** Attempts that workers report and that are not in the stored state: they count, and are stopped. */
  readonly unrecorded = new Set<Placement>();
  /** Zones of all its placements, the unrecorded ones too. */
  readonly zones: ZoneOccupancy;
  /** A task of it ran, as far as this leader knows. */
  firstTaskStarted = false;
  /** Nothing of it is placed before, after failures. */
  backoffUntil = Number.NEGATIVE_INFINITY;
  readonly failures = new FailureHistory();
  /** Run times of tasks that completed, in seconds. */
  readonly runTimes: number[] = [];
  /** How strongly it holds its place, the strongest first, as of the last cycle. */
  precedence = 0;
  /** No search for tasks to preempt before then: the last one found none. */
  nextPreemptionAt = Number.NEGATIVE_INFINITY;
  /** If it is a gang: its team's guarantee can still be kept. */
  guaranteeStillReachable = true;
  /** It goes first because it has waited for too long. */
  isStarving = false;
  /** Its place in the queue as of the last cycle. */
  queuePosition = Number.MAX_SAFE_INTEGER;
  /** Zone in which capacity is reserved for a gang until all its tasks fit; "" if any zone will do; null: none is. */
  reservedZone: string | null = null;
  /** Since when tasks of it wait for capacity; null: none does. */
  waitingSince: number | null = null;
  private parsedResiduals: Expression[] | null = null;
  /** Result of `isBlockedOnDependencies` since the residuals last changed; null: not computed. */
  private blockedCache: boolean | null = null;
  /** Time of day (ms) at which its dependencies were done. */
  private readyAtMs: number | null = null;
  /** Result of `pendingCount` since the placements last changed; null: not computed. */
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

  /** Residuals of its dependencies. */
  get dependencies(): readonly Expression[] {
    this.parsedResiduals ??= parseResiduals(this.residualsText);
    return this.parsedResiduals;
  }

  set dependencies(residuals: Expression[]) {
    this.blockedCache = null;
    this.parsedResiduals = residuals;
    this.residualsText = formatResiduals(residuals);
  }

  /** Its start would make a dependency zero, or insecure, as things stand. */
  get isBlockedOnDependencies(): boolean {
    if (this.spec.after === undefined || this.isStartAccepted) return false;
    this.blockedCache ??= !isEventAcceptable(this.dependencies, eventName("start", this.spec.id));
    return this.blockedCache;
  }

  /** Its dependencies are known to be done, or it has none. */
  get isReady(): boolean {
    return this.spec.after === undefined || this.readyAtMs !== null;
  }

  /** The last of its dependencies is done, as of this time of day. */
  markReady(wallMs: number): void {
    this.readyAtMs ??= wallMs;
  }

  /** Time of day (ms) from which its service-level objectives count, other than its deadline. */
  get objectivesCountFromMs(): number {
    if (this.spec.after === undefined) return this.submittedAtMs;
    return this.readyAtMs ?? this.submittedAtMs;
  }

  /** Time of day (ms) of its own deadline; null: it has none. */
  get ownDeadlineMs(): number | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : this.submittedAtMs + 1000 * deadlineS;
  }

  /** It fails wherever it is placed, as far as is known. */
  get isSuspect(): boolean {
    return this.failures.suspicion !== null;
  }

  /** It is suspect, and an attempt is under way that shows whether it still fails. */
  get isOnProbation(): boolean {
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

  /** All attempts that count, the unrecorded ones too. */
  get placementCount(): number {
    return this.placements.size + this.unrecorded.size;
  }

  *allPlacements(): Generator<Placement> {
    yield* this.placements.values();
    yield* this.unrecorded;
  }

  /** Another attempt of this task may be on a machine. */
  hasOtherAttempt(placement: Placement): boolean {
    for (const other of this.unrecorded) {
      if (other !== placement && other.task === placement.task) return true;
    }
    return this.placements.get(placement.task) !== placement;
  }

  /** Tasks to be placed, in order. One that an unrecorded attempt may run waits for the end of that. */
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

  /** Its placements changed, whether or not that must be stored. */
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
    return new Set([...this.unrecorded].map((placement) => placement.task));
  }
}
