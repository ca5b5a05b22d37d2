/** Jobs, submissions and task statuses with ordinary values, of which a test gives only what matters to it. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { encodeJob } from "../../src/wire/counterpart.js";

/** A job of one small task that may run anywhere. */
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

/** The job that users of a test submit: an array of four tasks. */
export const submittedJob = (change: Partial<JobSpec> = {}): JobSpec =>
  jobSpec("run-1", { class: "train", tasks: 4, memoryGb: 2, image: "img-1", ...change });

/** A job that users of a whole cluster submit: their team may use all that is free, but no spot machines. */
export const clusterJob = (id: string, change: Partial<JobSpec> = {}): JobSpec =>
  submittedJob({ id, team: "maps", spot: false, ...change });

/** The body of a submission. */
export const jobBody = (change: Partial<JobSpec> = {}): Record<string, unknown> =>
  encodeJob(submittedJob(change));

/** A task's status in a heartbeat: running, unless said otherwise. */
export const taskStatus = (
  job: string,
  task: number,
  attempt: number,
  state: TaskStatus["state"] = "running",
  cause: TaskStatus["cause"] = null,
): TaskStatus => ({ job, task, attempt, state, cause, checkpointed: false });
