/** What several tests share: bodies, settings, and a leader whose trace can be read. */

import type { Command, JobSpec, MachineType, Report, TaskReport } from "../src/core/model.js";
import type { Output } from "../src/core/outputs.js";
import { dependenciesOf, written } from "../src/core/pipeline.js";
import { KEY, placedIn, Records, type StoredPlacements } from "../src/core/records.js";
import { Scheduler } from "../src/core/scheduler.js";
import { largestValue, type Write } from "../src/core/writer.js";
import { decodeSettings } from "../src/wire/settings.js";

export const jobBody = (change: Record<string, unknown> = {}): Record<string, unknown> => ({
  nameId: "run-1",
  herd: "train",
  outfit: "vision",
  gait: "array",
  rank: "normal",
  strides: 4,
  cpus: 1.0,
  cards: 0.0,
  memoryGb: 2.0,
  tack: "img-1",
  pullGb: 1.0,
  breeds: null,
  paddock: null,
  together: false,
  apart: false,
  loaners: true,
  rideS: 10.0,
  restS: 0.0,
  unsaddleS: 0.0,
  dueS: null,
  ...change,
});

export const settingsText = (change: Record<string, unknown> = {}): string =>
  JSON.stringify({
    member: "n0",
    location: "a",
    serve_on: "127.0.0.1:1",
    mesh_addr: "127.0.0.1:2",
    siblings: [],
    services: { cloud: "127.0.0.1:3", state: "127.0.0.1:4" },
    unknown_field: 1,
    settings: {
      nodes: 3,
      zones: ["a", "b"],
      teams: [
        { name: "vision", cpus: 4, cpus_max: 16, gpus: 0, gpus_max: 0 },
        { name: "maps", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      ],
      objectives: [{ kind: "wait", class: "web", within_s: 1, share: 0.9 }],
      workers: { report_s: 3, lease_s: 21, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 46 },
      state: { rps: 150, write_rps: 40, value_kb: 8, txn_ops: 32 },
      cloud: { rps: 5, list_lag_s: 3 },
      resources: { cpu_share: 0.25, mem_mb: 242, sockets: 1500 },
      clock_off_ms: 25,
    },
    ...change,
  });

export const TYPES: MachineType[] = [
  {
    name: "small",
    cpus: 4,
    gpus: 0,
    memoryGb: 32,
    cacheGb: 40,
    fetchGbPerS: 0.5,
    price: 0.2,
    spotPrice: 0.1,
    bootS: 15,
    zones: ["a", "b"],
  },
  {
    name: "big",
    cpus: 8,
    gpus: 4,
    memoryGb: 64,
    cacheGb: 40,
    fetchGbPerS: 0.5,
    price: 9,
    spotPrice: 3,
    bootS: 60,
    zones: ["a", "b"],
  },
];

export const spec = (id: string, change: Partial<JobSpec> = {}): JobSpec => ({
  id,
  class: "batch",
  team: "vision",
  kind: "array",
  priority: "normal",
  tasks: 1,
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  image: "img",
  imageGb: 1,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...change,
});

export const task = (
  job: string,
  n: number,
  attempt: number,
  state: TaskReport["state"] = "running",
  cause: TaskReport["cause"] = null,
): TaskReport => ({ job, task: n, attempt, state, cause, saved: false });

/**
 * A leader with a store that is always there, writing down what goes in and out as lines.
 * Direct commands are held back until a test lets the worker answer.
 */
export class TestLeader {
  readonly lines: string[] = [];
  readonly records: Records;
  readonly scheduler: Scheduler;
  now: number;
  private revision: number;
  /** Direct commands without an answer yet. */
  readonly pending: Extract<Output, { kind: "send" }>[] = [];
  /** Machines that are looked at, without an answer yet. */
  readonly looked: string[] = [];
  storing = true;
  /** What the state service takes, whatever the settings say. */
  takes = { bytes: Number.POSITIVE_INFINITY, ops: Number.POSITIVE_INFINITY };
  /** Transactions that it refused. */
  refusals = 0;
  private opsLimit = Number.POSITIVE_INFINITY;
  private readonly txnOps: number;
  /** Bytes of the largest value and changes of the largest transaction that it wrote. */
  readonly most = { bytes: 0, ops: 0 };
  /** Machines that answer nothing any more. */
  readonly dead = new Set<string>();
  private seq = 100;
  /** What kind of machine each worker said it is on: it goes on saying so. */
  private readonly kinds = new Map<string, Pick<Report, "type" | "zone" | "spot">>();

  constructor(
    options: {
      records?: Records;
      epoch?: number;
      now?: number;
      graceS?: number;
      keepS?: number;
      othersIn?: Map<string, number>;
      /** Limits of the state service, as the settings give them. */
      state?: Record<string, unknown>;
      /** Part of a core that the node has. */
      cpuShare?: number;
      /** Lines on single tasks are written; they are unless said. */
      logsTasks?: boolean;
    } = {},
  ) {
    this.records = options.records ?? new Records();
    if (options.records === undefined) this.records.reset([], 0);
    this.now = options.now ?? 1000;
    this.revision = Math.max(this.records.ledger, 1) + 1;
    const epoch = options.epoch ?? 1;
    this.records.apply(
      [{ key: KEY.epoch, value: { n: epoch }, removed: false, mark: this.revision }],
      this.revision,
    );
    const { settings } = JSON.parse(settingsText()) as {
      settings: { state: object; resources: { cpu_share: number } };
    };
    const state = { ...settings.state, ...options.state };
    const share = options.cpuShare ?? settings.resources.cpu_share;
    const resources = { ...settings.resources, cpu_share: share };
    const s = decodeSettings(settingsText({ settings: { ...settings, state, resources } }));
    if (!("settings" in s)) throw new Error("test settings");
    this.txnOps = s.settings.cluster.txnOps;
    this.scheduler = new Scheduler(
      s.settings.cluster,
      {
        spare: 0,
        maxMachines: 0,
        idleReturnS: 1e9,
        graceS: options.graceS ?? 21,
        keepS: options.keepS ?? options.graceS ?? 21,
        logsTasks: options.logsTasks ?? true,
        othersIn: options.othersIn ?? new Map(),
      },
      epoch,
      this.revision,
      this.now,
    );
    this.scheduler.setTypes(TYPES);
    this.take(this.scheduler.load(this.records, this.now));
  }

  private put(key: string, value: unknown): void {
    this.revision++;
    this.records.apply(
      [{ key, value, removed: value === null, mark: this.revision }],
      this.revision,
    );
  }

  submit(s: JobSpec, ageS = 0): void {
    const r = written(dependenciesOf(s.id, s.after ?? []));
    this.put(KEY.live(s.id), {
      j: s,
      at: (this.now - ageS) * 1000,
      r,
      v: 1,
      n: 1,
      o: 0,
      done: "",
      pl: [],
    });
    this.lines.push(`> submit ${s.id}`);
    this.scheduler.recordChanged(this.records, s.id, this.now);
    this.tick();
  }

  cancel(id: string): void {
    this.put(KEY.cancel(id), { at: 0, told: false });
    this.lines.push(`> cancel ${id}`);
    this.scheduler.recordChanged(this.records, id, this.now);
    this.tick();
  }

  /** The copy tells of a job that changed, as following the state service does. */
  follow(id: string): void {
    this.scheduler.recordChanged(this.records, id, this.now);
    this.tick();
  }

  /** Time passes at each step: passes over all that waits are spaced. */
  tick(seconds = 0.15): void {
    this.now += seconds;
    this.take(this.scheduler.tick(this.now, this.now * 1000));
    this.store();
  }

  store(): void {
    for (;;) {
      if (!this.storing) return;
      const ops = Math.min(this.txnOps, this.opsLimit);
      const w = this.scheduler.nextWrite(ops, 60_000, false, this.now);
      if (w === null) {
        if (ops >= this.txnOps || !this.scheduler.hasUrgentWrite) return;
        this.opsLimit++;
        continue;
      }
      if (w.changes.length > this.takes.ops || largestValue(w) > this.takes.bytes) this.refuse(w);
      else {
        this.opsLimit++;
        this.commit(w);
      }
    }
  }

  /** As a controller does: fewer changes, or, of a single one, smaller values. */
  private refuse(w: Write): void {
    this.refusals++;
    if (w.changes.length > 1) this.opsLimit = Math.max(1, w.changes.length >> 1);
    else this.scheduler.refusedAlone(w, this.now);
    this.take(this.scheduler.written(w, "refused", 0, this.records, this.now));
  }

  commit(w: Write): void {
    this.revision++;
    this.most.ops = Math.max(this.most.ops, w.changes.length);
    for (const c of w.changes) {
      if (c.op !== "put") continue;
      this.most.bytes = Math.max(this.most.bytes, JSON.stringify(c.value).length);
    }
    const events = w.changes.map((c) => ({
      key: c.key,
      value: c.op === "put" ? c.value : null,
      removed: c.op === "delete",
      mark: this.revision,
    }));
    const what = w.changes
      .filter((c) => !c.key.startsWith("g/"))
      .map((c) => {
        if (c.op === "delete") return `remove ${c.key}`;
        const v = c.value as { s?: string; done?: string; pl?: StoredPlacements[] };
        const at = [...placedIn(v.pl ?? [])].map((p) => [p.machine, p.session, p.attempt, p.tasks]);
        return v.s !== undefined
          ? `${c.key} ${v.s}`
          : `${c.key} done=${v.done} at=${JSON.stringify(at)}`;
      });
    if (what.length > 0) this.lines.push(`write ${what.join("; ")}`);
    this.records.apply(events, this.revision);
    this.take(this.scheduler.written(w, "ok", this.revision, this.records, this.now));
  }

  report(machine: string, tasks: TaskReport[], change: Partial<Report> = {}): void {
    const r = this.makeReport(machine, tasks, change);
    this.lines.push(`> ${machine} reports ${describe(r)}`);
    const { commands, outputs } = this.scheduler.report(r, this.now);
    for (const c of commands) this.lines.push(`answer ${c.op} ${c.job}/${c.task}#${c.attempt}`);
    this.take(outputs);
    this.tick();
  }

  /** A report, with nothing written down and no time passing. */
  quietReport(machine: string, tasks: TaskReport[]): void {
    this.take(this.scheduler.report(this.makeReport(machine, tasks), this.now).outputs);
  }

  makeReport(machine: string, tasks: TaskReport[], change: Partial<Report> = {}): Report {
    const zone = machine.endsWith("b") ? "b" : "a";
    const kind = this.kinds.get(machine) ?? { type: "small", zone, spot: false };
    const report = {
      machine,
      address: `${machine}:9000`,
      ...kind,
      session: 1,
      seq: this.seq++,
      token: this.epoch,
      noticeS: null,
      tasks,
      ...change,
    };
    this.kinds.set(machine, { type: report.type, zone: report.zone, spot: report.spot });
    return report;
  }

  epoch = 1;

  /** The worker answers the oldest direct request with its report; null: no answer comes. */
  answer(tasks: TaskReport[] | null, change: Partial<Report> = {}): void {
    const o = this.pending.shift();
    if (o === undefined) throw new Error("nothing was sent");
    if (tasks === null) {
      this.lines.push(`> no answer from ${o.machine}`);
      this.take(this.scheduler.sent(o.machine, o.commands, { kind: "lost", sent: true }, this.now));
    } else {
      const report = this.makeReport(o.machine, tasks, change);
      this.lines.push(`> ${o.machine} answers ${describe(report)}`);
      this.take(
        this.scheduler.sent(
          o.machine,
          o.commands,
          { kind: "answer", executed: true, report },
          this.now,
        ),
      );
    }
    this.tick();
  }

  take(outputs: Output[]): void {
    for (const o of outputs) {
      if (o.kind === "send") {
        this.pending.push(o);
        const c = o.commands.map((x) => `${x.op} ${x.job}/${x.task}#${x.attempt}`);
        this.lines.push(`send ${o.machine}: ${c.length === 0 ? "fence" : c.join(", ")}`);
      } else if (o.kind === "return") this.lines.push(`cloud return ${o.machines.join(" ")}`);
      else if (o.kind === "show" && this.dead.has(o.machine))
        this.take(this.scheduler.shown(o.machine, null, this.now));
      else if (o.kind === "show") this.looked.push(o.machine);
      else if (o.kind === "raise token") this.lines.push("raise the token");
      else if (o.kind === "resign") this.lines.push(`resign: ${o.why}`);
    }
  }

  /** What was written down since the last call. */
  trace(): string {
    return `\n${this.lines.splice(0).join("\n")}\n`;
  }
}

const describe = (r: Report): string =>
  `s${r.session} [${r.tasks
    .map((t) => `${t.job}/${t.task}#${t.attempt} ${t.cause ?? t.state}`)
    .join(", ")}]`;

/** A leader with two machines, one in each zone, fenced and recorded. */
export function ready(): TestLeader {
  const h = new TestLeader();
  h.report("m1a", []);
  h.report("m2b", []);
  h.trace();
  return h;
}

/** What becomes of a task: it fails at once, or is done after so many seconds. */
export type Fate = (job: string, machine: string) => "error" | number;

/** Workers that do as they are told, report each interval, and run tasks as a fate has it. */
export class Workers {
  readonly returned: string[] = [];
  /** Tasks that were started and have not ended, on all machines. */
  readonly running = new Set<string>();
  readonly starts: {
    readonly job: string;
    readonly task: number;
    readonly attempt: number;
    readonly machine: string;
    readonly at: number;
  }[] = [];
  /** Tasks that were stopped by command, in order. */
  readonly stops: { readonly job: string; readonly machine: string }[] = [];
  /** Most tasks that were on machines at one time. */
  peak = 0;
  /** Tasks that were started while they were on another machine. */
  readonly twice: string[] = [];
  private readonly on = new Map<string, Map<string, { task: TaskReport; endsAt: number }>>();
  private readonly reportedAt = new Map<string, number>();

  private readonly types: Map<string, string>;

  constructor(
    public leader: TestLeader,
    types: ReadonlyMap<string, string>,
    private readonly fate: Fate,
  ) {
    this.types = new Map(types);
    for (const name of types.keys()) this.on.set(name, new Map());
  }

  /** A machine comes up. */
  add(name: string, type: string): void {
    this.types.set(name, type);
    this.on.set(name, new Map());
  }

  /** Time passes in steps of a quarter of a second. */
  run(seconds: number, each: () => void = () => {}): void {
    for (let t = 0; t < seconds; t += 0.25) {
      const h = this.leader;
      for (const o of h.pending.splice(0)) {
        const known = this.on.has(o.machine);
        if (known) for (const c of o.commands) this.execute(o.machine, c);
        const outcome = known
          ? { kind: "answer" as const, executed: true, report: this.report(o.machine) }
          : { kind: "lost" as const, sent: false };
        h.take(h.scheduler.sent(o.machine, o.commands, outcome, h.now));
      }
      for (const name of h.looked.splice(0)) {
        const r = this.on.has(name) ? this.report(name) : null;
        h.take(h.scheduler.shown(name, r, h.now));
      }
      for (const name of this.on.keys()) this.turn(name);
      this.peak = Math.max(this.peak, this.running.size);
      each();
      h.tick(0.25);
      this.takeReturns();
    }
  }

  /** A machine stops with all that is on it, and is not heard again. */
  lose(name: string): void {
    for (const t of this.on.get(name)?.values() ?? []) this.running.delete(idOf(t.task));
    this.on.delete(name);
  }

  private takeReturns(): void {
    const h = this.leader;
    for (const line of h.lines.splice(0)) {
      if (!line.startsWith("cloud return ")) continue;
      const names = line.slice("cloud return ".length).split(" ");
      for (const n of names) {
        for (const t of this.on.get(n)?.values() ?? []) this.running.delete(idOf(t.task));
        this.on.delete(n);
      }
      this.returned.push(...names);
      h.take(h.scheduler.returned(names, true, h.now));
    }
  }

  private turn(name: string): void {
    const h = this.leader;
    let changed = false;
    for (const t of this.on.get(name)!.values()) {
      if (t.task.state === "exited" || h.now < t.endsAt) continue;
      this.end(t, "done");
      changed = true;
    }
    if (!changed && h.now - (this.reportedAt.get(name) ?? 0) < 3) return;
    this.reportedAt.set(name, h.now);
    const { commands, outputs } = h.scheduler.report(this.report(name), h.now);
    for (const c of commands) this.execute(name, c);
    h.take(outputs);
  }

  private end(t: { task: TaskReport }, cause: TaskReport["cause"]): void {
    t.task = { ...t.task, state: "exited", cause };
    this.running.delete(idOf(t.task));
  }

  private execute(name: string, c: Command): void {
    const tasks = this.on.get(name)!;
    const key = `${c.job}/${c.task}#${c.attempt}`;
    const known = tasks.get(key);
    if (c.op === "start" && known === undefined) {
      const fate = this.fate(c.job, name);
      const t = { task: task(c.job, c.task, c.attempt), endsAt: 0 };
      tasks.set(key, t);
      if (this.running.has(idOf(t.task))) this.twice.push(key);
      this.running.add(idOf(t.task));
      const { job, task: n, attempt } = c;
      this.starts.push({ job, task: n, attempt, machine: name, at: this.leader.now });
      if (fate === "error") this.end(t, "error");
      else t.endsAt = this.leader.now + fate;
    } else if (c.op === "stop" && known !== undefined && known.task.state !== "exited") {
      this.stops.push({ job: c.job, machine: name });
      this.end(known, "stopped");
    } else if (c.op === "forget") tasks.delete(key);
  }

  private report(name: string): Report {
    const tasks = [...this.on.get(name)!.values()].map((t) => t.task);
    return this.leader.makeReport(name, tasks, { type: this.types.get(name)! });
  }
}

const idOf = (t: TaskReport): string => `${t.job}/${t.task}`;
