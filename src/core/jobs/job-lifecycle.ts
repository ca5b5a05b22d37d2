/**
 * The life of a job in the leader's hands: read from the records, cancelled, released by the ends of those that it
 * names, and dropped once its own end is stored.
 */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import { Placement } from "../dispatch/placement.js";
import { UNKNOWN_ZONE } from "../dispatch/placement-constraints.js";
import type { LeaderContext } from "../leader-context.js";
import { Machine } from "../machines/machine.js";
import { priorityRank } from "../model/jobs.js";
import { initialShardSize, needsShards, reshardingSize } from "../state/job-shards.js";
import { maxValueBytes } from "../state/job-values.js";
import type { StateReplica } from "../state/state-replica.js";
import { storedPlacementRanges } from "../state/stored-placements.js";
import type { StoredPlacements } from "../state/stored-values.js";
import { ActiveJob } from "./active-job.js";
import { eventName, isEventExcluded, residuateByEvent, residuateByOutcome } from "./pipeline.js";
import { TaskRanges } from "./task-ranges.js";

export class JobLifecycle {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachinePool,
  ) {}

  /** Some job's keys changed (or were read again after a doubtful write). */
  handleJobChange(records: StateReplica, id: string, now: number): void {
    const stored = records.activeJobs.get(id);
    let job = this.context.cluster.jobs.get(id);
    if (stored === undefined) {
      if (job !== undefined && records.finalRecords.has(id)) this.remove(job, now);
      this.applyOutcomeToDependents(records, id, now);
      return;
    }
    if (job === undefined) {
      const bytes = this.context.valueSizeLimit.plannedBytes;
      const inParts = needsShards(stored.value.spec, bytes);
      const size = inParts ? initialShardSize(stored.value.spec, bytes) : null;
      job = new ActiveJob(stored.value, stored.modRevision, records.shardsOf(id), size);
      this.context.cluster.jobs.set(id, job);
      this.adoptPlacements(job, stored.value.placements, 0, now);
      for (const [n, part] of records.shardsOf(id)) {
        this.adoptPlacements(job, part.value.placements, n * (job.shardSize ?? 0), now);
      }
      const bound = 0.95 * bytes;
      if (job.shardSize === null && job.isStartAccepted && maxValueBytes(job) > bound) {
        job.reshard(reshardingSize(job.spec, bytes, this.context.settings.txnOps));
      }
      for (const other of job.spec.after ?? []) this.applyOutcome(records, job, other);
      if (!job.isBlockedOnDependencies) this.machinePool.noteJobShape(job.spec);
      this.inheritUrgency(records, job.spec.after ?? []);
      if (isEventExcluded(job.dependencies, eventName("start", id))) this.cancel(job, now);
      this.context.cycleRequested = true;
    } else {
      if (stored.modRevision > job.mainShard.modRevision)
        job.markPersisted(job.mainShard, stored.value.version, stored.modRevision);
      for (const [n, { value, modRevision: mark }] of records.shardsOf(id)) {
        const part = job.shards.get(n);
        if (part !== undefined && mark > part.modRevision)
          job.markPersisted(part, value.version, mark);
      }
    }
    if (records.cancellations.has(id)) job.cancelledByUser = true;
    if (records.cancellations.has(id) && !job.isCancelled) {
      this.cancel(job, now);
      this.inheritUrgency(records, job.spec.after ?? []);
    }
  }

  /** `first`: the number of the first task that these stand for. */
  private adoptPlacements(
    job: ActiveJob,
    stored: readonly StoredPlacements[],
    first: number,
    now: number,
  ) {
    for (const { machine: name, incarnation: session, attempt, tasks } of storedPlacementRanges(
      stored,
    )) {
      let m = this.context.cluster.machines.get(name);
      if (m === undefined) {
        // No record of the machine: a stand-in that counts until the cloud says it is gone.
        const type = [...this.context.machineTypes.values()][0];
        if (type === undefined) throw new Error("machine types unknown");
        m = new Machine(name, type, UNKNOWN_ZONE, false, now);
        m.state = "up";
        this.context.awaitFirstContact(m);
        this.context.cluster.machines.set(name, m);
        this.machinePool.requestRelease(m, "no record of it");
      }
      for (const task of TaskRanges.parse(tasks)) {
        const p = new Placement(job, first + task, attempt, m, session, 0, now);
        p.state = "loaded";
        // Whether any ran under the former leader is not stored: its first start is not told twice.
        job.firstTaskStarted = true;
        this.context.cluster.addPlacement(p);
        if (session > m.incarnation) m.incarnation = session;
      }
    }
  }

  /** Residuates a job's dependencies by the end of one that it names, if that is stored. */
  private applyOutcome(records: StateReplica, job: ActiveJob, other: string): void {
    const end = records.outcomeOf(other);
    if (end !== null) job.dependencies = residuateByOutcome(job.dependencies, other, end);
  }

  /**
   * The end of a job is stored. It is an event for those that name it: their starts become acceptable, or
   * are rejected for good, and then their own failed events are applied to the next.
   */
  private applyOutcomeToDependents(records: StateReplica, id: string, now: number): void {
    const ended = [id];
    for (let other = ended.pop(); other !== undefined; other = ended.pop()) {
      for (const follower of records.dependentsOf(other)) {
        const job = this.context.cluster.jobs.get(follower);
        if (job === undefined || job.isCancelled || job.isStartAccepted) continue;
        this.applyOutcome(records, job, other);
        if (isEventExcluded(job.dependencies, eventName("start", follower))) {
          this.cancel(job, now);
          this.inheritUrgency(records, job.spec.after ?? []);
          ended.push(follower);
        } else if (!job.isBlockedOnDependencies) {
          this.machinePool.noteJobShape(job.spec);
          this.context.cycleRequested = true;
        }
      }
    }
  }

  /**
   * Priority and urgency of a job flow up to all that it needs, directly or through others: each has the
   * highest priority, and leaves to those after it, along the longest way, the time they will take.
   */
  inheritUrgency(records: StateReplica, names: readonly string[]): void {
    const changed = [...names];
    for (let id = changed.pop(); id !== undefined; id = changed.pop()) {
      const job = this.context.cluster.jobs.get(id);
      if (job === undefined) continue;
      let rank = priorityRank(job.spec.priority);
      let dueMs = job.ownDeadlineMs ?? Number.POSITIVE_INFINITY;
      for (const name of records.dependentsOf(id)) {
        const next = this.context.cluster.jobs.get(name);
        if (next === undefined || next.isCancelled) continue;
        rank = Math.min(rank, next.effectiveRank);
        const takesS = next.spec.estimateS + this.context.settings.heartbeatIntervalS;
        if (next.effectiveDeadlineMs !== null)
          dueMs = Math.min(dueMs, next.effectiveDeadlineMs - 1000 * takesS);
      }
      const due = dueMs === Number.POSITIVE_INFINITY ? null : dueMs;
      if (rank === job.effectiveRank && due === job.effectiveDeadlineMs) continue;
      job.effectiveRank = rank;
      job.effectiveDeadlineMs = due;
      this.context.cycleRequested = true;
      changed.push(...(job.spec.after ?? []));
    }
  }

  cancel(job: ActiveJob, now: number): void {
    job.isCancelled = true;
    job.dependencies = residuateByEvent(job.dependencies, eventName("failed", job.spec.id));
    job.markChanged();
    for (const p of [...job.allPlacements()]) this.dispatcher.stop(p, "cancelled", 0);
    this.context.log("cancel", { job: job.spec.id, tasks: job.placementCount });
    this.context.cycleRequested = true;
    for (const m of new Set([...job.allPlacements()].map((p) => p.machine)))
      this.dispatcher.sendDue(m, now);
  }

  remove(job: ActiveJob, now: number): void {
    for (const p of [...job.allPlacements()]) this.context.cluster.releasePlacement(p, now);
    this.context.cluster.jobs.delete(job.spec.id);
    this.context.cycleRequested = true;
  }
}
