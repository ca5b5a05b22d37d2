/**
 * The core under any order of events: a leader and its successors, former leaders that still answer, the
 * state service, workers and users, with every message kept until a seeded choice delivers, repeats or loses
 * it. After each event the protocol's rules are checked by what the workers themselves have.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Effect, TransactionOutcome } from "../../src/core/effects.js";
import { dependenciesOf, formatResiduals } from "../../src/core/jobs/pipeline.js";
import { hasExtendableLease } from "../../src/core/leader-context.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus, WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { Scheduler } from "../../src/core/scheduler.js";
import type { Change, Precondition } from "../../src/core/state/key-value.js";
import { KEY, StateReplica, type StoredJob } from "../../src/core/state/state-replica.js";
import type { LeaderTransaction } from "../../src/core/state/write-composer.js";
import { jobSpec, taskStatus } from "./helpers.js";
import { type Place, placeFaults } from "./placement-checker.js";
import { clusterForSeed, type SimulatedCluster } from "./simulated-clusters.js";
import { SimulatedKeyValueStore } from "./simulated-key-value-store.js";
import { SimulatedMachine, type SimulatedTask, WORKER_LEASE_S } from "./simulated-machine.js";

const GRACE_PERIOD_S = 21;
const EXTENSION_S = 42;

/** Log lines of the leader that help to read a trace. */
const TRACED_LOG_MESSAGES = new Set(["task lost", "scale in", "orphaned task", "job over"]);

export interface RuleViolation {
  readonly rule: string;
  readonly what: string;
}

interface SimulatedLeader {
  readonly scheduler: Scheduler;
  readonly replica: StateReplica;
  epoch: number;
  epochRevision: number;
  /** It acts until then, and answers reports without commands for a while after. */
  answersUntil: number;
  isWriting: boolean;
  isAdvancingToken: boolean;
}

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

export class Simulation {
  now = 1000;
  readonly violations: RuleViolation[] = [];
  readonly trace: string[] = [];
  readonly machines = new Map<string, SimulatedMachine>();
  readonly acceptedJobs = new Map<string, JobSpec>();
  private readonly submittedJobs = new Map<string, JobSpec>();
  readonly cancelRequested = new Set<string>();
  readonly reportedFinalStates = new Map<string, "done" | "cancelled">();
  readonly completedTasks = new Set<string>();
  startCount = 0;
  termCount = 0;
  /** Troubles come while this is set. */
  injectsFaults = true;
  private readonly random;
  readonly cluster: SimulatedCluster;
  private readonly store = new SimulatedKeyValueStore();
  private readonly storedState = this.store.replica;
  private leader: SimulatedLeader | null = null;
  private readonly formerLeaders: SimulatedLeader[] = [];
  private leaderlessSince: number;
  private scheduledEvents: ScheduledEvent[] = [];
  private readonly replayableHeartbeats: WorkerHeartbeat[] = [];
  private nextJobNumber = 0;
  /** The cloud takes nothing back until then. */
  private cloudUnavailableUntil = 0;
  private nextMachineNumber = 0;

  /** One in so many goes wrong, of what a leader, a machine, a message and a write do. */
  private readonly faultOdds: {
    leader: number;
    machine: number;
    message: number;
    writeNext: number;
  };

  /** `seenByLeader`: what the leader is told of a job, to show that the checks can fail. */
  constructor(
    seed: number,
    private readonly specSeenByLeader: (s: JobSpec) => JobSpec = (s) => s,
    site: SimulatedCluster | null = null,
  ) {
    this.random = xoroshiro128plus(seed);
    this.cluster = site ?? clusterForSeed(seed, (n) => this.randomBelow(n));
    // Days differ in what goes wrong often: everything at once hides what needs a quiet moment.
    this.faultOdds = {
      leader: [80, 250, 1500][this.randomBelow(3)]!,
      machine: [40, 150, 1000][this.randomBelow(3)]!,
      message: [5, 15, 80][this.randomBelow(3)]!,
      writeNext: [5, 20, 100][this.randomBelow(3)]!,
    };
    this.leaderlessSince = this.now;
    for (const { type, zone, spot } of this.cluster.machines) this.bootMachine(type, zone, spot);
    this.store.commit([], [{ op: "put", key: KEY.epoch, value: { n: 0 } }]);
  }

  private randomBelow(n: number): number {
    return uniformInt(this.random, 0, n - 1);
  }
  private faultOccurs(one: number): boolean {
    return this.injectsFaults && this.randomBelow(one) === 0;
  }
  private schedule(inS: number, run: () => void): void {
    this.scheduledEvents.push({ at: this.now + inS, run });
  }
  private addTraceLine(line: string): void {
    this.trace.push(`${this.now.toFixed(2)} ${line}`);
  }
  private addViolation(rule: string, what: string): void {
    this.addTraceLine(`BROKEN ${rule}: ${what}`);
    this.violations.push({ rule, what });
  }
  private bootMachine(
    type: string,
    zone: string,
    spot: boolean,
    name = this.newMachineName(zone),
  ): void {
    const m = new SimulatedMachine(name, type, zone, spot, this.now);
    this.machines.set(m.name, m);
    this.addTraceLine(`${m.name} is up: ${type}, ${zone}${spot ? ", spot" : ""}`);
  }
  private newMachineName(zone: string): string {
    return `m${this.nextMachineNumber++}${zone}`;
  }

  // ------------------------------------------------------------ state service

  private catchUpReplica(l: SimulatedLeader): void {
    const touched = l.replica.apply(
      this.store.changesSince(l.replica.revision),
      this.store.revision,
    );
    if (l.replica.epoch.value.n > l.epoch && !l.isAdvancingToken)
      this.endLeadership("another epoch");
    else for (const id of touched.jobs) l.scheduler.handleJobChange(l.replica, id, this.now);
  }

  // ------------------------------------------------------------ users

  /** A user's conditional write: carried out, late, or with its answer lost. */
  private userWrite(conditions: Precondition[], change: Change, answered: () => void): void {
    if (this.faultOccurs(this.faultOdds.writeNext))
      this.schedule(2 + this.randomBelow(10), () => this.store.commit(conditions, [change]));
    else if (this.store.commit(conditions, [change]) && !this.faultOccurs(this.faultOdds.writeNext))
      answered();
  }

  submit(): void {
    const id = `j${this.nextJobNumber++}`;
    const team = this.randomBelow(3) === 0 ? "maps" : "vision";
    const kinds = this.cluster.jobs;
    const kind = kinds[this.randomBelow(kinds.length)]!;
    // Some need others that were accepted, in whatever state these are.
    const after = kind.kind === "service" || this.randomBelow(3) > 0 ? [] : this.recentJobs();
    const s = jobSpec(id, {
      ...kind,
      team,
      image: `i${this.randomBelow(3)}`,
      ...(after.length > 0 ? { after } : {}),
    });
    const value: StoredJob = {
      j: this.specSeenByLeader(s),
      at: this.now * 1000,
      r: formatResiduals(dependenciesOf(id, after)),
      v: 1,
      n: 1,
      o: 0,
      done: "",
      pl: [],
    };
    const none = [KEY.activeJob(id), KEY.finalRecord(id)].map((key) => ({ key, modRevision: 0 }));
    this.submittedJobs.set(id, s);
    this.userWrite(none, { op: "put", key: KEY.activeJob(id), value }, () =>
      this.confirmSubmission(id),
    );
  }

  private recentJobs(): string[] {
    const all = [...this.acceptedJobs].filter(([, s]) => s.kind !== "service").map(([id]) => id);
    const recent = all.slice(-6);
    const n = recent.length === 0 ? 0 : 1 + this.randomBelow(2);
    return [...new Set(Array.from({ length: n }, () => recent[this.randomBelow(recent.length)]!))];
  }

  /** Its user called it off, or one that it needs, directly or through others. */
  private isCancelledByUser(id: string): boolean {
    if (this.cancelRequested.has(id)) return true;
    return (this.submittedJobs.get(id)?.after ?? []).some((other) => this.isCancelledByUser(other));
  }

  /** The submission again, or its answer: from now on the user counts on the job. */
  private confirmSubmission(id: string): void {
    if (this.acceptedJobs.has(id) || this.storedState.view(id) === null) return;
    const s = this.submittedJobs.get(id)!;
    this.acceptedJobs.set(id, s);
    this.addTraceLine(`accepted ${id} ${s.kind} of ${s.tasks}`);
  }

  /** Troubles are over: what is late has come, and services are called off. */
  endFaults(): void {
    this.injectsFaults = false;
    for (let i = 0; i < 100; i++) this.step();
    for (const [id, s] of this.submittedJobs) {
      this.confirmSubmission(id);
      if (s.kind === "service" && this.acceptedJobs.has(id)) this.cancel(id);
    }
  }

  cancel(id: string): void {
    this.cancelRequested.add(id);
    this.addTraceLine(`cancel ${id}`);
    if (!this.storedState.activeJobs.has(id)) return;
    const none = [KEY.finalRecord(id), KEY.cancellation(id)].map((key) => ({
      key,
      modRevision: 0,
    }));
    const value = { at: 0, told: false };
    this.userWrite(none, { op: "put", key: KEY.cancellation(id), value }, () => this.queryJob(id));
  }

  queryJob(id: string): void {
    const view = this.storedState.view(id);
    if (view === null) {
      this.addViolation("forgotten", id);
      return;
    }
    const before = this.reportedFinalStates.get(id);
    if (before !== undefined && view.state !== before) {
      this.addViolation("went_back", `${id} was ${before}, is ${view.state}`);
    }
    const needs = this.submittedJobs.get(id)!.after ?? [];
    if (
      needs.some((n) => this.reportedFinalStates.get(n) === "cancelled") &&
      view.state !== "cancelled"
    ) {
      this.addViolation("orphaned", `${id} is ${view.state}`);
    }
    if (view.state === "done") {
      const { tasks } = this.acceptedJobs.get(id)!;
      for (let t = 0; t < tasks; t++) {
        if (!this.completedTasks.has(`${id}/${t}`)) this.addViolation("not_done", `${id}/${t}`);
      }
      this.reportedFinalStates.set(id, "done");
    } else if (view.state === "cancelled") {
      if (!this.isCancelledByUser(id)) this.addViolation("went_back", `${id}: nobody cancelled it`);
      for (const [on, t] of this.tasksOnMachines(id)) {
        this.addViolation("ran_cancelled", `told, while ${t.job}/${t.task} is on ${on}`);
      }
      this.reportedFinalStates.set(id, "cancelled");
    }
  }

  /** Tasks of the job that are on machines. */
  private *tasksOnMachines(job: string): Generator<[string, TaskStatus]> {
    for (const m of this.machines.values()) {
      for (const { status: report } of m.tasks.values()) {
        if (report.job === job && report.state !== "exited") yield [m.name, report];
      }
    }
  }

  // ------------------------------------------------------------ machines

  private expireLease(m: SimulatedMachine): void {
    if (m.expireLease(this.now)) this.addTraceLine(`${m.name}: lease over`);
  }

  private probe(m: SimulatedMachine): WorkerHeartbeat {
    this.expireLease(m);
    return m.heartbeat();
  }

  private execute(m: SimulatedMachine, commands: readonly WorkerCommand[]): void {
    for (const c of commands) {
      const key = `${c.job}/${c.task}#${c.attempt}`;
      const known = m.tasks.get(key);
      if (c.op === "forget") {
        if (known?.status.state === "exited") m.tasks.delete(key);
      } else if (c.op === "stop") {
        if (known !== undefined && known.status.state !== "exited") this.exitTask(known, "stopped");
      } else if (known === undefined) this.startTask(m, c, key);
    }
  }

  private exitTask(t: SimulatedTask, cause: TaskStatus["cause"]): void {
    t.status = { ...t.status, state: "exited", cause };
  }

  private startTask(m: SimulatedMachine, c: WorkerCommand, key: string): void {
    const job = this.submittedJobs.get(c.job);
    if (job === undefined) return;
    const imageAt = this.now + [0, 0, 2, 9][this.randomBelow(4)]!;
    const fetching = taskStatus(c.job, c.task, c.attempt, "pulling image");
    const t: SimulatedTask = {
      status: fetching,
      endsAt: Number.POSITIVE_INFINITY,
      imagePulledAt: imageAt,
    };
    m.tasks.set(key, t);
    let cpus = job.cpus;
    for (const x of m.tasks.values()) {
      if (x === t || x.status.state === "exited") continue;
      if (x.status.job === c.job && x.status.task === c.task) this.exitTask(t, "busy");
      cpus += this.submittedJobs.get(x.status.job)!.cpus;
    }
    if (cpus > this.cluster.types.find((type) => type.name === m.type)!.cpus)
      this.exitTask(t, "no_room");
    if (t.status.state === "exited") return;
    const name = `${c.job}/${c.task}`;
    this.startCount++;
    this.addTraceLine(`start ${key} on ${m.name}`);
    for (const other of job.after ?? []) {
      if (this.storedState.finalRecords.get(other)?.s !== "done")
        this.addViolation("too_early", `${key}: ${other}`);
    }
    if (this.reportedFinalStates.has(c.job))
      this.addViolation("ran_cancelled", `${key} starts: ${this.reportedFinalStates.get(c.job)}`);
    for (const [on, other] of this.tasksOnMachines(c.job)) {
      if (on === m.name) continue;
      if (other.task === c.task) this.addViolation("ran_twice", `${key} on ${m.name} and ${on}`);
    }
    this.checkPlacement(t, m, "is started", () => true);
    let used = 0;
    for (const [id, s] of this.submittedJobs) {
      if (s.team === "vision") for (const _ of this.tasksOnMachines(id)) used += s.cpus;
    }
    if (job.team === "vision" && used > 16 + 1e-6) this.addViolation("quota", `${used} CPUs`);
    if (job.kind === "service") return;
    t.endsAt = imageAt + (this.completedTasks.has(name) ? 0 : [2, 8, 40][this.randomBelow(3)]!);
  }

  /** A task comes to a machine, given the job's other tasks of these at this moment. */
  private checkPlacement(
    t: SimulatedTask,
    m: SimulatedMachine,
    event: string,
    counts: (other: TaskStatus) => boolean,
  ): void {
    const { job, task: number, attempt } = t.status;
    const others: Place[] = [];
    for (const [on, other] of this.tasksOnMachines(job)) {
      if (other !== t.status && counts(other)) others.push(this.machines.get(on)!.place);
    }
    for (const { what } of placeFaults(this.submittedJobs.get(job)!, m.place, others)) {
      this.addViolation("wrong_place", `${job}/${number}#${attempt} ${event} ${what}`);
    }
  }

  /** The image is there: from now on the task counts as being on its machine. */
  private completeImagePulls(m: SimulatedMachine): void {
    for (const t of m.tasks.values()) {
      if (t.status.state !== "pulling image" || this.now < t.imagePulledAt) continue;
      t.status = { ...t.status, state: "running" };
      this.checkPlacement(t, m, "has its image", (other) => other.state !== "pulling image");
    }
  }

  private completeTasks(m: SimulatedMachine): void {
    this.completeImagePulls(m);
    for (const t of m.tasks.values()) {
      const { status: report } = t;
      if (report.state === "exited" || this.now < t.endsAt) continue;
      const job = this.submittedJobs.get(report.job);
      if (job?.kind === "gang" && !this.completedTasks.has(`${report.job}/${report.task}`)) {
        // All of its attempt are there, and complete together.
        const mates = [...this.tasksOnMachines(report.job)].filter(
          ([, x]) => x.attempt === report.attempt,
        );
        if (new Set(mates.map(([, x]) => x.task)).size < job.tasks) continue;
        for (let i = 0; i < job.tasks; i++) this.completedTasks.add(`${report.job}/${i}`);
      }
      this.completedTasks.add(`${report.job}/${report.task}`);
      this.exitTask(t, "done");
    }
  }

  private sendHeartbeat(m: SimulatedMachine): void {
    m.nextHeartbeatAt = this.now + 2.3 + this.randomBelow(15) / 10;
    const sent = this.now;
    const r = m.heartbeat();
    if (this.faultOccurs(4)) this.replayableHeartbeats.push(r);
    if (this.now < m.dropsOutboundUntil) return;
    this.schedule(this.faultOccurs(this.faultOdds.message) ? 1 + this.randomBelow(40) : 0.02, () =>
      this.deliverHeartbeat(r, m, sent),
    );
  }

  private deliverHeartbeat(r: WorkerHeartbeat, m: SimulatedMachine | null, sent: number): void {
    const answer = this.answerHeartbeat(r);
    if (answer === null || m === null) return;
    this.schedule(0.02, () => {
      if (this.now - sent > 4 || this.now < m.dropsInboundUntil || this.now < m.hungUntil) return;
      this.expireLease(m);
      if (answer.token < m.fencingToken || r.incarnation !== m.incarnation) return;
      m.fencingToken = answer.token;
      m.leaseExpiresAt = Math.max(m.leaseExpiresAt, sent + WORKER_LEASE_S);
      this.execute(m, answer.commands);
    });
  }

  /** As the nodes do: the leader, a former one that cannot know better, or anyone between two. */
  private answerHeartbeat(
    r: WorkerHeartbeat,
  ): { token: number; commands: readonly WorkerCommand[] } | null {
    const l = this.leader;
    const stale = this.formerLeaders.find((f) => {
      const kept = r.tasks.some((t) => {
        const job = t.state === "exited" ? undefined : f.replica.activeJobs.get(t.job);
        return job !== undefined && hasExtendableLease(job.value.j.kind);
      });
      return (
        r.fencingToken <= f.epoch &&
        this.now < f.answersUntil + (kept ? EXTENSION_S : GRACE_PERIOD_S)
      );
    });
    const apart = this.now < (this.machines.get(r.machine)?.partitionedUntil ?? 0);
    if (stale !== undefined && (apart || l === null || this.randomBelow(2) === 0)) {
      stale.scheduler.noteGracePeriodAnswer(r, this.now);
      return { token: stale.epoch, commands: [] };
    }
    if (apart) return null;
    if (l !== null) {
      const { commands, outputs } = l.scheduler.handleHeartbeat(r, this.now);
      const token = l.epoch;
      this.performEffects(l, outputs);
      return { token, commands };
    }
    const epoch = this.storedState.epoch.value.n;
    if (
      epoch > 0 &&
      r.fencingToken <= epoch &&
      this.now - this.leaderlessSince < WORKER_LEASE_S / 3
    ) {
      return { token: epoch, commands: [] };
    }
    return null;
  }

  // ------------------------------------------------------------ leaders

  private electLeader(): void {
    const epoch = this.storedState.epoch.value.n + 1;
    const mark = this.storedState.epoch.modRevision;
    this.store.commit(
      [{ key: KEY.epoch, modRevision: mark }],
      [{ op: "put", key: KEY.epoch, value: { n: epoch } }],
    );
    const records = new StateReplica();
    records.reset(this.store.items(), this.store.revision);
    const options = {
      spareRatio: 0,
      maxMachines: this.cluster.maxMachines,
      idleReleaseS: 1e9,
      gracePeriodS: GRACE_PERIOD_S,
      leaseExtensionS: EXTENSION_S,
      logsTasks: true,
      controllersPerZone: new Map<string, number>(),
    };
    const epochMark = records.epoch.modRevision;
    const scheduler = new Scheduler(this.cluster.settings, options, epoch, epochMark, this.now);
    scheduler.setMachineTypes(this.cluster.types);
    const until = Number.POSITIVE_INFINITY;
    const l = {
      scheduler,
      replica: records,
      epoch,
      epochRevision: epochMark,
      answersUntil: until,
      isWriting: false,
      isAdvancingToken: false,
    };
    this.leader = l;
    this.termCount++;
    this.addTraceLine(`term ${epoch}`);
    this.performEffects(l, scheduler.takeOver(records, this.now));
  }

  /** It ends, or is refused by the state service alone and goes on answering. */
  private endLeadership(why: string, answersOn = false): void {
    const l = this.leader;
    if (l === null) return;
    this.addTraceLine(`term over: ${why}`);
    l.answersUntil = this.now;
    if (answersOn) this.formerLeaders.push(l);
    this.leader = null;
    this.leaderlessSince = this.now;
  }

  private performEffects(l: SimulatedLeader, outputs: readonly Effect[]): void {
    /** Results for one that leads no more are dropped. */
    const back = (f: () => Effect[]): void => {
      if (this.leader === l) this.performEffects(l, f());
    };
    for (const o of outputs) {
      if (o.kind === "send") this.sendCommands(l, o, back);
      else if (o.kind === "probe") {
        this.schedule(0.05, () => {
          const m = this.machines.get(o.machine);
          const report = m?.isReachable(this.now) ? this.probe(m) : null;
          back(() => l.scheduler.probeAnswered(o.machine, report, this.now));
        });
      } else if (o.kind === "release machines") {
        const ok = this.now >= this.cloudUnavailableUntil && !this.faultOccurs(4);
        this.schedule(0.3, () => {
          for (const name of ok ? o.machines : []) {
            const m = this.machines.get(name);
            if (m === undefined) continue;
            this.machines.delete(name);
            this.addTraceLine(`${name} is returned`);
            this.schedule(1, () => this.bootMachine(m.type, m.zone, m.spot));
          }
          back(() => l.scheduler.releaseAnswered(o.machines, ok, this.now));
        });
      } else if (o.kind === "scale out") {
        this.scaleOut(l, o, back);
      } else if (o.kind === "list machines") {
        this.schedule(0.2, () =>
          back(() => l.scheduler.machineListAnswered(this.listMachines(), this.now)),
        );
      } else if (o.kind === "advance fencing token") this.advanceFencingToken(l, back);
      else if (o.kind === "step down") this.endLeadership(o.why);
      else if (o.kind === "log" && TRACED_LOG_MESSAGES.has(o.message)) {
        this.addTraceLine(`${o.message} ${Object.values(o.fields).join(" ")}`);
      }
    }
  }

  private listMachines() {
    return [...this.machines.values()].map((m) => ({
      name: m.name,
      address: `${m.name}:9000`,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      state: "running" as const,
      ageS: this.now - 900,
    }));
  }

  /** Machines come up at once or later; the request may be carried out late, its answer lost. */
  private scaleOut(
    l: SimulatedLeader,
    o: Extract<Effect, { kind: "scale out" }>,
    back: (f: () => Effect[]) => void,
  ) {
    if (this.machines.size >= this.cluster.maxMachines || this.randomBelow(4) === 0) {
      this.schedule(0.2, () =>
        back(() => l.scheduler.scaleOutAnswered(o, { kind: "no capacity" }, this.now)),
      );
      return;
    }
    const answerLost = this.faultOccurs(this.faultOdds.message);
    this.schedule(answerLost ? this.randomBelow(40) : 0.2, () => {
      const count = Math.min(o.count, this.cluster.maxMachines - this.machines.size);
      const names = Array.from({ length: Math.max(0, count) }, () => this.newMachineName(o.zone));
      for (const name of names) {
        this.schedule([1, 2, 15][this.randomBelow(3)]!, () =>
          this.bootMachine(o.type, o.zone, o.spot, name),
        );
      }
      if (!answerLost)
        back(() =>
          l.scheduler.scaleOutAnswered(o, { kind: "provisioned", machines: names }, this.now),
        );
    });
    if (answerLost)
      this.schedule(1, () =>
        back(() => l.scheduler.scaleOutAnswered(o, { kind: "failed" }, this.now)),
      );
  }

  private sendCommands(
    l: SimulatedLeader,
    o: Extract<Effect, { kind: "send" }>,
    back: (f: () => Effect[]) => void,
  ) {
    const token = l.epoch;
    const deliver = (): WorkerHeartbeat | null => {
      const m = this.machines.get(o.machine);
      if (m === undefined || !m.isReachable(this.now)) return null;
      this.expireLease(m);
      const fits = token >= m.fencingToken && o.incarnation === m.incarnation;
      m.fencingToken = Math.max(m.fencingToken, token);
      if (fits) this.execute(m, o.commands);
      executed = fits;
      return m.heartbeat();
    };
    let executed = false;
    const lost = (): void =>
      back(() =>
        l.scheduler.commandsAnswered(
          o.machine,
          o.commands,
          { kind: "lost", mayArrive: true },
          this.now,
        ),
      );
    if (this.faultOccurs(this.faultOdds.message)) {
      // Held up on the way, for seconds or minutes; the sender has given it up meanwhile.
      this.schedule(1 + this.randomBelow(90), deliver);
      this.schedule(1, lost);
      return;
    }
    const answerLost = this.faultOccurs(this.faultOdds.message);
    this.schedule(0.05, () => {
      const report = deliver();
      if (report === null || answerLost) return this.schedule(1, lost);
      const outcome = { kind: "answered" as const, executed, heartbeat: report };
      this.schedule(0.05, () =>
        back(() => l.scheduler.commandsAnswered(o.machine, o.commands, outcome, this.now)),
      );
    });
  }

  private advanceFencingToken(l: SimulatedLeader, back: (f: () => Effect[]) => void): void {
    l.isAdvancingToken = true;
    this.schedule(0.1, () => {
      if (this.leader !== l) return;
      const n = l.epoch + 1;
      const conditions = [{ key: KEY.epoch, modRevision: l.epochRevision }];
      const ok = this.store.commit(conditions, [{ op: "put", key: KEY.epoch, value: { n } }]);
      this.catchUpReplica(l);
      l.isAdvancingToken = false;
      if (ok) {
        l.epoch = n;
        l.epochRevision = l.replica.epoch.modRevision;
        this.addTraceLine(`token ${n}`);
      }
      back(() =>
        l.scheduler.fencingTokenAdvanced(ok ? { n, mark: l.epochRevision } : null, this.now),
      );
    });
  }

  private write(l: SimulatedLeader): void {
    if (l.isWriting || l.isAdvancingToken) return;
    const w = l.scheduler.nextTransaction(32, 60_000);
    if (w === null) return;
    l.isWriting = true;
    const finish = (outcome: TransactionOutcome): void => {
      l.isWriting = false;
      if (this.leader !== l) return;
      if (outcome.kind === "unknown" || outcome.kind === "conflict") this.catchUpReplica(l);
      if (this.leader !== l) return;
      this.performEffects(l, l.scheduler.transactionEnded(w, outcome, l.replica, this.now));
    };
    this.carryOutWrite(w, finish);
  }

  private carryOutWrite(w: LeaderTransaction, finish: (outcome: TransactionOutcome) => void) {
    if (this.faultOccurs(this.faultOdds.writeNext))
      return this.schedule(0.1, () => finish({ kind: "refused" }));
    if (this.faultOccurs(this.faultOdds.writeNext)) {
      this.addTraceLine("a write is held up");
      this.schedule(
        2 + this.randomBelow(11),
        () => void this.store.commit(w.preconditions, w.changes),
      );
      return this.schedule(1, () => finish({ kind: "unknown" }));
    }
    const answerLost = this.faultOccurs(this.faultOdds.writeNext);
    this.schedule(0.03, () => {
      const ok = this.store.commit(w.preconditions, w.changes);
      const { revision } = this.store;
      if (answerLost) this.schedule(1, () => finish({ kind: "unknown" }));
      else
        this.schedule(0.02, () =>
          finish(ok ? { kind: "committed", revision } : { kind: "conflict" }),
        );
    });
  }

  // ------------------------------------------------------------ time

  step(): void {
    this.now += 0.1 + this.randomBelow(3) / 10;
    const due = this.scheduledEvents.filter((m) => m.at <= this.now).sort((x, y) => x.at - y.at);
    this.scheduledEvents = this.scheduledEvents.filter((m) => m.at > this.now);
    for (const m of due) m.run();
    for (const m of this.machines.values()) {
      // What hangs past its lease does not go on with its tasks: they count as gone from then on.
      this.expireLease(m);
      if (this.now < m.hungUntil) continue;
      this.completeTasks(m);
      if (this.now >= m.nextHeartbeatAt) this.sendHeartbeat(m);
    }
    const l = this.leader;
    if (l === null) {
      if (this.now - this.leaderlessSince > 1 + this.randomBelow(4)) this.electLeader();
    } else {
      if (this.randomBelow(3) > 0) this.catchUpReplica(l);
      if (this.leader === l) {
        this.performEffects(l, l.scheduler.tick(this.now, this.now * 1000));
        if (this.leader === l) this.write(l);
      }
    }
    if (this.injectsFaults) this.injectFaults();
    for (const id of this.acceptedJobs.keys()) if (this.randomBelow(20) === 0) this.queryJob(id);
  }

  private injectFaults(): void {
    const all = [...this.machines.values()];
    const m = all[this.randomBelow(all.length)];
    const forS = [3, 12, 30, 60][this.randomBelow(4)]!;
    if (this.randomBelow(9) === 0) this.submit();
    const ids = [...this.acceptedJobs.keys()].filter((id) => !this.reportedFinalStates.has(id));
    for (const id of this.submittedJobs.keys())
      if (this.randomBelow(40) === 0) this.confirmSubmission(id);
    if (ids.length > 0 && this.randomBelow(25) === 0)
      this.cancel(ids[this.randomBelow(ids.length)]!);
    if (this.randomBelow(this.faultOdds.leader) === 0) this.endLeadership("ends");
    if (this.randomBelow(this.faultOdds.leader) === 0) this.endLeadership("refused alone", true);
    if (this.replayableHeartbeats.length > 0 && this.randomBelow(8) === 0) {
      const [r] = this.replayableHeartbeats.splice(
        this.randomBelow(this.replayableHeartbeats.length),
        1,
      );
      this.deliverHeartbeat(r!, null, 0);
    }
    if (this.randomBelow(this.faultOdds.machine) === 0)
      this.cloudUnavailableUntil = this.now + forS;
    if (m === undefined) return;
    if (this.formerLeaders.length > 0 && this.randomBelow(this.faultOdds.machine) === 0)
      m.partitionedUntil = this.now + forS;
    if (this.randomBelow(this.faultOdds.machine) === 0) m.dropsOutboundUntil = this.now + forS;
    if (this.randomBelow(this.faultOdds.machine) === 0) m.dropsInboundUntil = this.now + forS;
    if (this.randomBelow(this.faultOdds.machine) === 0) m.hungUntil = this.now + forS;
    // As many in a minute for each machine, however many there are.
    if (this.randomBelow(Math.ceil(2000 / this.machines.size)) === 0) {
      this.addTraceLine(`${m.name} dies`);
      this.machines.delete(m.name);
      this.schedule(5 + this.randomBelow(30), () => this.bootMachine(m.type, m.zone, m.spot));
    }
  }

  /** Jobs that nobody cancelled and that neither run nor are done. */
  unfinishedJobs(): string[] {
    const out: string[] = [];
    for (const [id, s] of this.acceptedJobs) {
      if (this.isCancelledByUser(id) || this.reportedFinalStates.get(id) === "done") continue;
      if (s.kind === "service" && [...this.tasksOnMachines(id)].length === s.tasks) continue;
      out.push(id);
    }
    return out;
  }
}
