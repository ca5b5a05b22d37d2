/** The leader's record of a provisioned machine: the last known state of its worker and the tasks placed on it. */

import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { AMOUNT_TOLERANCE, MAXIMUM_TASKS_PER_MACHINE } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";

/** An attempt that the worker's heartbeats list as exited, which they do until a `forget` command is executed. */
export interface ExitedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  /** Job version that must be stored before the worker may forget the attempt. */
  readonly version: number;
}

/** An image that is on the machine or is being pulled to it. */
export interface CachedImage {
  lastUsedAt: number;
  readonly sizeGb: number;
  /** False while the image is being pulled. */
  isPulled: boolean;
}

/** Reservation of a machine's capacity for a waiting job, until the monotonic time `until`, in seconds. */
export interface CapacityReservation {
  readonly job: ActiveJob;
  readonly until: number;
  /**
   * `held`: capacity is held for the job during this scheduling cycle, some of which is free. `awaited`: the same, and
   * nothing is free yet for a task of the job, which waits for the tasks on the machine to end. `being freed`: tasks
   * are preempted for the job.
   */
  readonly kind: "held" | "awaited" | "being freed";
}

/**
 * A machine is `booting` until the first message of its worker arrives, `releasing` once its release is requested,
 * and `terminated` once the cloud has confirmed the release.
 */
export type MachineState = "booting" | "up" | "releasing" | "terminated";

/**
 * A machine. Times are read from the leader's monotonic clock, in seconds, as everywhere in `src/core`.
 *
 * Each table shows several fields that together describe one aspect of the state. They are separate fields because
 * each is read on its own, for every machine.
 *
 * | Knowledge of the worker | `state` | `incarnation` | `hasAcknowledgedToken` |
 * | --- | --- | --- | --- |
 * | No message yet | `booting` | 0 | false |
 * | Only a previous leader's record or placements | `up` | that of the placements, or 0 | false |
 * | It has sent a message, but under a previous leader's fencing token | `up` | > 0 | false |
 * | It has acknowledged a token of this term: start commands may be sent | `up` | > 0 | true |
 *
 * | Reachability | `lastMessageAt` | `unreachableSince` | `consecutiveFailedRequests` |
 * | --- | --- | --- | --- |
 * | Reachable | recent | null | 0 |
 * | Its heartbeats arrive, but direct requests are not answered | recent | set | 0 after each heartbeat |
 * | No message arrives | long ago | set once a request failed | 1 or more |
 *
 * | Stored record | `isPersisted` | `isRecordOutdated` |
 * | --- | --- | --- |
 * | Not written yet: until it is, nothing is placed on the machine | false | false |
 * | Stored | true | false |
 * | Stored, with a wrong machine type, zone or spot flag | true | true until corrected |
 */
export class Machine {
  address = "";
  state: MachineState = "booting";
  bootingSince: number;
  idleSince: number;
  /** The worker has reported its type, zone and spot flag; this overrides the cloud's list and the stored record. */
  isSelfDescribed = false;

  /** The last known incarnation of the worker. */
  incarnation = 0;
  /** Sequence number of the last heartbeat in this incarnation. */
  sequence = -1;
  /** The worker has seen a fencing token of this leader's term, so it drops messages of previous leaders. */
  hasAcknowledgedToken = false;
  /** Highest fencing token that the worker reported. */
  acknowledgedToken = 0;
  /** Highest fencing token of this term that was sent to the worker, or is to be sent next (`WorkerFencing`). */
  fencingToken = 0;
  /** Highest fencing token with which a start command was sent to the worker in this term; 0: none was sent. */
  lastStartToken = 0;

  /**
   * Time at which the last message of any kind arrived from the worker. If none has arrived yet from a machine of a
   * previous leader, the start of this leader's term.
   */
  lastMessageAt = Number.NEGATIVE_INFINITY;
  /**
   * Time of the last heartbeat that the worker sent unprompted, or of its first message if it has sent none. A worker
   * that answers direct requests but cannot reach a controller loses its lease, and with it all its tasks.
   */
  lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  /** Latest time at which this or a previous leader can have renewed the worker's lease. */
  leaseRenewedAt = Number.NEGATIVE_INFINITY;
  /** Time at which the cloud reclaims the spot machine; null until it has given an interruption notice. */
  interruptionAt: number | null = null;

  /** A direct request is in flight. */
  hasRequestInFlight = false;
  /** Time before which no direct request is sent to the worker. */
  nextRequestAt = Number.NEGATIVE_INFINITY;
  /** Number of unanswered direct requests since the last message. */
  consecutiveFailedRequests = 0;
  /**
   * Time since which direct requests have not been answered, or null. Heartbeats may still arrive meanwhile, although
   * neither commands nor answers get through.
   */
  unreachableSince: number | null = null;

  /** The machine's record is stored. */
  isPersisted = false;
  /** The stored record has a wrong type, zone or spot flag. */
  isRecordOutdated = false;

  /** Placements on this machine, by `taskKey`. */
  readonly placements = new Map<string, Placement>();
  /** Exited attempts that the worker still lists, by `taskKey`. */
  readonly exitedTasks = new Map<string, ExitedTask>();
  /** Fencing tokens of start commands that were sent and not answered, by `taskKey`. Each may still arrive. */
  readonly unansweredStarts = new Map<string, number>();
  /** Images by name. */
  readonly images = new Map<string, CachedImage>();
  cpusUsed = 0;
  gpusUsed = 0;
  memoryUsedGb = 0;

  /** Jobs of which a task failed here, with the time of the last failure, until the fault is attributed. */
  readonly failedJobs = new Map<ActiveJob, number>();
  /** `taskKey`s of tasks that ran far longer here than the median of their job; kept after the tasks have ended. */
  readonly slowTasks = new Set<string>();
  /** Reason for draining: the machine accepts no new tasks and is released once empty. Null: it is not drained. */
  drainReason: string | null = null;
  /** Time until which the machine accepts no new tasks. */
  backoffUntil = Number.NEGATIVE_INFINITY;
  /**
   * Weakest precedence of the tasks here, apart from those being stopped, as of the last scheduling cycle. A higher
   * number is weaker; -1: no task. Only a job with a stronger precedence can preempt a task here.
   */
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

/**
 * Number of tasks of a job that fit into the given amounts of CPUs, GPUs and memory of one machine, which holds
 * `MAXIMUM_TASKS_PER_MACHINE` at most.
 */
export function taskSlots(spec: JobSpec, cpus: number, gpus: number, memoryGb: number): number {
  let slots = MAXIMUM_TASKS_PER_MACHINE;
  if (spec.cpus > 0) slots = Math.min(slots, Math.floor((cpus + AMOUNT_TOLERANCE) / spec.cpus));
  if (spec.gpus > 0) slots = Math.min(slots, Math.floor((gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.memoryGb > 0) {
    slots = Math.min(slots, Math.floor((memoryGb + AMOUNT_TOLERANCE) / spec.memoryGb));
  }
  return Math.max(0, slots);
}

/** Number of tasks of a job that fit on the machine beside the tasks that it has, and those that its worker lists. */
export function freeTaskSlots(spec: JobSpec, machine: Machine): number {
  const { freeCpus, freeGpus, freeMemoryGb, placements, exitedTasks } = machine;
  const unusedEntries = MAXIMUM_TASKS_PER_MACHINE - placements.size - exitedTasks.size;
  return Math.max(0, Math.min(unusedEntries, taskSlots(spec, freeCpus, freeGpus, freeMemoryGb)));
}
