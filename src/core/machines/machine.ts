/** A rented machine as the leader knows it: what its worker last said, and what is placed on it. */

import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { AMOUNT_TOLERANCE } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";

export interface ExitedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  /** Job version that must be stored before the worker may forget it. */
  readonly version: number;
}

export class Machine {
  address = "";
  incarnation = 0;
  sequence = -1;
  /** The worker has answered under the present token, so older commands are dropped there. */
  hasAcknowledgedToken = false;
  /** It has seen a token of this leader: what a former one answers is dropped there. */
  hasMetThisLeader = false;
  /** `booting` until its worker is heard, `gone` once proven. */
  state: "booting" | "up" | "returning" | "gone" = "booting";
  /** Last time a message from the worker arrived. */
  lastMessageAt = Number.NEGATIVE_INFINITY;
  /**
   * Last time a report of its own came, or when it was first heard. A machine that answers direct requests
   * but reaches no controller loses its lease, and with it all that was placed there.
   */
  lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  /** Latest time at which any leader can have renewed the worker's lease. */
  leaseRenewedAt = Number.NEGATIVE_INFINITY;
  /** Time at which the cloud takes it, when told. */
  interruptionAt: number | null = null;
  bootingSince = 0;
  /** A direct request is outstanding. */
  hasRequestInFlight = false;
  nextRequestAt = Number.NEGATIVE_INFINITY;
  idleSince: number;
  /** Direct requests since it was last heard that got no answer. */
  consecutiveFailedRequests = 0;
  /**
   * Since when direct requests get no answer, whatever is heard of it. Its reports may arrive while
   * neither answers nor commands reach it.
   */
  unreachableSince: number | null = null;
  isPersisted = false;
  /** Its stored record describes it wrongly. */
  isRecordOutdated = false;
  readonly placements = new Map<string, Placement>();
  readonly exitedTasks = new Map<string, ExitedTask>();
  /** Starts sent without an answer, by the token they carried: they may still arrive. */
  readonly unansweredStarts = new Map<string, number>();
  /** Images it holds or fetches, with the time of last use and size. */
  readonly images = new Map<string, { at: number; gb: number; ready: boolean }>();
  /** Jobs of which a task failed here, and when, until it is known who was at fault. */
  readonly failedJobs = new Map<ActiveJob, number>();
  /** Tasks that took far longer here than others of their job. */
  readonly slowTasks = new Set<string>();
  /** Not used for new work; it is returned once empty. */
  drainReason: string | null = null;
  backoffUntil = Number.NEGATIVE_INFINITY;
  /** The weakest hold of any task on it, as of the last pass: who is no stronger finds nothing here. */
  weakestPrecedence = -1;
  /** Room being made for a job by stopping others, or, in this pass, held for one. */
  reservation: { job: ActiveJob; until: number; held: boolean } | null = null;
  cpusUsed = 0;
  gpusUsed = 0;
  memoryUsedGb = 0;

  /** Its worker has said what kind of machine it is, which nothing else overrules. */
  isSelfDescribed = false;

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

/** How many tasks of this shape fit into these amounts. */
export function taskSlots(spec: JobSpec, cpus: number, gpus: number, memory: number): number {
  let n = Number.MAX_SAFE_INTEGER;
  if (spec.cpus > 0) n = Math.min(n, Math.floor((cpus + AMOUNT_TOLERANCE) / spec.cpus));
  if (spec.gpus > 0) n = Math.min(n, Math.floor((gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.memoryGb > 0) n = Math.min(n, Math.floor((memory + AMOUNT_TOLERANCE) / spec.memoryGb));
  return Math.max(0, n);
}
