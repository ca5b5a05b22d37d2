/** Compares what workers report with what was placed on them, and takes in what became of each task. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { FaultAttribution } from "../machines/fault-attribution.js";
import type { Machine } from "../machines/machine.js";
import type { TaskStatus, WorkerHeartbeat } from "../model/workers.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import { Placement, taskKey } from "./placement.js";

export class Reconciler {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly faultAttribution: FaultAttribution,
    private readonly machinePool: MachinePool,
  ) {}

  /** Takes in a report, however it came. */
  handleHeartbeat(r: WorkerHeartbeat, now: number): Machine | null {
    if (this.machinePool.terminated.has(r.machine)) return null;
    if (r.fencingToken > this.context.epoch) {
      this.context.effects.push({
        kind: "step down",
        why: `machine ${r.machine} has seen a higher token`,
      });
      return null;
    }
    const m = this.context.findOrAddMachine(r.machine, r.type, r.zone, r.spot, now);
    if (m === null) return null;
    if (!isNewer(r, m)) return m;
    this.context.applySelfDescription(m, r);
    if (m.isRecordOutdated) this.machinePool.recordShards.correct(m);
    if (m.state === "booting") {
      this.machinePool.noteMachineUp(m, now);
      m.state = "up";
      m.idleSince = now;
      this.context.cycleRequested = true;
      this.context.log("machine up", {
        machine: m.name,
        type: m.type.name,
        zone: m.zone,
        spot: m.spot,
      });
    }
    m.address = r.address;
    if (m.lastHeartbeatAt === Number.NEGATIVE_INFINITY) m.lastHeartbeatAt = now;
    if (!m.isPersisted) this.machinePool.recordShards.add(m);
    if (now - m.lastMessageAt > 1.5 * this.context.settings.heartbeatIntervalS)
      this.context.cycleRequested = true;
    m.lastMessageAt = now;
    m.consecutiveFailedRequests = 0;
    // A session begins no later than its first report; a former leader may renew for a while yet.
    m.leaseRenewedAt = Math.max(
      m.leaseRenewedAt,
      now,
      this.context.startedAt + this.context.options.gracePeriodS,
    );
    if (r.incarnation > m.incarnation) {
      // The lease ran out: the worker killed and forgot all its tasks, and starts sent to an
      // earlier session are refused from now on.
      for (const p of [...m.placements.values()]) {
        if (p.incarnation < r.incarnation) this.dispatcher.handleTaskLost(p, "new session", now);
      }
      m.incarnation = r.incarnation;
      m.unansweredStarts.clear();
      m.exitedTasks.clear();
      m.sequence = -1;
    }
    m.sequence = r.sequence;
    this.handleInterruptionNotice(m, r.interruptionNoticeS, now);
    const fenced = r.fencingToken === this.context.epoch;
    if (fenced && !m.hasAcknowledgedToken) {
      this.context.cycleRequested = true;
      for (const [key, epoch] of m.unansweredStarts)
        if (epoch < this.context.epoch) m.unansweredStarts.delete(key);
    }
    m.hasAcknowledgedToken = fenced;
    if (fenced) m.hasMetThisLeader = true;
    if (fenced) this.reconcileTasks(m, r, now);
    this.dispatcher.dueMachines.add(m);
    return m;
  }

  private handleInterruptionNotice(m: Machine, noticeS: number | null, now: number): void {
    if (noticeS === null || m.interruptionAt !== null) return;
    m.interruptionAt = now + noticeS;
    this.context.log("taken back soon", {
      machine: m.name,
      inS: noticeS,
      tasks: m.placements.size,
    });
    for (const p of m.placements.values()) {
      const { estimateS, saveS, checkpointS } = p.job.spec;
      const left = estimateS - (p.state === "running" ? now - p.runningSince : 0);
      // Work that cannot be saved stays if it may still end in time.
      if (checkpointS === 0 && p.job.spec.kind === "array" && left > 0 && left < noticeS) continue;
      this.dispatcher.stopGang(p, "machine is taken back", saveS);
    }
    this.context.cycleRequested = true;
  }

  /** Compares what a fenced worker says with what was placed on it. */
  private reconcileTasks(m: Machine, r: WorkerHeartbeat, now: number): void {
    const seen = new Set<string>();
    for (const t of r.tasks) {
      const key = taskKey(t.job, t.task, t.attempt);
      seen.add(key);
      const p = m.placements.get(key);
      if (t.state === "exited") this.handleTaskExit(m, t, p, now);
      else if (p !== undefined) this.handleTaskProgress(p, t, now);
      else this.stopUnrecorded(m, t, now);
    }
    for (const p of [...m.placements.values()]) {
      if (seen.has(p.key) || p.startsInFlight > 0 || p.incarnation !== m.incarnation) continue;
      if (p.state === "loaded") {
        // Starts of former leaders are dropped here by now, so it never came.
        p.state = "planned";
      } else if (p.state === "sent") {
        if (!m.unansweredStarts.has(p.key)) p.state = "planned";
      } else if (p.state !== "planned")
        this.dispatcher.handleTaskLost(p, "no longer on its machine", now);
    }
    for (const key of [...m.exitedTasks.keys()]) if (!seen.has(key)) m.exitedTasks.delete(key);
  }

  private handleTaskProgress(p: Placement, t: TaskStatus, now: number): void {
    if (t.state === "exited" || p.state === t.state) return;
    const image = p.machine.images.get(p.job.spec.image);
    if (t.state !== "fetching") {
      if (image !== undefined) {
        image.ready = true;
        image.at = now;
      } else {
        p.machine.images.set(p.job.spec.image, { at: now, gb: p.job.spec.imageGb, ready: true });
      }
      this.evictImages(p.machine);
    }
    if (t.state === "running" && p.state !== "saving") {
      p.runningSince = now;
      p.hasKnownStart = p.state !== "loaded";
      this.noteFirstStart(p);
      this.context.logTask("running", () => ({
        task: `${p.job.spec.id}/${p.task}`,
        machine: p.machine.name,
        class: p.job.spec.class,
        imageGb: p.job.spec.imageGb,
        tookS: Math.round((now - p.placedAt) * 10) / 10,
      }));
    }
    p.state = t.state;
  }

  private noteFirstStart({ job }: Placement): void {
    if (job.firstTaskStarted) return;
    job.firstTaskStarted = true;
    const { id } = job.spec;
    this.context.effects.push({ kind: "first start", job: id, submittedAt: job.submittedAtMs });
  }

  /** Machines keep the most recently used images; what no longer fits is thought gone. */
  private evictImages(m: Machine): void {
    const used = new Set([...m.placements.values()].map((p) => p.job.spec.image));
    let sum = 0;
    for (const [name, i] of [...m.images].sort((a, b) => b[1].at - a[1].at)) {
      sum += i.gb;
      if (sum > m.type.cacheGb && !used.has(name)) m.images.delete(name);
    }
  }

  private handleTaskExit(m: Machine, t: TaskStatus, p: Placement | undefined, now: number): void {
    const key = taskKey(t.job, t.task, t.attempt);
    if (m.exitedTasks.has(key)) return;
    const job = this.context.cluster.jobs.get(t.job);
    if (p !== undefined) {
      if (t.cause === "done") {
        p.machine.images.set(p.job.spec.image, { at: now, gb: p.job.spec.imageGb, ready: true });
        if (p.hasKnownStart && p.job.runTimes.length < 256)
          p.job.runTimes.push(now - p.runningSince);
      }
      this.dispatcher.release(p, now);
      this.faultAttribution.handleExit(p, t, now);
    }
    if (job !== undefined && t.cause === "done") this.markTaskDone(job, t.task);
    m.exitedTasks.set(key, {
      job: t.job,
      task: t.task,
      attempt: t.attempt,
      version: job?.version ?? 0,
    });
  }

  private markTaskDone(job: ActiveJob, task: number): void {
    if (job.spec.kind === "service" || task >= job.spec.tasks) return;
    // The tasks of a gang complete together: if one is done, all are.
    const tasks = job.spec.kind === "gang" ? range(job.spec.tasks) : [task];
    for (const t of tasks) {
      if (!job.doneTasks.add(t)) continue;
      job.markChanged(t);
      const other = job.placements.get(t);
      if (other !== undefined && job.spec.kind !== "gang")
        this.dispatcher.stop(other, "already done", 0);
    }
    if (job.isComplete)
      this.context.log("all tasks done", { job: job.spec.id, tasks: job.spec.tasks });
    this.context.cycleRequested = true;
  }

  /** A task runs that our records do not hold: it counts while it is there, and is stopped. */
  private stopUnrecorded(m: Machine, t: TaskStatus, now: number): void {
    const job = this.context.cluster.jobs.get(t.job);
    this.context.log("stray task", {
      task: `${t.job}/${t.task}`,
      attempt: t.attempt,
      machine: m.name,
    });
    if (job === undefined) {
      // Its job is over, so stop it outright; nothing else can be booked for it.
      this.dispatcher.orphanedTasks.push({
        machine: m.name,
        job: t.job,
        task: t.task,
        attempt: t.attempt,
      });
      return;
    }
    const p = new Placement(job, t.task, t.attempt, m, m.incarnation, 0, now);
    p.state = t.state === "exited" ? "running" : t.state;
    this.context.cluster.addPlacement(p, true);
    this.dispatcher.stop(p, "not in the records", 0);
  }
}

/** The message with the larger session and number is the newer one. */
export const isNewer = (r: WorkerHeartbeat, m: Machine): boolean =>
  r.incarnation > m.incarnation || (r.incarnation === m.incarnation && r.sequence > m.sequence);

function* range(n: number): Generator<number> {
  for (let i = 0; i < n; i++) yield i;
}
