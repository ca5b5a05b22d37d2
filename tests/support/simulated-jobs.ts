/** Records submissions, cancellations, reported states and completed tasks of a simulation. */
import type { JobSpec } from "../../src/core/model/jobs.js";

/** A job's final state, as reported to a user. */
export type FinalState = "done" | "cancelled";

/** What users and workers know about the jobs of a simulation, independent of the scheduler's state. */
export class SimulatedJobs {
  /** All submitted jobs, including those whose submission was not answered yet. */
  readonly submitted = new Map<string, JobSpec>();
  /** Jobs whose acceptance was confirmed to a user; they must not be lost. */
  readonly accepted = new Map<string, JobSpec>();
  readonly cancelRequested = new Set<string>();
  /** Final states that were reported to users. */
  readonly reportedFinalStates = new Map<string, FinalState>();
  /** Tasks, as `job/number`, that were completed on a machine. */
  readonly completedTasks = new Set<string>();

  /** Whether a user cancelled the job or a job that it depends on, directly or indirectly. */
  isCancelledByUser(id: string): boolean {
    if (this.cancelRequested.has(id)) return true;
    const dependencies = this.submitted.get(id)?.after ?? [];
    return dependencies.some((dependency) => this.isCancelledByUser(dependency));
  }
}
