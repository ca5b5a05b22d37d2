/**
 * The life of a job in the leader's hands: read from the records, cancelled, released by the ends of those that it
 * names, and dropped once its own end is stored.
 */

import type { Dispatch } from "./dispatch.js";
import type { Fleet } from "./fleet.js";
import { worstBytes } from "./job-values.js";
import type { LeaderContext } from "./leader-context.js";
import { LiveJob } from "./live-job.js";
import { Machine } from "./machine.js";
import { rankOf } from "./model.js";
import { cutSize, partSizeOf, standsInParts } from "./parts.js";
import { eventName, excluded, occur, otherEnded } from "./pipeline.js";
import { Placement } from "./placement.js";
import { UNKNOWN_ZONE } from "./placement-rules.js";
import { Ranges } from "./ranges.js";
import { placedIn, type Records, type StoredPlacements } from "./records.js";

export class JobLifecycle {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: Dispatch,
    private readonly fleet: Fleet,
  ) {}

  /** Some job's keys changed (or were read again after a doubtful write). */
  recordChanged(records: Records, id: string, now: number): void {
    const stored = records.live.get(id);
    let job = this.context.cluster.jobs.get(id);
    if (stored === undefined) {
      if (job !== undefined && records.finals.has(id)) this.drop(job, now);
      this.applyEndToFollowers(records, id, now);
      return;
    }
    if (job === undefined) {
      const bytes = this.context.valueLimit.plannedBytes;
      const inParts = standsInParts(stored.value.j, bytes);
      const size = inParts ? partSizeOf(stored.value.j, bytes) : null;
      job = new LiveJob(stored.value, stored.mark, records.partsOf(id), size);
      this.context.cluster.jobs.set(id, job);
      this.adopt(job, stored.value.pl, 0, now);
      for (const [n, part] of records.partsOf(id)) {
        this.adopt(job, part.value.pl, n * (job.partSize ?? 0), now);
      }
      const bound = 0.95 * bytes;
      if (job.partSize === null && job.started && worstBytes(job) > bound) {
        job.cut(cutSize(job.spec, bytes, this.context.settings.txnOps));
      }
      for (const other of job.spec.after ?? []) this.applyEnd(records, job, other);
      if (!job.waits) this.fleet.noteShape(job.spec);
      this.inheritUrgency(records, job.spec.after ?? []);
      if (excluded(job.dependencies, eventName("start", id))) this.cancel(job, now);
      this.context.needPlan = true;
    } else {
      if (stored.mark > job.main.mark) job.stored(job.main, stored.value.v, stored.mark);
      for (const [n, { value, mark }] of records.partsOf(id)) {
        const part = job.parts.get(n);
        if (part !== undefined && mark > part.mark) job.stored(part, value.v, mark);
      }
    }
    if (records.cancels.has(id)) job.calledOff = true;
    if (records.cancels.has(id) && !job.cancelled) {
      this.cancel(job, now);
      this.inheritUrgency(records, job.spec.after ?? []);
    }
  }

  /** `first`: the number of the first task that these stand for. */
  private adopt(job: LiveJob, stored: readonly StoredPlacements[], first: number, now: number) {
    for (const { machine: name, session, attempt, tasks } of placedIn(stored)) {
      let m = this.context.cluster.machines.get(name);
      if (m === undefined) {
        // No record of the machine: a stand-in that counts until the cloud says it is gone.
        const type = [...this.context.types.values()][0];
        if (type === undefined) throw new Error("machine types unknown");
        m = new Machine(name, type, UNKNOWN_ZONE, false, now);
        m.state = "up";
        this.context.awaitFirstContact(m);
        this.context.cluster.machines.set(name, m);
        this.fleet.askReturn(m, "no record of it");
      }
      for (const task of Ranges.parse(tasks)) {
        const p = new Placement(job, first + task, attempt, m, session, 0, now);
        p.state = "loaded";
        // Whether any ran under the former leader is not stored: its first start is not told twice.
        job.begun = true;
        this.context.cluster.add(p);
        if (session > m.session) m.session = session;
      }
    }
  }

  /** Residuates a job's dependencies by the end of one that it names, if that is stored. */
  private applyEnd(records: Records, job: LiveJob, other: string): void {
    const end = records.endOf(other);
    if (end !== null) job.dependencies = otherEnded(job.dependencies, other, end);
  }

  /**
   * The end of a job is stored. It is an event for those that name it: their starts become acceptable, or
   * are rejected for good, and then their own failed events are applied to the next.
   */
  private applyEndToFollowers(records: Records, id: string, now: number): void {
    const ended = [id];
    for (let other = ended.pop(); other !== undefined; other = ended.pop()) {
      for (const follower of records.followersOf(other)) {
        const job = this.context.cluster.jobs.get(follower);
        if (job === undefined || job.cancelled || job.started) continue;
        this.applyEnd(records, job, other);
        if (excluded(job.dependencies, eventName("start", follower))) {
          this.cancel(job, now);
          this.inheritUrgency(records, job.spec.after ?? []);
          ended.push(follower);
        } else if (!job.waits) {
          this.fleet.noteShape(job.spec);
          this.context.needPlan = true;
        }
      }
    }
  }

  /**
   * Priority and urgency of a job flow up to all that it needs, directly or through others: each has the
   * highest priority, and leaves to those after it, along the longest way, the time they will take.
   */
  inheritUrgency(records: Records, names: readonly string[]): void {
    const changed = [...names];
    for (let id = changed.pop(); id !== undefined; id = changed.pop()) {
      const job = this.context.cluster.jobs.get(id);
      if (job === undefined) continue;
      let rank = rankOf(job.spec.priority);
      let dueMs = job.ownDueMs ?? Number.POSITIVE_INFINITY;
      for (const name of records.followersOf(id)) {
        const next = this.context.cluster.jobs.get(name);
        if (next === undefined || next.cancelled) continue;
        rank = Math.min(rank, next.rank);
        const takesS = next.spec.estimateS + this.context.settings.reportS;
        if (next.dueMs !== null) dueMs = Math.min(dueMs, next.dueMs - 1000 * takesS);
      }
      const due = dueMs === Number.POSITIVE_INFINITY ? null : dueMs;
      if (rank === job.rank && due === job.dueMs) continue;
      job.rank = rank;
      job.dueMs = due;
      this.context.needPlan = true;
      changed.push(...(job.spec.after ?? []));
    }
  }

  cancel(job: LiveJob, now: number): void {
    job.cancelled = true;
    job.dependencies = occur(job.dependencies, eventName("failed", job.spec.id));
    job.touch();
    for (const p of [...job.everyPlacement()]) this.dispatch.stop(p, "cancelled", 0);
    this.context.log("cancel", { job: job.spec.id, tasks: job.present });
    this.context.needPlan = true;
    for (const m of new Set([...job.everyPlacement()].map((p) => p.machine)))
      this.dispatch.pump(m, now);
  }

  drop(job: LiveJob, now: number): void {
    for (const p of [...job.everyPlacement()]) this.context.cluster.release(p, now);
    this.context.cluster.jobs.delete(job.spec.id);
    this.context.needPlan = true;
  }
}
