/** The terms of admission control: windows, grants, ledgers and decisions. */
import type { JobSpec } from "../core/model/jobs.js";

/** Amounts of the resources that are shared. */
export interface ResourceVector {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

export const RESOURCES = ["cpus", "gpus", "memoryGb"] as const;
export type Resource = (typeof RESOURCES)[number];

export const NO_RESOURCES: ResourceVector = { cpus: 0, gpus: 0, memoryGb: 0 };

export function addResources(a: ResourceVector, b: ResourceVector): ResourceVector {
  return { cpus: a.cpus + b.cpus, gpus: a.gpus + b.gpus, memoryGb: a.memoryGb + b.memoryGb };
}

export function scaleResources(a: ResourceVector, factor: number): ResourceVector {
  return { cpus: a.cpus * factor, gpus: a.gpus * factor, memoryGb: a.memoryGb * factor };
}

/** What so many tasks of a job take together. */
export function resourcesOf(job: JobSpec, tasks: number): ResourceVector {
  return scaleResources(job, tasks);
}

/**
 * The whole of a cluster's dominant resource, in the units in which grants and claims are counted. Integers, so that
 * sums are exact and the same at every controller.
 */
export const WHOLE_SHARE = 100_000_000;

/** A grant that binds nobody. */
export const UNLIMITED = Number.MAX_SAFE_INTEGER;

/**
 * New work and followers (jobs that name others which must be done first) are granted apart: a flood of new work
 * cannot use up what the later jobs of accepted pipelines need.
 */
export type Lane = "new" | "follower";

export function laneOf(job: JobSpec): Lane {
  return (job.after?.length ?? 0) > 0 ? "follower" : "new";
}

/** What one class of a team may be admitted in a window, for each lane, in units of `WHOLE`. */
export interface Grant {
  readonly team: string;
  /** Null: all classes of the team that the window does not name. */
  readonly class: string | null;
  readonly lanes: Readonly<Record<Lane, number>>;
}

/** The leader's record of what may be admitted until the next one. */
export interface AdmissionWindow {
  readonly version: number;
  /** Term under which it was written; under another one it is not in force. */
  readonly epoch: number;
  /** `open`: everything is admitted. */
  readonly mode: "open" | "limited";
  /** What grants are parts of. */
  readonly capacity: ResourceVector;
  readonly grants: readonly Grant[];
  /** Names of the calendar's periods that the grants follow. */
  readonly periods: readonly string[];
}

/** What a team was admitted in one window: units used, by class (as the window names them) and lane. */
export interface TeamLedger {
  readonly window: number;
  readonly used: ReadonlyMap<string, Readonly<Record<Lane, number>>>;
}

/** What one controller refused of a class in a window. */
export interface RefusedClass {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  /** Different jobs, those included whose ids do not fit. */
  readonly jobs: number;
  readonly resources: ResourceVector;
  /** As many of the jobs' ids as fit. */
  readonly ids: readonly string[];
}

/** A controller's aggregated rejections in a window. */
export interface RejectionRecord {
  readonly member: string;
  readonly window: number;
  /** Counts the records of this controller. */
  readonly sequence: number;
  readonly classes: readonly RefusedClass[];
}

export type DecisionReason =
  /** No window limits admission. */
  | "open"
  /** The class had some of its grant left. */
  | "within share"
  /** The grant of the class is used up. */
  | "share used"
  /** Stored by a controller without admission control; charged by the next window. */
  | "not charged";

export interface Verdict {
  readonly admitted: boolean;
  readonly reason: DecisionReason;
  /** Units that an admitted job takes from its grant; 0 where none is charged. */
  readonly claim: number;
}

/** One line of the decision log, the same at every controller. */
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
      /** Null: jobs that were only counted, as their ids did not fit. */
      readonly job: string | null;
      readonly jobs: number;
      readonly team: string;
      readonly class: string;
      readonly lane: Lane;
      readonly reason: DecisionReason;
    }
  /**
   * What was stored before this revision was read as a whole: its single decisions, and all rejections of windows up to
   * this one, are not in this controller's log.
   */
  | { readonly kind: "reread"; readonly revision: number; readonly window: number };
