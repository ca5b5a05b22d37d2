/** Checks the answers to users and the starts and ends of tasks against the rules of the protocol. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { type MachineDescriptor, placementViolations } from "./placement-checker.js";

/** Response statuses by which a node denies that a job was accepted. */
const DENIAL_STATUSES: ReadonlySet<number> = new Set([400, 404, 422]);
/** Response statuses by which a node confirms that a job was accepted. */
const ACCEPTANCE_STATUSES: ReadonlySet<number> = new Set([200, 201]);

/** A submitted job with the observed answers, completed tasks and running tasks. */
interface ObservedJob {
  readonly spec: JobSpec;
  isAccepted: boolean;
  isCancelRequested: boolean;
  /** The final state that was reported to a user. */
  reportedFinalState: "done" | "cancelled" | null;
  readonly completedTasks: Set<number>;
  readonly machinesByTask: Map<number, Set<string>>;
}

/**
 * Receives machines, jobs, answers and task changes in the order of their occurrence, and collects rule violations.
 */
export class ProtocolRuleChecker {
  /** Rule violations: the name of the rule and a description. */
  readonly violations: string[] = [];
  /** Number of task starts, including repeated ones. */
  startCount = 0;
  private readonly jobs = new Map<string, ObservedJob>();
  private readonly descriptorsByMachine = new Map<string, MachineDescriptor>();

  /** Adds a machine with its type and zone. */
  addMachine(descriptor: MachineDescriptor): void {
    this.descriptorsByMachine.set(descriptor.machine, descriptor);
  }

  /** Records that a user submits a job; repeated submissions are ignored. */
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

  /** Records that a user requests a job's cancellation. */
  cancelRequested(id: string): void {
    this.jobs.get(id)!.isCancelRequested = true;
  }

  /** Checks the response of any node to a request on a job. */
  answerReceived(id: string, status: number, state: string | undefined): void {
    const job = this.jobs.get(id)!;
    if (job.isAccepted && DENIAL_STATUSES.has(status)) {
      this.violations.push(`forgotten: accepted job ${id} is answered with status ${status}`);
    }
    if (!ACCEPTANCE_STATUSES.has(status)) return;
    job.isAccepted = true;
    const { reportedFinalState: previousState } = job;
    if (previousState !== null && state !== previousState) {
      this.violations.push(`went_back: ${id} was ${previousState} and is ${state}`);
    }
    if (state !== "done" && state !== "cancelled") return;
    job.reportedFinalState = state;
    if (state === "done") this.checkDone(job);
    else this.checkCancelled(job);
  }

  /** Records that a task starts on a machine or has exited there. */
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

  /** Number of the job's tasks that are on at least one machine. */
  runningTaskCount(id: string): number {
    const machines = [...this.jobs.get(id)!.machinesByTask.values()];
    return machines.filter(({ size }) => size > 0).length;
  }

  /** The machines on which any task of the job is. */
  machinesOf(id: string): Set<string> {
    const machines = [...this.jobs.get(id)!.machinesByTask.values()];
    return new Set(machines.flatMap((names) => [...names]));
  }

  private checkDone({ spec, completedTasks }: ObservedJob): void {
    if (completedTasks.size >= spec.tasks) return;
    this.violations.push(
      `not_done: ${spec.id} with ${completedTasks.size} of ${spec.tasks} tasks done`,
    );
  }

  /** A cancellation is confirmed when the job's end is stored: no task of the job may be on a machine by then. */
  private checkCancelled(job: ObservedJob): void {
    const { id } = job.spec;
    if (!this.hasCancellationCause(job))
      this.violations.push(`went_back: ${id} was cancelled without a request`);
    for (const [task, machines] of job.machinesByTask) {
      if (machines.size > 0)
        this.violations.push(
          `ran_cancelled: ${id}/${task} is on a machine when the cancellation is confirmed`,
        );
    }
  }

  /** Whether a user cancelled the job or a job that it depends on, directly or indirectly. */
  private hasCancellationCause({ isCancelRequested, spec }: ObservedJob): boolean {
    const dependencies = spec.after ?? [];
    return (
      isCancelRequested ||
      dependencies.some((dependency) => this.hasCancellationCause(this.jobs.get(dependency)!))
    );
  }

  private checkStart(job: ObservedJob, task: number, machine: string): void {
    const { spec, machinesByTask, reportedFinalState } = job;
    const name = `${spec.id}/${task}`;
    this.startCount++;
    this.checkPlacement(job, task, machine);
    if ([...machinesByTask.get(task)!].some((other) => other !== machine)) {
      this.violations.push(`ran_twice: ${name} starts while it is on another machine`);
    }
    if (reportedFinalState === "cancelled")
      this.violations.push(`ran_cancelled: ${name} starts after the cancellation was confirmed`);
    for (const dependency of spec.after ?? []) {
      const dependencyJob = this.jobs.get(dependency)!;
      if (dependencyJob.completedTasks.size >= dependencyJob.spec.tasks) continue;
      this.violations.push(`too_early: ${name} starts before ${dependency} is done`);
    }
  }

  /** Checks the placement of a starting task, given the machines of the job's other tasks at this time. */
  private checkPlacement(
    { spec, machinesByTask }: ObservedJob,
    task: number,
    machine: string,
  ): void {
    const others: MachineDescriptor[] = [];
    for (const [other, machines] of machinesByTask) {
      if (other === task) continue;
      for (const name of machines) others.push(this.descriptorsByMachine.get(name)!);
    }
    for (const { description } of placementViolations(
      spec,
      this.descriptorsByMachine.get(machine)!,
      others,
    )) {
      this.violations.push(`wrong_place: ${spec.id}/${task} ${description}`);
    }
  }
}
