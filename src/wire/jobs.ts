/** Codecs of submitted jobs and of the job states returned to users. */
import * as z from "zod";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import {
  boundedText,
  isObject,
  isValidJobId,
  jobIdSchema,
  mappedEnum,
  nameText,
  nonNegativeNumber,
} from "./fields.js";
import { KIND_FROM_WIRE, PRIORITY_FROM_WIRE } from "./names.js";

/** Maximum length of the name of a container image, in bytes. */
export const MAX_IMAGE_BYTES = 512;
/** The protocol's limit on the tasks of one job. */
export const MAX_TASKS_PER_JOB = 100_000;

const jobSchema = z
  .object({
    nameId: jobIdSchema,
    herd: nameText,
    outfit: nameText,
    gait: mappedEnum(KIND_FROM_WIRE),
    rank: mappedEnum(PRIORITY_FROM_WIRE),
    strides: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
    cpus: nonNegativeNumber,
    cards: nonNegativeNumber,
    memoryGb: nonNegativeNumber,
    tack: boundedText(MAX_IMAGE_BYTES),
    pullGb: nonNegativeNumber,
    breeds: z.array(nameText).nullish(),
    paddock: nameText.nullish(),
    together: z.boolean(),
    apart: z.boolean(),
    loaners: z.boolean(),
    rideS: nonNegativeNumber,
    restS: nonNegativeNumber,
    unsaddleS: nonNegativeNumber,
    dueS: nonNegativeNumber.nullish(),
    follows: z.array(jobIdSchema).nullish(),
  })
  .refine((job) => job.cpus > 0 || job.cards > 0 || job.memoryGb > 0)
  // `together` requires all tasks in one zone, and `apart` allows at most half of them in each zone. A job may set
  // both only if it has a single task.
  .refine((job) => !(job.together && job.apart && job.strides > 1));

type WireJob = z.infer<typeof jobSchema>;

function toJobSpec(job: WireJob): JobSpec {
  const dependencies = [...new Set(job.follows ?? [])];
  return {
    id: job.nameId,
    class: job.herd,
    team: job.outfit,
    kind: job.gait,
    priority: job.rank,
    tasks: job.strides,
    cpus: job.cpus,
    gpus: job.cards,
    memoryGb: job.memoryGb,
    types: job.breeds ?? null,
    zone: job.paddock ?? null,
    oneZone: job.together,
    spread: job.apart,
    spot: job.loaners,
    image: job.tack,
    imageGb: job.pullGb,
    estimateS: job.rideS,
    checkpointS: job.restS,
    saveS: job.unsaddleS,
    deadlineS: job.dueS ?? null,
    ...(dependencies.length > 0 ? { after: dependencies } : {}),
  };
}

/** Decodes a submitted job; null if the body is malformed. */
export function decodeJob(body: unknown): JobSpec | null {
  const parsed = jobSchema.safeParse(body);
  return parsed.success ? toJobSpec(parsed.data) : null;
}

/** Decodes only the job id of a submission, which may otherwise be malformed; null if there is no valid id. */
export function decodeJobId(body: unknown): string | null {
  if (!isObject(body)) return null;
  const { nameId } = body;
  return typeof nameId === "string" && isValidJobId(nameId) ? nameId : null;
}

/** Encodes a job's state for users, with the numbers of done and running tasks if `withTaskCounts` is set. */
export const encodeJobView = (view: JobView, withTaskCounts: boolean): Record<string, unknown> =>
  withTaskCounts
    ? { nameId: view.id, stance: view.state, done: view.done, running: view.running }
    : { nameId: view.id, stance: view.state };
