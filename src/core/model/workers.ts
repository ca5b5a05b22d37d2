/** Worker heartbeats and the commands sent to workers. */

/**
 * State of a task on its machine. `pulling image`: the task waits until its image is pulled. `waiting`: the gang task
 * waits for its peers. `checkpointing`: the task was told to stop, and is saving a checkpoint.
 */
export type TaskState = "pulling image" | "waiting" | "running" | "checkpointing" | "exited";

/**
 * Cause of a task's exit. `done`: the task completed. `stopped`: it was stopped by a command. `peers`: a gang peer
 * stopped running. `alone`: not all gang peers started in time. `error`: the task failed. `no_room`: the worker
 * refused the start for lack of resources. `busy`: the worker refused the start because another attempt of the task
 * is on the machine. `unknown`: the worker refused the start because it does not know the job.
 */
export type ExitCause =
  | "done"
  | "stopped"
  | "peers"
  | "alone"
  | "error"
  | "no_room"
  | "busy"
  | "unknown";

/** A task in a worker's heartbeat. Exited tasks are reported until a `forget` command removes them. */
export interface TaskStatus {
  /** Id of the task's job. */
  readonly job: string;
  /** Number of the task within the job. */
  readonly task: number;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null unless the task has exited. */
  readonly cause: ExitCause | null;
  /** Whether the task was stopped and its progress is saved in a checkpoint. */
  readonly checkpointed: boolean;
}

/** A worker's heartbeat, which is also its response to a direct request. */
export interface WorkerHeartbeat {
  /** Name of the worker's machine. */
  readonly machine: string;
  /** Address for direct requests, host:port. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Incarnation of the worker, from 1. The next one begins, without tasks, when the worker's lease expires. */
  readonly incarnation: number;
  /** Increases with each message. The newer of two messages has the larger pair (`incarnation`, `sequence`). */
  readonly sequence: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud reclaims the spot machine; null: no interruption is announced. */
  readonly interruptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** The attempt of a task that a command applies to. */
interface CommandTarget {
  /** Id of the job. */
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
}

/**
 * A command to a worker. Commands are idempotent, with one exception: a `start` that is repeated after the `forget`
 * of the same attempt runs the attempt again.
 */
export type WorkerCommand =
  | ({ readonly op: "start" } & CommandTarget)
  /** `graceS`: seconds that the task has to checkpoint. If it needs more, it exits at once without a checkpoint. */
  | ({ readonly op: "stop"; readonly graceS: number } & CommandTarget)
  /** Makes the worker forget an exited task, and omit it from its heartbeats. */
  | ({ readonly op: "forget" } & CommandTarget);
