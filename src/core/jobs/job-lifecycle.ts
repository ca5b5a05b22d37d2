/**
 * The lifecycle of a job in the leader's in-memory state: the job is loaded from the stored state, unblocked by the
 * outcomes of its dependencies, possibly cancelled, and removed once its final record is stored.
 */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import { Placement } from "../dispatch/placement.js";
import { UNKNOWN_ZONE } from "../dispatch/placement-constraints.js";
import type { LeaderContext } from "../leader-context.js";
import { Machine } from "../machines/machine.js";
import { priorityRank } from "../model/jobs.js";
import {
  fitsDescription,
  initialShardSize,
  needsShards,
  shardSizeForResharding,
} from "../state/job-shards.js";
import { maxValueBytes } from "../state/job-values.js";
import type { StateReplica } from "../state/state-replica.js";
import { storedPlacementRanges } from "../state/stored-placements.js";
import type { JobRecord, StoredPlacements, Versioned } from "../state/stored-values.js";
import { VALUE_FILL_RATIO } from "../state/value-size-limit.js";
import { ActiveJob } from "./active-job.js";
import { eventName, isEventExcluded, residuateByEvent, residuateByOutcome } from "./pipeline.js";
import type { CancellationCause } from "./sharded-job.js";
import { TaskRanges } from "./task-ranges.js";

/** Thrown when a stored placement is on a machine without a stored record and no machine type is known yet. */
export class UnknownMachineTypesError extends Error {
  constructor() {
    super("machine types unknown");
    this.name = "UnknownMachineTypesError";
  }
}

/** Loads, refreshes, cancels and removes active jobs as the stored state changes. */
export class JobLifecycle {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachinePool,
  ) {}

  /**
   * Handles a job whose keys changed, or were read again after a transaction with an unknown outcome.
   *
   * @throws UnknownMachineTypesError if the job has a placement on a machine without a stored record, and the machine
   * types are not known yet.
   */
  handleJobChange(replica: StateReplica, id: string, now: number): void {
    const stored = replica.activeJobs.get(id);
    const known = this.context.cluster.jobs.get(id);
    if (stored === undefined) {
      if (known !== undefined && replica.finalRecords.has(id)) this.remove(known, now);
      this.applyOutcomeToDependents(replica, id, now);
      return;
    }
    if (known !== undefined) refreshJob(known, stored, replica);
    const job = known ?? this.loadJob(replica, stored, now);
    if (!replica.cancellations.has(id)) return;
    if (job.isCancelled) job.cancellation = "by user";
    else this.cancel(replica, job, "by user", now);
  }

  /**
   * Propagates priorities and deadlines from dependents to the given jobs and to their direct and transitive
   * dependencies. A job takes on the most urgent priority of its dependents, and a deadline that leaves enough time
   * for the longest path of dependents after it. `ids`: the jobs to begin with.
   */
  propagateUrgency(replica: StateReplica, ids: readonly string[]): void {
    const pendingIds = [...ids];
    for (let id = pendingIds.pop(); id !== undefined; id = pendingIds.pop()) {
      const job = this.context.cluster.jobs.get(id);
      if (job === undefined || !this.updateUrgency(replica, job)) continue;
      this.context.cycleRequested = true;
      pendingIds.push(...(job.spec.after ?? []));
    }
  }

  /** Removes a job whose final record is stored, and releases all its placements. */
  remove(job: ActiveJob, now: number): void {
    for (const placement of [...job.allPlacements()]) {
      this.context.cluster.releasePlacement(placement, now);
    }
    this.context.cluster.jobs.delete(job.spec.id);
    this.context.cycleRequested = true;
  }

  private loadJob(replica: StateReplica, stored: Versioned<JobRecord>, now: number): ActiveJob {
    const spec = stored.value.spec;
    const { plannedBytes } = this.context.valueSizeLimit;
    const shards = replica.shardsOf(spec.id);
    const job = new ActiveJob({
      stored,
      shards,
      initialShardSize: needsShards(spec, plannedBytes)
        ? initialShardSize(spec, plannedBytes)
        : null,
    });
    this.context.cluster.jobs.set(spec.id, job);
    this.loadPlacements(job, stored.value.placements, 0, now);
    for (const [index, shard] of shards) {
      this.loadPlacements(job, shard.value.placements, index * (job.shardSize ?? 0), now);
    }
    this.reshardIfTooLarge(job, plannedBytes);
    this.loadDependencies(replica, job, now);
    this.context.cycleRequested = true;
    return job;
  }

  /**
   * Splits a job into shards if it is stored in a single value that may exceed the current size limit. This happens
   * if larger values were accepted when the job was first stored.
   */
  private reshardIfTooLarge(job: ActiveJob, plannedBytes: number): void {
    if (job.shardSize !== null || !job.isStartAccepted) return;
    if (!fitsDescription(job.spec, plannedBytes)) return;
    if (maxValueBytes(job) <= VALUE_FILL_RATIO * plannedBytes) return;
    job.reshard(shardSizeForResharding(job.spec, plannedBytes, this.context.settings.txnOps));
  }

  private loadDependencies(replica: StateReplica, job: ActiveJob, now: number): void {
    const dependencies = job.spec.after ?? [];
    for (const dependency of dependencies) this.applyOutcome(replica, job, dependency);
    if (!job.isBlockedOnDependencies) this.machinePool.recordJobShape(job.spec);
    this.propagateUrgency(replica, dependencies);
    if (isStartExcluded(job)) this.markCancelled(job, "by dependency", now);
  }

  /**
   * Loads the stored placements of a shard. `firstTask`: number of the shard's first task, which is task 0 in the
   * stored ranges.
   */
  private loadPlacements(
    job: ActiveJob,
    stored: readonly StoredPlacements[],
    firstTask: number,
    now: number,
  ): void {
    for (const { machine: name, incarnation, attempt, tasks } of storedPlacementRanges(stored)) {
      const machine =
        this.context.cluster.machines.get(name) ?? this.addUnrecordedMachine(name, now);
      for (const task of TaskRanges.parse(tasks)) {
        const taskNumber = firstTask + task;
        const placement = new Placement(job, taskNumber, attempt, machine, incarnation, 0, now);
        placement.state = "loaded";
        // The stored state does not show whether a task ran under the previous leader. The first start is assumed to
        // have been reported, so that it is not reported twice.
        job.firstTaskStarted = true;
        this.context.cluster.addPlacement(placement);
        if (incarnation > machine.incarnation) machine.incarnation = incarnation;
      }
    }
  }

  /**
   * Adds a machine without a stored record and requests its release. It is kept until the cloud confirms the release,
   * because its tasks may run until then.
   */
  private addUnrecordedMachine(name: string, now: number): Machine {
    const [type] = this.context.machineTypes.values();
    if (type === undefined) throw new UnknownMachineTypesError();
    const machine = new Machine(name, type, UNKNOWN_ZONE, false, now);
    machine.state = "up";
    this.context.assumeLatestLeaseRenewal(machine);
    this.context.cluster.machines.set(name, machine);
    this.machinePool.requestRelease(machine, "no stored record");
    return machine;
  }

  /**
   * Residuates the job's dependencies by the outcome of `dependency`, a job that it depends on, if that outcome is
   * stored.
   */
  private applyOutcome(replica: StateReplica, job: ActiveJob, dependency: string): void {
    const outcome = replica.outcomeOf(dependency);
    if (outcome === null) return;
    job.dependencies = residuateByOutcome(job.dependencies, dependency, outcome);
  }

  /**
   * Applies the stored outcome of a job, which is an event, to its dependents. A dependent may now start, stays
   * blocked on other dependencies, or can never start. If it can never start, it is cancelled, and its own failed
   * event is applied to its dependents in turn.
   */
  private applyOutcomeToDependents(replica: StateReplica, id: string, now: number): void {
    const endedJobs = [id];
    for (let dependency = endedJobs.pop(); dependency !== undefined; dependency = endedJobs.pop()) {
      for (const dependent of replica.dependentsOf(dependency)) {
        const job = this.context.cluster.jobs.get(dependent);
        if (job === undefined || job.isCancelled || job.isStartAccepted) continue;
        this.applyOutcome(replica, job, dependency);
        if (isStartExcluded(job)) {
          this.cancel(replica, job, "by dependency", now);
          endedJobs.push(dependent);
        } else if (!job.isBlockedOnDependencies) {
          this.machinePool.recordJobShape(job.spec);
          this.context.cycleRequested = true;
        }
      }
    }
  }

  /** Recomputes the job's effective priority and deadline. Returns whether either changed. */
  private updateUrgency(replica: StateReplica, job: ActiveJob): boolean {
    const { heartbeatIntervalS } = this.context.settings;
    let rank = priorityRank(job.spec.priority);
    let deadlineMs = job.ownDeadlineMs ?? Number.POSITIVE_INFINITY;
    for (const id of replica.dependentsOf(job.spec.id)) {
      const dependent = this.context.cluster.jobs.get(id);
      if (dependent === undefined || dependent.isCancelled) continue;
      rank = Math.min(rank, dependent.effectiveRank);
      if (dependent.effectiveDeadlineMs === null) continue;
      const durationS = dependent.spec.estimateS + heartbeatIntervalS;
      deadlineMs = Math.min(deadlineMs, dependent.effectiveDeadlineMs - 1000 * durationS);
    }
    const effectiveDeadlineMs = deadlineMs === Number.POSITIVE_INFINITY ? null : deadlineMs;
    if (rank === job.effectiveRank && effectiveDeadlineMs === job.effectiveDeadlineMs) return false;
    job.effectiveRank = rank;
    job.effectiveDeadlineMs = effectiveDeadlineMs;
    return true;
  }

  /** Cancels a job. The jobs that it depends on no longer inherit its priority and deadline. */
  private cancel(
    replica: StateReplica,
    job: ActiveJob,
    cause: CancellationCause,
    now: number,
  ): void {
    this.markCancelled(job, cause, now);
    this.propagateUrgency(replica, job.spec.after ?? []);
  }

  private markCancelled(job: ActiveJob, cause: CancellationCause, now: number): void {
    job.cancellation = cause;
    job.dependencies = residuateByEvent(job.dependencies, eventName("failed", job.spec.id));
    job.markChanged();
    for (const placement of [...job.allPlacements()]) {
      this.dispatcher.stop(placement, "cancelled", 0);
    }
    this.context.log("cancelling job", { job: job.spec.id, tasks: job.placementCount });
    this.context.cycleRequested = true;
    const machines = new Set([...job.allPlacements()].map((placement) => placement.machine));
    for (const machine of machines) this.dispatcher.sendDueCommands(machine, now);
  }
}

/** Records the versions and mod revisions of stored values that are newer than the known ones. */
function refreshJob(job: ActiveJob, stored: Versioned<JobRecord>, replica: StateReplica): void {
  if (stored.modRevision > job.mainShard.modRevision) {
    job.markPersisted(job.mainShard, stored.value.version, stored.modRevision);
  }
  for (const [index, { value, modRevision }] of replica.shardsOf(job.spec.id)) {
    const shard = job.shards.get(index);
    if (shard !== undefined && modRevision > shard.modRevision) {
      job.markPersisted(shard, value.version, modRevision);
    }
  }
}

const isStartExcluded = (job: ActiveJob): boolean =>
  isEventExcluded(job.dependencies, eventName("start", job.spec.id));
