/** Jobs as users submit them and as they are told about them. */

/**
 * How the tasks of a job relate: `array`: independent tasks, each runs to completion; `gang`: all tasks
 * run at the same time or none does; `service`: replicas, which run until the job is cancelled.
 */
export type JobKind = "array" | "gang" | "service";

/** How urgent a job is, the most urgent first; it decides who may preempt whom. */
export type Priority = "production" | "high" | "normal" | "low";

const PRIORITY_RANKS: Readonly<Record<Priority, number>> = {
  production: 0,
  high: 1,
  normal: 2,
  low: 3,
};

/** A priority as a number: 0 is the most urgent. */
export const priorityRank = (priority: Priority): number => PRIORITY_RANKS[priority];

/** A submission as it was accepted. Stored as it is: its fields never change their names. */
export interface JobSpec {
  /** Unique, chosen by the user; a repeated submission has the same. */
  readonly id: string;
  /** Class of jobs that it belongs to, for which the settings state service-level objectives. */
  readonly class: string;
  /** Team whose quota and guarantee apply. */
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  /** Number of tasks; they are numbered from 0. */
  readonly tasks: number;
  /** CPUs that each task takes. */
  readonly cpus: number;
  /** GPUs that each task takes. */
  readonly gpus: number;
  /** Memory that each task takes, in GB. */
  readonly memoryGb: number;
  /** Names of the machine types allowed; null: any. */
  readonly types: readonly string[] | null;
  /** The only zone allowed; null: any. */
  readonly zone: string | null;
  /** All tasks must be in the same zone. */
  readonly oneZone: boolean;
  /** At most half of the tasks, rounded up, may be in one zone. */
  readonly spread: boolean;
  /** It may run on spot machines. */
  readonly spot: boolean;
  /** Image that a machine must have pulled before a task can start. */
  readonly image: string;
  /** Size of the image, in GB. */
  readonly imageGb: number;
  /** The owner's estimate of a task's run time without the image pull, in seconds; 0 for services. */
  readonly estimateS: number;
  /** Seconds of progress between checkpoints; 0: it never checkpoints, and a stop loses its work. */
  readonly checkpointS: number;
  /** Seconds that a task needs to checkpoint when it is stopped. */
  readonly saveS: number;
  /** Seconds from the submission by which the job should be complete; null: no deadline. */
  readonly deadlineS: number | null;
  /** Jobs that must be done before it starts; left out where there are none. */
  readonly after?: readonly string[];
}

/** What a user is told of the state of a job. */
export type JobState = "queued" | "running" | "done" | "cancelled";

/** What a user is told of a job. */
export interface JobView {
  readonly id: string;
  readonly state: JobState;
  /** Tasks that are done. */
  readonly done: number;
  /** Tasks that are placed on machines. */
  readonly running: number;
}
