/** Serves users' requests: reads, submissions and cancellations of jobs. */
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

/** Dependencies of `UserRequestHandler`. */
export interface UserRequestHandlerOptions {
  readonly cluster: ClusterSettings;
  readonly replica: StateReplica;
  readonly watcher: StateWatcher;
  readonly stateContact: StateContact;
  readonly machineTypes: MachineTypeCatalog;
  readonly submissions: SubmissionService;
  readonly submissionWriter: SubmissionWriter;
  readonly completionWaiters: CompletionWaiters;
  /** Null if admission control is disabled. */
  readonly admission: AdmissionControl | null;
  /** Null if tracing is disabled. */
  readonly tracer: JobTracer | null;
}

/** The methods of the API backend that serve users. */
type UserBackend = Pick<
  ApiBackend,
  "readJob" | "checkFeasibility" | "submit" | "cancel" | "waitForEnd"
>;

/** Serves users' requests on any node, leader or follower. */
export class UserRequestHandler implements UserBackend {
  constructor(private readonly options: UserRequestHandlerOptions) {}

  /** Returns a job's state, by a linearizable read. */
  async readJob(id: string): Promise<JobReadResult> {
    const { stateContact, watcher, replica } = this.options;
    if (!stateContact.reachesStateService()) return UNAVAILABLE;
    if (!(await watcher.readLatest())) return UNAVAILABLE;
    const job = replica.view(id);
    return job === null ? { kind: "not found" } : { kind: "found", job };
  }

  /** Returns whether the team of a job exists and the job can ever run on the known machine types. */
  checkFeasibility(spec: JobSpec): Feasibility {
    const { cluster, machineTypes } = this.options;
    if (!cluster.teams.some((team) => team.name === spec.team)) return { kind: "infeasible" };
    if (machineTypes.known.length === 0) return { kind: "unknown" };
    return { kind: canEverRun(spec, cluster, machineTypes.known) ? "feasible" : "infeasible" };
  }

  /** Stores a job if admission control accepts it. */
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

  /** Stores the cancellation of a job. */
  async cancel(id: string): Promise<WriteResult> {
    const { stateContact, replica, submissionWriter } = this.options;
    if (!stateContact.reachesStateService()) return UNAVAILABLE;
    if (replica.cancellations.has(id)) return KNOWN;
    return submissionWriter.cancel(id, Date.now());
  }

  /**
   * Waits until the end of a cancelled job is stored, and returns the job's state; null after `withinS` seconds. The
   * server waits a third of a heartbeat interval. If the end takes longer (a machine hangs or is partitioned, or
   * there is no leader), it tells the user to retry later; the cancellation remains stored and is carried out in the
   * meantime.
   */
  async waitForEnd(id: string, withinS: number): Promise<JobView | null> {
    const { completionWaiters, replica } = this.options;
    return (await completionWaiters.waitFor(id, 1000 * withinS)) ? replica.view(id) : null;
  }

  /** Removes unknown machine types from a job: they have no effect, and could make the stored value too large. */
  private withoutUnknownTypes(spec: JobSpec): JobSpec {
    const { known } = this.options.machineTypes;
    const types = spec.types?.filter((name) => known.some((type) => type.name === name)) ?? null;
    return { ...spec, types };
  }
}
