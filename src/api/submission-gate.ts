/** The interface through which admission control takes part in the transactions that store submissions. */
import type { JobSpec } from "../core/model/jobs.js";
import type { Change, Precondition } from "../core/state/key-value.js";
import type { SubmissionWriteResult } from "./outcomes.js";
import { FifoQueue, type PendingQueue } from "./pending-queue.js";

/** A submission or cancellation that waits for its transaction. */
export interface PendingWrite {
  readonly preconditions: readonly Precondition[];
  readonly change: Change;
  /** Size of the stored value, in bytes. */
  readonly bytes: number;
  /** Monotonic time in seconds after which the request is answered with "unavailable". */
  readonly deadlineAt: number;
  /** The job of a submission, or null for a cancellation. */
  readonly spec: JobSpec | null;
  resolve(result: SubmissionWriteResult): void;
}

/** Collects the preconditions and changes that a transaction needs in addition to its admitted submissions. */
export interface GateBatch {
  /** Number of changes that admitting this job would add to the transaction, besides the job's own. */
  countAdditionalChanges(spec: JobSpec): number;
  /** Admits the job to the transaction and returns true, or rejects it and returns false. */
  tryAdmit(spec: JobSpec): boolean;
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

/** Decides which submissions may be stored. */
export interface SubmissionGate {
  /** The queue in which submissions and cancellations wait for their transaction. */
  createQueue(): PendingQueue<PendingWrite>;
  beginBatch(): GateBatch;
  /** Reads the stored state again after a precondition of the gate failed; false if the read failed. */
  refresh(): Promise<boolean>;
}

/** The gate without admission control: admits every job, in the order of arrival. */
export const ADMIT_ALL_GATE: SubmissionGate = {
  createQueue: () => new FifoQueue(),
  beginBatch: () => ({
    countAdditionalChanges: () => 0,
    tryAdmit: () => true,
    preconditions: [],
    changes: [],
  }),
  refresh: async () => true,
};
