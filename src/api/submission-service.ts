/** A submission from the HTTP server to its transaction: the jobs that it depends on, admission, and the write. */
import type { AdmissionControl } from "../admission/index.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { StateReplica } from "../core/state/state-replica.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { KNOWN, NEVER, type SubmissionOutcome, UNAVAILABLE } from "./outcomes.js";
import type { SubmissionWriter } from "./submission-writer.js";

/**
 * How often a submission is evaluated and written before its client is told to retry later. An attempt fails when another
 * node's write comes first.
 */
const MAX_ATTEMPTS = 4;

/** Takes submissions of users. */
export class SubmissionService {
  constructor(
    private readonly replica: StateReplica,
    private readonly watcher: StateWatcher,
    private readonly writer: SubmissionWriter,
    /** Null: everything is admitted. */
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
   * Null if all jobs that it depends on were accepted at some time. What the replica knows stays known; before a job is
   * said never to have been accepted, the replica holds everything that was stored when this was called.
   */
  private async checkDependencies(spec: JobSpec): Promise<SubmissionOutcome | null> {
    const hasUnknownDependency = (): boolean =>
      spec.after?.some((id) => id === spec.id || !this.isKnown(id)) ?? false;
    if (!hasUnknownDependency()) return null;
    if (!(await this.watcher.readLatest())) return UNAVAILABLE;
    // A repeated submission is answered with its state, whatever it depends on by now.
    if (this.isKnown(spec.id)) return KNOWN;
    return hasUnknownDependency() ? NEVER : null;
  }
}
