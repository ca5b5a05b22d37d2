/** Compares what workers report with what was placed on them, and takes in what became of each task. */

import type { Dispatch } from "./dispatch.js";
import type { Faults } from "./faults.js";
import type { Fleet } from "./fleet.js";
import type { LeaderContext } from "./leader-context.js";
import type { LiveJob } from "./live-job.js";
import type { Machine } from "./machine.js";
import type { Report, TaskReport } from "./model.js";
import { Placement, taskKey } from "./placement.js";

export class Reconciliation {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: Dispatch,
    private readonly faults: Faults,
    private readonly fleet: Fleet,
  ) {}

  /** Takes in a report, however it came. */
  hear(r: Report, now: number): Machine | null {
    if (this.fleet.gone.has(r.machine)) return null;
    if (r.token > this.context.epoch) {
      this.context.out.push({
        kind: "resign",
        why: `machine ${r.machine} has seen a higher token`,
      });
      return null;
    }
    const m = this.context.machine(r.machine, r.type, r.zone, r.spot, now);
    if (m === null) return null;
    if (!isNewer(r, m)) return m;
    this.context.selfDescribed(m, r);
    if (m.recordChanged) this.fleet.groups.correct(m);
    if (m.state === "booting") {
      this.fleet.cameUp(m, now);
      m.state = "up";
      m.idleSince = now;
      this.context.needPlan = true;
      this.context.log("machine up", {
        machine: m.name,
        type: m.type.name,
        zone: m.zone,
        spot: m.spot,
      });
    }
    m.address = r.address;
    if (m.reportedAt === Number.NEGATIVE_INFINITY) m.reportedAt = now;
    if (!m.stored) this.fleet.groups.add(m);
    if (now - m.lastHeard > 1.5 * this.context.settings.reportS) this.context.needPlan = true;
    m.lastHeard = now;
    m.unanswered = 0;
    // A session begins no later than its first report; a former leader may renew for a while yet.
    m.lastRenewed = Math.max(
      m.lastRenewed,
      now,
      this.context.startedAt + this.context.options.graceS,
    );
    if (r.session > m.session) {
      // The lease ran out: the worker killed and forgot all its tasks, and starts sent to an
      // earlier session are refused from now on.
      for (const p of [...m.placements.values()]) {
        if (p.session < r.session) this.dispatch.lost(p, "new session", now);
      }
      m.session = r.session;
      m.unansweredStarts.clear();
      m.ended.clear();
      m.seq = -1;
    }
    m.seq = r.seq;
    this.notice(m, r.noticeS, now);
    const fenced = r.token === this.context.epoch;
    if (fenced && !m.fenced) {
      this.context.needPlan = true;
      for (const [key, epoch] of m.unansweredStarts)
        if (epoch < this.context.epoch) m.unansweredStarts.delete(key);
    }
    m.fenced = fenced;
    if (fenced) m.ours = true;
    if (fenced) this.reconcile(m, r, now);
    this.dispatch.due.add(m);
    return m;
  }

  private notice(m: Machine, noticeS: number | null, now: number): void {
    if (noticeS === null || m.takenAt !== null) return;
    m.takenAt = now + noticeS;
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
      this.dispatch.stopWithMates(p, "machine is taken back", saveS);
    }
    this.context.needPlan = true;
  }

  /** Compares what a fenced worker says with what was placed on it. */
  private reconcile(m: Machine, r: Report, now: number): void {
    const seen = new Set<string>();
    for (const t of r.tasks) {
      const key = taskKey(t.job, t.task, t.attempt);
      seen.add(key);
      const p = m.placements.get(key);
      if (t.state === "exited") this.exited(m, t, p, now);
      else if (p !== undefined) this.progressed(p, t, now);
      else this.stopUnrecorded(m, t, now);
    }
    for (const p of [...m.placements.values()]) {
      if (seen.has(p.key) || p.inFlight > 0 || p.session !== m.session) continue;
      if (p.state === "loaded") {
        // Starts of former leaders are dropped here by now, so it never came.
        p.state = "planned";
      } else if (p.state === "sent") {
        if (!m.unansweredStarts.has(p.key)) p.state = "planned";
      } else if (p.state !== "planned") this.dispatch.lost(p, "no longer on its machine", now);
    }
    for (const key of [...m.ended.keys()]) if (!seen.has(key)) m.ended.delete(key);
  }

  private progressed(p: Placement, t: TaskReport, now: number): void {
    if (t.state === "exited" || p.state === t.state) return;
    const image = p.machine.images.get(p.job.spec.image);
    if (t.state !== "fetching") {
      if (image !== undefined) {
        image.ready = true;
        image.at = now;
      } else {
        p.machine.images.set(p.job.spec.image, { at: now, gb: p.job.spec.imageGb, ready: true });
      }
      this.trimImages(p.machine);
    }
    if (t.state === "running" && p.state !== "saving") {
      p.runningSince = now;
      p.timed = p.state !== "loaded";
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
    if (job.begun) return;
    job.begun = true;
    const { id } = job.spec;
    this.context.out.push({ kind: "first start", job: id, submittedAt: job.submittedAt });
  }

  /** Machines keep the most recently used images; what no longer fits is thought gone. */
  private trimImages(m: Machine): void {
    const used = new Set([...m.placements.values()].map((p) => p.job.spec.image));
    let sum = 0;
    for (const [name, i] of [...m.images].sort((a, b) => b[1].at - a[1].at)) {
      sum += i.gb;
      if (sum > m.type.cacheGb && !used.has(name)) m.images.delete(name);
    }
  }

  private exited(m: Machine, t: TaskReport, p: Placement | undefined, now: number): void {
    const key = taskKey(t.job, t.task, t.attempt);
    if (m.ended.has(key)) return;
    const job = this.context.cluster.jobs.get(t.job);
    if (p !== undefined) {
      if (t.cause === "done") {
        p.machine.images.set(p.job.spec.image, { at: now, gb: p.job.spec.imageGb, ready: true });
        if (p.timed && p.job.runTimes.length < 256) p.job.runTimes.push(now - p.runningSince);
      }
      this.dispatch.release(p, now);
      this.faults.afterExit(p, t, now);
    }
    if (job !== undefined && t.cause === "done") this.taskDone(job, t.task);
    m.ended.set(key, {
      job: t.job,
      task: t.task,
      attempt: t.attempt,
      version: job?.version ?? 0,
    });
  }

  private taskDone(job: LiveJob, task: number): void {
    if (job.spec.kind === "service" || task >= job.spec.tasks) return;
    // The tasks of a gang complete together: if one is done, all are.
    const tasks = job.spec.kind === "gang" ? range(job.spec.tasks) : [task];
    for (const t of tasks) {
      if (!job.done.add(t)) continue;
      job.touch(t);
      const other = job.placements.get(t);
      if (other !== undefined && job.spec.kind !== "gang")
        this.dispatch.stop(other, "already done", 0);
    }
    if (job.complete)
      this.context.log("all tasks done", { job: job.spec.id, tasks: job.spec.tasks });
    this.context.needPlan = true;
  }

  /** A task runs that our records do not hold: it counts while it is there, and is stopped. */
  private stopUnrecorded(m: Machine, t: TaskReport, now: number): void {
    const job = this.context.cluster.jobs.get(t.job);
    this.context.log("stray task", {
      task: `${t.job}/${t.task}`,
      attempt: t.attempt,
      machine: m.name,
    });
    if (job === undefined) {
      // Its job is over, so stop it outright; nothing else can be booked for it.
      this.dispatch.orphans.push({ machine: m.name, job: t.job, task: t.task, attempt: t.attempt });
      return;
    }
    const p = new Placement(job, t.task, t.attempt, m, m.session, 0, now);
    p.state = t.state === "exited" ? "running" : t.state;
    this.context.cluster.add(p, true);
    this.dispatch.stop(p, "not in the records", 0);
  }
}

/** The message with the larger session and number is the newer one. */
export const isNewer = (r: Report, m: Machine): boolean =>
  r.session > m.session || (r.session === m.session && r.seq > m.seq);

function* range(n: number): Generator<number> {
  for (let i = 0; i < n; i++) yield i;
}
