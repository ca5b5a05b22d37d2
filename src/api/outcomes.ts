/** How requests end: what the controller answers the HTTP server. Each is a union discriminated by its `kind`. */
import type { JobView } from "../core/model/jobs.js";
import type { WorkerCommand } from "../core/model/workers.js";

/** How a conditional write of a submission or a cancellation ended. */
export type WriteResult =
  | { readonly kind: "ok" }
  /** One of its keys existed already: the job is known, and a read returns its state. */
  | { readonly kind: "known" }
  /** Nothing is certain; the client may send the same request again. */
  | { readonly kind: "unavailable" };

/** The job can never be stored, or depends on a job that was never accepted. */
interface NeverPossible {
  readonly kind: "never";
}

/** How the writer's part of a submission ended. */
export type SubmissionWriteResult =
  | WriteResult
  | NeverPossible
  /** By the submission gate, as far as this node has read the stored state. */
  | { readonly kind: "refused" };

/** How a submission ended. */
export type SubmissionOutcome =
  | WriteResult
  | NeverPossible
  /** By admission control; the client may come back later. */
  | { readonly kind: "rejected"; readonly retryAfterS: number };

/** How a linearizable read of one job ended. */
export type JobReadResult =
  | { readonly kind: "found"; readonly job: JobView }
  /** The job was never accepted. */
  | { readonly kind: "not found" }
  /** This node does not know. */
  | { readonly kind: "unavailable" };

/** Whether a job can ever run. */
export type Feasibility =
  | { readonly kind: "feasible" }
  | { readonly kind: "infeasible" }
  /** The machine types are not known yet. */
  | { readonly kind: "unknown" };

/** How a worker heartbeat is answered. */
export type HeartbeatAnswer =
  | {
      readonly kind: "answer";
      readonly fencingToken: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** To the leader's member name; null: no leader is known. */
  | { readonly kind: "redirect"; readonly leader: string | null }
  | { readonly kind: "unavailable" };

// Outcomes without further values, each made once.

/** Stored. */
export const OK = { kind: "ok" } as const;
/** The job is known. */
export const KNOWN = { kind: "known" } as const;
/** Nothing is certain. */
export const UNAVAILABLE = { kind: "unavailable" } as const;
/** The job can never be stored. */
export const NEVER = { kind: "never" } as const;
/** The submission gate refused. */
export const REFUSED = { kind: "refused" } as const;
