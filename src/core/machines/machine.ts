/** A provisioned machine as the leader knows it: what its worker last said, and what is placed on it. */

import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { AMOUNT_TOLERANCE } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";

/** An attempt that is exited in the worker's heartbeats, and that it was not yet sent a `forget` command for. */
export interface ExitedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  /** Job version that must be persisted before the worker may forget it. */
  readonly version: number;
}

/** An image on the machine, or being pulled to it. */
export interface CachedImage {
  lastUsedAt: number;
  readonly sizeGb: number;
  /** False while it is being pulled. */
  isPulled: boolean;
}

/** Capacity that is gathered for a job. */
export interface CapacityReservation {
  readonly job: ActiveJob;
  readonly until: number;
  /** Free capacity is held for the job in this scheduling cycle; otherwise tasks are preempted for it. */
  readonly held: boolean;
}

/**
 * `booting` until the first message of its worker, `releasing` once its release is requested, `terminated` once the cloud
 * has confirmed that.
 */
export type MachineState = "booting" | "up" | "releasing" | "terminated";

/**
 * A machine. Times are in seconds of the leader's clock, as everywhere in the core.
 *
 * Several flags make up one state. They stay single fields because each is read on its own, for every machine:
 *
 * | What is known of the worker | `state` | `incarnation` | `hasMetThisLeader` | `hasAcknowledgedToken` |
 * | --- | --- | --- | --- | --- |
 * | No message yet | `booting` | 0 | false | false |
 * | Only from the record or placements of a former leader | `up` | as placed, or 0 | false | false |
 * | It has answered, under a former fencing token | `up` | > 0 | false | false |
 * | It has acknowledged the present token: starts may be sent | `up` | > 0 | true | true |
 * | The token was advanced since | `up` | > 0 | true | false |
 *
 * | Can it be reached? | `lastMessageAt` | `unreachableSince` | `consecutiveFailedRequests` |
 * | --- | --- | --- | --- |
 * | Yes | recent | null | 0 |
 * | Its heartbeats arrive, but direct requests get no answer | recent | set | 0 after each heartbeat |
 * | No message arrives | long ago | set once a request failed | 1 or more |
 *
 * | Its record | `isPersisted` | `isRecordOutdated` |
 * | --- | --- | --- |
 * | Is to be written: nothing is placed on the machine before | false | false |
 * | Is stored | true | false |
 * | Is stored, and describes another kind of machine | true | true until corrected |
 */
export class Machine {
  address = "";
  state: MachineState = "booting";
  bootingSince: number;
  idleSince: number;
  /** Its worker has said what kind of machine it is, which nothing else overrules. */
  isSelfDescribed = false;

  /** The worker's incarnation that the leader knows. */
  incarnation = 0;
  /** Sequence number of the last heartbeat of this incarnation. */
  sequence = -1;
  /** The worker has answered under the present fencing token, so it drops older commands. */
  hasAcknowledgedToken = false;
  /** It has seen a fencing token of this leader: it drops what a former one answers. */
  hasMetThisLeader = false;

  /** Last time a message of any sort from the worker arrived. */
  lastMessageAt = Number.NEGATIVE_INFINITY;
  /**
   * Last time a heartbeat arrived that the worker sent by itself, or when its first message did. A machine that answers
   * direct requests but reaches no controller loses its lease, and with it all that was placed there.
   */
  lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  /** Latest time at which any leader can have renewed the worker's lease. */
  leaseRenewedAt = Number.NEGATIVE_INFINITY;
  /** Time at which the cloud takes the spot machine, once it has given notice. */
  interruptionAt: number | null = null;

  /** A direct request is in flight. */
  hasRequestInFlight = false;
  nextRequestAt = Number.NEGATIVE_INFINITY;
  /** Direct requests without an answer since the last message. */
  consecutiveFailedRequests = 0;
  /**
   * Since when direct requests get no answer, whatever else arrives: heartbeats may, while neither answers nor commands
   * get through.
   */
  unreachableSince: number | null = null;

  /** Its record is stored. */
  isPersisted = false;
  /** Its stored record describes it wrongly. */
  isRecordOutdated = false;

  /** What is placed here, by `taskKey`. */
  readonly placements = new Map<string, Placement>();
  /** By `taskKey`. */
  readonly exitedTasks = new Map<string, ExitedTask>();
  /** Starts that were sent and not answered, with the fencing token they carried: they may still arrive. */
  readonly unansweredStarts = new Map<string, number>();
  /** Images by name. */
  readonly images = new Map<string, CachedImage>();
  cpusUsed = 0;
  gpusUsed = 0;
  memoryUsedGb = 0;

  /** Jobs of which a task failed here, and when, until the fault is attributed. */
  readonly failedJobs = new Map<ActiveJob, number>();
  /** Tasks, by `taskKey`, that ran far longer here than others of their job. */
  readonly slowTasks = new Set<string>();
  /** Why it takes no new tasks and is released once empty; null: it is not drained. */
  drainReason: string | null = null;
  /** It takes no new tasks until then. */
  backoffUntil = Number.NEGATIVE_INFINITY;
  /** Weakest precedence of any task here, as of the last scheduling cycle: a job that is no stronger preempts nothing. */
  weakestPrecedence = -1;
  reservation: CapacityReservation | null = null;

  constructor(
    readonly name: string,
    public type: MachineType,
    public zone: string,
    public spot: boolean,
    now: number,
  ) {
    this.idleSince = now;
    this.bootingSince = now;
  }

  get freeCpus(): number {
    return this.type.cpus - this.cpusUsed;
  }

  get freeGpus(): number {
    return this.type.gpus - this.gpusUsed;
  }

  get freeMemoryGb(): number {
    return this.type.memoryGb - this.memoryUsedGb;
  }
}

/** How many tasks of a job fit into these amounts. */
export function taskSlots(spec: JobSpec, cpus: number, gpus: number, memoryGb: number): number {
  let slots = Number.MAX_SAFE_INTEGER;
  if (spec.cpus > 0) slots = Math.min(slots, Math.floor((cpus + AMOUNT_TOLERANCE) / spec.cpus));
  if (spec.gpus > 0) slots = Math.min(slots, Math.floor((gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.memoryGb > 0) {
    slots = Math.min(slots, Math.floor((memoryGb + AMOUNT_TOLERANCE) / spec.memoryGb));
  }
  return Math.max(0, slots);
}
