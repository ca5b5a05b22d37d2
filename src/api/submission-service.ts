/** Processes a submission: checks its dependencies, applies admission control and writes the job. */
import type { AdmissionControl } from "../admission/index.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { StateReplica } from "../core/state/state-replica.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { KNOWN, NEVER, type SubmissionOutcome, UNAVAILABLE } from "./outcomes.js";
import type { SubmissionWriter } from "./submission-writer.js";

/**
 * Maximum number of attempts to admit and write a submission before the client is told to retry later. An attempt
 * fails if another node uses up the grant of the job's class first.
 */
const MAX_ATTEMPTS = 4;

/** Handles the submissions of users. */
export class SubmissionService {
  constructor(
    private readonly replica: StateReplica,
    private readonly watcher: StateWatcher,
    private readonly writer: SubmissionWriter,
    /** Null if admission control is disabled; every job is admitted then. */
    private readonly admission: AdmissionControl | null,
  ) {}

  async submit(spec: JobSpec): Promise<SubmissionOutcome> {
    const dependencyFailure = await this.checkDependencies(spec);
    if (dependencyFailure !== null) return dependencyFailure;
    if (!this.writer.fitsValueLimit(spec)) return NEVER;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (this.admission?.wouldReject(spec)) {
        const verdict = await this.admission.verifyRejection(spec, () => this.isKnown(spec.id));
        if (verdict.kind !== "admissible") return verdict;
      }
      const result = await this.writer.submit(spec, Date.now());
      if (result.kind !== "refused") return result;
    }
    return UNAVAILABLE;
  }

  private isKnown(id: string): boolean {
    return this.replica.view(id) !== null;
  }

  /**
   * Returns null if every job that `spec` depends on has been accepted, and otherwise the outcome of the submission.
   * A job in the replica was accepted, even if the replica is out of date. A job that is not in the replica counts as
   * never accepted only if a linearizable read does not find it either. A job that depends on itself is not accepted.
   */
  private async checkDependencies(spec: JobSpec): Promise<SubmissionOutcome | null> {
    const hasUnknownDependency = (): boolean =>
      spec.after?.some((id) => id === spec.id || !this.isKnown(id)) ?? false;
    if (!hasUnknownDependency()) return null;
    if (!(await this.watcher.readLatest())) return UNAVAILABLE;
    // A repeated submission is answered with the job's state, without a check of its dependencies.
    if (this.isKnown(spec.id)) return KNOWN;
    return hasUnknownDependency() ? NEVER : null;
  }
}
