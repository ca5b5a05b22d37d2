/**
 * Runs three controller processes under a load of five times the capacity of the machines, while the leader is
 * killed, a controller is suspended and the state service is unavailable. Users submit through any controller and
 * retry after the time in the Retry-After header. Admission decisions, CPU usage and response times are measured at
 * the workers, the users and the state service, and from the logs of the controllers.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { JobSpec } from "../../../src/core/model/jobs.js";
import { sleepSeconds } from "../../../src/time/sleep.js";
import { decodeJobState, encodeJob } from "../../../src/wire/counterpart.js";
import { decode, encode } from "../../../src/wire/msgpack.js";
import { submittedJob } from "../job-builders.js";
import { MultiProcessCluster } from "../multi-process-cluster.js";
import { waitForProcesses } from "../waiting.js";
import { auditLogs, auditWindows } from "./admission-audit.js";
import { type ClassFigures, INTERVAL_S, type OverloadReport, reportClass } from "./report.js";
import { CONTROLLERS, CPUS, LOADS, type Load, PATIENCE_S, TASK_S, WORKERS } from "./workload.js";

const OPERATOR_INI = "[admission]\nenabled = true\n";
/** Intervals within this time after a disturbance are excluded from the minimum CPU usage. */
const RECOVERY_S = 10;
const REQUEST_TIMEOUT_MS = 5000;

class OverloadRun {
  private readonly classes = new Map<string, ClassFigures>();
  private readonly logs: Record<string, unknown>[][] = [[], [], []];
  private readonly answers: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private readonly disturbances: { from: number; to: number }[] = [];
  private readonly accepted = new Map<string, Load>();
  private readonly faults: string[] = [];
  private startedAt = 0;
  private writes = 0;

  private constructor(
    private readonly cluster: MultiProcessCluster,
    private readonly seconds: number,
  ) {
    for (const load of LOADS) {
      this.classes.set(load.class, {
        submitted: 0,
        accepted: 0,
        givenUp: 0,
        longestAdmissionS: 0,
        tasksDone: new Array(Math.ceil(seconds / INTERVAL_S)).fill(0),
      });
    }
  }

  static async run(seconds: number): Promise<OverloadReport> {
    let overload: OverloadRun | null = null;
    const cluster = await MultiProcessCluster.open({
      taskMs: () => TASK_S * 1000,
      operatorIni: OPERATOR_INI,
      workers: WORKERS,
      teams: LOADS.map(({ team, guaranteed }) => ({ name: team, cpus: guaranteed })),
      onLogLine: (node, line) => overload?.recordLogLine(node, line),
      onTaskExit: (task, cause) => {
        if (cause === "done") overload?.recordTaskDone(task);
      },
    });
    try {
      overload = new OverloadRun(cluster, seconds);
      return await overload.play();
    } finally {
      cluster.close();
    }
  }

  /** Seconds since the run began. */
  private now(): number {
    return performance.now() / 1000 - this.startedAt;
  }

  private recordLogLine(node: number, line: Record<string, unknown>): void {
    if (line.msg !== "admission decision") return;
    const { level, time, msg, member, ...decision } = line;
    this.logs[node]!.push(decision);
  }

  private recordTaskDone(task: string): void {
    const load = this.accepted.get(task.slice(0, task.lastIndexOf("/")));
    const figures = load === undefined ? undefined : this.classes.get(load.class);
    const interval = Math.floor(this.now() / INTERVAL_S);
    if (figures !== undefined && interval < figures.tasksDone.length) {
      figures.tasksDone[interval]!++;
    }
  }

  private async play(): Promise<OverloadReport> {
    const { cluster } = this;
    for (let index = 0; index < CONTROLLERS; index++) cluster.startNode(index);
    for (let index = 0; index < CONTROLLERS; index++) await cluster.awaitHealthy(index);
    await waitForProcesses("a leader is elected", () => cluster.leaderIndex() >= 0);
    this.startedAt = performance.now() / 1000;
    const changesBefore = this.changeCount();
    const users = LOADS.map((load) => this.submitAll(load));
    await this.disturb();
    await Promise.all(users);
    this.writes = this.changeCount() - changesBefore;
    await this.checkAccepted();
    await sleepSeconds(2);
    return this.report();
  }

  /**
   * Checks of every twentieth accepted job that it completes, and that a repeated submission is answered with 200.
   */
  private async checkAccepted(): Promise<void> {
    for (const [number, id] of [...this.accepted.keys()].entries()) {
      if (number % 20 !== 0) continue;
      const node = number % CONTROLLERS;
      await waitForProcesses(`${id} is done`, async () => {
        return (await this.cluster.queryJob(node, id)).state === "done";
      });
      const { status } = await this.cluster.submitJob(node, id, {});
      if (status !== 200)
        this.faults.push(`${id} was accepted, but its repeated submission was answered ${status}`);
    }
  }

  private changeCount(): number {
    const counts = this.cluster.stateService.changeCounts.values();
    return [...counts].reduce((sum, count) => sum + count, 0);
  }

  /**
   * Causes three disturbances: kills the leader, suspends a controller, and makes the state service unavailable. The
   * latter two last a tenth of the run each, 20 s at most.
   */
  private async disturb(): Promise<void> {
    const { cluster } = this;
    await this.disturbance(() => {
      cluster.replaceNode(cluster.leaderIndex());
      return () => {};
    });
    await this.disturbance(() => {
      const suspended = (cluster.leaderIndex() + 1) % CONTROLLERS;
      cluster.signalNode(suspended, "SIGSTOP");
      return () => cluster.signalNode(suspended, "SIGCONT");
    });
    await this.disturbance(() => {
      cluster.stateService.isUnavailable = true;
      return () => {
        cluster.stateService.isUnavailable = false;
      };
    });
    await sleepSeconds(Math.max(0, this.seconds - this.now()));
  }

  /** Waits for a sixth of the run, then causes a disturbance; `begin` returns the function that ends it. */
  private async disturbance(begin: () => () => void): Promise<void> {
    await sleepSeconds(this.seconds / 6);
    const from = this.now();
    const end = begin();
    await sleepSeconds(Math.min(20, this.seconds / 10));
    end();
    this.disturbances.push({ from, to: this.now() + RECOVERY_S });
  }

  private async submitAll(load: Load): Promise<void> {
    const perSecond = (load.demand * CPUS) / (load.tasks * TASK_S);
    const users: Promise<void>[] = [];
    for (let number = 0; ; number++) {
      const submitAt = number / perSecond;
      if (submitAt >= this.seconds) break;
      await sleepSeconds(Math.max(0, submitAt - this.now()));
      users.push(this.submitUntilAccepted(load, number));
    }
    await Promise.all(users);
  }

  /** Submits a job as a user does: until it is accepted, the user gives up, or the run ends. */
  private async submitUntilAccepted(load: Load, number: number): Promise<void> {
    const id = `${load.class}-${number}`;
    const figures = this.classes.get(load.class)!;
    figures.submitted++;
    const spec = jobOf(load, id);
    this.cluster.ruleChecker.jobSubmitted(spec);
    const body = encodeJob(spec);
    const firstAttemptAt = this.now();
    const isPatient = (): boolean =>
      this.now() - firstAttemptAt < PATIENCE_S && this.now() < this.seconds;
    for (let attempt = number; isPatient(); attempt++) {
      const retryAfterS = await this.attempt(attempt % CONTROLLERS, id, body);
      if (retryAfterS === null) {
        figures.accepted++;
        this.accepted.set(id, load);
        figures.longestAdmissionS = Math.max(
          figures.longestAdmissionS,
          this.now() - firstAttemptAt,
        );
        return;
      }
      await sleepSeconds(retryAfterS);
    }
    figures.givenUp++;
  }

  /** Returns null if the job is accepted, and otherwise the number of seconds until the next attempt. */
  private async attempt(node: number, id: string, body: unknown): Promise<number | null> {
    const sentAt = performance.now();
    const reply = await this.cluster.connections[node]!.request(
      "POST",
      "/api/jobs",
      encode(body),
      REQUEST_TIMEOUT_MS,
    ).catch(() => null);
    if (reply === null) return 1;
    this.answers.recordValue(Math.max(1, Math.round(performance.now() - sentAt)));
    if (reply.status === 200 || reply.status === 201) {
      const state = decodeJobState(decode(reply.body));
      this.cluster.ruleChecker.answerReceived(id, reply.status, state);
      return null;
    }
    if (reply.status !== 429 && reply.status !== 503) this.faults.push(`${id}: ${reply.status}`);
    const retryAfterS = Number(reply.headers.get("retry-after"));
    if (!(retryAfterS >= 1 && retryAfterS <= 30)) {
      this.faults.push(`${id}: Retry-After ${retryAfterS}`);
    }
    return retryAfterS;
  }

  private isDisturbed(interval: number): boolean {
    const from = interval * INTERVAL_S;
    const to = from + INTERVAL_S;
    return this.disturbances.some((disturbance) => disturbance.to > from && disturbance.from < to);
  }

  private report(): OverloadReport {
    const classes: OverloadReport["classes"] = {};
    for (const load of LOADS) {
      const figures = this.classes.get(load.class)!;
      classes[load.class] = reportClass(load, figures, this.seconds, (interval) =>
        this.isDisturbed(interval),
      );
    }
    const { compared, admitted, rejected } = auditLogs(this.logs);
    const { history } = this.cluster.stateService;
    return {
      seconds: this.seconds,
      identicalDecisions: compared,
      decisions: { admitted, rejected },
      windows: auditWindows(history, (fault) => this.faults.push(fault)),
      writesPerSecond: this.writes / this.seconds,
      answerMs: {
        p50: this.answers.getValueAtPercentile(50),
        p99: this.answers.getValueAtPercentile(99),
        max: this.answers.maxValue,
      },
      classes,
      faults: [...this.faults, ...this.cluster.ruleChecker.violations],
    };
  }
}

function jobOf(load: Load, id: string): JobSpec {
  return submittedJob({
    id,
    class: load.class,
    team: load.team,
    kind: load.kind,
    tasks: load.tasks,
    spot: false,
    estimateS: TASK_S,
    memoryGb: 0.1,
  });
}

/** Runs the overload workload for a number of seconds and returns the measurements. */
export const playOverload = (seconds: number): Promise<OverloadReport> => OverloadRun.run(seconds);
