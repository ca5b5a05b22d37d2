/**
 * An attempt of a task on a machine. It takes up the machine's resources and the team's quota until it has certainly
 * terminated.
 */
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";

/**
 * State of a placement. `loaded`: read from the stored state in a takeover; its state on the machine is not known
 * yet. `planned`: no start command was sent, or none that was sent can still be executed. `sent`: a start command was
 * sent, and the worker has not reported the task yet. The other states are those reported in the worker's last
 * heartbeat.
 */
export type PlacementState =
  | "loaded"
  | "planned"
  | "sent"
  | "pulling image"
  | "waiting"
  | "running"
  | "checkpointing";

/** A request to stop a placement. */
export interface StopRequest {
  readonly why: string;
  /** Seconds that the task has to checkpoint. */
  readonly graceS: number;
  /** Time at which the stop command was last sent. */
  sentAt: number;
}

/** One attempt of a task on one machine. */
export class Placement {
  state: PlacementState = "planned";
  /** Number of direct requests in flight that carry the start command of this attempt. */
  startsInFlight = 0;
  /** Request to stop this attempt; null: none. */
  stop: StopRequest | null = null;
  /** Time at which the start command was last sent. */
  sentAt = Number.NEGATIVE_INFINITY;
  readonly placedAt: number;
  /** Time at which the task was first reported as running; 0 before that. */
  runningSince = 0;
  /**
   * Maximum start delay, in seconds, of a gang task whose machine will have the image long before the machines of its
   * gang peers. The task starts once a peer has pulled the image, or at the latest this long after it was placed.
   * 0: no delay.
   */
  startDelayS = 0;
  /** Whether this leader observed the start of the task, so that the task's run time is known. */
  hasKnownStart = false;

  constructor(
    readonly job: ActiveJob,
    readonly task: number,
    readonly attempt: number,
    readonly machine: Machine,
    /** Incarnation of the worker that the attempt belongs to. */
    readonly incarnation: number,
    /** Version of the job that must be stored before a start command is sent. */
    readonly version: number,
    now: number,
  ) {
    this.placedAt = now;
  }

  /** Key of this attempt in the machine's maps. */
  get key(): string {
    return taskKey(this.job.spec.id, this.task, this.attempt);
  }

  /** Whether the start is still delayed because no gang peer has pulled the image yet. */
  waitsForGangPeers(now: number): boolean {
    if (this.startDelayS === 0 || now - this.placedAt >= this.startDelayS) return false;
    for (const { state } of this.job.placements.values()) {
      if (state === "waiting" || state === "running") return false;
    }
    return true;
  }
}

/** Returns the key that identifies an attempt of a task. */
export const taskKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}#${attempt}`;
