/** What users and workers were told or did, held against the rules of the protocol. */
import type { JobSpec, TaskReport } from "../src/core/model.js";
import { type Place, placeFaults } from "./placement-checker.js";

interface JobLog {
  readonly spec: JobSpec;
  accepted: boolean;
  cancelAsked: boolean;
  /** The final state that some user was told. */
  told: "done" | "cancelled" | null;
  readonly done: Set<number>;
  readonly on: Map<number, Set<string>>;
}

export class RuleLog {
  /** Broken rules, in words. */
  readonly faults: string[] = [];
  starts = 0;
  private readonly jobs = new Map<string, JobLog>();
  private readonly places = new Map<string, Place>();

  /** Where a machine is, and of what kind. */
  machine(place: Place): void {
    this.places.set(place.machine, place);
  }

  submitted(spec: JobSpec): void {
    if (this.jobs.has(spec.id)) return;
    const log = { accepted: false, cancelAsked: false, told: null, done: new Set<number>() };
    this.jobs.set(spec.id, { ...log, spec, on: new Map() });
  }

  cancelAsked(id: string): void {
    this.jobs.get(id)!.cancelAsked = true;
  }

  /** An answer about a job, by any node. */
  answered(id: string, status: number, state: string | undefined): void {
    const job = this.jobs.get(id)!;
    if (job.accepted && (status === 404 || status === 400 || status === 422)) {
      this.faults.push(`forgotten: ${id} is answered ${status}`);
    }
    if (status !== 200 && status !== 201) return;
    job.accepted = true;
    if (job.told !== null && state !== job.told) {
      this.faults.push(`went_back: ${id} was ${job.told} and is ${state}`);
    }
    if (state !== "done" && state !== "cancelled") return;
    job.told = state;
    if (state === "done" && job.done.size < job.spec.tasks) {
      this.faults.push(`not_done: ${id} with ${job.done.size} of ${job.spec.tasks} tasks`);
    }
    if (state === "cancelled") this.cancelled(id, job);
  }

  /** A cancellation is confirmed with the stored end: nothing may be left of the job by then. */
  private cancelled(id: string, job: JobLog): void {
    if (!this.mayBeCancelled(job)) this.faults.push(`went_back: nobody cancelled ${id}`);
    for (const [task, machines] of job.on) {
      if (machines.size > 0) this.faults.push(`ran_cancelled: ${id}/${task} is on a machine`);
    }
  }

  private mayBeCancelled(job: JobLog): boolean {
    const after = job.spec.after ?? [];
    return job.cancelAsked || after.some((other) => this.mayBeCancelled(this.jobs.get(other)!));
  }

  /** A task starts on a machine, or is gone from it. */
  task(name: string, machine: string, on: boolean, cause: TaskReport["cause"]): void {
    const slash = name.lastIndexOf("/");
    const id = name.slice(0, slash);
    const task = Number(name.slice(slash + 1));
    const job = this.jobs.get(id)!;
    const machines = job.on.get(task) ?? new Set();
    job.on.set(task, machines);
    if (on) {
      this.started(name, machine, job, machines);
      machines.add(machine);
    } else {
      machines.delete(machine);
      if (cause === "done") job.done.add(task);
    }
  }

  private started(name: string, machine: string, job: JobLog, machines: ReadonlySet<string>): void {
    this.starts++;
    this.checkPlace(name, machine, job);
    if ([...machines].some((m) => m !== machine)) this.faults.push(`ran_twice: ${name}`);
    if (job.told === "cancelled") this.faults.push(`ran_cancelled: ${name} starts`);
    for (const other of job.spec.after ?? []) {
      const needed = this.jobs.get(other)!;
      if (needed.done.size < needed.spec.tasks)
        this.faults.push(`too_early: ${name} before ${other}`);
    }
  }

  /** A task that starts where the job's other tasks, as they are on machines now, do not allow it. */
  private checkPlace(name: string, machine: string, job: JobLog): void {
    const others: Place[] = [];
    for (const [task, machines] of job.on) {
      if (name.endsWith(`/${task}`)) continue;
      for (const other of machines) others.push(this.places.get(other)!);
    }
    for (const { what } of placeFaults(job.spec, this.places.get(machine)!, others)) {
      this.faults.push(`wrong_place: ${name} ${what}`);
    }
  }

  /** Tasks of the job that are on a machine. */
  running(id: string): number {
    let n = 0;
    for (const machines of this.jobs.get(id)!.on.values()) if (machines.size > 0) n++;
    return n;
  }
  machinesOf(id: string): Set<string> {
    return new Set([...this.jobs.get(id)!.on.values()].flatMap((machines) => [...machines]));
  }
}
