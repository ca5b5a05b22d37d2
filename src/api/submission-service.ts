/**
 * The way of a submission from the server to its transaction: the jobs that it names, admission, and the write.
 */
import type { AdmissionControl } from "../admission/index.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { StateReplica } from "../core/state/state-replica.js";
import type { StateWatcher } from "../state/state-watcher.js";
import type { SubmissionWriter, WriteResult } from "./submission-writer.js";

/** What became of a submission; an object: admission refused it, and the client may come back later. */
export type SubmissionOutcome = WriteResult | "never" | { readonly retryAfterS: number };

/** Rounds of deciding and writing before a client is told to come back: each lost to another node's write. */
const MAX_ATTEMPTS = 4;

export class SubmissionService {
  constructor(
    private readonly records: StateReplica,
    private readonly follower: StateWatcher,
    private readonly intake: SubmissionWriter,
    /** Null: everything is admitted. */
    private readonly admission: AdmissionControl | null,
  ) {}

  async submit(spec: JobSpec): Promise<SubmissionOutcome> {
    const named = await this.checkDependencies(spec);
    if (named !== "accepted") return named;
    if (!this.intake.fitsValueLimit(spec)) return "never";
    for (let round = 0; round < MAX_ATTEMPTS; round++) {
      if (this.admission?.wouldReject(spec)) {
        const verdict = await this.admission.verifyRejection(spec, () => this.isKnown(spec.id));
        if (verdict.kind === "rejected") return { retryAfterS: verdict.retryAfterS };
        if (verdict.kind !== "admissible") return verdict.kind;
      }
      const result = await this.intake.submit(spec, Date.now());
      if (result !== "refused") return result;
    }
    return "unavailable";
  }

  private isKnown(id: string): boolean {
    return this.records.view(id) !== null;
  }

  /**
   * Were all jobs that must be done before it accepted once? What the copy knows stays known; before it is
   * said that one never was, the copy holds everything that was stored when this was asked.
   */
  private async checkDependencies(
    spec: JobSpec,
  ): Promise<"accepted" | "never" | "known" | "unavailable"> {
    const unknown = (): boolean =>
      spec.after?.some((id) => id === spec.id || !this.isKnown(id)) ?? false;
    if (!unknown()) return "accepted";
    if (!(await this.follower.readLatest())) return "unavailable";
    // A repeated submission is answered with its state, whatever it names by now.
    if (this.isKnown(spec.id)) return "known";
    return unknown() ? "never" : "accepted";
  }
}
