/** Users of a simulation: they submit, ask and cancel, and their writes may be late or unanswered. */
import { dependenciesOf, formatResiduals } from "../../src/core/jobs/pipeline.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { Change } from "../../src/core/state/key-value.js";
import { encodeJobRecord, KEY } from "../../src/core/state/stored-values.js";
import { jobSpec } from "./job-builders.js";
import type { SimulatedMachines } from "./simulated-machines.js";
import type { SimulationContext } from "./simulation-context.js";
import { checkView } from "./simulation-rules.js";

/** What the leader is told of a job. */
export type SpecSeenByLeader = (spec: JobSpec) => JobSpec;

const RECENT_JOBS = 6;

export class SimulatedUsers {
  private nextNumber = 0;

  constructor(
    private readonly context: SimulationContext,
    private readonly machines: SimulatedMachines,
    private readonly specSeenByLeader: SpecSeenByLeader,
  ) {}

  /** A new job. Some depend on others that were accepted, in whatever state these are. */
  submit(): void {
    const { choices, clock, cluster, jobs } = this.context;
    const id = `j${this.nextNumber++}`;
    const team = choices.isOneIn(3) ? "maps" : "vision";
    const shape = choices.oneOf(cluster.jobs);
    const after = shape.kind === "service" || !choices.isOneIn(3) ? [] : this.someRecentJobs();
    const image = `i${choices.below(3)}`;
    const dependencies = after.length > 0 ? { after } : {};
    const spec = jobSpec(id, { ...shape, team, image, ...dependencies });
    const value = encodeJobRecord({
      spec: this.specSeenByLeader(spec),
      submittedAtMs: clock.now * 1000,
      residuals: formatResiduals(dependenciesOf(id, after)),
      version: 1,
      nextAttempt: 1,
      ownerEpoch: 0,
      doneTasks: "",
      placements: [],
      shardSize: null,
    });
    jobs.submitted.set(id, spec);
    const absent = [KEY.activeJob(id), KEY.finalRecord(id)];
    const change: Change = { op: "put", key: KEY.activeJob(id), value };
    this.write(absent, change, () => this.confirmSubmission(id));
  }

  /** The submission again, or its answer: from now on the user counts on the job. */
  confirmSubmission(id: string): void {
    const { jobs, store, trace } = this.context;
    if (jobs.accepted.has(id) || store.replica.view(id) === null) return;
    const spec = jobs.submitted.get(id)!;
    jobs.accepted.set(id, spec);
    trace.add(`accepted ${id} ${spec.kind} of ${spec.tasks}`);
  }

  cancel(id: string): void {
    const { jobs, store, trace } = this.context;
    jobs.cancelRequested.add(id);
    trace.add(`cancel ${id}`);
    if (!store.replica.activeJobs.has(id)) return;
    const absent = [KEY.finalRecord(id), KEY.cancellation(id)];
    const value = { at: 0, told: false };
    const change: Change = { op: "put", key: KEY.cancellation(id), value };
    this.write(absent, change, () => this.query(id));
  }

  /** A user asks for a job that was accepted. */
  query(id: string): void {
    const { jobs, store, trace } = this.context;
    const view = store.replica.view(id);
    if (view === null) {
      trace.addViolation("forgotten", id);
      return;
    }
    checkView(this.context, this.machines, view);
    if (view.state === "done" || view.state === "cancelled") {
      jobs.reportedFinalStates.set(id, view.state);
    }
  }

  /** Accepted jobs that nobody cancelled and that neither run nor are done. */
  unfinishedJobs(): string[] {
    const { jobs } = this.context;
    return [...jobs.accepted]
      .filter(([id, { kind, tasks }]) => {
        if (jobs.isCancelledByUser(id) || jobs.reportedFinalStates.get(id) === "done") return false;
        return kind !== "service" || [...this.machines.tasksOf(id)].length !== tasks;
      })
      .map(([id]) => id);
  }

  private someRecentJobs(): string[] {
    const { choices, jobs } = this.context;
    const ended = [...jobs.accepted].filter(([, { kind }]) => kind !== "service");
    const recent = ended.map(([id]) => id).slice(-RECENT_JOBS);
    const count = recent.length === 0 ? 0 : 1 + choices.below(2);
    return [...new Set(Array.from({ length: count }, () => choices.oneOf(recent)))];
  }

  /** Carried out if the keys are absent: at once, or late; its answer may be lost. */
  private write(absentKeys: readonly string[], change: Change, onAnswer: () => void): void {
    const { choices, clock, faults, store } = this.context;
    const preconditions = absentKeys.map((key) => ({ key, modRevision: 0 }));
    if (faults.occurs(faults.odds.write)) {
      clock.schedule(2 + choices.below(10), () => store.commit(preconditions, [change]));
    } else if (store.commit(preconditions, [change]) && !faults.occurs(faults.odds.write)) {
      onAnswer();
    }
  }
}
