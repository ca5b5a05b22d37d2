/**
 * The term holder: one state machine for pipelines, machines, quota and commands.
 *
 * It takes inputs (changed records, reports, answers, the passing of time) and returns what to
 * send. It has no clock, socket or randomness of its own. What it wants written is asked for with
 * `nextWrite`, because how much may be written at a time is limited outside.
 */
import { Bucket } from "./bucket.js";
import { LiveJob, Machine, Placement, slots, taskKey } from "./cluster.js";
import { Dispatch } from "./dispatch.js";
import { Faults } from "./faults.js";
import { Fleet } from "./fleet.js";
import {
  type ClusterSettings,
  type Command,
  type JobSpec,
  type ListedMachine,
  type MachineType,
  type Report,
  rankOf,
  type TaskReport,
} from "./model.js";
import {
  Office,
  type Output,
  type SchedulerOptions,
  type SendOutcome,
  serves,
  type WriteOutcome,
} from "./office.js";
import { cutSize, partSizeOf, standsInParts } from "./parts.js";
import { acceptable, eventName, excluded, occur, otherEnded } from "./pipeline.js";
import { type PlanContext, takeSnapshot } from "./planning/context.js";
import { typeAllowed } from "./planning/eligibility.js";
import { type GpuReserve, reserveGpus } from "./planning/gpu-reserve.js";
import { plan } from "./planning/planner.js";
import { makeRoom, precedenceOf } from "./planning/preemption.js";
import { Ranges } from "./ranges.js";
import { placedIn, type Records, type StoredPlacements } from "./records.js";
import { Watch } from "./watch.js";
import { composeWrite, hasWrite, largestValue, roomNeeded, type Write } from "./writer.js";

export * from "./office.js";

/** Passes over all that waits, at most so many in a report interval. */
const PLANS = 40;
/** Tasks of large arrays that are placed in a second, for each core, and at once; a quarter when behind. */
const BULK = 400;
const BULK_BURST_S = 4;
/** Searches of one pass for tasks to stop. */
const LOOKS_FOR_ROOM = 16;

export class Scheduler {
  private readonly office: Office;
  private readonly dispatch: Dispatch;
  private readonly faults: Faults;
  private readonly fleet: Fleet;
  private readonly watch: Watch;
  private plannedAt = Number.NEGATIVE_INFINITY;
  private bumping = false;
  private bumpedAt: number;
  /** Set while a write is out whose result is not known: nothing else may be written. */
  private writing = false;

  constructor(
    settings: ClusterSettings,
    options: SchedulerOptions,
    epoch: number,
    epochMark: number,
    startedAt: number,
  ) {
    this.office = new Office(settings, options, epoch, epochMark, startedAt);
    this.dispatch = new Dispatch(this.office);
    this.faults = new Faults(this.office, this.dispatch);
    this.fleet = new Fleet(this.office, this.dispatch);
    this.watch = new Watch(this.office, this.dispatch, this.fleet);
    this.bumpedAt = startedAt;
  }

  get cluster() {
    return this.office.cluster;
  }
  /** Set by the node while it is behind: what can wait is to leave it time. */
  set heldUp(held: boolean) {
    this.dispatch.heldUp = held;
  }

  // ---------------------------------------------------------------- inputs

  /** Everything stored, as of taking the term. */
  load(records: Records, now: number): Output[] {
    this.fleet.groups.load(records.groups);
    for (const g of records.groups.values()) {
      for (const [name, [address, type, zone, spot]] of Object.entries(g.value)) {
        const machine = this.office.machine(name, type, zone, spot, now);
        if (machine === null) continue;
        machine.address = address;
        machine.stored = true;
        machine.state = "up";
        this.firstContact(machine);
      }
    }
    for (const id of records.live.keys()) this.recordChanged(records, id, now);
    // Those that a job is needed by may have been read after it.
    for (const job of this.office.cluster.jobs.values()) {
      this.inherit(records, job.spec.after ?? []);
      if (job.present > 0) this.office.cluster.gangStarts.began(job, now);
    }
    this.loseEarlierSessions(now);
    // They mostly come by themselves within a report interval, and a direct request costs more than
    // a report: those that run replicas are fenced soon, the others when they are overdue.
    const up = [...this.office.cluster.machines.values()];
    for (const m of up) {
      const { reportS, leaseS } = this.office.settings;
      m.directAfter = now + (serves(m) ? reportS / 4 : Math.max(1.5 * reportS, leaseS / 3));
      this.dispatch.due.add(m);
    }
    return this.office.flush();
  }

  /**
   * The records may name tasks of a machine's earlier session beside those of a later one, if the former leader
   * ended before it had stored that the earlier ones are gone. A later session proves that they are. (Nine jobs of a
   * day waited to its end for such tasks: nothing that the machine reports speaks of them.)
   */
  private loseEarlierSessions(now: number): void {
    for (const m of this.office.cluster.machines.values()) {
      for (const p of [...m.placements.values()]) {
        if (p.session < m.session) this.dispatch.lost(p, "earlier session", now);
      }
    }
  }

  private firstContact(m: Machine): void {
    // Until it is heard, count as if the former holder had renewed its lease as late as it may.
    m.lastHeard = this.office.startedAt;
    m.lastRenewed = this.office.startedAt + this.office.options.graceS;
  }

  setTypes(types: readonly MachineType[]): void {
    this.office.types = new Map(types.map((t) => [t.name, t]));
    this.office.needPlan = true;
  }
  get typesKnown(): boolean {
    return this.office.types.size > 0;
  }

  /** Some job's keys changed (or were read again after a doubtful write). */
  recordChanged(records: Records, id: string, now: number): void {
    const stored = records.live.get(id);
    let job = this.office.cluster.jobs.get(id);
    if (stored === undefined) {
      if (job !== undefined && records.finals.has(id)) this.forgetJob(job, now);
      this.otherEnded(records, id, now);
      return;
    }
    if (job === undefined) {
      const bytes = this.valueBytes();
      const inParts = standsInParts(stored.value.j, bytes);
      const size = inParts ? partSizeOf(stored.value.j, bytes) : null;
      job = new LiveJob(stored.value, stored.mark, records.partsOf(id), size);
      this.office.cluster.jobs.set(id, job);
      this.adopt(job, stored.value.pl, 0, now);
      for (const [n, part] of records.partsOf(id)) {
        this.adopt(job, part.value.pl, n * (job.partSize ?? 0), now);
      }
      const bound = 0.95 * bytes;
      if (job.partSize === null && job.started && job.worstBytes() > bound) {
        job.cut(cutSize(job.spec, bytes, this.office.settings.txnOps));
      }
      for (const other of job.spec.after ?? []) this.heed(records, job, other);
      if (!job.waits) this.fleet.noteShape(job.spec);
      this.inherit(records, job.spec.after ?? []);
      if (excluded(job.dependencies, eventName("start", id))) this.cancel(job, now);
      this.office.needPlan = true;
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
      this.inherit(records, job.spec.after ?? []);
    }
  }

  /** `first`: the number of the first task that these stand for. */
  private adopt(job: LiveJob, stored: readonly StoredPlacements[], first: number, now: number) {
    for (const { machine: name, session, attempt, tasks } of placedIn(stored)) {
      let m = this.office.cluster.machines.get(name);
      if (m === undefined) {
        // No record of the machine: a stand-in that counts until the cloud says it is gone.
        const type = [...this.office.types.values()][0];
        if (type === undefined) throw new Error("machine types unknown");
        m = new Machine(name, type, "", false, now);
        m.state = "up";
        this.firstContact(m);
        this.office.cluster.machines.set(name, m);
        this.fleet.askReturn(m, "no record of it");
      }
      for (const task of Ranges.parse(tasks)) {
        const p = new Placement(job, first + task, attempt, m, session, 0, now);
        p.state = "loaded";
        this.office.cluster.add(p);
        if (session > m.session) m.session = session;
      }
    }
  }

  /** Residuates a job's dependencies by the end of one that it names, if that is stored. */
  private heed(records: Records, job: LiveJob, other: string): void {
    const end = records.endOf(other);
    if (end !== null) job.dependencies = otherEnded(job.dependencies, other, end);
  }

  /**
   * The end of a job is stored. It is an event for those that name it: their starts become acceptable, or
   * are rejected for good, and then their own failed events are heeded by the next.
   */
  private otherEnded(records: Records, id: string, now: number): void {
    const ended = [id];
    for (let other = ended.pop(); other !== undefined; other = ended.pop()) {
      for (const follower of records.followersOf(other)) {
        const job = this.office.cluster.jobs.get(follower);
        if (job === undefined || job.cancelled || job.started) continue;
        this.heed(records, job, other);
        if (excluded(job.dependencies, eventName("start", follower))) {
          this.cancel(job, now);
          this.inherit(records, job.spec.after ?? []);
          ended.push(follower);
        } else if (!job.waits) {
          this.fleet.noteShape(job.spec);
          this.office.needPlan = true;
        }
      }
    }
  }

  /**
   * Priority and urgency of a job flow up to all that it needs, directly or through others: each has the
   * highest priority, and leaves to those after it, along the longest way, the time they will take.
   */
  private inherit(records: Records, names: readonly string[]): void {
    const changed = [...names];
    for (let id = changed.pop(); id !== undefined; id = changed.pop()) {
      const job = this.office.cluster.jobs.get(id);
      if (job === undefined) continue;
      let rank = rankOf(job.spec.priority);
      let dueMs = job.ownDueMs ?? Number.POSITIVE_INFINITY;
      for (const name of records.followersOf(id)) {
        const next = this.office.cluster.jobs.get(name);
        if (next === undefined || next.cancelled) continue;
        rank = Math.min(rank, next.rank);
        const takesS = next.spec.estimateS + this.office.settings.reportS;
        if (next.dueMs !== null) dueMs = Math.min(dueMs, next.dueMs - 1000 * takesS);
      }
      const due = dueMs === Number.POSITIVE_INFINITY ? null : dueMs;
      if (rank === job.rank && due === job.dueMs) continue;
      job.rank = rank;
      job.dueMs = due;
      this.office.needPlan = true;
      changed.push(...(job.spec.after ?? []));
    }
  }

  private cancel(job: LiveJob, now: number): void {
    job.cancelled = true;
    job.dependencies = occur(job.dependencies, eventName("failed", job.spec.id));
    job.touch();
    for (const p of [...job.everyPlacement()]) this.dispatch.stop(p, "cancelled", 0);
    this.office.log("cancel", { job: job.spec.id, tasks: job.present });
    this.office.needPlan = true;
    for (const m of new Set([...job.everyPlacement()].map((p) => p.machine)))
      this.dispatch.pump(m, now);
  }

  private forgetJob(job: LiveJob, now: number): void {
    for (const p of [...job.everyPlacement()]) this.office.cluster.release(p, now);
    this.office.cluster.jobs.delete(job.spec.id);
    this.office.needPlan = true;
  }

  /** A worker's report came in and is answered with these commands. */
  report(r: Report, now: number): { commands: Command[]; outputs: Output[] } {
    const before = this.office.cluster.machines.get(r.machine);
    if (before !== undefined && !isNewer(r, before)) {
      // A late copy. Its answer renews nothing that the original did not, and starts nothing.
      return { commands: [], outputs: this.office.flush() };
    }
    const m = this.hear(r, now);
    if (m === null) return { commands: [], outputs: this.office.flush() };
    if (now - m.reportedAt > this.office.settings.leaseS / 2) this.office.needPlan = true;
    m.reportedAt = now;
    m.lastRenewed = Math.max(m.lastRenewed, now);
    // This answer tells it the token; it reports again at once if that was news to it.
    if (!m.fenced) m.directAfter = Math.max(m.directAfter, now + this.office.settings.reportS / 4);
    // Stops and forgets can be repeated; starts go only where their fate can be known.
    const commands = m.fenced ? this.dispatch.commandsFor(m, now, false) : [];
    this.dispatch.pump(m, now);
    return { commands, outputs: this.office.flush() };
  }

  /** The former holder, while it may not act, answered a report without commands. */
  renewedWithout(r: Report, now: number): void {
    const m = this.office.cluster.machines.get(r.machine);
    if (m === undefined || !isNewer(r, m)) return;
    m.lastRenewed = Math.max(m.lastRenewed, now);
    m.lastHeard = Math.max(m.lastHeard, now);
  }

  addresses(): Set<string> {
    return new Set([...this.office.cluster.machines.values()].map((m) => m.address));
  }

  /** A direct command was answered, or not. */
  sent(machine: string, commands: readonly Command[], outcome: SendOutcome, now: number): Output[] {
    this.dispatch.fences.delete(machine);
    const m = this.office.cluster.machines.get(machine);
    if (m === undefined) return [];
    m.busy = false;
    for (const c of commands) {
      if (c.op !== "start") continue;
      const key = taskKey(c.job, c.task, c.attempt);
      const p = m.placements.get(key);
      if (p !== undefined) p.inFlight--;
      if (outcome.kind === "lost") {
        if (outcome.sent) m.doubts.set(key, this.office.epoch);
        else if (p !== undefined && p.state === "sent") p.state = "planned";
      } else if (!outcome.executed && p !== undefined && p.state === "sent") p.state = "planned";
    }
    if (outcome.kind === "lost") this.dispatch.unanswered(m, now);
    else this.reached(m, outcome.report, now);
    this.dispatch.pump(m, now);
    return this.office.flush();
  }

  /** A direct request was answered. */
  private reached(m: Machine, report: Report, now: number): void {
    if (m.deafSince !== null) this.office.needPlan = true;
    m.deafSince = null;
    this.hear(report, now);
  }

  /** `late`: the answer was not waited for in time, as this node was held up; that tells nothing. */
  shown(machine: string, report: Report | null, now: number, late = false): Output[] {
    this.dispatch.shows.delete(machine);
    const m = this.office.cluster.machines.get(machine);
    if (m === undefined) return [];
    m.busy = false;
    if (report !== null) this.reached(m, report, now);
    else if (late) m.directAfter = now + this.office.settings.reportS / 3;
    else this.dispatch.unanswered(m, now);
    this.dispatch.pump(m, now);
    return this.office.flush();
  }

  /** Takes in a report, however it came. */
  private hear(r: Report, now: number): Machine | null {
    if (this.fleet.gone.has(r.machine)) return null;
    if (r.token > this.office.epoch) {
      this.office.out.push({ kind: "resign", why: `machine ${r.machine} has seen a higher token` });
      return null;
    }
    const m = this.office.machine(r.machine, r.type, r.zone, r.spot, now);
    if (m === null) return null;
    if (!isNewer(r, m)) return m;
    if (m.state === "booting") {
      this.fleet.cameUp(m, now);
      m.state = "up";
      m.idleSince = now;
      this.office.needPlan = true;
      this.office.log("machine up", {
        machine: m.name,
        type: m.type.name,
        zone: m.zone,
        spot: m.spot,
      });
    }
    m.address = r.address;
    if (m.reportedAt === Number.NEGATIVE_INFINITY) m.reportedAt = now;
    if (!m.stored) this.fleet.groups.add(m);
    if (now - m.lastHeard > 1.5 * this.office.settings.reportS) this.office.needPlan = true;
    m.lastHeard = now;
    m.unanswered = 0;
    // A session begins no later than its first report; a former holder may renew for a while yet.
    m.lastRenewed = Math.max(
      m.lastRenewed,
      now,
      this.office.startedAt + this.office.options.graceS,
    );
    if (r.session > m.session) {
      // The lease ran out: the worker killed and forgot all its tasks, and starts sent to an
      // earlier session are refused from now on.
      for (const p of [...m.placements.values()]) {
        if (p.session < r.session) this.dispatch.lost(p, "new session", now);
      }
      m.session = r.session;
      m.doubts.clear();
      m.ended.clear();
      m.seq = -1;
    }
    m.seq = r.seq;
    this.notice(m, r.noticeS, now);
    const fenced = r.token === this.office.epoch;
    if (fenced && !m.fenced) {
      this.office.needPlan = true;
      for (const [key, epoch] of m.doubts) if (epoch < this.office.epoch) m.doubts.delete(key);
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
    this.office.log("taken back soon", { machine: m.name, inS: noticeS, tasks: m.placements.size });
    for (const p of m.placements.values()) {
      const { estimateS, saveS, checkpointS } = p.job.spec;
      const left = estimateS - (p.state === "running" ? now - p.runningSince : 0);
      // Work that cannot be saved stays if it may still end in time.
      if (checkpointS === 0 && p.job.spec.kind === "array" && left > 0 && left < noticeS) continue;
      this.dispatch.stopWithMates(p, "machine is taken back", saveS);
    }
    this.office.needPlan = true;
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
      else this.stray(m, t, now);
    }
    for (const p of [...m.placements.values()]) {
      if (seen.has(p.key) || p.inFlight > 0 || p.session !== m.session) continue;
      if (p.state === "loaded") {
        // Starts of former holders are dropped here by now, so it never came.
        p.state = "planned";
      } else if (p.state === "sent") {
        if (!m.doubts.has(p.key)) p.state = "planned";
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
      this.office.log("running", {
        task: `${p.job.spec.id}/${p.task}`,
        machine: p.machine.name,
        class: p.job.spec.class,
        imageGb: p.job.spec.imageGb,
        tookS: Math.round((now - p.placedAt) * 10) / 10,
      });
    }
    p.state = t.state;
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
    const job = this.office.cluster.jobs.get(t.job);
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
      this.office.log("all tasks done", { job: job.spec.id, tasks: job.spec.tasks });
    this.office.needPlan = true;
  }

  /** A task runs that our records do not hold: it counts while it is there, and is stopped. */
  private stray(m: Machine, t: TaskReport, now: number): void {
    const job = this.office.cluster.jobs.get(t.job);
    this.office.log("stray task", {
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
    this.office.cluster.add(p, true);
    this.dispatch.stop(p, "not in the records", 0);
  }

  // ---------------------------------------------------------------- time

  tick(now: number, wallMs: number): Output[] {
    if (now - this.watch.watchedAt >= this.office.settings.reportS / 20) {
      this.watch.watchMachines(now);
      this.checkDoubts(now);
    }
    this.faults.findSlow(now);
    this.faults.review(now);
    const sincePlan = now - this.plannedAt;
    const { reportS } = this.office.settings;
    const plans = this.watch.settling(now) ? PLANS / 8 : PLANS;
    if (this.office.typesKnown && sincePlan > reportS / (this.office.needPlan ? plans : 3)) {
      this.replan(now, wallMs);
    }
    this.fleet.cloudWork(now);
    for (const m of [...this.dispatch.due]) this.dispatch.pump(m, now);
    return this.office.flush();
  }

  private valueBytes(): number {
    return this.office.valueLimit.plannedBytes;
  }

  /** How many tasks of large arrays are placed: what they cost is not to delay others. */
  private readonly bulk = new Bucket(0, 0);
  private setBulk(): void {
    const whole = BULK * this.office.settings.cpuShare;
    const rate = this.dispatch.heldUp ? whole / 4 : whole;
    this.bulk.setRate(rate, BULK_BURST_S * rate);
  }

  private context(now: number, wallMs: number): PlanContext {
    return {
      cluster: this.office.cluster,
      settings: this.office.settings,
      now,
      wallMs,
      valueBytes: this.valueBytes(),
      bulk: this.bulk,
      snapshot: takeSnapshot(this.office.cluster, this.office.settings, now),
      log: (message, fields) => this.office.log(message, fields),
    };
  }

  private replan(now: number, wallMs: number): void {
    this.office.needPlan = false;
    this.plannedAt = now;
    const within = this.office.cluster.withinGuarantee();
    for (const m of this.office.cluster.machines.values()) {
      if (m.reservedFor === null) continue;
      const { job, held, until } = m.reservedFor;
      const over = this.office.cluster.jobs.get(job.spec.id) !== job || job.pendingCount === 0;
      if (held || over || now > until) {
        m.reservedFor = null;
      }
    }
    for (const job of this.office.cluster.jobs.values()) {
      if (!job.isReady && !job.waits) job.ready(wallMs);
      job.hold = precedenceOf(job, within);
    }
    const gpuSpecs = [...this.fleet.shapes.values()].map((s) => s.spec).filter((s) => s.gpus > 0);
    const reserve = reserveGpus(this.office.cluster, gpuSpecs);
    this.setBulk();
    const ctx = this.context(now, wallMs);
    this.fleet.waiting = plan(ctx, within, reserve, (job) => this.acceptStart(job));
    // Nothing is stopped for what waits while most room is not in sight.
    if (this.watch.settling(now)) return;
    // Each look for room goes over all machines: what a pass does not come to, the next one does.
    const looks = { left: LOOKS_FOR_ROOM };
    for (const job of this.fleet.waiting) this.preempt(job, ctx, within, reserve, looks);
  }

  /** The algebra decides whether the start is accepted; the write that holds it makes it so. */
  private acceptStart(job: LiveJob): boolean {
    if (job.started) return true;
    const start = eventName("start", job.spec.id);
    if (!acceptable(job.dependencies, start)) return false;
    job.dependencies = occur(job.dependencies, start);
    job.owner = this.office.epoch;
    job.started = true;
    job.touch();
    return true;
  }

  private preempt(
    job: LiveJob,
    ctx: PlanContext,
    within: ReadonlySet<string>,
    reserve: GpuReserve,
    looks: { left: number },
  ): void {
    const { rank } = job;
    if (rank > 1 && !within.has(job.spec.id)) return;
    if (looks.left <= 0 || ctx.now < job.roomAfter) return;
    // Stopping costs work: what is not urgent waits a moment for room to come up by itself.
    const waited = ctx.now - (job.waitingSince ?? ctx.now);
    if (rank > 0 && waited < this.office.settings.reportS * rank) return;
    let need = job.pendingCount;
    if (job.spec.kind === "gang" && job.present > 0) return;
    // Room made here and there is of no use to tasks that must start together in one zone.
    if (job.spec.kind === "gang" && job.spec.tasks > 1 && job.heldZone === null) return;
    for (const m of this.office.cluster.machines.values()) {
      if (m.reservedFor?.job === job) {
        need -= slots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
      }
    }
    for (let i = 0; need > 0 && i < 8 && looks.left > 0; i++) {
      looks.left--;
      const found = makeRoom(job, ctx, within, reserve);
      if (found === null) {
        job.roomAfter = ctx.now + this.office.settings.reportS / 4;
        return;
      }
      found.machine.reservedFor = {
        job,
        until: ctx.now + this.office.settings.gangPeerS + 2 * this.office.settings.reportS,
        held: false,
      };
      for (const v of found.victims) {
        this.dispatch.stopWithMates(v, `room for ${job.spec.id}`, v.job.spec.saveS);
      }
      this.dispatch.pump(found.machine, ctx.now);
      need -= Math.max(
        1,
        slots(job.spec, found.machine.freeCpus, found.machine.freeGpus, found.machine.freeMemory),
      );
    }
  }

  /** Unanswered starts that matter (cancelled, or ended and not to be forgotten) need a new token. */
  private checkDoubts(now: number): void {
    if (this.bumping || now - this.bumpedAt < this.office.settings.leaseS / 2) return;
    for (const m of this.office.cluster.machines.values()) {
      if (m.doubts.size === 0 || m.state !== "up" || !m.fenced) continue;
      if (now - m.lastHeard > 2 * this.office.settings.reportS) continue;
      for (const key of m.doubts.keys()) {
        const p = m.placements.get(key);
        const matters = p === undefined ? m.ended.has(key) : p.stop !== null && p.state === "sent";
        if (!matters) continue;
        this.bumping = true;
        this.office.out.push({ kind: "bump" });
        return;
      }
    }
  }

  /** The epoch was raised, or not (null), to fence off late starts. */
  bumped(epoch: { n: number; mark: number } | null, now: number): Output[] {
    this.bumping = false;
    this.bumpedAt = now;
    if (epoch === null) return [];
    this.office.epoch = epoch.n;
    this.office.epochMark = epoch.mark;
    for (const m of this.office.cluster.machines.values()) {
      m.fenced = false;
      this.dispatch.due.add(m);
    }
    for (const m of [...this.dispatch.due]) this.dispatch.pump(m, now);
    return this.office.flush();
  }

  // ---------------------------------------------------------------- cloud

  rented(
    request: { type: string; zone: string; spot: boolean; count: number },
    result: { machines: readonly string[] } | "no capacity" | "trouble",
    now: number,
  ): Output[] {
    this.fleet.rented(request, result, now);
    return this.office.flush();
  }

  returned(machines: readonly string[], ok: boolean, now: number): Output[] {
    this.fleet.returned(machines, ok, now);
    return this.office.flush();
  }

  list(machines: readonly ListedMachine[] | null, now: number): Output[] {
    this.fleet.list(machines, now);
    return this.office.flush();
  }

  // ---------------------------------------------------------------- writes

  /** The next transaction, or null if there is nothing to write. At most `maxOps` changes. */
  nextWrite(maxOps: number, maxBytes: number, urgentOnly = false, now = 0): Write | null {
    if (this.writing || this.bumping) return null;
    const allows = (bytes: number): boolean => this.office.valueLimit.allows(bytes, now);
    const priorityLeadS = this.office.settings.reportS;
    const limits = { maxOps, maxBytes, urgentOnly, allows, priorityLeadS };
    const w = composeWrite(this.office.cluster, this.fleet.groups, this.office.epochMark, limits);
    this.writing = w !== null;
    return w;
  }

  /** Changes that the next transaction must have room for. */
  get roomNeeded(): number {
    return Math.min(this.office.settings.txnOps, roomNeeded(this.office.cluster));
  }

  get hasUrgentWrite(): boolean {
    return hasWrite(this.office.cluster, this.fleet.groups);
  }

  /**
   * A single value was refused although it keeps the limits that are known. From now on values are planned
   * smaller. Placements in it that are not stored were never sent: they are given up, so that it shrinks until it is
   * taken; what is stored already goes on, and what else there is to write goes on meanwhile.
   */
  refusedAlone(w: Write, now: number): void {
    const bytes = largestValue(w);
    if (bytes === 0) return;
    this.office.valueLimit.refused(bytes, now);
    this.fleet.valuesShrink();
    this.office.log("value refused", { key: w.changes[0]!.key, bytes });
    for (const { job } of w.jobs) this.giveUpUnstored(job, now);
    for (const job of this.office.cluster.jobs.values()) this.cutIfTooLarge(job);
    this.office.needPlan = true;
  }

  private giveUpUnstored(job: LiveJob, now: number): void {
    for (const p of [...job.placements.values()]) {
      const unsent = p.state === "planned" && !job.holds(p.task, p.version);
      if (unsent) this.office.cluster.release(p, now);
    }
  }

  /** A job in one value that may outgrow what is taken now stands in parts from its next write on. */
  private cutIfTooLarge(job: LiveJob): void {
    const bytes = this.valueBytes();
    if (job.partSize !== null || job.spec.tasks < 2) return;
    const fits = job.spec.kind === "array" || !standsInParts(job.spec, bytes);
    if (fits && job.worstBytes() <= 0.95 * bytes) return;
    job.cut(cutSize(job.spec, bytes, this.office.settings.txnOps));
  }

  /**
   * How a write ended. After `conflict` and `unknown` the caller has read the records again and
   * given them to `recordChanged` before it calls this.
   */
  written(
    w: Write,
    outcome: WriteOutcome,
    revision: number,
    records: Records,
    now: number,
  ): Output[] {
    this.writing = false;
    if (outcome === "ok") {
      if (this.office.valueLimit.reduced) this.office.valueLimit.taken(largestValue(w));
      for (const { job, version, parts, closed } of w.jobs) {
        if (version === null) {
          this.office.log("job over", {
            job: job.spec.id,
            state: job.cancelled ? "cancelled" : "done",
          });
          this.office.cluster.jobs.delete(job.spec.id);
          continue;
        }
        for (const part of parts) job.stored(part, version, revision);
        for (const part of closed) job.dropped(part);
      }
      for (const { group, version, names } of w.groups) {
        group.mark = revision;
        group.saved = Math.max(group.saved, version);
        for (const name of names) {
          const m = this.office.cluster.machines.get(name);
          if (m === undefined || m.stored) continue;
          m.stored = true;
          group.fresh--;
          this.office.needPlan = true;
        }
      }
    } else if (outcome !== "refused") {
      this.fleet.groups.reread(records);
      for (const { job } of w.jobs) {
        const live = records.live.get(job.spec.id);
        if (live !== undefined) job.reread(live, records.partsOf(job.spec.id));
        this.recordChanged(records, job.spec.id, now);
        if (!records.live.has(job.spec.id) && records.finals.has(job.spec.id)) {
          this.forgetJob(job, now);
        }
      }
    }
    const machines = new Set<Machine>();
    for (const { job } of w.jobs) {
      for (const p of job.everyPlacement()) if (p.state === "planned") machines.add(p.machine);
    }
    for (const m of machines) this.dispatch.pump(m, now);
    return this.office.flush();
  }
}

/** The message with the larger session and number is the newer one. */
const isNewer = (r: Report, m: Machine): boolean =>
  r.session > m.session || (r.session === m.session && r.seq > m.seq);

function* range(n: number): Generator<number> {
  for (let i = 0; i < n; i++) yield i;
}

/** Can any task of the job ever run, and does the job fit its team's limit? */
export function canEverRun(
  spec: JobSpec,
  settings: ClusterSettings,
  types: readonly MachineType[],
): boolean {
  const team = settings.teams.find((t) => t.name === spec.team);
  if (team === undefined) return false;
  const tasks = spec.kind === "array" ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.cpus * tasks > team.cpusMax + 1e-6) return false;
  if (team.gpusMax > 0 && spec.gpus * tasks > team.gpusMax + 1e-6) return false;
  return types.some(
    (t) =>
      slots(spec, t.cpus, t.gpus, t.memoryGb) >= 1 &&
      t.zones.some((zone) => typeAllowed(spec, t.name, zone, false)),
  );
}
