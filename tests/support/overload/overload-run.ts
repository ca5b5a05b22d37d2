/**
 * Runs three controller processes under a load of five times the capacity of the machines, while the leader is
 * killed, a controller is suspended and the state service is unavailable. Users submit through any controller and
 * retry after the time in the Retry-After header. Admission decisions, CPU usage and response times are measured at
 * the workers, the users and the state service, and from the logs of the controllers.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { JobSpec } from "../../../src/core/model/jobs.js";
import { sleepSeconds } from "../../../src/time/sleep.js";
import { decodeJobState, encodeJob } from "../../../src/wire/inverse-codecs.js";
import { decode, encode } from "../../../src/wire/msgpack.js";
import { submittedJob } from "../job-builders.js";
import { MultiProcessCluster } from "../multi-process-cluster.js";
import { waitForProcesses } from "../waiting.js";
import { auditLogs, auditWindows } from "./admission-audit.js";
import { type ClassCounters, INTERVAL_S, type OverloadReport, reportClass } from "./report.js";
import {
  CLASS_LOADS,
  type ClassLoad,
  CONTROLLER_COUNT,
  TASK_S,
  TOTAL_CPUS,
  USER_TIMEOUT_S,
  WORKER_COUNT,
} from "./workload.js";

const OPERATOR_INI = "[admission]\nenabled = true\n";
/** Seconds after a disturbance during which intervals do not count for the minimum CPU usage. */
const RECOVERY_S = 10;
const REQUEST_TIMEOUT_MS = 5000;

class OverloadRun {
  private readonly countersByClass = new Map<string, ClassCounters>();
  private readonly decisionLogs: Record<string, unknown>[][] = [[], [], []];
  private readonly responseTimes: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private readonly disturbances: { from: number; to: number }[] = [];
  private readonly acceptedJobs = new Map<string, ClassLoad>();
  private readonly faults: string[] = [];
  private startedAtS = 0;
  private stateChanges = 0;

  private constructor(
    private readonly cluster: MultiProcessCluster,
    private readonly seconds: number,
  ) {
    for (const load of CLASS_LOADS) {
      this.countersByClass.set(load.class, {
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
      workers: WORKER_COUNT,
      teams: CLASS_LOADS.map(({ team, guaranteedCpus }) => ({ name: team, cpus: guaranteedCpus })),
      onLogLine: (node, line) => overload?.recordLogLine(node, line),
      onTaskExit: (task, cause) => {
        if (cause === "done") overload?.recordTaskDone(task);
      },
    });
    try {
      overload = new OverloadRun(cluster, seconds);
      return await overload.execute();
    } finally {
      cluster.close();
    }
  }

  /** Seconds since the run began. */
  private elapsedS(): number {
    return performance.now() / 1000 - this.startedAtS;
  }

  private recordLogLine(node: number, line: Record<string, unknown>): void {
    if (line.msg !== "admission decision") return;
    const { level, time, msg, member, ...decision } = line;
    this.decisionLogs[node]!.push(decision);
  }

  private recordTaskDone(task: string): void {
    const load = this.acceptedJobs.get(task.slice(0, task.lastIndexOf("/")));
    const counters = load === undefined ? undefined : this.countersByClass.get(load.class);
    const interval = Math.floor(this.elapsedS() / INTERVAL_S);
    if (counters !== undefined && interval < counters.tasksDone.length) {
      counters.tasksDone[interval]!++;
    }
  }

  private async execute(): Promise<OverloadReport> {
    const { cluster } = this;
    for (let index = 0; index < CONTROLLER_COUNT; index++) cluster.startNode(index);
    for (let index = 0; index < CONTROLLER_COUNT; index++) await cluster.awaitHealthy(index);
    await waitForProcesses("a leader is elected", () => cluster.leaderIndex() >= 0);
    this.startedAtS = performance.now() / 1000;
    const changesBefore = this.changeCount();
    const users = CLASS_LOADS.map((load) => this.submitJobs(load));
    await this.causeDisturbances();
    await Promise.all(users);
    this.stateChanges = this.changeCount() - changesBefore;
    await this.checkAccepted();
    await sleepSeconds(2);
    return this.report();
  }

  /**
   * For every twentieth accepted job, checks that it completes and that a repeated submission is answered with 200.
   */
  private async checkAccepted(): Promise<void> {
    for (const [number, id] of [...this.acceptedJobs.keys()].entries()) {
      if (number % 20 !== 0) continue;
      const node = number % CONTROLLER_COUNT;
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
   * Causes three disturbances: kills and restarts the leader, suspends a controller, and makes the state service
   * unavailable. The latter two last a tenth of the run each, 20 s at most.
   */
  private async causeDisturbances(): Promise<void> {
    const { cluster } = this;
    await this.causeDisturbance(() => {
      cluster.replaceNode(cluster.leaderIndex());
      return () => {};
    });
    await this.causeDisturbance(() => {
      const suspended = (cluster.leaderIndex() + 1) % CONTROLLER_COUNT;
      cluster.signalNode(suspended, "SIGSTOP");
      return () => cluster.signalNode(suspended, "SIGCONT");
    });
    await this.causeDisturbance(() => {
      cluster.stateService.isUnavailable = true;
      return () => {
        cluster.stateService.isUnavailable = false;
      };
    });
    await sleepSeconds(Math.max(0, this.seconds - this.elapsedS()));
  }

  /** Waits for a sixth of the run, then causes a disturbance; `begin` returns the function that ends it. */
  private async causeDisturbance(begin: () => () => void): Promise<void> {
    await sleepSeconds(this.seconds / 6);
    const from = this.elapsedS();
    const end = begin();
    await sleepSeconds(Math.min(20, this.seconds / 10));
    end();
    this.disturbances.push({ from, to: this.elapsedS() + RECOVERY_S });
  }

  private async submitJobs(load: ClassLoad): Promise<void> {
    const jobsPerSecond = (load.demand * TOTAL_CPUS) / (load.tasks * TASK_S);
    const users: Promise<void>[] = [];
    for (let jobNumber = 0; ; jobNumber++) {
      const submitAtS = jobNumber / jobsPerSecond;
      if (submitAtS >= this.seconds) break;
      await sleepSeconds(Math.max(0, submitAtS - this.elapsedS()));
      users.push(this.submitUntilAccepted(load, jobNumber));
    }
    await Promise.all(users);
  }

  /** Repeats the submission of a job, as a user does, until it is accepted, the user gives up, or the run ends. */
  private async submitUntilAccepted(load: ClassLoad, jobNumber: number): Promise<void> {
    const id = `${load.class}-${jobNumber}`;
    const counters = this.countersByClass.get(load.class)!;
    counters.submitted++;
    const spec = buildJob(load, id);
    this.cluster.ruleChecker.jobSubmitted(spec);
    const body = encodeJob(spec);
    const firstAttemptAtS = this.elapsedS();
    const shouldRetry = (): boolean =>
      this.elapsedS() - firstAttemptAtS < USER_TIMEOUT_S && this.elapsedS() < this.seconds;
    for (let attempt = jobNumber; shouldRetry(); attempt++) {
      const retryAfterS = await this.submitOnce(attempt % CONTROLLER_COUNT, id, body);
      if (retryAfterS === null) {
        counters.accepted++;
        this.acceptedJobs.set(id, load);
        counters.longestAdmissionS = Math.max(
          counters.longestAdmissionS,
          this.elapsedS() - firstAttemptAtS,
        );
        return;
      }
      await sleepSeconds(retryAfterS);
    }
    counters.givenUp++;
  }

  /** Returns null if the job is accepted, and otherwise the number of seconds until the next attempt. */
  private async submitOnce(node: number, id: string, body: unknown): Promise<number | null> {
    const sentAtMs = performance.now();
    const response = await this.cluster.connections[node]!.request(
      "POST",
      "/api/jobs",
      encode(body),
      REQUEST_TIMEOUT_MS,
    ).catch(() => null);
    if (response === null) return 1;
    this.responseTimes.recordValue(Math.max(1, Math.round(performance.now() - sentAtMs)));
    if (response.status === 200 || response.status === 201) {
      const state = decodeJobState(decode(response.body));
      this.cluster.ruleChecker.answerReceived(id, response.status, state);
      return null;
    }
    if (response.status !== 429 && response.status !== 503)
      this.faults.push(`${id}: ${response.status}`);
    const retryAfterS = Number(response.headers.get("retry-after"));
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
    for (const load of CLASS_LOADS) {
      const counters = this.countersByClass.get(load.class)!;
      classes[load.class] = reportClass(load, counters, this.seconds, (interval) =>
        this.isDisturbed(interval),
      );
    }
    const { compared, admitted, rejected } = auditLogs(this.decisionLogs);
    const { history } = this.cluster.stateService;
    return {
      seconds: this.seconds,
      identicalDecisions: compared,
      decisions: { admitted, rejected },
      windows: auditWindows(history, (fault) => this.faults.push(fault)),
      writesPerSecond: this.stateChanges / this.seconds,
      answerMs: {
        p50: this.responseTimes.getValueAtPercentile(50),
        p99: this.responseTimes.getValueAtPercentile(99),
        max: this.responseTimes.maxValue,
      },
      classes,
      faults: [...this.faults, ...this.cluster.ruleChecker.violations],
    };
  }
}

function buildJob(load: ClassLoad, id: string): JobSpec {
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
export const runOverload = (seconds: number): Promise<OverloadReport> => OverloadRun.run(seconds);
