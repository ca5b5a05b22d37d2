/**
 * Simulates overload: sources submit jobs and retry rejected ones, and a cluster of fixed size runs the admitted
 * jobs.
 */
import {
  type AdmissionWindow,
  type ClassUsage,
  NO_RESOURCES,
  type PlannerInput,
  resourcesOf,
  WindowPlanner,
} from "../../src/admission/index.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { Team } from "../../src/core/model/settings.js";
import { AdmissionModel } from "./admission-model.js";

/** Length of an admission window, in seconds. */
export const WINDOW_S = 3;
/** Run time of each task on all CPUs that it requests, in seconds. */
export const TASK_DURATION_S = 10;
/** Number of CPUs of the simulated cluster. */
export const CLUSTER_CPUS = 100;
const CONTROLLER_COUNT = 3;
const TEAMS: readonly Team[] = [
  { name: "bookings", cpus: 40, cpusMax: 0, gpus: 0, gpusMax: 0 },
  { name: "guest", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
];

/** Submits copies of one job at a fixed rate. */
export interface JobSource {
  readonly job: JobSpec;
  /** Seconds between two submissions; if below 1, several jobs are submitted in each second. */
  readonly intervalS: number;
}

/** A submitted job with its time of admission and the CPU time that it still needs. */
interface SubmittedJob {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  admittedAt: number | null;
  remainingCpuSeconds: number;
}

/**
 * Runs in steps of one second. The classes get equal shares of the cluster; within a class, older jobs come first.
 */
export class OverloadSimulation {
  readonly model = new AdmissionModel(CONTROLLER_COUNT);
  readonly jobs: SubmittedJob[] = [];
  readonly windows: AdmissionWindow[] = [];
  private readonly planner = new WindowPlanner(WINDOW_S);
  private rejected = new Map<string, { job: JobSpec; jobs: number }>();
  private rejectedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly sources: readonly JobSource[],
    public cpus = CLUSTER_CPUS,
  ) {}

  /** Runs the steps from time `from` up to, not including, `to`. */
  run(from: number, to: number, sources = this.sources): void {
    for (let now = from; now < to; now++) {
      for (const [index, source] of sources.entries()) this.submitFrom(source, index, now);
      this.retryPendingJobs(now);
      this.runAdmittedJobs();
      this.planWindow(now);
    }
  }

  /** The longest wait for admission in a class, in seconds; a job that is not admitted has waited until `until`. */
  longestWaitS(className: string, until: number): number {
    const waits = this.jobsOf(className).map((job) => (job.admittedAt ?? until) - job.submittedAt);
    return Math.max(...waits);
  }

  /** CPU seconds that the jobs of a class have used. */
  usedCpuSeconds(className: string): number {
    return this.jobsOf(className).reduce(
      (sum, { spec, remainingCpuSeconds }) =>
        sum + spec.cpus * spec.tasks * TASK_DURATION_S - remainingCpuSeconds,
      0,
    );
  }

  private jobsOf(className: string): SubmittedJob[] {
    return this.jobs.filter(({ spec }) => spec.class === className);
  }

  private submitFrom(source: JobSource, index: number, now: number): void {
    if (now % source.intervalS >= 1) return;
    const perSecond = Math.max(1, Math.round(1 / source.intervalS));
    for (let copy = 0; copy < perSecond; copy++) {
      const spec = { ...source.job, id: `${index}-${now}-${copy}` };
      const remainingCpuSeconds = spec.cpus * spec.tasks * TASK_DURATION_S;
      this.jobs.push({ spec, submittedAt: now, admittedAt: null, remainingCpuSeconds });
    }
  }

  private retryPendingJobs(now: number): void {
    for (const [index, job] of this.jobs.entries()) {
      if (job.admittedAt !== null || (now - job.submittedAt) % WINDOW_S !== 0) continue;
      const answer = this.model.submit(index % CONTROLLER_COUNT, job.spec, "answered");
      if (answer === "accepted") {
        job.admittedAt = now;
      } else {
        this.recordRejection(job.spec, now);
      }
    }
  }

  private recordRejection(job: JobSpec, now: number): void {
    const jobs = (this.rejected.get(job.class)?.jobs ?? 0) + 1;
    this.rejected.set(job.class, { job, jobs });
    this.rejectedAt = now;
  }

  private runAdmittedJobs(): void {
    const running = this.jobs.filter(
      (job) => job.admittedAt !== null && job.remainingCpuSeconds > 0,
    );
    const classes = new Set(running.map(({ spec }) => spec.class));
    for (const name of classes) {
      let freeCpus = this.cpus / classes.size;
      for (const job of running) {
        if (job.spec.class !== name) continue;
        const allocatedCpus = Math.min(
          freeCpus,
          job.remainingCpuSeconds,
          job.spec.cpus * job.spec.tasks,
        );
        job.remainingCpuSeconds -= allocatedCpus;
        freeCpus -= allocatedCpus;
      }
    }
  }

  private planWindow(now: number): void {
    const next = this.planner.nextWindow({
      now,
      stored: this.windows.at(-1) ?? null,
      epoch: 1,
      hasRecentRejections: now - this.rejectedAt < 2 * WINDOW_S,
      input: this.plannerInput(),
    });
    if (next === null) return;
    this.model.writeWindow(() => next);
    for (let index = 0; index < CONTROLLER_COUNT; index++) this.model.read(index);
    this.windows.push(next);
    this.planner.markWritten(now);
    this.rejected = new Map();
  }

  private plannerInput(): PlannerInput {
    const names = [...new Set(this.jobs.map(({ spec }) => spec.class))];
    return {
      capacity: { cpus: this.cpus, gpus: 0, memoryGb: 1e6 },
      growing: false,
      teams: TEAMS,
      teamWeights: new Map(),
      classes: names.map((name) => this.usageOf(name)),
      queueRatio: 2,
      periods: [],
      maxBytes: 4096,
    };
  }

  private usageOf(className: string): ClassUsage {
    const jobs = this.jobsOf(className);
    const cpus = jobs
      .filter((job) => job.admittedAt !== null)
      .reduce((sum, job) => sum + job.remainingCpuSeconds / TASK_DURATION_S, 0);
    const rejected = this.rejected.get(className);
    return {
      team: jobs[0]!.spec.team,
      class: className,
      production: false,
      unfinished: { ...NO_RESOURCES, cpus },
      refused:
        rejected === undefined
          ? NO_RESOURCES
          : resourcesOf(rejected.job, rejected.jobs * rejected.job.tasks),
      weight: 1,
    };
  }
}
