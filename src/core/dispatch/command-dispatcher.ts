/** Decides which commands and probes are sent to each worker, and when. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { ExitedTask, Machine } from "../machines/machine.js";
import type { WorkerCommand } from "../model/workers.js";
import { TokenBucket } from "../overload/token-bucket.js";
import { type OrphanedTask, OrphanedTasks } from "./orphaned-tasks.js";
import type { Placement, StopRequest } from "./placement.js";
import { isMachineAllowed } from "./placement-constraints.js";

/** Rate of the probe budget: probes per second for each CPU core of this node. */
const PROBES_PER_CORE_S = 40;
/**
 * Maximum number of commands in a direct request, and also in the response to a heartbeat. It keeps their bodies below
 * the protocol's limit of 64 KiB.
 */
export const MAXIMUM_COMMANDS_PER_MESSAGE = 400;
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

  constructor(private readonly context: LeaderContext) {
    const rate = PROBES_PER_CORE_S * context.settings.cpuShare;
    this.probeBudget = new TokenBucket(rate, rate);
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
   * Returns the commands to send to a machine now, and records them as sent. At most `MAXIMUM_COMMANDS_PER_MESSAGE`
   * are taken; the others remain due. A command that was recorded as sent but left out of the message would never get
   * an outcome: 200 of 600 starts for one machine were lost that way, and their tasks never ran. Start commands are
   * included only in direct requests (`withStarts`), because their outcome is reported back, unlike that of heartbeat
   * responses.
   */
  takeCommandsFor(machine: Machine, now: number, withStarts: boolean): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const placement of [...machine.placements.values()]) {
      if (commands.length >= MAXIMUM_COMMANDS_PER_MESSAGE) return commands;
      const { stop } = placement;
      let command: WorkerCommand | null = null;
      if (stop !== null) command = this.takeDueStop(placement, stop, now);
      else if (withStarts) command = this.takeDueStart(placement, now);
      if (command !== null) commands.push(command);
    }
    const maximumStops = MAXIMUM_COMMANDS_PER_MESSAGE - commands.length;
    for (const { job, task, attempt } of this.orphanedTasks.take(machine.name, maximumStops)) {
      commands.push({ op: "stop", job, task, attempt, graceS: 0 });
    }
    this.addForgets(machine, commands);
    return commands;
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
    const dueCommands = this.takeCommandsFor(machine, now, true);
    if (dueCommands.every((command) => command.op === "forget")) return;
    this.send(machine, machine.incarnation, dueCommands);
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

  /**
   * Returns the stop command for a placement and records it as sent, or returns null if it is not due. A placement
   * whose start command was never sent is released instead.
   */
  private takeDueStop(placement: Placement, stop: StopRequest, now: number): WorkerCommand | null {
    if (placement.state === "planned") {
      this.releaseIfNeverSent(placement, now);
      return null;
    }
    if (placement.state === "loaded") return null;
    // Another stop command would interrupt the checkpoint, so it is sent only if the grace period is zero.
    if (placement.state === "checkpointing" && stop.graceS > 0) return null;
    if (now - stop.sentAt < this.context.settings.heartbeatIntervalS / 6) return null;
    stop.sentAt = now;
    return { op: "stop", ...commandTarget(placement), graceS: stop.graceS };
  }

  /**
   * Returns the start command for a placement and records it as sent, or returns null if it may not be sent now. A
   * placement that violates a constraint is withdrawn.
   */
  private takeDueStart(placement: Placement, now: number): WorkerCommand | null {
    if (!this.mayStart(placement, now)) return null;
    const violatedConstraint = this.findViolatedConstraint(placement);
    if (violatedConstraint !== null) {
      this.withdrawPlacement(placement, violatedConstraint, now);
      return null;
    }
    placement.state = "sent";
    placement.sentAt = now;
    placement.startsInFlight++;
    return { op: "start", ...commandTarget(placement) };
  }

  private addForgets(machine: Machine, commands: WorkerCommand[]): void {
    for (const [key, exited] of machine.exitedTasks) {
      if (commands.length >= MAXIMUM_COMMANDS_PER_MESSAGE) return;
      if (!this.mayForget(machine, key, exited)) continue;
      const { job, task, attempt } = exited;
      commands.push({ op: "forget", job, task, attempt });
    }
  }

  private mayStart(placement: Placement, now: number): boolean {
    const { job, machine, state } = placement;
    if (job.isCancelled || !job.isPersisted(placement.task, placement.version)) return false;
    if (!machine.hasAcknowledgedToken || placement.incarnation !== machine.incarnation)
      return false;
    if (state === "planned") return !placement.waitsForGangPeers(now);
    // A start command whose outcome is unknown can be repeated safely, because it is for the same attempt.
    return (
      state === "sent" &&
      placement.startsInFlight === 0 &&
      machine.unansweredStarts.has(placement.key) &&
      now - placement.sentAt > this.context.settings.heartbeatIntervalS / 2
    );
  }

  /**
   * Checks the placement constraints again immediately before a start. Since the task was placed, a worker may have
   * reported an unrecorded task of the job, or the machine's type, zone or spot flag may have been corrected. The
   * placement of a previous leader may also violate a constraint. Returns the constraint that the start would
   * violate, or null.
   */
  private findViolatedConstraint(placement: Placement): string | null {
    const { job, machine } = placement;
    if (!isMachineAllowed(job.spec, machine)) return "machine not allowed for the job";
    if (!job.zones.mayStartIn(machine.zone)) return "zone not allowed given the job's other tasks";
    if (job.hasOtherAttempt(placement)) return "another attempt of the task may be running";
    if (!this.context.cluster.isWithinQuota(job.spec.team)) return "team exceeds its quota";
    return null;
  }

  /**
   * Withdraws a placement that violates a constraint. If its start may have been sent, the placement is stopped and
   * keeps its resources until it has certainly terminated; otherwise it is released at once.
   */
  private withdrawPlacement(placement: Placement, why: string, now: number): void {
    if (placement.job.spec.kind === "gang") this.restartGang(placement.job, why);
    else this.stop(placement, why, 0);
    this.releaseIfNeverSent(placement, now);
  }

  private releaseIfNeverSent(placement: Placement, now: number): void {
    const { machine } = placement;
    if (placement.state !== "planned" || placement.startsInFlight > 0) return;
    if (machine.unansweredStarts.has(placement.key)) return;
    // No start command was sent under this fencing token, the worker drops start commands with earlier tokens, and
    // it does not report the attempt. So the attempt cannot be running.
    if (machine.hasAcknowledgedToken && placement.incarnation === machine.incarnation) {
      this.release(placement, now);
    }
  }

  /**
   * Whether the worker may forget an exited attempt. After that, a delayed duplicate of the attempt's start command
   * would run it again, so no start command of the attempt may be unanswered under the current fencing token. In
   * addition, the exit must be stored.
   */
  private mayForget(machine: Machine, key: string, exited: ExitedTask): boolean {
    if (machine.unansweredStarts.has(key)) return false;
    const job = this.context.cluster.jobs.get(exited.job);
    return job === undefined || job.isPersisted(exited.task, exited.version);
  }

  /** Sends a direct request without commands, which only carries the current fencing token. */
  private sendFencingToken(machine: Machine): void {
    this.machinesAwaitingDispatch.add(machine);
    if (this.tokenRequestsInFlight.size >= this.maximumConcurrentRequests) return;
    this.tokenRequestsInFlight.add(machine.name);
    this.send(machine, Math.max(machine.incarnation, 1), []);
  }

  private send(machine: Machine, incarnation: number, commands: readonly WorkerCommand[]): void {
    machine.hasRequestInFlight = true;
    this.context.effects.push({
      kind: "send",
      machine: machine.name,
      address: machine.address,
      incarnation,
      commands,
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

const commandTarget = ({ job, task, attempt }: Placement) => ({ job: job.spec.id, task, attempt });
