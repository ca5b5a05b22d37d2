/** What users of a simulation submitted, were told and cancelled, and the tasks that were done. */
import type { JobSpec } from "../../src/core/model/jobs.js";

/** A job's final state, as a user was told it. */
export type FinalState = "done" | "cancelled";

export class SimulatedJobs {
  /** Submitted, whether or not the user has had an answer. */
  readonly submitted = new Map<string, JobSpec>();
  /** A user was told that the job is accepted, and counts on it. */
  readonly accepted = new Map<string, JobSpec>();
  readonly cancelRequested = new Set<string>();
  /** Final states that users were told. */
  readonly reportedFinalStates = new Map<string, FinalState>();
  /** Tasks, as `job/number`, that were done on some machine. */
  readonly completedTasks = new Set<string>();

  /** Its user cancelled it, or a job that it depends on, directly or through others. */
  isCancelledByUser(id: string): boolean {
    if (this.cancelRequested.has(id)) return true;
    const dependencies = this.submitted.get(id)?.after ?? [];
    return dependencies.some((dependency) => this.isCancelledByUser(dependency));
  }
}
