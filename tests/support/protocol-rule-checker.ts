/** What users and workers were told or did, held against the rules of the protocol. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { type Place, placeFaults } from "./placement-checker.js";

interface ObservedJob {
  readonly spec: JobSpec;
  isAccepted: boolean;
  isCancelRequested: boolean;
  /** The final state that some user was told. */
  reportedFinalState: "done" | "cancelled" | null;
  readonly completedTasks: Set<number>;
  readonly machinesByTask: Map<number, Set<string>>;
}

export class ProtocolRuleChecker {
  /** Broken rules, in words. */
  readonly violations: string[] = [];
  startCount = 0;
  private readonly jobs = new Map<string, ObservedJob>();
  private readonly places = new Map<string, Place>();

  /** Where a machine is, and of what kind. */
  addMachine(place: Place): void {
    this.places.set(place.machine, place);
  }

  jobSubmitted(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    const log = {
      isAccepted: false,
      isCancelRequested: false,
      reportedFinalState: null,
      completedTasks: new Set<number>(),
    };
    this.jobs.set(spec.id, { ...log, spec, machinesByTask: new Map() });
  }

  cancelRequested(id: string): void {
    this.jobs.get(id)!.isCancelRequested = true;
  }

  /** An answer about a job, by any node. */
  answerReceived(id: string, status: number, state: string | undefined): void {
    const job = this.jobs.get(id)!;
    if (job.isAccepted && (status === 404 || status === 400 || status === 422)) {
      this.violations.push(`forgotten: ${id} is answered ${status}`);
    }
    if (status !== 200 && status !== 201) return;
    job.isAccepted = true;
    if (job.reportedFinalState !== null && state !== job.reportedFinalState) {
      this.violations.push(`went_back: ${id} was ${job.reportedFinalState} and is ${state}`);
    }
    if (state !== "done" && state !== "cancelled") return;
    job.reportedFinalState = state;
    if (state === "done" && job.completedTasks.size < job.spec.tasks) {
      this.violations.push(
        `not_done: ${id} with ${job.completedTasks.size} of ${job.spec.tasks} tasks`,
      );
    }
    if (state === "cancelled") this.checkCancelled(id, job);
  }

  /** A cancellation is confirmed with the stored end: nothing may be left of the job by then. */
  private checkCancelled(id: string, job: ObservedJob): void {
    if (!this.mayBeCancelled(job)) this.violations.push(`went_back: nobody cancelled ${id}`);
    for (const [task, machines] of job.machinesByTask) {
      if (machines.size > 0) this.violations.push(`ran_cancelled: ${id}/${task} is on a machine`);
    }
  }

  private mayBeCancelled(job: ObservedJob): boolean {
    const after = job.spec.after ?? [];
    return (
      job.isCancelRequested || after.some((other) => this.mayBeCancelled(this.jobs.get(other)!))
    );
  }

  /** A task starts on a machine, or is gone from it. */
  taskChanged(name: string, machine: string, on: boolean, cause: TaskStatus["cause"]): void {
    const slash = name.lastIndexOf("/");
    const id = name.slice(0, slash);
    const task = Number(name.slice(slash + 1));
    const job = this.jobs.get(id)!;
    const machines = job.machinesByTask.get(task) ?? new Set();
    job.machinesByTask.set(task, machines);
    if (on) {
      this.taskStarted(name, machine, job, machines);
      machines.add(machine);
    } else {
      machines.delete(machine);
      if (cause === "done") job.completedTasks.add(task);
    }
  }

  private taskStarted(
    name: string,
    machine: string,
    job: ObservedJob,
    machines: ReadonlySet<string>,
  ): void {
    this.startCount++;
    this.checkPlacement(name, machine, job);
    if ([...machines].some((m) => m !== machine)) this.violations.push(`ran_twice: ${name}`);
    if (job.reportedFinalState === "cancelled")
      this.violations.push(`ran_cancelled: ${name} starts`);
    for (const other of job.spec.after ?? []) {
      const needed = this.jobs.get(other)!;
      if (needed.completedTasks.size < needed.spec.tasks)
        this.violations.push(`too_early: ${name} before ${other}`);
    }
  }

  /** A task that starts where the job's other tasks, as they are on machines now, do not allow it. */
  private checkPlacement(name: string, machine: string, job: ObservedJob): void {
    const others: Place[] = [];
    for (const [task, machines] of job.machinesByTask) {
      if (name.endsWith(`/${task}`)) continue;
      for (const other of machines) others.push(this.places.get(other)!);
    }
    for (const { what } of placeFaults(job.spec, this.places.get(machine)!, others)) {
      this.violations.push(`wrong_place: ${name} ${what}`);
    }
  }

  /** Tasks of the job that are on a machine. */
  runningTaskCount(id: string): number {
    let n = 0;
    for (const machines of this.jobs.get(id)!.machinesByTask.values()) if (machines.size > 0) n++;
    return n;
  }
  machinesOf(id: string): Set<string> {
    return new Set(
      [...this.jobs.get(id)!.machinesByTask.values()].flatMap((machines) => [...machines]),
    );
  }
}
