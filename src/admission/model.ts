/** The types of admission control: resources, windows, grants, ledgers, rejections and decisions. */
import type { JobSpec } from "../core/model/jobs.js";

/** Amounts of the resources that are distributed: CPU cores, GPUs and gigabytes of memory. */
export interface ResourceVector {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The kinds of resources. */
export const RESOURCES = ["cpus", "gpus", "memoryGb"] as const;
/** One kind of resource. */
export type Resource = (typeof RESOURCES)[number];

/** Nothing of any resource. */
export const NO_RESOURCES: ResourceVector = { cpus: 0, gpus: 0, memoryGb: 0 };

/** The sum of two vectors. */
export function addResources(left: ResourceVector, right: ResourceVector): ResourceVector {
  return {
    cpus: left.cpus + right.cpus,
    gpus: left.gpus + right.gpus,
    memoryGb: left.memoryGb + right.memoryGb,
  };
}

/** A multiple of a vector. */
export function scaleResources(resources: ResourceVector, factor: number): ResourceVector {
  return {
    cpus: resources.cpus * factor,
    gpus: resources.gpus * factor,
    memoryGb: resources.memoryGb * factor,
  };
}

/** What a number of tasks of a job use together. */
export function resourcesOf(job: JobSpec, tasks: number): ResourceVector {
  return scaleResources(job, tasks);
}

/**
 * Number of units that the whole capacity of a cluster's dominant resource has. Grants and claims are counted in these
 * units: integers, so that sums are exact and the same at every controller.
 */
export const WHOLE_SHARE = 100_000_000;

/** A grant without a limit, in units of `WHOLE_SHARE`. */
export const UNLIMITED = Number.MAX_SAFE_INTEGER;

/**
 * The lane that a job is granted and charged in. New work and followers (jobs with dependencies) have separate grants, so
 * that a flood of new work cannot use up what the later jobs of accepted pipelines need.
 */
export type Lane = "new" | "follower";

/** The lane of a job. */
export function laneOf(job: JobSpec): Lane {
  return (job.after?.length ?? 0) > 0 ? "follower" : "new";
}

/** What one class of a team may be admitted in a window, by lane, in units of `WHOLE_SHARE`. */
export interface Grant {
  readonly team: string;
  /** Null: all classes of the team that the window does not name. */
  readonly class: string | null;
  readonly lanes: Readonly<Record<Lane, number>>;
}

/** The leader's record of what may be admitted until it stores the next one. */
export interface AdmissionWindow {
  /** Counts the windows. */
  readonly version: number;
  /** Epoch of the leadership that wrote it; in another epoch it is not in force. */
  readonly epoch: number;
  /** `open`: everything is admitted. */
  readonly mode: "open" | "limited";
  /** The capacity that shares refer to. */
  readonly capacity: ResourceVector;
  readonly grants: readonly Grant[];
  /** Names of the calendar's periods that were active when the leader computed the grants. */
  readonly periods: readonly string[];
}

/** What a team was admitted in one window, in units of `WHOLE_SHARE`, by class (as the window names them) and lane. */
export interface TeamLedger {
  /** Version of the window. */
  readonly window: number;
  readonly used: ReadonlyMap<string, Readonly<Record<Lane, number>>>;
}

/** What one controller rejected of a class in a window. */
export interface RefusedClass {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  /** Number of distinct jobs, including those whose ids did not fit the record. */
  readonly jobs: number;
  readonly resources: ResourceVector;
  /** The jobs' ids, as many as fit the record. */
  readonly ids: readonly string[];
}

/** A controller's aggregated rejections in one window. */
export interface RejectionRecord {
  readonly member: string;
  /** Version of the window. */
  readonly window: number;
  /** Counts the records of this controller. */
  readonly sequence: number;
  readonly classes: readonly RefusedClass[];
}

/** Why a job was admitted or rejected. */
export type DecisionReason =
  /** No window limits admission. */
  | "open"
  /** Some of the grant of the class was left. */
  | "within share"
  /** The grant of the class is used up. */
  | "share used"
  /** Stored by a controller without admission control; counts as unfinished work in the next window. */
  | "not charged";

/** The decision on one job. */
export interface Verdict {
  readonly admitted: boolean;
  readonly reason: DecisionReason;
  /** Units of `WHOLE_SHARE` charged to the grant of an admitted job; 0: none is charged. */
  readonly claim: number;
}

/** One line of the decision log, the same at every controller. Its fields are logged as they are. */
export type LoggedDecision =
  | {
      readonly kind: "admit";
      readonly revision: number;
      readonly window: number;
      readonly job: string;
      readonly team: string;
      readonly class: string;
      readonly lane: Lane;
      readonly reason: DecisionReason;
    }
  | {
      readonly kind: "reject";
      readonly revision: number;
      readonly window: number;
      /** Null: jobs that were only counted, since their ids did not fit the record. */
      readonly job: string | null;
      readonly jobs: number;
      readonly team: string;
      readonly class: string;
      readonly lane: Lane;
      readonly reason: DecisionReason;
    }
  /**
   * Everything up to this revision came with a full read: the single decisions before it, and all rejections of windows
   * up to this one, are missing from this controller's log.
   */
  | { readonly kind: "reread"; readonly revision: number; readonly window: number };
