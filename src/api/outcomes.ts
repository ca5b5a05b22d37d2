/** Results that the controller returns to the HTTP server. Each is a union discriminated by its `kind`. */
import type { JobView } from "../core/model/jobs.js";
import type { WorkerCommand } from "../core/model/workers.js";

/** The result of the conditional write of a submission or a cancellation. */
export type WriteResult =
  | { readonly kind: "ok" }
  /** One of the keys existed already: the job is known, and a read returns its state. */
  | { readonly kind: "known" }
  /** The write may or may not have been executed; the client may send the same request again. */
  | { readonly kind: "unavailable" };

/** The job can never be stored, or depends on a job that was never accepted. */
interface NeverPossible {
  readonly kind: "never";
}

/** The result of one attempt to write a submission. */
export type SubmissionWriteResult =
  | WriteResult
  | NeverPossible
  /** The submission gate rejected the job on the basis of the state that this node has read so far. */
  | { readonly kind: "refused" };

/** The result of a submission. */
export type SubmissionOutcome =
  | WriteResult
  | NeverPossible
  /** Rejected by admission control; the client may retry later. */
  | { readonly kind: "rejected"; readonly retryAfterS: number };

/** The result of a linearizable read of one job. */
export type JobReadResult =
  | { readonly kind: "found"; readonly job: JobView }
  /** The job was never accepted. */
  | { readonly kind: "not found" }
  /** This node could not read the latest state. */
  | { readonly kind: "unavailable" };

/** Whether a job can ever run. */
export type Feasibility =
  | { readonly kind: "feasible" }
  | { readonly kind: "infeasible" }
  /** The machine types are not known yet. */
  | { readonly kind: "unknown" };

/** The answer to a worker heartbeat. */
export type HeartbeatAnswer =
  | {
      readonly kind: "answer";
      readonly fencingToken: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** `leader` is the leader's member name, or null if no leader is known. */
  | { readonly kind: "redirect"; readonly leader: string | null }
  | { readonly kind: "unavailable" };

// Shared instances of the results that carry no further values.

/** Stored. */
export const OK = { kind: "ok" } as const;
/** The job is known. */
export const KNOWN = { kind: "known" } as const;
/** The outcome of the write is unknown. */
export const UNAVAILABLE = { kind: "unavailable" } as const;
/** The job can never be stored, or depends on a job that was never accepted. */
export const NEVER = { kind: "never" } as const;
/** The submission gate rejected the job. */
export const REFUSED = { kind: "refused" } as const;
