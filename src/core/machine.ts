/** A rented machine as the leader knows it: what its worker last said, and what is placed on it. */
import type { LiveJob } from "./live-job.js";
import { AMOUNT_TOLERANCE, type JobSpec, type MachineType } from "./model.js";
import type { Placement } from "./placement.js";

export interface EndedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  /** Job version that must be stored before the worker may forget it. */
  readonly version: number;
}

export class Machine {
  address = "";
  session = 0;
  seq = -1;
  /** The worker has answered under the present token, so older commands are dropped there. */
  fenced = false;
  /** It has seen a token of this leader: what a former one answers is dropped there. */
  ours = false;
  /** `booting` until its worker is heard, `gone` once proven. */
  state: "booting" | "up" | "returning" | "gone" = "booting";
  /** Last time a message from the worker arrived. */
  lastHeard = Number.NEGATIVE_INFINITY;
  /**
   * Last time a report of its own came, or when it was first heard. A machine that answers direct requests
   * but reaches no controller loses its lease, and with it all that was placed there.
   */
  reportedAt = Number.NEGATIVE_INFINITY;
  /** Latest time at which any leader can have renewed the worker's lease. */
  lastRenewed = Number.NEGATIVE_INFINITY;
  /** Time at which the cloud takes it, when told. */
  takenAt: number | null = null;
  bootingSince = 0;
  /** A direct request is outstanding. */
  busy = false;
  directAfter = Number.NEGATIVE_INFINITY;
  idleSince: number;
  /** Direct requests since it was last heard that got no answer. */
  unanswered = 0;
  /**
   * Since when direct requests get no answer, whatever is heard of it. Its reports may arrive while
   * neither answers nor commands reach it.
   */
  deafSince: number | null = null;
  stored = false;
  /** Its stored record describes it wrongly. */
  recordChanged = false;
  readonly placements = new Map<string, Placement>();
  readonly ended = new Map<string, EndedTask>();
  /** Starts sent without an answer, by the token they carried: they may still arrive. */
  readonly unansweredStarts = new Map<string, number>();
  /** Images it holds or fetches, with the time of last use and size. */
  readonly images = new Map<string, { at: number; gb: number; ready: boolean }>();
  /** Jobs of which a task failed here, and when, until it is known who was at fault. */
  readonly failures = new Map<LiveJob, number>();
  /** Tasks that took far longer here than others of their job. */
  readonly slowTasks = new Set<string>();
  /** Not used for new work; it is returned once empty. */
  drain: string | null = null;
  refusedUntil = Number.NEGATIVE_INFINITY;
  /** The weakest hold of any task on it, as of the last pass: who is no stronger finds nothing here. */
  weakest = -1;
  /** Room being made for a job by stopping others, or, in this pass, held for one. */
  reservedFor: { job: LiveJob; until: number; held: boolean } | null = null;
  cpusUsed = 0;
  gpusUsed = 0;
  memoryUsed = 0;

  /** Its worker has said what kind of machine it is, which nothing else overrules. */
  selfDescribed = false;

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
  get freeMemory(): number {
    return this.type.memoryGb - this.memoryUsed;
  }
}

/** How many tasks of this shape fit into these amounts. */
export function slots(spec: JobSpec, cpus: number, gpus: number, memory: number): number {
  let n = Number.MAX_SAFE_INTEGER;
  if (spec.cpus > 0) n = Math.min(n, Math.floor((cpus + AMOUNT_TOLERANCE) / spec.cpus));
  if (spec.gpus > 0) n = Math.min(n, Math.floor((gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.memoryGb > 0) n = Math.min(n, Math.floor((memory + AMOUNT_TOLERANCE) / spec.memoryGb));
  return Math.max(0, n);
}
