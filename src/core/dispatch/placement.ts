/** An attempt of a task on a machine: it counts there, and against its team's limit, until proven to be terminated. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";

/**
 * Where a placement stands. `loaded`: read from the store after a takeover, nothing else known of it. `planned`: no start
 * was sent under the present fencing token. `sent`: a start is in flight or unanswered. The others are as in the
 * worker's last heartbeat.
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
  /** Time for the task to checkpoint. */
  readonly graceS: number;
  /** When the stop was last sent. */
  sentAt: number;
}

/** One attempt of a task on one machine. */
export class Placement {
  state: PlacementState = "planned";
  /** Direct requests in flight that carry its start. */
  startsInFlight = 0;
  stop: StopRequest | null = null;
  /** When its start was last sent. */
  sentAt = Number.NEGATIVE_INFINITY;
  readonly placedAt: number;
  /** Meaningful once it is `running`. */
  runningSince = 0;
  /**
   * Longest delay of the start of a gang task whose machine has the image long before those of its gang peers: it starts
   * once a peer has pulled the image, or this long after it was placed. 0: it is not delayed.
   */
  startDelayS = 0;
  /** Its start was seen by this leader, so that its run time is known. */
  hasKnownStart = false;

  constructor(
    readonly job: ActiveJob,
    readonly task: number,
    readonly attempt: number,
    readonly machine: Machine,
    /** Incarnation of the worker to which it belongs. */
    readonly incarnation: number,
    /** The job's version that must be persisted before a start is sent. */
    readonly version: number,
    now: number,
  ) {
    this.placedAt = now;
  }

  /** Its key in the maps of its machine. */
  get key(): string {
    return taskKey(this.job.spec.id, this.task, this.attempt);
  }

  /** Whether its start is delayed, and none of its gang peers has pulled the image yet. */
  waitsForGangPeers(now: number): boolean {
    if (this.startDelayS === 0 || now - this.placedAt >= this.startDelayS) return false;
    for (const { state } of this.job.placements.values()) {
      if (state === "waiting" || state === "running") return false;
    }
    return true;
  }
}

/** Names an attempt of a task. */
export const taskKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}#${attempt}`;
