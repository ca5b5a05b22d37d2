/** Decides which commands and probes go to each worker, and when. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { ExitedTask, Machine } from "../machines/machine.js";
import type { WorkerCommand } from "../model/workers.js";
import { TokenBucket } from "../overload/token-bucket.js";
import type { Placement, StopRequest } from "./placement.js";
import { isMachineAllowed } from "./placement-constraints.js";

/** Probes a second, for each core, of machines whose heartbeat is not overdue yet. */
const PROBES_PER_CORE_S = 40;
const MAXIMUM_COMMANDS_PER_REQUEST = 400;
/** Requests of one sort that may be in flight while the node is overloaded, and otherwise at the least. */
const CONCURRENT_REQUESTS_OVERLOADED = 4;
const MINIMUM_CONCURRENT_REQUESTS = 8;
/** One in so many sockets may be used by requests of one sort. */
const SOCKETS_PER_CONCURRENT_REQUEST = 50;

/** A task that a worker runs although its job is terminal. */
export interface OrphanedTask {
  readonly machine: string;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
}

/** Sends starts, stops and forgets to the workers, one direct request to a machine at a time. */
export class CommandDispatcher {
  /** Machines to which something may be due; the others are not considered as time passes. */
  readonly dueMachines = new Set<Machine>();
  /** Names of the machines to which a request is in flight that only carries the fencing token. */
  readonly tokenRequestsInFlight = new Set<string>();
  /** Names of the machines to which a probe is in flight. */
  readonly probesInFlight = new Set<string>();
  /** Limits the probes of machines that are not overdue yet. */
  readonly probeBudget: TokenBucket;
  /** To be stopped without time to checkpoint. */
  orphanedTasks: OrphanedTask[] = [];
  /** Set by the node while it lags: what can be postponed is to leave it time. */
  isOverloaded = false;

  constructor(private readonly context: LeaderContext) {
    const rate = PROBES_PER_CORE_S * context.settings.cpuShare;
    this.probeBudget = new TokenBucket(rate, rate);
  }

  /**
   * Requests of one sort, probes or those that only carry the fencing token, that may be in flight at a time. (After
   * a takeover a thousand workers were late at once; probing all of them in one moment left no time for their
   * heartbeats, and most lost their leases.)
   */
  get maximumConcurrentRequests(): number {
    if (this.isOverloaded) return CONCURRENT_REQUESTS_OVERLOADED;
    return Math.max(
      MINIMUM_CONCURRENT_REQUESTS,
      this.context.settings.sockets / SOCKETS_PER_CONCURRENT_REQUEST,
    );
  }

  /** Asks for a placement to be stopped; of several requests the one with the least time to checkpoint counts. */
  stop(placement: Placement, why: string, graceS: number): void {
    if (placement.stop !== null && placement.stop.graceS <= graceS) return;
    placement.stop = { why, graceS, sentAt: Number.NEGATIVE_INFINITY };
    this.dueMachines.add(placement.machine);
    this.context.logTask("stop", () => ({
      task: `${placement.job.spec.id}/${placement.task}`,
      attempt: placement.attempt,
      machine: placement.machine.name,
      why,
    }));
  }

  /** Stops the task, and with the task of a gang the whole gang, with time to checkpoint. */
  stopGang(placement: Placement, why: string, graceS: number): void {
    const { job } = placement;
    const stopped = job.spec.kind === "gang" ? [...job.placements.values()] : [placement];
    for (const each of stopped) this.stop(each, why, graceS);
  }

  /** Stops the rest of a gang that lost a task: it starts again as a whole once all its tasks are terminated. */
  restartGang(job: ActiveJob, why: string): void {
    if (job.isComplete) return;
    for (const placement of job.placements.values()) this.stop(placement, why, job.spec.saveS);
  }

  /** Releases the resources of an attempt that is proven to be terminated. */
  release(placement: Placement, now: number): void {
    this.context.cluster.releasePlacement(placement, now);
    this.context.cycleRequested = true;
  }

  /** The attempt ended with its machine or with the worker's incarnation. */
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

  /** The commands that are due to a machine. Starts are only for direct requests, of which the outcome is known. */
  commandsFor(machine: Machine, now: number, withStarts: boolean): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const placement of [...machine.placements.values()]) {
      const { stop } = placement;
      let command: WorkerCommand | null = null;
      if (stop !== null) command = this.stopIfDue(placement, stop, now);
      else if (withStarts) command = this.startIfDue(placement, now);
      if (command !== null) commands.push(command);
    }
    this.addOrphanStops(machine, commands);
    this.addForgets(machine, commands);
    return commands;
  }

  /**
   * Sends a machine what is due to it, one direct request at a time. Forgets are never urgent and go with the answer
   * to a heartbeat, or with what is sent anyway.
   */
  sendDue(machine: Machine, now: number): void {
    this.dueMachines.delete(machine);
    if (machine.hasRequestInFlight || machine.address === "" || machine.state !== "up") return;
    if (now < machine.nextRequestAt) {
      this.dueMachines.add(machine);
      return;
    }
    if (!machine.hasAcknowledgedToken) {
      this.sendFencingToken(machine);
      return;
    }
    if (hasUnsettledPlacement(machine)) this.dueMachines.add(machine);
    else if (this.orphanedTasks.length === 0) return;
    const due = this.commandsFor(machine, now, true).slice(0, MAXIMUM_COMMANDS_PER_REQUEST);
    if (due.every((command) => command.op === "forget")) return;
    this.send(machine, machine.incarnation, due);
  }

  /** The second request follows soon, as two failures in a row are stronger evidence than one; then they are spaced. */
  noteUnansweredRequest(machine: Machine, now: number): void {
    const { heartbeatIntervalS } = this.context.settings;
    machine.consecutiveFailedRequests++;
    machine.unreachableSince ??= now;
    machine.nextRequestAt =
      now + heartbeatIntervalS / (machine.consecutiveFailedRequests === 1 ? 30 : 3);
  }

  /** Asks a worker for a heartbeat. */
  probe(machine: Machine): void {
    machine.hasRequestInFlight = true;
    this.probesInFlight.add(machine.name);
    this.context.effects.push({ kind: "probe", machine: machine.name, address: machine.address });
  }

  private stopIfDue(placement: Placement, stop: StopRequest, now: number): WorkerCommand | null {
    if (placement.state === "planned") {
      this.releaseIfNeverSent(placement, now);
      return null;
    }
    if (placement.state === "loaded") return null;
    // A second stop would interrupt the checkpoint, unless that is intended.
    if (placement.state === "checkpointing" && stop.graceS > 0) return null;
    if (now - stop.sentAt < this.context.settings.heartbeatIntervalS / 6) return null;
    stop.sentAt = now;
    return { op: "stop", ...attemptOf(placement), graceS: stop.graceS };
  }

  private startIfDue(placement: Placement, now: number): WorkerCommand | null {
    if (!this.mayStart(placement, now)) return null;
    const conflict = this.findConflict(placement);
    if (conflict !== null) {
      this.withdrawPlacement(placement, conflict, now);
      return null;
    }
    placement.state = "sent";
    placement.sentAt = now;
    placement.startsInFlight++;
    return { op: "start", ...attemptOf(placement) };
  }

  private addOrphanStops(machine: Machine, commands: WorkerCommand[]): void {
    if (this.orphanedTasks.length === 0) return;
    for (const { machine: name, job, task, attempt } of this.orphanedTasks) {
      if (name === machine.name) commands.push({ op: "stop", job, task, attempt, graceS: 0 });
    }
    this.orphanedTasks = this.orphanedTasks.filter((orphan) => orphan.machine !== machine.name);
  }

  private addForgets(machine: Machine, commands: WorkerCommand[]): void {
    for (const [key, exited] of machine.exitedTasks) {
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
    // Repeating a start whose outcome is unknown does no harm: it is the same attempt.
    return (
      state === "sent" &&
      placement.startsInFlight === 0 &&
      machine.unansweredStarts.has(placement.key) &&
      now - placement.sentAt > this.context.settings.heartbeatIntervalS / 2
    );
  }

  /**
   * Checks the constraints once more, with what is known at the moment of the start: since the task was placed, an
   * unrecorded task may have turned up, a machine may have proved to be of another kind, or a former leader may have
   * placed it wrongly. Returns the constraint that the start would violate.
   */
  private findConflict(placement: Placement): string | null {
    const { job, machine } = placement;
    if (!isMachineAllowed(job.spec, machine)) return "its machine is not allowed";
    if (!job.zones.mayStartIn(machine.zone)) return "its zone is not allowed beside other tasks";
    if (job.hasOtherAttempt(placement)) return "another attempt may be running";
    if (!this.context.cluster.isWithinLimit(job.spec.team)) return "its team is over its limit";
    return null;
  }

  /**
   * Withdraws a placement that violates a constraint. Where its start may be under way it is stopped, and counts until
   * it is proven to be terminated; otherwise it is released at once.
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
    // Never sent under this fencing token, and unknown to the worker: it cannot be running.
    if (machine.hasAcknowledgedToken && placement.incarnation === machine.incarnation) {
      this.release(placement, now);
    }
  }

  /**
   * A forgotten attempt could be started again by a late copy of its start. So its exit must be persisted, and no
   * start of it may be unanswered under the present fencing token.
   */
  private mayForget(machine: Machine, key: string, exited: ExitedTask): boolean {
    if (machine.unansweredStarts.has(key)) return false;
    const job = this.context.cluster.jobs.get(exited.job);
    return job === undefined || job.isPersisted(exited.task, exited.version);
  }

  /** A request without commands, which only carries the present fencing token. */
  private sendFencingToken(machine: Machine): void {
    this.dueMachines.add(machine);
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

/** Whether a start or stop of some placement on the machine may have to be sent, now or later. */
function hasUnsettledPlacement(machine: Machine): boolean {
  for (const { stop, state } of machine.placements.values()) {
    if (stop !== null || state === "planned" || state === "sent") return true;
  }
  return false;
}

const attemptOf = ({ job, task, attempt }: Placement) => ({ job: job.spec.id, task, attempt });
