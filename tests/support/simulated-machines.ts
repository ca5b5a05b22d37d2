/** The machines of a simulation and the tasks on them. What they run is checked by the protocol's rules. */
import type { ListedMachine } from "../../src/core/model/machines.js";
import type { TaskStatus, WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { taskStatus } from "./job-builders.js";
import { SimulatedMachine, type SimulatedTask } from "./simulated-machine.js";
import type { SimulationContext } from "./simulation-context.js";
import { checkPlacement, checkStart, type MachineTasks } from "./simulation-rules.js";

const AGE_AT_LISTING_S = 900;
const IMAGE_PULL_S = [0, 0, 2, 9];
const RUN_S = [2, 8, 40];

export class SimulatedMachines implements MachineTasks {
  readonly byName = new Map<string, SimulatedMachine>();
  startCount = 0;
  private nextNumber = 0;

  constructor(private readonly context: SimulationContext) {
    for (const { type, zone, spot } of context.cluster.machines) this.boot(type, zone, spot);
  }

  boot(type: string, zone: string, spot: boolean, name = this.newName(zone)): void {
    const { clock, trace } = this.context;
    this.byName.set(name, new SimulatedMachine({ machine: name, type, zone, spot }, clock.now));
    trace.add(`${name} is up: ${type}, ${zone}${spot ? ", spot" : ""}`);
  }

  /** A machine that boots later has its name now. */
  newName(zone: string): string {
    return `m${this.nextNumber++}${zone}`;
  }

  /** As the cloud lists them: they all run, and have for long. */
  list(): ListedMachine[] {
    return [...this.byName.values()].map(({ name, type, zone, spot }) => ({
      name,
      address: `${name}:9000`,
      type,
      zone,
      spot,
      state: "running",
      ageS: this.context.clock.now - AGE_AT_LISTING_S,
    }));
  }

  /** Tasks of the job that are on machines, with the machine's name. */
  *tasksOf(job: string): Generator<[string, TaskStatus]> {
    for (const { name, tasks } of this.byName.values()) {
      for (const { status } of tasks.values()) {
        if (status.job === job && status.state !== "exited") yield [name, status];
      }
    }
  }

  expireLease(machine: SimulatedMachine): void {
    const { clock, trace } = this.context;
    if (machine.expireLease(clock.now)) trace.add(`${machine.name}: lease over`);
  }

  /** The heartbeat that a probe of the machine is answered with; null if none comes. */
  probe(name: string): WorkerHeartbeat | null {
    const machine = this.byName.get(name);
    if (machine === undefined || !machine.isReachable(this.context.clock.now)) return null;
    this.expireLease(machine);
    return machine.heartbeat();
  }

  execute(machine: SimulatedMachine, commands: readonly WorkerCommand[]): void {
    for (const command of commands) {
      const key = `${command.job}/${command.task}#${command.attempt}`;
      const known = machine.tasks.get(key);
      if (command.op === "forget") {
        if (known?.status.state === "exited") machine.tasks.delete(key);
      } else if (command.op === "stop") {
        if (known !== undefined && known.status.state !== "exited") exitTask(known, "stopped");
      } else if (known === undefined) {
        this.startTask(machine, command, key);
      }
    }
  }

  /** Images arrive, and tasks whose time has come are done: those of a gang all together. */
  runTasks(machine: SimulatedMachine): void {
    const { clock, jobs } = this.context;
    this.completeImagePulls(machine);
    for (const task of machine.tasks.values()) {
      const { status } = task;
      if (status.state === "exited" || clock.now < task.endsAt) continue;
      const isFirstTime = !jobs.completedTasks.has(`${status.job}/${status.task}`);
      if (isFirstTime && jobs.submitted.get(status.job)?.kind === "gang") {
        if (!this.completeGang(status)) continue;
      }
      jobs.completedTasks.add(`${status.job}/${status.task}`);
      exitTask(task, "done");
    }
  }

  private startTask(machine: SimulatedMachine, command: WorkerCommand, key: string): void {
    const { choices, clock, jobs } = this.context;
    const job = jobs.submitted.get(command.job);
    if (job === undefined) return;
    const imagePulledAt = clock.now + choices.oneOf(IMAGE_PULL_S);
    const task: SimulatedTask = {
      status: taskStatus(command.job, command.task, command.attempt, "pulling image"),
      endsAt: Number.POSITIVE_INFINITY,
      imagePulledAt,
    };
    machine.tasks.set(key, task);
    this.refuseIfNotFitting(machine, task, job.cpus);
    if (task.status.state === "exited") return;
    this.startCount++;
    checkStart(this.context, this, machine, task);
    if (job.kind === "service") return;
    const isCompleted = jobs.completedTasks.has(`${command.job}/${command.task}`);
    task.endsAt = imagePulledAt + (isCompleted ? 0 : choices.oneOf(RUN_S));
  }

  /** As a worker does that has the task already, or not the CPUs for it. */
  private refuseIfNotFitting(
    machine: SimulatedMachine,
    task: SimulatedTask,
    ownCpus: number,
  ): void {
    const { cluster, jobs } = this.context;
    let cpus = ownCpus;
    for (const other of machine.tasks.values()) {
      const { status } = other;
      if (other === task || status.state === "exited") continue;
      const isSameTask = status.job === task.status.job && status.task === task.status.task;
      if (isSameTask) exitTask(task, "busy");
      cpus += jobs.submitted.get(status.job)!.cpus;
    }
    const type = cluster.types.find(({ name }) => name === machine.type)!;
    if (cpus > type.cpus) exitTask(task, "no_room");
  }

  /** From now on the task counts as being on its machine. */
  private completeImagePulls(machine: SimulatedMachine): void {
    for (const task of machine.tasks.values()) {
      const isPulled = this.context.clock.now >= task.imagePulledAt;
      if (task.status.state !== "pulling image" || !isPulled) continue;
      task.status = { ...task.status, state: "running" };
      checkPlacement(this.context, this, {
        machine,
        placed: task,
        event: "has its image",
        counts: ({ state }) => state !== "pulling image",
      });
    }
  }

  /** Completes all tasks of a gang if all of its attempt are on machines, and says whether they are. */
  private completeGang({ job, attempt }: TaskStatus): boolean {
    const { jobs } = this.context;
    const { tasks } = jobs.submitted.get(job)!;
    const present = new Set<number>();
    for (const [, peer] of this.tasksOf(job)) if (peer.attempt === attempt) present.add(peer.task);
    if (present.size < tasks) return false;
    for (let task = 0; task < tasks; task++) jobs.completedTasks.add(`${job}/${task}`);
    return true;
  }
}

function exitTask(task: SimulatedTask, cause: TaskStatus["cause"]): void {
  task.status = { ...task.status, state: "exited", cause };
}
