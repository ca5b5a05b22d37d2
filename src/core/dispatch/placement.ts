/** A task's attempt on a machine: it counts there, and against its team's limit, until it is proven gone. */
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";

/**
 * Where a placement stands. `loaded`: read from the state after a takeover, nothing known of it.
 * `planned`: no start was sent under this token. `sent`: a start is out or unanswered. The others
 * are what the worker reported.
 */
export type PlacementState =
  | "loaded"
  | "planned"
  | "sent"
  | "pulling image"
  | "waiting"
  | "running"
  | "checkpointing";

export interface StopRequest {
  readonly why: string;
  readonly graceS: number;
  sentAt: number;
}

export class Placement {
  state: PlacementState = "planned";
  /** Direct start commands on the wire. */
  startsInFlight = 0;
  stop: StopRequest | null = null;
  sentAt = Number.NEGATIVE_INFINITY;
  readonly placedAt: number;
  runningSince = 0;
  /**
   * A gang task whose machine has the image long before those of its mates: it starts once one of
   * these has it too, or after so many seconds.
   */
  startDelayS = 0;
  /** Its start was seen under this leader, so that its run time is known. */
  hasKnownStart = false;

  constructor(
    readonly job: ActiveJob,
    readonly task: number,
    readonly attempt: number,
    readonly machine: Machine,
    readonly incarnation: number,
    /** The job's version that must be stored before a start is sent. */
    readonly version: number,
    now: number,
  ) {
    this.placedAt = now;
  }

  get key(): string {
    return taskKey(this.job.spec.id, this.task, this.attempt);
  }

  /** It is held, and none of its mates has the image yet. */
  waitsForGangPeers(now: number): boolean {
    if (this.startDelayS === 0 || now - this.placedAt >= this.startDelayS) return false;
    for (const q of this.job.placements.values()) {
      if (q.state === "waiting" || q.state === "running") return false;
    }
    return true;
  }
}

export const taskKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}#${attempt}`;
