/** The gate that admission control sets before the transactions of submissions. */
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
  /** Steady time, in seconds, after which it is answered as unavailable. */
  readonly deadlineAt: number;
  /** The job, if it is a submission. */
  readonly spec: JobSpec | null;
  resolve(result: SubmissionWriteResult): void;
}

/** What one transaction must hold beside its submissions, as they are admitted to it. */
export interface GateBatch {
  /** Changes that admitting this job would add beside its own. */
  extraChanges(spec: JobSpec): number;
  /** Admits the job to the transaction, or refuses it. */
  tryAdmit(spec: JobSpec): boolean;
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

/** Decides which submissions may be stored. */
export interface SubmissionGate {
  /** The queue in which submissions and cancellations wait for their transaction. */
  createQueue(): PendingQueue<PendingWrite>;
  beginBatch(): GateBatch;
  /** Reads what is stored now, after a precondition of the gate failed; false if that failed too. */
  refresh(): Promise<boolean>;
}

/** Admits everything, first come, first served. */
export const ADMIT_ALL_GATE: SubmissionGate = {
  createQueue: () => new FifoQueue(),
  beginBatch: () => ({
    extraChanges: () => 0,
    tryAdmit: () => true,
    preconditions: [],
    changes: [],
  }),
  refresh: async () => true,
};
