/**
 * Index of the dependencies between active jobs, and of the jobs that can never start because of them.
 *
 * Both are derived from the stored records alone, so all nodes agree on them for a given revision.
 */
import {
  eventName,
  isEventExcluded,
  parseResiduals,
  residuateByOutcome,
} from "../jobs/pipeline.js";
import type { FinalRecordTable } from "./final-record-table.js";
import type { JobRecord, Versioned } from "./stored-values.js";

const NO_DEPENDENTS: ReadonlySet<string> = new Set();

/** Tracks the dependents of each job, and the active jobs that can never start. */
export class DependencyIndex {
  /** Ids of the active jobs that depend on a job, by the id of that job. */
  private readonly dependents = new Map<string, Set<string>>();
  /**
   * Active jobs that can never start, because a job that they depend on, directly or through other jobs, was
   * cancelled. Their final records are stored later.
   */
  private readonly excludedJobs = new Set<string>();

  constructor(
    private readonly activeJobs: ReadonlyMap<string, Versioned<JobRecord>>,
    private readonly finalRecords: FinalRecordTable,
  ) {}

  clear(): void {
    this.dependents.clear();
    this.excludedJobs.clear();
  }

  dependentsOf(id: string): ReadonlySet<string> {
    return this.dependents.get(id) ?? NO_DEPENDENTS;
  }

  canNeverStart(id: string): boolean {
    return this.excludedJobs.has(id);
  }

  /** The outcome of a job, as an event for its dependents, or null if none is stored yet. */
  outcomeOf(id: string): "done" | "failed" | null {
    const final = this.finalRecords.get(id);
    if (final !== undefined) return final.outcome === "done" ? "done" : "failed";
    return this.excludedJobs.has(id) ? "failed" : null;
  }

  /** Adds a job that was just put into `activeJobs`. */
  add(id: string, job: JobRecord): void {
    const dependencyIds = job.spec.after ?? [];
    for (const name of dependencyIds) {
      const dependents = this.dependents.get(name) ?? new Set();
      this.dependents.set(name, dependents);
      dependents.add(id);
    }
    if (dependencyIds.length > 0 && this.isStartExcluded(id, job)) {
      this.excludedJobs.add(id);
      this.propagateFailure(id);
    }
  }

  /** Removes a job. `job` is its last record, if it was active. */
  remove(id: string, job: JobRecord | undefined): void {
    for (const name of job?.spec.after ?? []) {
      const dependents = this.dependents.get(name);
      dependents?.delete(id);
      if (dependents?.size === 0) this.dependents.delete(name);
    }
    this.excludedJobs.delete(id);
  }

  /**
   * Applies the `failed` event of a job to its dependents: each active job that can no longer start is marked as
   * excluded, and its own dependents are checked in turn. Iterative, so the depth of a pipeline is not limited.
   */
  propagateFailure(failed: string): void {
    const pending = [failed];
    for (let id = pending.pop(); id !== undefined; id = pending.pop()) {
      for (const dependent of this.dependentsOf(id)) {
        const job = this.activeJobs.get(dependent);
        if (job === undefined || this.excludedJobs.has(dependent)) continue;
        if (!this.isStartExcluded(dependent, job.value)) continue;
        this.excludedJobs.add(dependent);
        pending.push(dependent);
      }
    }
  }

  /**
   * Whether the job's dependencies, residuated by the known outcomes of the jobs it depends on, exclude its start.
   */
  private isStartExcluded(id: string, job: JobRecord): boolean {
    let dependencies = parseResiduals(job.residuals);
    for (const name of job.spec.after ?? []) {
      const outcome = this.outcomeOf(name);
      if (outcome !== null) dependencies = residuateByOutcome(dependencies, name, outcome);
    }
    return isEventExcluded(dependencies, eventName("start", id));
  }
}
