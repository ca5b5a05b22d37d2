/** Jobs as submitted by users, and job states as reported to them. */

/**
 * Relation between the tasks of a job. `array`: independent tasks, each of which runs to completion. `gang`: either
 * all tasks run at the same time or none does. `service`: tasks that run until the job is cancelled.
 */
export type JobKind = "array" | "gang" | "service";

/** Priority of a job; the values are listed from the most urgent. It decides which jobs may preempt which others. */
export type Priority = "production" | "high" | "normal" | "low";

const PRIORITY_RANKS: Readonly<Record<Priority, number>> = {
  production: 0,
  high: 1,
  normal: 2,
  low: 3,
};

/** Returns the rank of a priority; 0 is the most urgent. */
export const priorityRank = (priority: Priority): number => PRIORITY_RANKS[priority];

/** An accepted submission. It is stored in this form, so its fields must not be renamed. */
export interface JobSpec {
  /** Unique id, chosen by the user. A second submission with the same id counts as a repetition of the first. */
  readonly id: string;
  /** Class of the job. The settings define service-level objectives per class. */
  readonly class: string;
  /** Team whose quota and guarantee apply to the job. */
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks, which are numbered from 0. */
  readonly tasks: number;
  /** CPUs per task. */
  readonly cpus: number;
  /** GPUs per task. */
  readonly gpus: number;
  /** Memory per task, in GB. */
  readonly memoryGb: number;
  /** Names of the allowed machine types; null: any. */
  readonly types: readonly string[] | null;
  /** The only allowed zone; null: any. */
  readonly zone: string | null;
  /** Whether all tasks must be in the same zone. */
  readonly oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  readonly spread: boolean;
  /** Whether the job may run on spot machines. */
  readonly spot: boolean;
  /** Image that a machine must pull before a task can start. */
  readonly image: string;
  /** Size of the image, in GB. */
  readonly imageGb: number;
  /** The owner's estimate of a task's run time, excluding the image pull, in seconds; 0 for services. */
  readonly estimateS: number;
  /** Seconds of progress between checkpoints; 0: tasks never checkpoint, and a stopped task loses its work. */
  readonly checkpointS: number;
  /** Seconds that a task needs to checkpoint when stopped. */
  readonly saveS: number;
  /** Seconds from the submission within which the job should complete; null: no deadline. */
  readonly deadlineS: number | null;
  /** Ids of the jobs that must be done before this job starts; omitted if there are none. */
  readonly after?: readonly string[];
}

/** State of a job as reported to users. */
export type JobState = "queued" | "running" | "done" | "cancelled";

/** A job as reported to users. */
export interface JobView {
  readonly id: string;
  readonly state: JobState;
  /** Number of tasks that are done. */
  readonly done: number;
  /** Number of tasks that are placed on machines. */
  readonly running: number;
}
