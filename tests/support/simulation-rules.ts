/** The protocol's rules, checked by what the workers of a simulation themselves have. */
import type { JobView } from "../../src/core/model/jobs.js";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { type Place, placeFaults } from "./placement-checker.js";
import type { SimulatedMachine, SimulatedTask } from "./simulated-machine.js";
import type { SimulationContext } from "./simulation-context.js";

/** The team that has a limit in the settings, and the CPUs that it may use. */
const LIMITED_TEAM = "vision";
const LIMIT_CPUS = 16;
const CPU_TOLERANCE = 1e-6;

/** The machines of a simulation, as the rules see them. */
export interface MachineTasks {
  readonly byName: ReadonlyMap<string, SimulatedMachine>;
  /** Tasks of the job that are on machines, with the machine's name. */
  tasksOf(job: string): Iterable<[string, TaskStatus]>;
}

/** A task has come to a machine: `counts` tells which of the job's other tasks it may stand beside. */
export interface PlacementEvent {
  readonly machine: SimulatedMachine;
  readonly placed: SimulatedTask;
  readonly event: string;
  readonly counts: (other: TaskStatus) => boolean;
}

/** A task starts. */
export function checkStart(
  context: SimulationContext,
  machines: MachineTasks,
  machine: SimulatedMachine,
  started: SimulatedTask,
): void {
  const { jobs, store, trace } = context;
  const { job, task, attempt } = started.status;
  const key = `${job}/${task}#${attempt}`;
  trace.add(`start ${key} on ${machine.name}`);
  for (const dependency of jobs.submitted.get(job)!.after ?? []) {
    if (store.replica.finalRecords.get(dependency)?.outcome !== "done") {
      trace.addViolation("too_early", `${key}: ${dependency}`);
    }
  }
  const reported = jobs.reportedFinalStates.get(job);
  if (reported !== undefined) trace.addViolation("ran_cancelled", `${key} starts: ${reported}`);
  for (const [on, other] of machines.tasksOf(job)) {
    if (on === machine.name || other.task !== task) continue;
    trace.addViolation("ran_twice", `${key} on ${machine.name} and ${on}`);
  }
  const event = "is started";
  checkPlacement(context, machines, { machine, placed: started, event, counts: () => true });
  checkQuota(context, machines, job);
}

/** A task comes to a machine, given those of the job's other tasks that count at this moment. */
export function checkPlacement(
  { jobs, trace }: SimulationContext,
  machines: MachineTasks,
  { machine, placed, event, counts }: PlacementEvent,
): void {
  const { job, task, attempt } = placed.status;
  const others: Place[] = [];
  for (const [on, other] of machines.tasksOf(job)) {
    if (other !== placed.status && counts(other)) others.push(machines.byName.get(on)!.place);
  }
  for (const { what } of placeFaults(jobs.submitted.get(job)!, machine.place, others)) {
    trace.addViolation("wrong_place", `${job}/${task}#${attempt} ${event} ${what}`);
  }
}

function checkQuota(
  { jobs, trace }: SimulationContext,
  machines: MachineTasks,
  startedJob: string,
): void {
  if (jobs.submitted.get(startedJob)!.team !== LIMITED_TEAM) return;
  let usedCpus = 0;
  for (const [id, { team, cpus }] of jobs.submitted) {
    if (team === LIMITED_TEAM) for (const _ of machines.tasksOf(id)) usedCpus += cpus;
  }
  if (usedCpus > LIMIT_CPUS + CPU_TOLERANCE) trace.addViolation("quota", `${usedCpus} CPUs`);
}

/** A user is told a job's state. */
export function checkView(
  { jobs, trace }: SimulationContext,
  machines: MachineTasks,
  { id, state }: JobView,
): void {
  const before = jobs.reportedFinalStates.get(id);
  if (before !== undefined && state !== before) {
    trace.addViolation("went_back", `${id} was ${before}, is ${state}`);
  }
  const dependencies = jobs.submitted.get(id)!.after ?? [];
  const hasCancelled = dependencies.some(
    (dependency) => jobs.reportedFinalStates.get(dependency) === "cancelled",
  );
  if (hasCancelled && state !== "cancelled") trace.addViolation("orphaned", `${id} is ${state}`);
  if (state === "done") {
    const { tasks } = jobs.accepted.get(id)!;
    for (let task = 0; task < tasks; task++) {
      if (!jobs.completedTasks.has(`${id}/${task}`))
        trace.addViolation("not_done", `${id}/${task}`);
    }
  } else if (state === "cancelled") {
    if (!jobs.isCancelledByUser(id)) trace.addViolation("went_back", `${id}: nobody cancelled it`);
    for (const [on, { job, task }] of machines.tasksOf(id)) {
      trace.addViolation("ran_cancelled", `told, while ${job}/${task} is on ${on}`);
    }
  }
}
