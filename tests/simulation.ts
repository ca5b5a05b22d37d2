/**
 * The core under any order of events: a leader and its successors, former leaders that still answer, the
 * state service, workers and users, with every message kept until a seeded choice delivers, repeats or loses
 * it. After each event the protocol's rules are checked by what the workers themselves have.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { isKept } from "../src/core/leader-context.js";
import type { Command, JobSpec, Report, TaskReport } from "../src/core/model.js";
import type { Output } from "../src/core/outputs.js";
import { dependenciesOf, written } from "../src/core/pipeline.js";
import { KEY, Records, type StoredJob } from "../src/core/records.js";
import { Scheduler } from "../src/core/scheduler.js";
import type { Write } from "../src/core/writer.js";
import type { Change, Condition } from "../src/wire/state.js";
import { spec, task } from "./helpers.js";
import { type Place, placeFaults } from "./placement-checker.js";
import { LEASE_S, SimulatedMachine, type SimulatedTask } from "./simulated-machine.js";
import { type Site, siteOf } from "./simulated-sites.js";
import { SimulatedStore } from "./simulated-store.js";

const GRACE = 21;
const KEEP = 42;

/** Log lines of the leader that help to read a trace. */
const NOTED = new Set(["task lost", "return machine", "stray task", "job over"]);

export interface Broken {
  readonly rule: string;
  readonly what: string;
}

interface Leader {
  readonly scheduler: Scheduler;
  readonly records: Records;
  epoch: number;
  epochMark: number;
  /** It acts until then, and answers reports without commands for a while after. */
  until: number;
  writing: boolean;
  raising: boolean;
}

interface Mail {
  readonly at: number;
  readonly run: () => void;
}

export class World {
  now = 1000;
  readonly broken: Broken[] = [];
  readonly trace: string[] = [];
  readonly machines = new Map<string, SimulatedMachine>();
  readonly accepted = new Map<string, JobSpec>();
  private readonly submitted = new Map<string, JobSpec>();
  readonly askedToCancel = new Set<string>();
  readonly told = new Map<string, "done" | "cancelled">();
  readonly done = new Set<string>();
  starts = 0;
  terms = 0;
  /** Troubles come while this is set. */
  troubled = true;
  private readonly random;
  readonly site: Site;
  private readonly store = new SimulatedStore();
  private readonly truth = this.store.records;
  private leader: Leader | null = null;
  private readonly former: Leader[] = [];
  private vacantSince: number;
  private mail: Mail[] = [];
  private readonly kept: Report[] = [];
  private jobs = 0;
  /** The cloud takes nothing back until then. */
  private cloudDown = 0;
  private born = 0;

  /** One in so many goes wrong, of what a leader, a machine, a message and a write do. */
  private readonly odds: { leader: number; machine: number; message: number; write: number };

  /** `seenByLeader`: what the leader is told of a job, to show that the checks can fail. */
  constructor(
    seed: number,
    private readonly seenByLeader: (s: JobSpec) => JobSpec = (s) => s,
    site: Site | null = null,
  ) {
    this.random = xoroshiro128plus(seed);
    this.site = site ?? siteOf(seed, (n) => this.pick(n));
    // Days differ in what goes wrong often: everything at once hides what needs a quiet moment.
    this.odds = {
      leader: [80, 250, 1500][this.pick(3)]!,
      machine: [40, 150, 1000][this.pick(3)]!,
      message: [5, 15, 80][this.pick(3)]!,
      write: [5, 20, 100][this.pick(3)]!,
    };
    this.vacantSince = this.now;
    for (const { type, zone, spot } of this.site.machines) this.birth(type, zone, spot);
    this.store.commit([], [{ op: "put", key: KEY.epoch, value: { n: 0 } }]);
  }

  private pick(n: number): number {
    return uniformInt(this.random, 0, n - 1);
  }
  private chance(one: number): boolean {
    return this.troubled && this.pick(one) === 0;
  }
  private later(inS: number, run: () => void): void {
    this.mail.push({ at: this.now + inS, run });
  }
  private note(line: string): void {
    this.trace.push(`${this.now.toFixed(2)} ${line}`);
  }
  private breaks(rule: string, what: string): void {
    this.note(`BROKEN ${rule}: ${what}`);
    this.broken.push({ rule, what });
  }
  private birth(type: string, zone: string, spot: boolean, name = this.newName(zone)): void {
    const m = new SimulatedMachine(name, type, zone, spot, this.now);
    this.machines.set(m.name, m);
    this.note(`${m.name} is up: ${type}, ${zone}${spot ? ", spot" : ""}`);
  }
  private newName(zone: string): string {
    return `m${this.born++}${zone}`;
  }

  // ------------------------------------------------------------ state service

  private follow(l: Leader): void {
    const touched = l.records.apply(this.store.changesSince(l.records.ledger), this.store.revision);
    if (l.records.epoch.value.n > l.epoch && !l.raising) this.lose("another epoch");
    else for (const id of touched.jobs) l.scheduler.recordChanged(l.records, id, this.now);
  }

  // ------------------------------------------------------------ users

  /** A user's conditional write: carried out, late, or with its answer lost. */
  private userWrite(conditions: Condition[], change: Change, answered: () => void): void {
    if (this.chance(this.odds.write))
      this.later(2 + this.pick(10), () => this.store.commit(conditions, [change]));
    else if (this.store.commit(conditions, [change]) && !this.chance(this.odds.write)) answered();
  }

  submit(): void {
    const id = `j${this.jobs++}`;
    const team = this.pick(3) === 0 ? "maps" : "vision";
    const kinds = this.site.jobs;
    const kind = kinds[this.pick(kinds.length)]!;
    // Some need others that were accepted, in whatever state these are.
    const after = kind.kind === "service" || this.pick(3) > 0 ? [] : this.others();
    const s = spec(id, {
      ...kind,
      team,
      image: `i${this.pick(3)}`,
      ...(after.length > 0 ? { after } : {}),
    });
    const value: StoredJob = {
      j: this.seenByLeader(s),
      at: this.now * 1000,
      r: written(dependenciesOf(id, after)),
      v: 1,
      n: 1,
      o: 0,
      done: "",
      pl: [],
    };
    const none = [KEY.live(id), KEY.final(id)].map((key) => ({ key, mark: 0 }));
    this.submitted.set(id, s);
    this.userWrite(none, { op: "put", key: KEY.live(id), value }, () => this.repeat(id));
  }

  private others(): string[] {
    const all = [...this.accepted].filter(([, s]) => s.kind !== "service").map(([id]) => id);
    const recent = all.slice(-6);
    const n = recent.length === 0 ? 0 : 1 + this.pick(2);
    return [...new Set(Array.from({ length: n }, () => recent[this.pick(recent.length)]!))];
  }

  /** Its user called it off, or one that it needs, directly or through others. */
  private calledOff(id: string): boolean {
    if (this.askedToCancel.has(id)) return true;
    return (this.submitted.get(id)?.after ?? []).some((other) => this.calledOff(other));
  }

  /** The submission again, or its answer: from now on the user counts on the job. */
  private repeat(id: string): void {
    if (this.accepted.has(id) || this.truth.view(id) === null) return;
    const s = this.submitted.get(id)!;
    this.accepted.set(id, s);
    this.note(`accepted ${id} ${s.kind} of ${s.tasks}`);
  }

  /** Troubles are over: what is late has come, and services are called off. */
  calm(): void {
    this.troubled = false;
    for (let i = 0; i < 100; i++) this.step();
    for (const [id, s] of this.submitted) {
      this.repeat(id);
      if (s.kind === "service" && this.accepted.has(id)) this.cancel(id);
    }
  }

  cancel(id: string): void {
    this.askedToCancel.add(id);
    this.note(`cancel ${id}`);
    if (!this.truth.live.has(id)) return;
    const none = [KEY.final(id), KEY.cancel(id)].map((key) => ({ key, mark: 0 }));
    const value = { at: 0, told: false };
    this.userWrite(none, { op: "put", key: KEY.cancel(id), value }, () => this.ask(id));
  }

  ask(id: string): void {
    const view = this.truth.view(id);
    if (view === null) {
      this.breaks("forgotten", id);
      return;
    }
    const before = this.told.get(id);
    if (before !== undefined && view.state !== before) {
      this.breaks("went_back", `${id} was ${before}, is ${view.state}`);
    }
    const needs = this.submitted.get(id)!.after ?? [];
    if (needs.some((n) => this.told.get(n) === "cancelled") && view.state !== "cancelled") {
      this.breaks("orphaned", `${id} is ${view.state}`);
    }
    if (view.state === "done") {
      const { tasks } = this.accepted.get(id)!;
      for (let t = 0; t < tasks; t++) {
        if (!this.done.has(`${id}/${t}`)) this.breaks("not_done", `${id}/${t}`);
      }
      this.told.set(id, "done");
    } else if (view.state === "cancelled") {
      if (!this.calledOff(id)) this.breaks("went_back", `${id}: nobody cancelled it`);
      for (const [on, t] of this.present(id)) {
        this.breaks("ran_cancelled", `told, while ${t.job}/${t.task} is on ${on}`);
      }
      this.told.set(id, "cancelled");
    }
  }

  /** Tasks of the job that are on machines. */
  private *present(job: string): Generator<[string, TaskReport]> {
    for (const m of this.machines.values()) {
      for (const { report } of m.tasks.values()) {
        if (report.job === job && report.state !== "exited") yield [m.name, report];
      }
    }
  }

  // ------------------------------------------------------------ machines

  private expire(m: SimulatedMachine): void {
    if (m.expire(this.now)) this.note(`${m.name}: lease over`);
  }

  private answerOf(m: SimulatedMachine): Report {
    this.expire(m);
    return m.report();
  }

  private execute(m: SimulatedMachine, commands: readonly Command[]): void {
    for (const c of commands) {
      const key = `${c.job}/${c.task}#${c.attempt}`;
      const known = m.tasks.get(key);
      if (c.op === "forget") {
        if (known?.report.state === "exited") m.tasks.delete(key);
      } else if (c.op === "stop") {
        if (known !== undefined && known.report.state !== "exited") this.exit(known, "stopped");
      } else if (known === undefined) this.begin(m, c, key);
    }
  }

  private exit(t: SimulatedTask, cause: TaskReport["cause"]): void {
    t.report = { ...t.report, state: "exited", cause };
  }

  private begin(m: SimulatedMachine, c: Command, key: string): void {
    const job = this.submitted.get(c.job);
    if (job === undefined) return;
    const imageAt = this.now + [0, 0, 2, 9][this.pick(4)]!;
    const fetching = task(c.job, c.task, c.attempt, "fetching");
    const t: SimulatedTask = { report: fetching, endsAt: Number.POSITIVE_INFINITY, imageAt };
    m.tasks.set(key, t);
    let cpus = job.cpus;
    for (const x of m.tasks.values()) {
      if (x === t || x.report.state === "exited") continue;
      if (x.report.job === c.job && x.report.task === c.task) this.exit(t, "busy");
      cpus += this.submitted.get(x.report.job)!.cpus;
    }
    if (cpus > this.site.types.find((type) => type.name === m.type)!.cpus) this.exit(t, "no_room");
    if (t.report.state === "exited") return;
    const name = `${c.job}/${c.task}`;
    this.starts++;
    this.note(`start ${key} on ${m.name}`);
    for (const other of job.after ?? []) {
      if (this.truth.finals.get(other)?.s !== "done") this.breaks("too_early", `${key}: ${other}`);
    }
    if (this.told.has(c.job))
      this.breaks("ran_cancelled", `${key} starts: ${this.told.get(c.job)}`);
    for (const [on, other] of this.present(c.job)) {
      if (on === m.name) continue;
      if (other.task === c.task) this.breaks("ran_twice", `${key} on ${m.name} and ${on}`);
    }
    this.checkPlace(t, m, "is started", () => true);
    let used = 0;
    for (const [id, s] of this.submitted) {
      if (s.team === "vision") for (const _ of this.present(id)) used += s.cpus;
    }
    if (job.team === "vision" && used > 16 + 1e-6) this.breaks("quota", `${used} CPUs`);
    if (job.kind === "service") return;
    t.endsAt = imageAt + (this.done.has(name) ? 0 : [2, 8, 40][this.pick(3)]!);
  }

  /** A task comes to a machine, given the job's other tasks of these at this moment. */
  private checkPlace(
    t: SimulatedTask,
    m: SimulatedMachine,
    event: string,
    counts: (other: TaskReport) => boolean,
  ): void {
    const { job, task: number, attempt } = t.report;
    const others: Place[] = [];
    for (const [on, other] of this.present(job)) {
      if (other !== t.report && counts(other)) others.push(this.machines.get(on)!.place);
    }
    for (const { what } of placeFaults(this.submitted.get(job)!, m.place, others)) {
      this.breaks("wrong_place", `${job}/${number}#${attempt} ${event} ${what}`);
    }
  }

  /** The image is there: from now on the task counts as being on its machine. */
  private imagesArrive(m: SimulatedMachine): void {
    for (const t of m.tasks.values()) {
      if (t.report.state !== "fetching" || this.now < t.imageAt) continue;
      t.report = { ...t.report, state: "running" };
      this.checkPlace(t, m, "has its image", (other) => other.state !== "fetching");
    }
  }

  private runTasks(m: SimulatedMachine): void {
    this.imagesArrive(m);
    for (const t of m.tasks.values()) {
      const { report } = t;
      if (report.state === "exited" || this.now < t.endsAt) continue;
      const job = this.submitted.get(report.job);
      if (job?.kind === "gang" && !this.done.has(`${report.job}/${report.task}`)) {
        // All of its attempt are there, and complete together.
        const mates = [...this.present(report.job)].filter(([, x]) => x.attempt === report.attempt);
        if (new Set(mates.map(([, x]) => x.task)).size < job.tasks) continue;
        for (let i = 0; i < job.tasks; i++) this.done.add(`${report.job}/${i}`);
      }
      this.done.add(`${report.job}/${report.task}`);
      this.exit(t, "done");
    }
  }

  private reportNow(m: SimulatedMachine): void {
    m.nextReport = this.now + 2.3 + this.pick(15) / 10;
    const sent = this.now;
    const r = m.report();
    if (this.chance(4)) this.kept.push(r);
    if (this.now < m.mute) return;
    this.later(this.chance(this.odds.message) ? 1 + this.pick(40) : 0.02, () =>
      this.arrives(r, m, sent),
    );
  }

  private arrives(r: Report, m: SimulatedMachine | null, sent: number): void {
    const answer = this.answerTo(r);
    if (answer === null || m === null) return;
    this.later(0.02, () => {
      if (this.now - sent > 4 || this.now < m.deaf || this.now < m.hung) return;
      this.expire(m);
      if (answer.token < m.token || r.session !== m.session) return;
      m.token = answer.token;
      m.leaseUntil = Math.max(m.leaseUntil, sent + LEASE_S);
      this.execute(m, answer.commands);
    });
  }

  /** As the nodes do: the leader, a former one that cannot know better, or anyone between two. */
  private answerTo(r: Report): { token: number; commands: readonly Command[] } | null {
    const l = this.leader;
    const stale = this.former.find((f) => {
      const kept = r.tasks.some((t) => {
        const job = t.state === "exited" ? undefined : f.records.live.get(t.job);
        return job !== undefined && isKept(job.value.j.kind);
      });
      return r.token <= f.epoch && this.now < f.until + (kept ? KEEP : GRACE);
    });
    const apart = this.now < (this.machines.get(r.machine)?.apart ?? 0);
    if (stale !== undefined && (apart || l === null || this.pick(2) === 0)) {
      stale.scheduler.renewedWithout(r, this.now);
      return { token: stale.epoch, commands: [] };
    }
    if (apart) return null;
    if (l !== null) {
      const { commands, outputs } = l.scheduler.report(r, this.now);
      const token = l.epoch;
      this.perform(l, outputs);
      return { token, commands };
    }
    const epoch = this.truth.epoch.value.n;
    if (epoch > 0 && r.token <= epoch && this.now - this.vacantSince < LEASE_S / 3) {
      return { token: epoch, commands: [] };
    }
    return null;
  }

  // ------------------------------------------------------------ leaders

  private succeed(): void {
    const epoch = this.truth.epoch.value.n + 1;
    const mark = this.truth.epoch.mark;
    this.store.commit(
      [{ key: KEY.epoch, mark }],
      [{ op: "put", key: KEY.epoch, value: { n: epoch } }],
    );
    const records = new Records();
    records.reset(this.store.items(), this.store.revision);
    const options = {
      spare: 0,
      maxMachines: this.site.maxMachines,
      idleReturnS: 1e9,
      graceS: GRACE,
      keepS: KEEP,
      logsTasks: true,
      othersIn: new Map<string, number>(),
    };
    const epochMark = records.epoch.mark;
    const scheduler = new Scheduler(this.site.settings, options, epoch, epochMark, this.now);
    scheduler.setTypes(this.site.types);
    const until = Number.POSITIVE_INFINITY;
    const l = { scheduler, records, epoch, epochMark, until, writing: false, raising: false };
    this.leader = l;
    this.terms++;
    this.note(`term ${epoch}`);
    this.perform(l, scheduler.load(records, this.now));
  }

  /** It ends, or is refused by the state service alone and goes on answering. */
  private lose(why: string, answersOn = false): void {
    const l = this.leader;
    if (l === null) return;
    this.note(`term over: ${why}`);
    l.until = this.now;
    if (answersOn) this.former.push(l);
    this.leader = null;
    this.vacantSince = this.now;
  }

  private perform(l: Leader, outputs: readonly Output[]): void {
    /** Results for one that leads no more are dropped. */
    const back = (f: () => Output[]): void => {
      if (this.leader === l) this.perform(l, f());
    };
    for (const o of outputs) {
      if (o.kind === "send") this.send(l, o, back);
      else if (o.kind === "show") {
        this.later(0.05, () => {
          const m = this.machines.get(o.machine);
          const report = m?.reaches(this.now) ? this.answerOf(m) : null;
          back(() => l.scheduler.shown(o.machine, report, this.now));
        });
      } else if (o.kind === "return") {
        const ok = this.now >= this.cloudDown && !this.chance(4);
        this.later(0.3, () => {
          for (const name of ok ? o.machines : []) {
            const m = this.machines.get(name);
            if (m === undefined) continue;
            this.machines.delete(name);
            this.note(`${name} is returned`);
            this.later(1, () => this.birth(m.type, m.zone, m.spot));
          }
          back(() => l.scheduler.returned(o.machines, ok, this.now));
        });
      } else if (o.kind === "rent") {
        this.rent(l, o, back);
      } else if (o.kind === "list") {
        this.later(0.2, () => back(() => l.scheduler.list(this.list(), this.now)));
      } else if (o.kind === "raise token") this.raise(l, back);
      else if (o.kind === "resign") this.lose(o.why);
      else if (o.kind === "log" && NOTED.has(o.message)) {
        this.note(`${o.message} ${Object.values(o.fields).join(" ")}`);
      }
    }
  }

  private list() {
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
  private rent(l: Leader, o: Extract<Output, { kind: "rent" }>, back: (f: () => Output[]) => void) {
    if (this.machines.size >= this.site.maxMachines || this.pick(4) === 0) {
      this.later(0.2, () => back(() => l.scheduler.rented(o, "no capacity", this.now)));
      return;
    }
    const answerLost = this.chance(this.odds.message);
    this.later(answerLost ? this.pick(40) : 0.2, () => {
      const count = Math.min(o.count, this.site.maxMachines - this.machines.size);
      const names = Array.from({ length: Math.max(0, count) }, () => this.newName(o.zone));
      for (const name of names) {
        this.later([1, 2, 15][this.pick(3)]!, () => this.birth(o.type, o.zone, o.spot, name));
      }
      if (!answerLost) back(() => l.scheduler.rented(o, { machines: names }, this.now));
    });
    if (answerLost) this.later(1, () => back(() => l.scheduler.rented(o, "trouble", this.now)));
  }

  private send(l: Leader, o: Extract<Output, { kind: "send" }>, back: (f: () => Output[]) => void) {
    const token = l.epoch;
    const deliver = (): Report | null => {
      const m = this.machines.get(o.machine);
      if (m === undefined || !m.reaches(this.now)) return null;
      this.expire(m);
      const fits = token >= m.token && o.session === m.session;
      m.token = Math.max(m.token, token);
      if (fits) this.execute(m, o.commands);
      executed = fits;
      return m.report();
    };
    let executed = false;
    const lost = (): void =>
      back(() => l.scheduler.sent(o.machine, o.commands, { kind: "lost", sent: true }, this.now));
    if (this.chance(this.odds.message)) {
      // Held up on the way, for seconds or minutes; the sender has given it up meanwhile.
      this.later(1 + this.pick(90), deliver);
      this.later(1, lost);
      return;
    }
    const answerLost = this.chance(this.odds.message);
    this.later(0.05, () => {
      const report = deliver();
      if (report === null || answerLost) return this.later(1, lost);
      const outcome = { kind: "answer" as const, executed, report };
      this.later(0.05, () =>
        back(() => l.scheduler.sent(o.machine, o.commands, outcome, this.now)),
      );
    });
  }

  private raise(l: Leader, back: (f: () => Output[]) => void): void {
    l.raising = true;
    this.later(0.1, () => {
      if (this.leader !== l) return;
      const n = l.epoch + 1;
      const conditions = [{ key: KEY.epoch, mark: l.epochMark }];
      const ok = this.store.commit(conditions, [{ op: "put", key: KEY.epoch, value: { n } }]);
      this.follow(l);
      l.raising = false;
      if (ok) {
        l.epoch = n;
        l.epochMark = l.records.epoch.mark;
        this.note(`token ${n}`);
      }
      back(() => l.scheduler.tokenRaised(ok ? { n, mark: l.epochMark } : null, this.now));
    });
  }

  private write(l: Leader): void {
    if (l.writing || l.raising) return;
    const w = l.scheduler.nextWrite(32, 60_000);
    if (w === null) return;
    l.writing = true;
    const finish = (outcome: "ok" | "unknown" | "conflict" | "refused", revision: number): void => {
      l.writing = false;
      if (this.leader !== l) return;
      if (outcome === "unknown" || outcome === "conflict") this.follow(l);
      if (this.leader !== l) return;
      this.perform(l, l.scheduler.written(w, outcome, revision, l.records, this.now));
    };
    this.fate(w, finish);
  }

  private fate(
    w: Write,
    finish: (o: "ok" | "unknown" | "conflict" | "refused", r: number) => void,
  ) {
    if (this.chance(this.odds.write)) return this.later(0.1, () => finish("refused", 0));
    if (this.chance(this.odds.write)) {
      this.note("a write is held up");
      this.later(2 + this.pick(11), () => void this.store.commit(w.conditions, w.changes));
      return this.later(1, () => finish("unknown", 0));
    }
    const answerLost = this.chance(this.odds.write);
    this.later(0.03, () => {
      const ok = this.store.commit(w.conditions, w.changes);
      const { revision } = this.store;
      if (answerLost) this.later(1, () => finish("unknown", 0));
      else this.later(0.02, () => finish(ok ? "ok" : "conflict", revision));
    });
  }

  // ------------------------------------------------------------ time

  step(): void {
    this.now += 0.1 + this.pick(3) / 10;
    const due = this.mail.filter((m) => m.at <= this.now).sort((x, y) => x.at - y.at);
    this.mail = this.mail.filter((m) => m.at > this.now);
    for (const m of due) m.run();
    for (const m of this.machines.values()) {
      // What hangs past its lease does not go on with its tasks: they count as gone from then on.
      this.expire(m);
      if (this.now < m.hung) continue;
      this.runTasks(m);
      if (this.now >= m.nextReport) this.reportNow(m);
    }
    const l = this.leader;
    if (l === null) {
      if (this.now - this.vacantSince > 1 + this.pick(4)) this.succeed();
    } else {
      if (this.pick(3) > 0) this.follow(l);
      if (this.leader === l) {
        this.perform(l, l.scheduler.tick(this.now, this.now * 1000));
        if (this.leader === l) this.write(l);
      }
    }
    if (this.troubled) this.trouble();
    for (const id of this.accepted.keys()) if (this.pick(20) === 0) this.ask(id);
  }

  private trouble(): void {
    const all = [...this.machines.values()];
    const m = all[this.pick(all.length)];
    const forS = [3, 12, 30, 60][this.pick(4)]!;
    if (this.pick(9) === 0) this.submit();
    const ids = [...this.accepted.keys()].filter((id) => !this.told.has(id));
    for (const id of this.submitted.keys()) if (this.pick(40) === 0) this.repeat(id);
    if (ids.length > 0 && this.pick(25) === 0) this.cancel(ids[this.pick(ids.length)]!);
    if (this.pick(this.odds.leader) === 0) this.lose("ends");
    if (this.pick(this.odds.leader) === 0) this.lose("refused alone", true);
    if (this.kept.length > 0 && this.pick(8) === 0) {
      const [r] = this.kept.splice(this.pick(this.kept.length), 1);
      this.arrives(r!, null, 0);
    }
    if (this.pick(this.odds.machine) === 0) this.cloudDown = this.now + forS;
    if (m === undefined) return;
    if (this.former.length > 0 && this.pick(this.odds.machine) === 0) m.apart = this.now + forS;
    if (this.pick(this.odds.machine) === 0) m.mute = this.now + forS;
    if (this.pick(this.odds.machine) === 0) m.deaf = this.now + forS;
    if (this.pick(this.odds.machine) === 0) m.hung = this.now + forS;
    // As many in a minute for each machine, however many there are.
    if (this.pick(Math.ceil(2000 / this.machines.size)) === 0) {
      this.note(`${m.name} dies`);
      this.machines.delete(m.name);
      this.later(5 + this.pick(30), () => this.birth(m.type, m.zone, m.spot));
    }
  }

  /** Jobs that nobody cancelled and that neither run nor are done. */
  waiting(): string[] {
    const out: string[] = [];
    for (const [id, s] of this.accepted) {
      if (this.calledOff(id) || this.told.get(id) === "done") continue;
      if (s.kind === "service" && [...this.present(id)].length === s.tasks) continue;
      out.push(id);
    }
    return out;
  }
}
