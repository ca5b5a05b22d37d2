/** Decides when commands and probes are sent to each worker; `due-commands.ts` decides which commands. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import { TokenBucket } from "../overload/token-bucket.js";
import { type CommandMessage, DueCommands } from "./due-commands.js";
import { type OrphanedTask, OrphanedTasks } from "./orphaned-tasks.js";
import type { Placement } from "./placement.js";
import type { WorkerFencing } from "./worker-fencing.js";

/** Rate of the probe budget: probes per second for each CPU core of this node. */
const PROBES_PER_CORE_S = 40;
/** Maximum number of concurrent probes, and also of concurrent token-only requests, while the node is overloaded. */
const CONCURRENT_REQUESTS_OVERLOADED = 4;
/** Lower bound of each of the two maximums while the node is not overloaded. */
const MINIMUM_CONCURRENT_REQUESTS = 8;
/** While the node is not overloaded, each of the two maximums is one for every 50 of the node's sockets. */
const SOCKETS_PER_CONCURRENT_REQUEST = 50;

/** Sends start, stop and forget commands to workers, with at most one direct request in flight per machine. */
export class CommandDispatcher {
  /** Machines to which commands may have to be sent. `Scheduler.tick` skips all others. */
  readonly machinesAwaitingDispatch = new Set<Machine>();
  /** Names of the machines that have a token-only request (fencing token, no commands) in flight. */
  readonly tokenRequestsInFlight = new Set<string>();
  /** Names of the machines that have a probe in flight. */
  readonly probesInFlight = new Set<string>();
  /**
   * Rate limit of probes to machines whose heartbeat is not overdue yet, and to machines that may have just booted.
   */
  readonly probeBudget: TokenBucket;
  /** Set by the node while it is overloaded. Probes and token-only requests are then limited more strictly. */
  isOverloaded = false;
  private readonly orphanedTasks = new OrphanedTasks();
  private readonly dueCommands: DueCommands;

  constructor(
    private readonly context: LeaderContext,
    private readonly fencing: WorkerFencing,
  ) {
    this.dueCommands = new DueCommands(context, this.orphanedTasks, this, fencing);
    const rate = PROBES_PER_CORE_S * context.settings.cpuShare;
    this.probeBudget = TokenBucket.forSingleTokens(rate, rate);
  }

  /**
   * Maximum number of probes in flight, and also of token-only requests in flight. Without this limit, a leader that
   * took over while the heartbeats of 1000 workers were overdue probed all these workers at once. This left no time
   * to process their heartbeats, and most of the workers lost their leases.
   */
  get maximumConcurrentRequests(): number {
    if (this.isOverloaded) return CONCURRENT_REQUESTS_OVERLOADED;
    return Math.max(
      MINIMUM_CONCURRENT_REQUESTS,
      this.context.settings.sockets / SOCKETS_PER_CONCURRENT_REQUEST,
    );
  }

  /** Requests that the placement is stopped. Of several requests, the one with the shortest grace period applies. */
  stop(placement: Placement, why: string, graceS: number): void {
    if (placement.stop !== null && placement.stop.graceS <= graceS) return;
    placement.stop = { why, graceS, sentAt: Number.NEGATIVE_INFINITY };
    this.machinesAwaitingDispatch.add(placement.machine);
    this.context.logTask("stopping task", () => ({
      task: `${placement.job.spec.id}/${placement.task}`,
      attempt: placement.attempt,
      machine: placement.machine.name,
      why,
    }));
  }

  /**
   * Stops a task, which gets `graceS` seconds to checkpoint. If the task belongs to a gang, the whole gang is
   * stopped.
   */
  stopTaskOrGang(placement: Placement, why: string, graceS: number): void {
    const { job } = placement;
    const stopped = job.spec.kind === "gang" ? [...job.placements.values()] : [placement];
    for (const placementToStop of stopped) this.stop(placementToStop, why, graceS);
  }

  /**
   * Stops all tasks of a gang so that the gang restarts: its tasks are placed again once all of them have terminated.
   * Used when a task is lost or a placement violates a constraint, since a gang runs only as a whole.
   */
  restartGang(job: ActiveJob, why: string): void {
    if (job.isComplete) return;
    for (const placement of job.placements.values()) this.stop(placement, why, job.spec.saveS);
  }

  /** Releases the resources of an attempt that has certainly terminated. */
  release(placement: Placement, now: number): void {
    this.context.cluster.releasePlacement(placement, now);
    this.context.cycleRequested = true;
  }

  /**
   * Handles the loss of an attempt: its machine or its worker's incarnation ended, or its worker no longer reports
   * it.
   */
  handleTaskLost(placement: Placement, why: string, now: number): void {
    const { job, task, attempt, machine } = placement;
    this.context.log("task lost", {
      task: `${job.spec.id}/${task}`,
      attempt,
      machine: machine.name,
      why,
    });
    this.release(placement, now);
    if (job.spec.kind === "gang") this.restartGang(job, "a gang task was lost");
  }

  /** Stops a task whose job is terminal, without time to checkpoint. */
  stopOrphanedTask(orphan: OrphanedTask): void {
    this.orphanedTasks.add(orphan);
  }

  /** Drops the stops that are due on a machine that has terminated. */
  forgetMachine(machine: Machine): void {
    this.machinesAwaitingDispatch.delete(machine);
    this.orphanedTasks.deleteMachine(machine.name);
  }

  /**
   * Returns the answer to the machine's heartbeat, and records its commands as sent. It contains no start commands,
   * which are sent in direct requests only, because their outcome is reported back. It contains no commands at all
   * before the worker has acknowledged a token of this term.
   */
  takeHeartbeatAnswer(machine: Machine, now: number): CommandMessage {
    if (machine.hasAcknowledgedToken) return this.dueCommands.take(machine, now, false);
    return { fencingToken: this.fencing.tokenFor(machine), commands: [] };
  }

  /**
   * Sends a machine its due commands in a direct request, unless one is in flight already. Forgets alone cause no
   * request: they are not urgent, and are sent along with other commands or in the response to a heartbeat.
   */
  sendDueCommands(machine: Machine, now: number): void {
    this.machinesAwaitingDispatch.delete(machine);
    if (machine.hasRequestInFlight || machine.address === "" || machine.state !== "up") return;
    if (now < machine.nextRequestAt) {
      this.machinesAwaitingDispatch.add(machine);
      return;
    }
    if (!machine.hasAcknowledgedToken) {
      this.sendFencingToken(machine);
      return;
    }
    if (mayNeedCommands(machine)) this.machinesAwaitingDispatch.add(machine);
    else if (!this.orphanedTasks.has(machine.name)) return;
    const message = this.dueCommands.take(machine, now, true);
    if (message.commands.every((command) => command.op === "forget")) return;
    this.send(machine, machine.incarnation, message);
  }

  /**
   * Records that a direct request got no response, and schedules the next one. After the first failure, the delay is
   * only 1/30 of the heartbeat interval, because two failures in a row are stronger evidence of a fault than one.
   * After later failures, it is 1/3 of the interval.
   */
  recordUnansweredRequest(machine: Machine, now: number): void {
    const { heartbeatIntervalS } = this.context.settings;
    machine.consecutiveFailedRequests++;
    machine.unreachableSince ??= now;
    machine.nextRequestAt =
      now + heartbeatIntervalS / (machine.consecutiveFailedRequests === 1 ? 30 : 3);
  }

  /** Sends a worker a direct request for a heartbeat. */
  probe(machine: Machine): void {
    machine.hasRequestInFlight = true;
    this.probesInFlight.add(machine.name);
    this.context.effects.push({ kind: "probe", machine: machine.name, address: machine.address });
  }

  /** Sends a direct request without commands, which only carries the current fencing token. */
  private sendFencingToken(machine: Machine): void {
    this.machinesAwaitingDispatch.add(machine);
    if (this.tokenRequestsInFlight.size >= this.maximumConcurrentRequests) return;
    this.tokenRequestsInFlight.add(machine.name);
    const message = { fencingToken: this.fencing.tokenFor(machine), commands: [] };
    this.send(machine, Math.max(machine.incarnation, 1), message);
  }

  private send(machine: Machine, incarnation: number, message: CommandMessage): void {
    machine.hasRequestInFlight = true;
    this.context.effects.push({
      kind: "send",
      machine: machine.name,
      address: machine.address,
      incarnation,
      ...message,
    });
  }
}

/** Whether a start or stop may have to be sent, now or later, for some placement on the machine. */
function mayNeedCommands(machine: Machine): boolean {
  for (const { stop, state } of machine.placements.values()) {
    if (stop !== null || state === "planned" || state === "sent") return true;
  }
  return false;
}
