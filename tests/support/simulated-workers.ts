/** Simulated workers of a test leader, in the leader's simulated time. */
import type { TaskStatus, WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { taskStatus } from "./job-builders.js";
import type { TestLeader } from "./test-leader.js";

const STEP_S = 0.25;
const HEARTBEAT_INTERVAL_S = 3;

/** Determines the outcome of a task: it fails at once, or it is done after the returned number of seconds. */
export type TaskOutcomeOf = (job: string, machine: string) => "error" | number;

/** A task start by a worker; `at` in simulated seconds. */
export interface TaskStart {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  readonly at: number;
}

interface WorkerTask {
  status: TaskStatus;
  endsAt: number;
}

/** Workers that execute commands, send heartbeats at regular intervals, and run tasks with predetermined outcomes. */
export class SimulatedWorkers {
  readonly terminatedMachines: string[] = [];
  /** Tasks on all machines that were started and have not ended. */
  readonly runningTasks = new Set<string>();
  readonly starts: TaskStart[] = [];
  /** Tasks that were stopped by a command, in order. */
  readonly stops: { readonly job: string; readonly machine: string }[] = [];
  /** Highest number of tasks that were on machines at the same time. */
  peakRunningTasks = 0;
  /** Starts, as `job/task#attempt`, of tasks that were already running. */
  readonly duplicateStarts: string[] = [];
  private readonly tasksByMachine = new Map<string, Map<string, WorkerTask>>();
  private readonly lastHeartbeatAt = new Map<string, number>();
  private readonly machineTypes: Map<string, string>;

  /** `types`: the machine type of each machine that is running from the start. */
  constructor(
    public leader: TestLeader,
    types: ReadonlyMap<string, string>,
    private readonly outcomeOf: TaskOutcomeOf,
  ) {
    this.machineTypes = new Map(types);
    for (const name of types.keys()) this.tasksByMachine.set(name, new Map());
  }

  /** Adds a running machine. */
  addMachine(name: string, type: string): void {
    this.machineTypes.set(name, type);
    this.tasksByMachine.set(name, new Map());
  }

  /** Advances the time in steps; `onStep` is called in each step before the leader's tick. */
  runFor(seconds: number, onStep: () => void = () => {}): void {
    for (let elapsedS = 0; elapsedS < seconds; elapsedS += STEP_S) {
      this.answerRequests();
      this.answerProbes();
      for (const name of this.tasksByMachine.keys()) this.stepMachine(name);
      this.peakRunningTasks = Math.max(this.peakRunningTasks, this.runningTasks.size);
      onStep();
      this.leader.tick(STEP_S);
      this.terminateReleasedMachines();
    }
  }

  /** Removes a machine and its tasks; it sends no further messages. */
  crashMachine(name: string): void {
    for (const { status } of this.tasksByMachine.get(name)?.values() ?? []) {
      this.runningTasks.delete(taskIdOf(status));
    }
    this.tasksByMachine.delete(name);
  }

  private answerRequests(): void {
    const { leader } = this;
    for (const { machine, commands } of leader.unansweredRequests.splice(0)) {
      const isUp = this.tasksByMachine.has(machine);
      if (isUp) for (const command of commands) this.execute(machine, command);
      const outcome = isUp
        ? { kind: "answered" as const, executed: true, heartbeat: this.heartbeatOf(machine) }
        : { kind: "lost" as const, mayArrive: false };
      leader.performEffects(
        leader.scheduler.commandsAnswered(machine, commands, outcome, leader.now),
      );
    }
  }

  private answerProbes(): void {
    const { leader } = this;
    for (const name of leader.pendingProbes.splice(0)) {
      const heartbeat = this.tasksByMachine.has(name) ? this.heartbeatOf(name) : null;
      leader.performEffects(leader.scheduler.probeAnswered(name, heartbeat, leader.now));
    }
  }

  private terminateReleasedMachines(): void {
    const { leader } = this;
    for (const names of leader.takeReleases()) {
      for (const name of names) this.crashMachine(name);
      this.terminatedMachines.push(...names);
      leader.performEffects(leader.scheduler.releaseAnswered(names, true, leader.now));
    }
  }

  /** Completes the tasks whose run time is over, and sends a heartbeat after such an exit and at each interval. */
  private stepMachine(name: string): void {
    const { leader } = this;
    let hasExits = false;
    for (const task of this.tasksByMachine.get(name)!.values()) {
      if (task.status.state === "exited" || leader.now < task.endsAt) continue;
      this.exitTask(task, "done");
      hasExits = true;
    }
    const sinceHeartbeatS = leader.now - (this.lastHeartbeatAt.get(name) ?? 0);
    if (!hasExits && sinceHeartbeatS < HEARTBEAT_INTERVAL_S) return;
    this.lastHeartbeatAt.set(name, leader.now);
    const heartbeat = this.heartbeatOf(name);
    const { commands, effects } = leader.scheduler.handleHeartbeat(heartbeat, leader.now);
    for (const command of commands) this.execute(name, command);
    leader.performEffects(effects);
  }

  private exitTask(task: WorkerTask, cause: TaskStatus["cause"]): void {
    task.status = { ...task.status, state: "exited", cause };
    this.runningTasks.delete(taskIdOf(task.status));
  }

  private execute(machine: string, command: WorkerCommand): void {
    const { op, job, task, attempt } = command;
    const tasks = this.tasksByMachine.get(machine)!;
    const key = `${job}/${task}#${attempt}`;
    const existing = tasks.get(key);
    if (op === "start" && existing === undefined) {
      tasks.set(key, this.startTask(machine, command, key));
    } else if (op === "stop" && existing !== undefined && existing.status.state !== "exited") {
      this.stops.push({ job, machine });
      this.exitTask(existing, "stopped");
    } else if (op === "forget") {
      tasks.delete(key);
    }
  }

  private startTask(machine: string, command: WorkerCommand, key: string): WorkerTask {
    const { job, task, attempt } = command;
    const outcome = this.outcomeOf(job, machine);
    const started: WorkerTask = { status: taskStatus(job, task, attempt), endsAt: 0 };
    const id = taskIdOf(started.status);
    if (this.runningTasks.has(id)) this.duplicateStarts.push(key);
    this.runningTasks.add(id);
    this.starts.push({ job, task, attempt, machine, at: this.leader.now });
    if (outcome === "error") this.exitTask(started, "error");
    else started.endsAt = this.leader.now + outcome;
    return started;
  }

  private heartbeatOf(name: string): WorkerHeartbeat {
    const tasks = [...this.tasksByMachine.get(name)!.values()].map(({ status }) => status);
    return this.leader.makeHeartbeat(name, tasks, { type: this.machineTypes.get(name)! });
  }
}

const taskIdOf = ({ job, task }: TaskStatus): string => `${job}/${task}`;
