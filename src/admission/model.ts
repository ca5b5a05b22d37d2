/** Types of admission control: resources, windows, grants, ledgers, rejections and decisions. */
import type { JobSpec } from "../core/model/jobs.js";

/** Amounts of the resources that admission control distributes: CPU cores, GPUs and gigabytes of memory. */
export interface ResourceVector {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The field names of `ResourceVector`, for code that handles all resources in the same way. */
export const RESOURCES = ["cpus", "gpus", "memoryGb"] as const;
/** A resource type, one of `RESOURCES`. */
export type Resource = (typeof RESOURCES)[number];

/**
 * The zero vector: the initial value of sums, the capacity in a window that does not limit admission, and the bounds
 * of a team without a guarantee.
 */
export const NO_RESOURCES: ResourceVector = { cpus: 0, gpus: 0, memoryGb: 0 };

/** Returns the sum of two vectors, resource by resource; neither argument is changed. */
export function addResources(left: ResourceVector, right: ResourceVector): ResourceVector {
  return {
    cpus: left.cpus + right.cpus,
    gpus: left.gpus + right.gpus,
    memoryGb: left.memoryGb + right.memoryGb,
  };
}

/** Returns the vector with each amount multiplied by `factor`; the argument is not changed. */
export function scaleResources(resources: ResourceVector, factor: number): ResourceVector {
  return {
    cpus: resources.cpus * factor,
    gpus: resources.gpus * factor,
    memoryGb: resources.memoryGb * factor,
  };
}

/** Returns the resources that a number of tasks of a job use in total. */
export function resourcesOf(job: JobSpec, tasks: number): ResourceVector {
  return scaleResources(job, tasks);
}

/**
 * Number of units into which the cluster's capacity for the dominant resource is divided. Grants and claims are
 * integer numbers of these units, so that sums are exact and identical on every controller.
 */
export const WHOLE_SHARE = 100_000_000;

/** Size of a grant that does not limit admission, in the units of `WHOLE_SHARE`. */
export const UNLIMITED = Number.MAX_SAFE_INTEGER;

/**
 * The category of a job for grants and charges. Jobs without dependencies (`new`) and jobs with dependencies
 * (`follower`) have separate grants, so that a flood of new work cannot use up the grants that later jobs of accepted
 * pipelines need.
 */
export type Lane = "new" | "follower";

/** Returns the lane of a job: `follower` if it depends on other jobs, otherwise `new`. */
export function laneOf(job: JobSpec): Lane {
  return (job.after?.length ?? 0) > 0 ? "follower" : "new";
}

/** The amount of work of one class of a team that may be admitted in a window, by lane, in units of `WHOLE_SHARE`. */
export interface Grant {
  readonly team: string;
  /** Null in the grant for all classes of the team that have no grant of their own. */
  readonly class: string | null;
  readonly lanes: Readonly<Record<Lane, number>>;
}

/** The grants that the leader stores, which limit admission until it stores the next window. */
export interface AdmissionWindow {
  /** Number of the window; each window has the version of its predecessor plus 1. */
  readonly version: number;
  /** Leadership epoch in which the window was stored. The window is not in force in any other epoch. */
  readonly epoch: number;
  /** `open` if every job is admitted, `limited` if the grants apply. */
  readonly mode: "open" | "limited";
  /** The cluster capacity of which the grants are shares. */
  readonly capacity: ResourceVector;
  readonly grants: readonly Grant[];
  /** Names of the weight calendar's periods that were active when the leader computed the grants. */
  readonly periods: readonly string[];
}

/**
 * The work charged to a team in one window, in the units of `WHOLE_SHARE`, by class and lane. All classes without a
 * grant of their own share one entry.
 */
export interface TeamLedger {
  /** Version of the window. */
  readonly window: number;
  readonly used: ReadonlyMap<string, Readonly<Record<Lane, number>>>;
}

/** The jobs of one class and lane that one controller rejected (here also called refused) in a window. */
export interface RefusedClass {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  /** Number of distinct jobs, including those whose ids did not fit into the record. */
  readonly jobs: number;
  readonly resources: ResourceVector;
  /** Ids of the jobs, as many as fit into the record. */
  readonly ids: readonly string[];
}

/** The rejections of one controller in one window, aggregated by class and lane. */
export interface RejectionRecord {
  readonly member: string;
  /** Version of the window. */
  readonly window: number;
  /** Sequence number of the record among those of this controller. */
  readonly sequence: number;
  readonly classes: readonly RefusedClass[];
}

/** Why a job was admitted or rejected. */
export type DecisionReason =
  /** Admitted: no window limits admission. */
  | "open"
  /** Admitted: the grant of the class was not used up. */
  | "within share"
  /** Rejected: the grant of the class is used up. */
  | "share used"
  /** Stored by a controller without admission control. The job counts as unfinished work in the next window. */
  | "not charged";

/** The decision on one job. */
export interface Verdict {
  readonly admitted: boolean;
  readonly reason: DecisionReason;
  /** Charge to the grant if the job is admitted, in the units of `WHOLE_SHARE`; 0 if nothing is charged. */
  readonly claim: number;
}

/** An entry of the decision log, identical on every controller. It is logged under these field names. */
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
      /** Null for jobs that were only counted because their ids did not fit into the record. */
      readonly job: string | null;
      readonly jobs: number;
      readonly team: string;
      readonly class: string;
      readonly lane: Lane;
      readonly reason: DecisionReason;
    }
  /**
   * Records that the controller obtained the state at this revision by a full read. Its log lacks the individual
   * decisions before this revision, and all rejections in this window and earlier ones.
   */
  | { readonly kind: "reread"; readonly revision: number; readonly window: number };
