/** What several tests share: bodies, settings, and a leader whose trace can be read. */

import type { Effect } from "../../src/core/effects.js";
import { dependenciesOf, formatResiduals } from "../../src/core/jobs/pipeline.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { MachineType } from "../../src/core/model/machines.js";
import type { TaskStatus, WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { Scheduler } from "../../src/core/scheduler.js";
import {
  KEY,
  StateReplica,
  type StoredPlacements,
  storedPlacementRanges,
} from "../../src/core/state/state-replica.js";
import { type LeaderTransaction, largestValueBytes } from "../../src/core/state/write-composer.js";
import { decodeSettings } from "../../src/wire/settings.js";

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

export const MACHINE_TYPES: MachineType[] = [
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

export const jobSpec = (id: string, change: Partial<JobSpec> = {}): JobSpec => ({
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

export const taskStatus = (
  job: string,
  n: number,
  attempt: number,
  state: TaskStatus["state"] = "running",
  cause: TaskStatus["cause"] = null,
): TaskStatus => ({ job, task: n, attempt, state, cause, checkpointed: false });

/**
 * A leader with a store that is always there, writing down what goes in and out as lines.
 * Direct commands are held back until a test lets the worker answer.
 */
export class TestLeader {
  readonly traceLines: string[] = [];
  readonly replica: StateReplica;
  readonly scheduler: Scheduler;
  now: number;
  private revision: number;
  /** Direct commands without an answer yet. */
  readonly unansweredRequests: Extract<Effect, { kind: "send" }>[] = [];
  /** Machines that are looked at, without an answer yet. */
  readonly pendingProbes: string[] = [];
  isStoreAvailable = true;
  /** What the state service takes, whatever the settings say. */
  storeLimits = { bytes: Number.POSITIVE_INFINITY, ops: Number.POSITIVE_INFINITY };
  /** Transactions that it refused. */
  rejectedTransactions = 0;
  private maxChanges = Number.POSITIVE_INFINITY;
  private readonly configuredMaxChanges: number;
  /** Bytes of the largest value and changes of the largest transaction that it wrote. */
  readonly largestWritten = { bytes: 0, ops: 0 };
  /** Machines that answer nothing any more. */
  readonly unreachableMachines = new Set<string>();
  private nextSequence = 100;
  /** What kind of machine each worker said it is on: it goes on saying so. */
  private readonly machineKinds = new Map<
    string,
    Pick<WorkerHeartbeat, "type" | "zone" | "spot">
  >();

  constructor(
    options: {
      records?: StateReplica;
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
    this.replica = options.records ?? new StateReplica();
    if (options.records === undefined) this.replica.reset([], 0);
    this.now = options.now ?? 1000;
    this.revision = Math.max(this.replica.revision, 1) + 1;
    const epoch = options.epoch ?? 1;
    this.replica.apply(
      [{ key: KEY.epoch, value: { n: epoch }, removed: false, modRevision: this.revision }],
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
    this.configuredMaxChanges = s.settings.cluster.txnOps;
    this.scheduler = new Scheduler(
      s.settings.cluster,
      {
        spareRatio: 0,
        maxMachines: 0,
        idleReleaseS: 1e9,
        gracePeriodS: options.graceS ?? 21,
        leaseExtensionS: options.keepS ?? options.graceS ?? 21,
        logsTasks: options.logsTasks ?? true,
        controllersPerZone: options.othersIn ?? new Map(),
      },
      epoch,
      this.revision,
      this.now,
    );
    this.scheduler.setMachineTypes(MACHINE_TYPES);
    this.performEffects(this.scheduler.takeOver(this.replica, this.now));
  }

  private put(key: string, value: unknown): void {
    this.revision++;
    this.replica.apply(
      [{ key, value, removed: value === null, modRevision: this.revision }],
      this.revision,
    );
  }

  submit(s: JobSpec, ageS = 0): void {
    const r = formatResiduals(dependenciesOf(s.id, s.after ?? []));
    this.put(KEY.activeJob(s.id), {
      j: s,
      at: (this.now - ageS) * 1000,
      r,
      v: 1,
      n: 1,
      o: 0,
      done: "",
      pl: [],
    });
    this.traceLines.push(`> submit ${s.id}`);
    this.scheduler.handleJobChange(this.replica, s.id, this.now);
    this.tick();
  }

  cancel(id: string): void {
    this.put(KEY.cancellation(id), { at: 0, told: false });
    this.traceLines.push(`> cancel ${id}`);
    this.scheduler.handleJobChange(this.replica, id, this.now);
    this.tick();
  }

  /** The copy tells of a job that changed, as following the state service does. */
  notifyJobChanged(id: string): void {
    this.scheduler.handleJobChange(this.replica, id, this.now);
    this.tick();
  }

  /** Time passes at each step: passes over all that waits are spaced. */
  tick(seconds = 0.15): void {
    this.now += seconds;
    this.performEffects(this.scheduler.tick(this.now, this.now * 1000));
    this.flushWrites();
  }

  flushWrites(): void {
    for (;;) {
      if (!this.isStoreAvailable) return;
      const ops = Math.min(this.configuredMaxChanges, this.maxChanges);
      const w = this.scheduler.nextTransaction(ops, 60_000, false, this.now);
      if (w === null) {
        if (ops >= this.configuredMaxChanges || !this.scheduler.hasPendingWrite) return;
        this.maxChanges++;
        continue;
      }
      if (w.changes.length > this.storeLimits.ops || largestValueBytes(w) > this.storeLimits.bytes)
        this.rejectWrite(w);
      else {
        this.maxChanges++;
        this.commitWrite(w);
      }
    }
  }

  /** As a controller does: fewer changes, or, of a single one, smaller values. */
  private rejectWrite(w: LeaderTransaction): void {
    this.rejectedTransactions++;
    if (w.changes.length > 1) this.maxChanges = Math.max(1, w.changes.length >> 1);
    else this.scheduler.handleRefusedValue(w, this.now);
    this.performEffects(
      this.scheduler.transactionEnded(w, { kind: "refused" }, this.replica, this.now),
    );
  }

  commitWrite(w: LeaderTransaction): void {
    this.revision++;
    this.largestWritten.ops = Math.max(this.largestWritten.ops, w.changes.length);
    for (const c of w.changes) {
      if (c.op !== "put") continue;
      this.largestWritten.bytes = Math.max(
        this.largestWritten.bytes,
        JSON.stringify(c.value).length,
      );
    }
    const events = w.changes.map((c) => ({
      key: c.key,
      value: c.op === "put" ? c.value : null,
      removed: c.op === "delete",
      modRevision: this.revision,
    }));
    const what = w.changes
      .filter((c) => !c.key.startsWith("g/"))
      .map((c) => {
        if (c.op === "delete") return `remove ${c.key}`;
        const v = c.value as { s?: string; done?: string; pl?: StoredPlacements[] };
        const at = [...storedPlacementRanges(v.pl ?? [])].map((p) => [
          p.machine,
          p.incarnation,
          p.attempt,
          p.tasks,
        ]);
        return v.s !== undefined
          ? `${c.key} ${v.s}`
          : `${c.key} done=${v.done} at=${JSON.stringify(at)}`;
      });
    if (what.length > 0) this.traceLines.push(`write ${what.join("; ")}`);
    this.replica.apply(events, this.revision);
    this.performEffects(
      this.scheduler.transactionEnded(
        w,
        { kind: "committed", revision: this.revision },
        this.replica,
        this.now,
      ),
    );
  }

  receiveHeartbeat(
    machine: string,
    tasks: TaskStatus[],
    change: Partial<WorkerHeartbeat> = {},
  ): void {
    const r = this.makeHeartbeat(machine, tasks, change);
    this.traceLines.push(`> ${machine} reports ${describeHeartbeat(r)}`);
    const { commands, outputs } = this.scheduler.handleHeartbeat(r, this.now);
    for (const c of commands)
      this.traceLines.push(`answer ${c.op} ${c.job}/${c.task}#${c.attempt}`);
    this.performEffects(outputs);
    this.tick();
  }

  /** A report, with nothing written down and no time passing. */
  receiveHeartbeatOnly(machine: string, tasks: TaskStatus[]): void {
    this.performEffects(
      this.scheduler.handleHeartbeat(this.makeHeartbeat(machine, tasks), this.now).outputs,
    );
  }

  makeHeartbeat(
    machine: string,
    tasks: TaskStatus[],
    change: Partial<WorkerHeartbeat> = {},
  ): WorkerHeartbeat {
    const zone = machine.endsWith("b") ? "b" : "a";
    const kind = this.machineKinds.get(machine) ?? { type: "small", zone, spot: false };
    const report = {
      machine,
      address: `${machine}:9000`,
      ...kind,
      incarnation: 1,
      sequence: this.nextSequence++,
      fencingToken: this.epoch,
      interruptionNoticeS: null,
      tasks,
      ...change,
    };
    this.machineKinds.set(machine, { type: report.type, zone: report.zone, spot: report.spot });
    return report;
  }

  epoch = 1;

  /** The worker answers the oldest direct request with its report; null: no answer comes. */
  answerRequest(tasks: TaskStatus[] | null, change: Partial<WorkerHeartbeat> = {}): void {
    const o = this.unansweredRequests.shift();
    if (o === undefined) throw new Error("nothing was sent");
    if (tasks === null) {
      this.traceLines.push(`> no answer from ${o.machine}`);
      this.performEffects(
        this.scheduler.commandsAnswered(
          o.machine,
          o.commands,
          { kind: "lost", mayArrive: true },
          this.now,
        ),
      );
    } else {
      const report = this.makeHeartbeat(o.machine, tasks, change);
      this.traceLines.push(`> ${o.machine} answers ${describeHeartbeat(report)}`);
      this.performEffects(
        this.scheduler.commandsAnswered(
          o.machine,
          o.commands,
          { kind: "answered", executed: true, heartbeat: report },
          this.now,
        ),
      );
    }
    this.tick();
  }

  performEffects(outputs: Effect[]): void {
    for (const o of outputs) {
      if (o.kind === "send") {
        this.unansweredRequests.push(o);
        const c = o.commands.map((x) => `${x.op} ${x.job}/${x.task}#${x.attempt}`);
        this.traceLines.push(`send ${o.machine}: ${c.length === 0 ? "fence" : c.join(", ")}`);
      } else if (o.kind === "release machines")
        this.traceLines.push(`cloud return ${o.machines.join(" ")}`);
      else if (o.kind === "probe" && this.unreachableMachines.has(o.machine))
        this.performEffects(this.scheduler.probeAnswered(o.machine, null, this.now));
      else if (o.kind === "probe") this.pendingProbes.push(o.machine);
      else if (o.kind === "advance fencing token") this.traceLines.push("raise the token");
      else if (o.kind === "step down") this.traceLines.push(`resign: ${o.why}`);
    }
  }

  /** What was written down since the last call. */
  takeTrace(): string {
    return `\n${this.traceLines.splice(0).join("\n")}\n`;
  }
}

const describeHeartbeat = (r: WorkerHeartbeat): string =>
  `s${r.incarnation} [${r.tasks
    .map((t) => `${t.job}/${t.task}#${t.attempt} ${t.cause ?? t.state}`)
    .join(", ")}]`;

/** A leader with two machines, one in each zone, fenced and recorded. */
export function leaderWithTwoMachines(): TestLeader {
  const h = new TestLeader();
  h.receiveHeartbeat("m1a", []);
  h.receiveHeartbeat("m2b", []);
  h.takeTrace();
  return h;
}

/** What becomes of a task: it fails at once, or is done after so many seconds. */
export type TaskFateOf = (job: string, machine: string) => "error" | number;

/** Workers that do as they are told, report each interval, and run tasks as a fate has it. */
export class SimulatedWorkers {
  readonly terminatedMachines: string[] = [];
  /** Tasks that were started and have not ended, on all machines. */
  readonly runningTasks = new Set<string>();
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
  peakRunningTasks = 0;
  /** Tasks that were started while they were on another machine. */
  readonly duplicateStarts: string[] = [];
  private readonly tasksByMachine = new Map<
    string,
    Map<string, { task: TaskStatus; endsAt: number }>
  >();
  private readonly lastHeartbeatAt = new Map<string, number>();

  private readonly machineTypes: Map<string, string>;

  constructor(
    public leader: TestLeader,
    types: ReadonlyMap<string, string>,
    private readonly fateOf: TaskFateOf,
  ) {
    this.machineTypes = new Map(types);
    for (const name of types.keys()) this.tasksByMachine.set(name, new Map());
  }

  /** A machine comes up. */
  addMachine(name: string, type: string): void {
    this.machineTypes.set(name, type);
    this.tasksByMachine.set(name, new Map());
  }

  /** Time passes in steps of a quarter of a second. */
  runFor(seconds: number, each: () => void = () => {}): void {
    for (let t = 0; t < seconds; t += 0.25) {
      const h = this.leader;
      for (const o of h.unansweredRequests.splice(0)) {
        const known = this.tasksByMachine.has(o.machine);
        if (known) for (const c of o.commands) this.execute(o.machine, c);
        const outcome = known
          ? { kind: "answered" as const, executed: true, heartbeat: this.heartbeatOf(o.machine) }
          : { kind: "lost" as const, mayArrive: false };
        h.performEffects(h.scheduler.commandsAnswered(o.machine, o.commands, outcome, h.now));
      }
      for (const name of h.pendingProbes.splice(0)) {
        const r = this.tasksByMachine.has(name) ? this.heartbeatOf(name) : null;
        h.performEffects(h.scheduler.probeAnswered(name, r, h.now));
      }
      for (const name of this.tasksByMachine.keys()) this.stepMachine(name);
      this.peakRunningTasks = Math.max(this.peakRunningTasks, this.runningTasks.size);
      each();
      h.tick(0.25);
      this.terminateReleasedMachines();
    }
  }

  /** A machine stops with all that is on it, and is not heard again. */
  crashMachine(name: string): void {
    for (const t of this.tasksByMachine.get(name)?.values() ?? [])
      this.runningTasks.delete(taskIdOf(t.task));
    this.tasksByMachine.delete(name);
  }

  private terminateReleasedMachines(): void {
    const h = this.leader;
    for (const line of h.traceLines.splice(0)) {
      if (!line.startsWith("cloud return ")) continue;
      const names = line.slice("cloud return ".length).split(" ");
      for (const n of names) {
        for (const t of this.tasksByMachine.get(n)?.values() ?? [])
          this.runningTasks.delete(taskIdOf(t.task));
        this.tasksByMachine.delete(n);
      }
      this.terminatedMachines.push(...names);
      h.performEffects(h.scheduler.releaseAnswered(names, true, h.now));
    }
  }

  private stepMachine(name: string): void {
    const h = this.leader;
    let changed = false;
    for (const t of this.tasksByMachine.get(name)!.values()) {
      if (t.task.state === "exited" || h.now < t.endsAt) continue;
      this.exitTask(t, "done");
      changed = true;
    }
    if (!changed && h.now - (this.lastHeartbeatAt.get(name) ?? 0) < 3) return;
    this.lastHeartbeatAt.set(name, h.now);
    const { commands, outputs } = h.scheduler.handleHeartbeat(this.heartbeatOf(name), h.now);
    for (const c of commands) this.execute(name, c);
    h.performEffects(outputs);
  }

  private exitTask(t: { task: TaskStatus }, cause: TaskStatus["cause"]): void {
    t.task = { ...t.task, state: "exited", cause };
    this.runningTasks.delete(taskIdOf(t.task));
  }

  private execute(name: string, c: WorkerCommand): void {
    const tasks = this.tasksByMachine.get(name)!;
    const key = `${c.job}/${c.task}#${c.attempt}`;
    const known = tasks.get(key);
    if (c.op === "start" && known === undefined) {
      const fate = this.fateOf(c.job, name);
      const t = { task: taskStatus(c.job, c.task, c.attempt), endsAt: 0 };
      tasks.set(key, t);
      if (this.runningTasks.has(taskIdOf(t.task))) this.duplicateStarts.push(key);
      this.runningTasks.add(taskIdOf(t.task));
      const { job, task: n, attempt } = c;
      this.starts.push({ job, task: n, attempt, machine: name, at: this.leader.now });
      if (fate === "error") this.exitTask(t, "error");
      else t.endsAt = this.leader.now + fate;
    } else if (c.op === "stop" && known !== undefined && known.task.state !== "exited") {
      this.stops.push({ job: c.job, machine: name });
      this.exitTask(known, "stopped");
    } else if (c.op === "forget") tasks.delete(key);
  }

  private heartbeatOf(name: string): WorkerHeartbeat {
    const tasks = [...this.tasksByMachine.get(name)!.values()].map((t) => t.task);
    return this.leader.makeHeartbeat(name, tasks, { type: this.machineTypes.get(name)! });
  }
}

const taskIdOf = (t: TaskStatus): string => `${t.job}/${t.task}`;
