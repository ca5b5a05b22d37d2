/**
 * Three controllers as processes, under five times the work that the machines can do, while the leader is killed, a node
 * stands still and the state service is out. Users submit through any node and come back as they are told. What was
 * decided, served and answered is measured here, from what workers, users and the state service saw.
 */
import assert from "node:assert/strict";
import { build, type Histogram } from "hdr-histogram-js";
import { decodeLedger, decodeWindow } from "../src/admission/index.js";
import { START_BOUND_S } from "../src/core/model.js";
import { decodeJob } from "../src/wire/jobs.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { compareDecisionLogs } from "./support/decision-logs.js";
import { jobBody } from "./support/helpers.js";
import { sleepSeconds } from "./support/in-process-cluster.js";
import { MultiProcessCluster, waitUntil } from "./support/multi-process-cluster.js";

const NODES = 3;
const WORKERS = 8;
const CPUS_A_WORKER = 4;
const CPUS = WORKERS * CPUS_A_WORKER;
const TASK_S = 2;
/** Users give up after so long, as the protocol says. */
const PATIENCE_S = 60;
const OPERATOR = "[admission]\nenabled = true\n";

/** A class that comes with a multiple of the work that all machines can do. */
export interface Load {
  readonly team: string;
  readonly class: string;
  readonly tasks: number;
  readonly kind: "array" | "ensemble";
  /** Its arrivals, as a ratio to the capacity. */
  readonly demand: number;
  /** CPUs that its team is guaranteed; no other class of this load is in the team. */
  readonly guaranteed: number;
}

/** Five times the capacity. */
export const LOADS: readonly Load[] = [
  { team: "bookings", class: "booking", tasks: 1, kind: "array", demand: 0.75, guaranteed: 10 },
  { team: "settlement", class: "night", tasks: 8, kind: "array", demand: 1, guaranteed: 8 },
  { team: "vision", class: "photos", tasks: 16, kind: "ensemble", demand: 0.75, guaranteed: 0 },
  { team: "fraud", class: "scoring", tasks: 1, kind: "array", demand: 2.5, guaranteed: 0 },
];

interface ClassFigures {
  submitted: number;
  accepted: number;
  givenUp: number;
  longestAdmissionS: number;
  readonly tasksDone: number[];
}

export interface OverloadReport {
  readonly seconds: number;
  /** Revisions with decisions, in which the logs of the nodes that read them are the same line for line. */
  readonly identicalDecisions: number;
  readonly decisions: { admitted: number; rejected: number };
  readonly windows: number;
  readonly writesPerSecond: number;
  readonly answerMs: { p50: number; p99: number; max: number };
  readonly classes: Record<
    string,
    ClassFigures & {
      /** CPUs used on average, and in the worst stretch of ten seconds without a trouble, if there was any. */
      readonly cpus: number;
      readonly leastCpus: number | null;
      readonly guaranteed: number;
    }
  >;
  readonly faults: readonly string[];
}

const STRETCH_S = 10;
/** After a trouble ends, stretches count again from then on. */
const RECOVERY_S = 10;

class Overload {
  private readonly classes = new Map<string, ClassFigures>();
  private readonly logs: Record<string, unknown>[][] = [[], [], []];
  private readonly answers: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private readonly troubles: { from: number; to: number }[] = [];
  private readonly accepted = new Map<string, Load>();
  private readonly faults: string[] = [];
  private began = 0;
  private writes = 0;

  private constructor(
    private readonly site: MultiProcessCluster,
    private readonly seconds: number,
  ) {
    for (const load of LOADS) {
      const stretches = Math.ceil(seconds / STRETCH_S);
      this.classes.set(load.class, {
        submitted: 0,
        accepted: 0,
        givenUp: 0,
        longestAdmissionS: 0,
        tasksDone: new Array(stretches).fill(0),
      });
    }
  }

  static async run(seconds: number): Promise<OverloadReport> {
    let overload: Overload | null = null;
    const site = await MultiProcessCluster.open({
      taskMs: () => TASK_S * 1000,
      operatorIni: OPERATOR,
      workers: WORKERS,
      teams: LOADS.map((l) => ({ name: l.team, cpus: l.guaranteed })),
      onLogLine: (node, line) => overload?.noteLine(node, line),
      onTaskExit: (task, cause) => {
        if (cause === "done") overload?.noteDone(task);
      },
    });
    try {
      overload = new Overload(site, seconds);
      return await overload.play();
    } finally {
      site.close();
    }
  }

  private now(): number {
    return performance.now() / 1000 - this.began;
  }

  private noteLine(node: number, line: Record<string, unknown>): void {
    if (line.msg !== "admission decision") return;
    const { level, time, msg, member, ...decision } = line;
    this.logs[node]!.push(decision);
  }

  private noteDone(task: string): void {
    const load = this.accepted.get(task.slice(0, task.lastIndexOf("/")));
    const figures = load === undefined ? undefined : this.classes.get(load.class);
    const stretch = Math.floor(this.now() / STRETCH_S);
    if (figures !== undefined && stretch < figures.tasksDone.length) figures.tasksDone[stretch]!++;
  }

  private async play(): Promise<OverloadReport> {
    const { site } = this;
    for (let i = 0; i < NODES; i++) site.startNode(i);
    for (let i = 0; i < NODES; i++) await site.awaitHealthy(i);
    await waitUntil("somebody leads", () => site.leaderIndex() >= 0);
    this.began = performance.now() / 1000;
    const before = this.changes();
    const users = LOADS.map((load) => this.submitAll(load));
    await this.troublesOf();
    await Promise.all(users);
    this.writes = this.changes() - before;
    // What was accepted gets its answer; repeated submissions of it meet the known job at every node.
    for (const [n, id] of [...this.accepted.keys()].entries()) {
      if (n % 20 !== 0) continue;
      await waitUntil(`${id} is done`, async () => {
        return (await site.queryJob(n % NODES, id)).state === "done";
      });
      const again = await site.submitJob(n % NODES, id, {});
      if (again.status !== 200) this.faults.push(`${id} is accepted and answered ${again.status}`);
    }
    await sleepSeconds(2);
    return this.report();
  }

  private changes(): number {
    return [...this.site.stateService.changeCounts.values()].reduce((sum, n) => sum + n, 0);
  }

  /** A tenth of the time each, with as much between them: no leader, a node that stands still, no state service. */
  private async troublesOf(): Promise<void> {
    const { site } = this;
    const spell = Math.min(20, this.seconds / 10);
    const trouble = async (begin: () => () => void): Promise<void> => {
      await sleepSeconds(this.seconds / 6);
      const from = this.now();
      const end = begin();
      await sleepSeconds(spell);
      end();
      this.troubles.push({ from, to: this.now() + RECOVERY_S });
    };
    await trouble(() => {
      const leader = site.leaderIndex();
      site.replaceNode(leader);
      return () => {};
    });
    await trouble(() => {
      const paused = (site.leaderIndex() + 1) % NODES;
      site.signalNode(paused, "SIGSTOP");
      return () => site.signalNode(paused, "SIGCONT");
    });
    await trouble(() => {
      site.stateService.isUnavailable = true;
      return () => {
        site.stateService.isUnavailable = false;
      };
    });
    await sleepSeconds(Math.max(0, this.seconds - this.now()));
  }

  private async submitAll(load: Load): Promise<void> {
    const perSecond = (load.demand * CPUS) / (load.tasks * TASK_S);
    const users: Promise<void>[] = [];
    for (let n = 0; ; n++) {
      const at = n / perSecond;
      if (at >= this.seconds) break;
      await sleepSeconds(Math.max(0, at - this.now()));
      users.push(this.user(load, `${load.class}-${n}`, n));
    }
    await Promise.all(users);
  }

  /** Submits until the job is accepted, the user's patience is over, or the run is. */
  private async user(load: Load, id: string, n: number): Promise<void> {
    const figures = this.classes.get(load.class)!;
    figures.submitted++;
    const body = jobBody({
      nameId: id,
      herd: load.class,
      outfit: load.team,
      gait: load.kind,
      strides: load.tasks,
      loaners: false,
      rideS: TASK_S,
      memoryGb: 0.1,
    });
    this.site.ruleChecker.jobSubmitted(decodeJob(body)!);
    const began = this.now();
    for (let round = n; this.now() - began < PATIENCE_S && this.now() < this.seconds; round++) {
      const waitS = await this.attempt(round % NODES, id, body);
      if (waitS === null) {
        figures.accepted++;
        this.accepted.set(id, load);
        figures.longestAdmissionS = Math.max(figures.longestAdmissionS, this.now() - began);
        return;
      }
      await sleepSeconds(waitS);
    }
    figures.givenUp++;
  }

  /** Null: it is accepted; otherwise, seconds until the next try. */
  private async attempt(i: number, id: string, body: unknown): Promise<number | null> {
    const sent = performance.now();
    const reply = await this.site.connections[i]!.request(
      "POST",
      "/api/jobs",
      encode(body),
      5000,
    ).catch(() => null);
    if (reply === null) return 1;
    this.answers.recordValue(Math.max(1, Math.round(performance.now() - sent)));
    if (reply.status === 200 || reply.status === 201) {
      const { stance } = decode(reply.body) as { stance?: string };
      this.site.ruleChecker.answerReceived(id, reply.status, stance);
      return null;
    }
    if (reply.status !== 429 && reply.status !== 503) this.faults.push(`${id}: ${reply.status}`);
    const later = Number(reply.headers.get("retry-after"));
    if (!(later >= 1 && later <= 30)) this.faults.push(`${id}: Retry-After ${later}`);
    return later;
  }

  // ---------------------------------------------------------------- what was seen

  private report(): OverloadReport {
    const inTrouble = (stretch: number): boolean =>
      this.troubles.some((t) => t.to > stretch * STRETCH_S && t.from < (stretch + 1) * STRETCH_S);
    const classes: OverloadReport["classes"] = {};
    for (const load of LOADS) {
      const figures = this.classes.get(load.class)!;
      const cpus = figures.tasksDone.map((n) => (n * TASK_S) / STRETCH_S);
      const whole = cpus.slice(1, Math.floor(this.seconds / STRETCH_S));
      const calm = whole.filter((_, n) => !inTrouble(n + 1));
      classes[load.class] = {
        ...figures,
        cpus: cpus.reduce((sum, n) => sum + n, 0) / cpus.length,
        leastCpus: calm.length === 0 ? null : Math.min(...calm),
        guaranteed: load.guaranteed,
      };
    }
    const { compared, admitted, rejected } = this.compareLogs();
    return {
      seconds: this.seconds,
      identicalDecisions: compared,
      decisions: { admitted, rejected },
      windows: this.checkWindows(),
      writesPerSecond: this.writes / this.seconds,
      answerMs: {
        p50: this.answers.getValueAtPercentile(50),
        p99: this.answers.getValueAtPercentile(99),
        max: this.answers.maxValue,
      },
      classes,
      faults: [...this.faults, ...this.site.ruleChecker.violations],
    };
  }

  private compareLogs(): { compared: number; admitted: number; rejected: number } {
    const compared = compareDecisionLogs(this.logs);
    const lines = this.logs.flat();
    const admitted = new Set(lines.filter((l) => l.kind === "admit").map((l) => l.job)).size;
    const rejected = this.logs[0]!.filter((l) => l.kind === "reject").reduce(
      (sum, l) => sum + Number(l.jobs),
      0,
    );
    return { compared, admitted, rejected };
  }

  /** No ledger went beyond its window's grant by more than one job. Returns how many windows there were. */
  private checkWindows(): number {
    const history = this.site.stateService.history;
    let window = null as ReturnType<typeof decodeWindow>;
    let windows = 0;
    for (const { key, value: data } of history) {
      if (key === "a/w") {
        window = decodeWindow(data);
        windows++;
      }
      if (!key.startsWith("a/t/") || window === null) continue;
      const ledger = decodeLedger(data)!;
      if (ledger.window !== window.version) {
        this.faults.push(`a claim on window ${ledger.window} in window ${window.version}`);
        continue;
      }
      const team = decodeURIComponent(key.slice("a/t/".length));
      for (const [name, used] of ledger.used) {
        const grant = window.grants.find((g) => g.team === team && (g.class ?? "") === name);
        const load = LOADS.find((l) => l.team === team)!;
        const largest = Math.ceil((load.tasks / window.capacity.cpus) * 1e8) + 1;
        if (grant === undefined || used.new >= grant.lanes.new + largest) {
          this.faults.push(`${team} ${name}: ${used.new} in window ${window.version}`);
        }
      }
    }
    return windows;
  }
}

export const playOverload = (seconds: number): Promise<OverloadReport> => Overload.run(seconds);

/** What must hold, whatever the machine: shares are held against the CPUs that were used in all. */
export function assertFair(report: OverloadReport): void {
  assert.deepEqual(report.faults, []);
  assert.ok(report.identicalDecisions > report.seconds, "decisions were compared");
  assert.ok(report.decisions.rejected > 0 && report.windows > 3, "it was overloaded");
  const used = Object.values(report.classes).reduce((sum, c) => sum + c.cpus, 0);
  for (const [name, c] of Object.entries(report.classes)) {
    const guaranteed = (c.guaranteed / CPUS) * used;
    assert.ok(c.cpus >= 0.8 * guaranteed, `${name}: ${c.cpus} of ${guaranteed} CPUs`);
    assert.ok(c.accepted > 0, `${name} is shut out`);
    // Any job begins within the users' bound: in less time a gang of half the cluster need not have begun.
    const begins = report.seconds < START_BOUND_S || c.cpus > 0.01 * used;
    assert.ok(begins, `${name} starves: ${c.cpus} CPUs`);
    assert.ok(c.longestAdmissionS <= PATIENCE_S, `${name}: ${c.longestAdmissionS} s`);
  }
}
