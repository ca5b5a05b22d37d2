/** Generates the load for `npm run profile`: submissions that keep all machines in use, and queries of those jobs. */
import { sleepSeconds } from "../../src/time/sleep.js";
import type { MultiProcessCluster } from "./multi-process-cluster.js";

const NODE_COUNT = 3;
const CPUS_PER_MACHINE = 4;
const TASKS_PER_JOB = 40;
/** Each query is for the job this many positions after the previous one in the list of submitted jobs. */
const QUERY_STRIDE = 7;

/** Size of the cluster and rate of the load. */
export interface ProfileLoadOptions {
  readonly machines: number;
  /** Run time of a task, in seconds. */
  readonly taskSeconds: number;
  /** Number of queries per second; named after the command-line option. */
  readonly questions: number;
}

/** Submits and queries jobs from `start` to `stop` at a fixed rate, without waiting for the answers. */
export class ProfileLoad {
  private nextJobNumber = 0;
  private readonly submittedJobs: string[] = [];
  private isStopped = false;

  constructor(
    private readonly cluster: MultiProcessCluster,
    private readonly options: ProfileLoadOptions,
  ) {}

  start(): void {
    void this.submitJobs();
    void this.queryJobs();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async submitJobs(): Promise<void> {
    const { machines, taskSeconds } = this.options;
    const jobsPerSecond = (machines * CPUS_PER_MACHINE) / TASKS_PER_JOB / taskSeconds;
    const jobOverrides = { tasks: TASKS_PER_JOB, estimateS: taskSeconds, memoryGb: 0.1 };
    while (!this.isStopped) {
      const id = `run-${this.nextJobNumber++}`;
      void this.cluster
        .submitJobOnce(this.nextJobNumber % NODE_COUNT, id, jobOverrides)
        .then(({ status }) => status === 201 && this.submittedJobs.push(id));
      await sleepSeconds(1 / jobsPerSecond);
    }
  }

  private async queryJobs(): Promise<void> {
    for (let queryNumber = 0; !this.isStopped; queryNumber++) {
      const id =
        this.submittedJobs[(queryNumber * QUERY_STRIDE) % Math.max(1, this.submittedJobs.length)];
      if (id !== undefined)
        void this.cluster.queryJob(queryNumber % NODE_COUNT, id).catch(() => null);
      await sleepSeconds(1 / this.options.questions);
    }
  }
}
