/** Builds jobs, submissions and task statuses with default values; a test overrides only the relevant fields. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { encodeJob } from "../../src/wire/inverse-codecs.js";

/** A job of one small task that may run anywhere. */
export const jobSpec = (id: string, overrides: Partial<JobSpec> = {}): JobSpec => ({
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
  ...overrides,
});

/** The default job for submissions by users: an array of four tasks. */
export const submittedJob = (overrides: Partial<JobSpec> = {}): JobSpec =>
  jobSpec("run-1", { class: "train", tasks: 4, memoryGb: 2, image: "img-1", ...overrides });

/** A job for tests of whole clusters. Its team has no CPU limit, and it does not run on spot machines. */
export const clusterJob = (id: string, overrides: Partial<JobSpec> = {}): JobSpec =>
  submittedJob({ id, team: "maps", spot: false, ...overrides });

/** The body of a submission request. */
export const jobBody = (overrides: Partial<JobSpec> = {}): Record<string, unknown> =>
  encodeJob(submittedJob(overrides));

/** A task's status in a heartbeat, by default `running`. */
export const taskStatus = (
  job: string,
  task: number,
  attempt: number,
  state: TaskStatus["state"] = "running",
  cause: TaskStatus["cause"] = null,
): TaskStatus => ({ job, task, attempt, state, cause, checkpointed: false });
