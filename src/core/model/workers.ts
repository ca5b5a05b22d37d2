/** Workers' heartbeats, and the commands that workers are sent. */

/**
 * State of a task on its machine: `pulling image`: waits for its image to be pulled; `waiting`: gang task, waits
 * for its peers; `checkpointing`: was told to stop, and checkpoints.
 */
export type TaskState = "pulling image" | "waiting" | "running" | "checkpointing" | "exited";

/**
 * Why a task exited: `done`: completed; `stopped`: by command; `peers`: a gang peer stopped running;
 * `alone`: its gang was not complete in time; `error`: it failed; `no_room`: the start was refused for lack of
 * resources; `busy`: the start was refused, as another attempt of the task is on the machine; `unknown`: the
 * start was refused, as the worker knows no such job.
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

/** A task in a worker's heartbeat. Exited tasks are in it until a `forget` command removes them. */
export interface TaskStatus {
  /** Id of its job. */
  readonly job: string;
  /** Number of the task in its job. */
  readonly task: number;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null unless it has exited. */
  readonly cause: ExitCause | null;
  /** It was stopped, and its progress is checkpointed. */
  readonly checkpointed: boolean;
}

/** A worker's heartbeat; also what it answers to a direct request. */
export interface WorkerHeartbeat {
  /** Name of its machine. */
  readonly machine: string;
  /** Address for direct requests, host:port. */
  readonly address: string;
  /** Name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Starts at 1; the next one begins when the worker's lease expires, with no task left. */
  readonly incarnation: number;
  /** Grows with each message: of two, the newer has the larger (`incarnation`, `sequence`). */
  readonly sequence: number;
  /** The highest fencing token that the worker has seen. */
  readonly fencingToken: number;
  /** Seconds until the cloud takes the spot machine; null: no interruption is announced. */
  readonly interruptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

/** The attempt of a task that a command is about. */
interface CommandTarget {
  /** Id of the job. */
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
}

/**
 * A command to a worker. All can be repeated, but for a `start` after the `forget` of the same attempt, which
 * would run it again.
 */
export type WorkerCommand =
  | ({ readonly op: "start" } & CommandTarget)
  /** `graceS`: seconds that the task has to checkpoint; with fewer than it needs it exits at once. */
  | ({ readonly op: "stop"; readonly graceS: number } & CommandTarget)
  /** Removes an exited task from the heartbeats. */
  | ({ readonly op: "forget" } & CommandTarget);
