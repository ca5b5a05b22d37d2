/** What users and workers were told or did, checked against the rules of the protocol. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { type Place, placeFaults } from "./placement-checker.js";

/** Answers by which a node would deny an accepted job. */
const DENIALS: ReadonlySet<number> = new Set([400, 404, 422]);
const ACCEPTANCES: ReadonlySet<number> = new Set([200, 201]);

interface ObservedJob {
  readonly spec: JobSpec;
  isAccepted: boolean;
  isCancelRequested: boolean;
  /** The final state that some user was told. */
  reportedFinalState: "done" | "cancelled" | null;
  readonly completedTasks: Set<number>;
  readonly machinesByTask: Map<number, Set<string>>;
}

/** Told of machines, jobs, answers and tasks as they come; keeps the rules that were broken. */
export class ProtocolRuleChecker {
  /** Broken rules, in words. */
  readonly violations: string[] = [];
  /** Tasks that were started, repeated starts included. */
  startCount = 0;
  private readonly jobs = new Map<string, ObservedJob>();
  private readonly places = new Map<string, Place>();

  /** Where a machine is, and of what kind. */
  addMachine(place: Place): void {
    this.places.set(place.machine, place);
  }

  /** A user submits a job, perhaps once more. */
  jobSubmitted(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      isAccepted: false,
      isCancelRequested: false,
      reportedFinalState: null,
      completedTasks: new Set(),
      machinesByTask: new Map(),
    });
  }

  /** A user asks to cancel a job. */
  cancelRequested(id: string): void {
    this.jobs.get(id)!.isCancelRequested = true;
  }

  /** An answer about a job, by any node. */
  answerReceived(id: string, status: number, state: string | undefined): void {
    const job = this.jobs.get(id)!;
    if (job.isAccepted && DENIALS.has(status)) {
      this.violations.push(`forgotten: ${id} is answered ${status}`);
    }
    if (!ACCEPTANCES.has(status)) return;
    job.isAccepted = true;
    const { reportedFinalState: before } = job;
    if (before !== null && state !== before) {
      this.violations.push(`went_back: ${id} was ${before} and is ${state}`);
    }
    if (state !== "done" && state !== "cancelled") return;
    job.reportedFinalState = state;
    if (state === "done") this.checkDone(job);
    else this.checkCancelled(job);
  }

  /** A task starts on a machine, or has exited there. */
  taskChanged(name: string, machine: string, isRunning: boolean, cause: TaskStatus["cause"]): void {
    const slash = name.lastIndexOf("/");
    const task = Number(name.slice(slash + 1));
    const job = this.jobs.get(name.slice(0, slash))!;
    const machines = job.machinesByTask.get(task) ?? new Set();
    job.machinesByTask.set(task, machines);
    if (isRunning) {
      this.checkStart(job, task, machine);
      machines.add(machine);
    } else {
      machines.delete(machine);
      if (cause === "done") job.completedTasks.add(task);
    }
  }

  /** Tasks of the job that are on a machine. */
  runningTaskCount(id: string): number {
    const machines = [...this.jobs.get(id)!.machinesByTask.values()];
    return machines.filter(({ size }) => size > 0).length;
  }

  /** Machines that any task of the job is on. */
  machinesOf(id: string): Set<string> {
    const machines = [...this.jobs.get(id)!.machinesByTask.values()];
    return new Set(machines.flatMap((names) => [...names]));
  }

  private checkDone({ spec, completedTasks }: ObservedJob): void {
    if (completedTasks.size >= spec.tasks) return;
    this.violations.push(`not_done: ${spec.id} with ${completedTasks.size} of ${spec.tasks} tasks`);
  }

  /** A cancellation is confirmed with the stored end: nothing may be left of the job by then. */
  private checkCancelled(job: ObservedJob): void {
    const { id } = job.spec;
    if (!this.mayBeCancelled(job)) this.violations.push(`went_back: nobody cancelled ${id}`);
    for (const [task, machines] of job.machinesByTask) {
      if (machines.size > 0) this.violations.push(`ran_cancelled: ${id}/${task} is on a machine`);
    }
  }

  /** Its user cancelled it, or a job that it depends on. */
  private mayBeCancelled({ isCancelRequested, spec }: ObservedJob): boolean {
    const dependencies = spec.after ?? [];
    return (
      isCancelRequested ||
      dependencies.some((dependency) => this.mayBeCancelled(this.jobs.get(dependency)!))
    );
  }

  private checkStart(job: ObservedJob, task: number, machine: string): void {
    const { spec, machinesByTask, reportedFinalState } = job;
    const name = `${spec.id}/${task}`;
    this.startCount++;
    this.checkPlacement(job, task, machine);
    if ([...machinesByTask.get(task)!].some((other) => other !== machine)) {
      this.violations.push(`ran_twice: ${name}`);
    }
    if (reportedFinalState === "cancelled") this.violations.push(`ran_cancelled: ${name} starts`);
    for (const dependency of spec.after ?? []) {
      const needed = this.jobs.get(dependency)!;
      if (needed.completedTasks.size >= needed.spec.tasks) continue;
      this.violations.push(`too_early: ${name} before ${dependency}`);
    }
  }

  /** A task that starts where the job's other tasks, as they are on machines now, do not allow it. */
  private checkPlacement(
    { spec, machinesByTask }: ObservedJob,
    task: number,
    machine: string,
  ): void {
    const others: Place[] = [];
    for (const [other, machines] of machinesByTask) {
      if (other === task) continue;
      for (const name of machines) others.push(this.places.get(name)!);
    }
    for (const { what } of placeFaults(spec, this.places.get(machine)!, others)) {
      this.violations.push(`wrong_place: ${spec.id}/${task} ${what}`);
    }
  }
}
