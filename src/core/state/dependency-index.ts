/**
 * Which active jobs depend on which, and which of them can never start.
 *
 * Both follow from the stored records, so every node says the same of one revision.
 */
import {
  eventName,
  isEventExcluded,
  parseResiduals,
  residuateByOutcome,
} from "../jobs/pipeline.js";
import type { FinalRecord, JobRecord, Versioned } from "./stored-values.js";

const NO_DEPENDENTS: ReadonlySet<string> = new Set();

/** Which active jobs depend on which, and which of them can never start. */
export class DependencyIndex {
  /** Active jobs that depend on a job, by its name. */
  private readonly dependents = new Map<string, Set<string>>();
  /**
   * Active jobs that can never start, since one that they need was cancelled, directly or through others, however many
   * there are; their own ends are stored by and by.
   */
  private readonly excludedJobs = new Set<string>();

  constructor(
    private readonly activeJobs: ReadonlyMap<string, Versioned<JobRecord>>,
    private readonly finalRecords: ReadonlyMap<string, FinalRecord>,
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

  /** The outcome of a job, as an event for its dependents; null: it has none, as far as is stored. */
  outcomeOf(id: string): "done" | "failed" | null {
    const final = this.finalRecords.get(id);
    if (final !== undefined) return final.outcome === "done" ? "done" : "failed";
    return this.excludedJobs.has(id) ? "failed" : null;
  }

  /** The job is in `activeJobs` now. */
  add(id: string, job: JobRecord): void {
    const needed = job.spec.after ?? [];
    for (const name of needed) {
      const dependents = this.dependents.get(name) ?? new Set();
      this.dependents.set(name, dependents);
      dependents.add(id);
    }
    if (needed.length > 0 && this.isExcluded(id, job)) {
      this.excludedJobs.add(id);
      this.failDependents(id);
    }
  }

  /** `job`: its last record, if it was active. */
  remove(id: string, job: JobRecord | undefined): void {
    for (const name of job?.spec.after ?? []) {
      const dependents = this.dependents.get(name);
      dependents?.delete(id);
      if (dependents?.size === 0) this.dependents.delete(name);
    }
    this.excludedJobs.delete(id);
  }

  /** The failed event of one job residuates its dependents: downward, each job once, whatever the depth. */
  failDependents(failed: string): void {
    const pending = [failed];
    for (let id = pending.pop(); id !== undefined; id = pending.pop()) {
      for (const dependent of this.dependentsOf(id)) {
        const job = this.activeJobs.get(dependent);
        if (job === undefined || this.excludedJobs.has(dependent)) continue;
        if (!this.isExcluded(dependent, job.value)) continue;
        this.excludedJobs.add(dependent);
        pending.push(dependent);
      }
    }
  }

  /** By its dependencies, residuated by the known outcomes of the jobs that it needs. */
  private isExcluded(id: string, job: JobRecord): boolean {
    let dependencies = parseResiduals(job.residuals);
    for (const name of job.spec.after ?? []) {
      const outcome = this.outcomeOf(name);
      if (outcome !== null) dependencies = residuateByOutcome(dependencies, name, outcome);
    }
    return isEventExcluded(dependencies, eventName("start", id));
  }
}
