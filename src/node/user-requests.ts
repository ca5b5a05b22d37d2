/** What users ask of a node: reads, submissions and cancellations of jobs. */
import type { AdmissionControl } from "../admission/index.js";
import type { CompletionWaiters } from "../api/completion-waiters.js";
import {
  type Feasibility,
  type JobReadResult,
  KNOWN,
  type SubmissionOutcome,
  UNAVAILABLE,
  type WriteResult,
} from "../api/outcomes.js";
import type { ApiBackend } from "../api/server.js";
import type { SubmissionService } from "../api/submission-service.js";
import type { SubmissionWriter } from "../api/submission-writer.js";
import { canEverRun } from "../core/jobs/feasibility.js";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import type { ClusterSettings } from "../core/model/settings.js";
import type { StateReplica } from "../core/state/state-replica.js";
import type { StateWatcher } from "../state/state-watcher.js";
import type { JobTracer } from "./job-tracer.js";
import type { MachineTypeCatalog } from "./machine-type-catalog.js";
import type { StateContact } from "./state-contact.js";

/** What users' requests are answered with. */
export interface UserRequestsOptions {
  readonly cluster: ClusterSettings;
  readonly replica: StateReplica;
  readonly watcher: StateWatcher;
  readonly stateContact: StateContact;
  readonly machineTypes: MachineTypeCatalog;
  readonly submissions: SubmissionService;
  readonly submissionWriter: SubmissionWriter;
  readonly completionWaiters: CompletionWaiters;
  /** Null: admission control is switched off. */
  readonly admission: AdmissionControl | null;
  /** Null: tracing is switched off. */
  readonly tracer: JobTracer | null;
}

/** The part of the server's backend that serves users. */
type UserBackend = Pick<
  ApiBackend,
  "readJob" | "checkFeasibility" | "submit" | "cancel" | "waitForEnd"
>;

/** Serves users' requests, on any node, whether it leads or not. */
export class UserRequests implements UserBackend {
  constructor(private readonly options: UserRequestsOptions) {}

  /** A job's state by a linearizable read. */
  async readJob(id: string): Promise<JobReadResult> {
    const { stateContact, watcher, replica } = this.options;
    if (!stateContact.reachesStateService()) return UNAVAILABLE;
    if (!(await watcher.readLatest())) return UNAVAILABLE;
    const job = replica.view(id);
    return job === null ? { kind: "not found" } : { kind: "found", job };
  }

  /** Can the job ever run, by the machine types that are known? */
  checkFeasibility(spec: JobSpec): Feasibility {
    const { cluster, machineTypes } = this.options;
    if (!cluster.teams.some((team) => team.name === spec.team)) return { kind: "infeasible" };
    if (machineTypes.known.length === 0) return { kind: "unknown" };
    return { kind: canEverRun(spec, cluster, machineTypes.known) ? "feasible" : "infeasible" };
  }

  /** Stores a job, if admission allows it. */
  async submit(spec: JobSpec): Promise<SubmissionOutcome> {
    const { stateContact, submissions, tracer, admission } = this.options;
    if (!stateContact.reachesStateService()) return UNAVAILABLE;
    const submit = () => submissions.submit(this.withoutUnknownTypes(spec));
    if (tracer === null) return submit();
    return tracer.traceSubmission(spec, submit, (outcome) => ({
      "job.outcome": outcome.kind,
      "admission.window": admission?.replica.windowVersion ?? 0,
    }));
  }

  /** Stores that the user cancelled a job. */
  async cancel(id: string): Promise<WriteResult> {
    const { stateContact, replica, submissionWriter } = this.options;
    if (!stateContact.reachesStateService()) return UNAVAILABLE;
    if (replica.cancellations.has(id)) return KNOWN;
    return submissionWriter.cancel(id, Date.now());
  }

  /**
   * The end of a job whose cancellation is stored, as soon as it is stored as well. Where that takes
   * longer than a third of a heartbeat interval (machines that hang or are partitioned, no leader), the user is
   * told to retry later; the cancellation stays stored, and is carried out meanwhile.
   */
  async waitForEnd(id: string, withinS: number): Promise<JobView | null> {
    const { completionWaiters, replica } = this.options;
    return (await completionWaiters.waitFor(id, 1000 * withinS)) ? replica.view(id) : null;
  }

  /** Types that do not exist change nothing, and could make the stored value too large. */
  private withoutUnknownTypes(spec: JobSpec): JobSpec {
    const { known } = this.options.machineTypes;
    const types = spec.types?.filter((name) => known.some((type) => type.name === name)) ?? null;
    return { ...spec, types };
  }
}
