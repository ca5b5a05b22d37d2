/** Decides which commands a worker gets: the due starts, stops and forgets of its machine's tasks. */

import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { ExitedTask, Machine } from "../machines/machine.js";
import type { WorkerCommand } from "../model/workers.js";
import type { OrphanedTasks } from "./orphaned-tasks.js";
import type { Placement, StopRequest } from "./placement.js";
import { isMachineAllowed } from "./placement-constraints.js";
import { hasStartToFence, type WorkerFencing } from "./worker-fencing.js";

/**
 * Maximum number of commands in a direct request, and also in the response to a heartbeat. It keeps their bodies below
 * the protocol's limit of 64 KiB.
 */
export const MAXIMUM_COMMANDS_PER_MESSAGE = 400;

/** Stops and releases attempts that may not be started. */
export interface AttemptControl {
  stop(placement: Placement, why: string, graceS: number): void;
  restartGang(job: ActiveJob, why: string): void;
  release(placement: Placement, now: number): void;
}

/** The commands of one message to a worker, and the fencing token that the message carries. */
export interface CommandMessage {
  readonly fencingToken: number;
  readonly commands: WorkerCommand[];
}

/** Selects the due commands of a machine, and records them as sent. */
export class DueCommands {
  constructor(
    private readonly context: LeaderContext,
    private readonly orphanedTasks: OrphanedTasks,
    private readonly attempts: AttemptControl,
    private readonly fencing: WorkerFencing,
  ) {}

  /**
   * Returns the next message to a machine, and records its commands as sent. At most `MAXIMUM_COMMANDS_PER_MESSAGE`
   * are taken; the others remain due. A command that was recorded as sent but left out of the message would never get
   * an outcome: 200 of 600 starts for one machine were lost that way, and their tasks never ran. Start commands are
   * included only in direct requests (`withStarts`), because their outcome is reported back, unlike that of heartbeat
   * responses.
   */
  take(machine: Machine, now: number, withStarts: boolean): CommandMessage {
    const exitedTasks = this.findForgettableTasks(machine);
    const needsFence = exitedTasks.length > 0 || hasStartToFence(machine);
    // The token is raised before the message's own starts are recorded with it.
    const mayForget = needsFence && this.fencing.fenceStarts(machine);
    const commands = this.takeStopsAndStarts(machine, now, withStarts);
    if (mayForget) addForgets(exitedTasks, commands);
    return { fencingToken: this.fencing.tokenFor(machine), commands };
  }

  private takeStopsAndStarts(machine: Machine, now: number, withStarts: boolean): WorkerCommand[] {
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
    return commands;
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
    this.fencing.recordStart(placement.machine);
    return { op: "start", ...commandTarget(placement) };
  }

  /** The exited attempts whose exit is stored. The worker may forget them in a message that fences off their starts. */
  private findForgettableTasks({ exitedTasks }: Machine): ExitedTask[] {
    if (exitedTasks.size === 0) return [];
    const { jobs } = this.context.cluster;
    return [...exitedTasks.values()].filter(({ job: id, task, version }) => {
      const job = jobs.get(id);
      return job === undefined || job.isPersisted(task, version);
    });
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
    if (placement.job.spec.kind === "gang") this.attempts.restartGang(placement.job, why);
    else this.attempts.stop(placement, why, 0);
    this.releaseIfNeverSent(placement, now);
  }

  private releaseIfNeverSent(placement: Placement, now: number): void {
    const { machine } = placement;
    if (placement.state !== "planned" || placement.startsInFlight > 0) return;
    if (machine.unansweredStarts.has(placement.key)) return;
    // No start command was sent under this fencing token, the worker drops start commands with earlier tokens, and
    // it does not report the attempt. So the attempt cannot be running.
    if (machine.hasAcknowledgedToken && placement.incarnation === machine.incarnation) {
      this.attempts.release(placement, now);
    }
  }
}

/** Adds the forgets for which the message has room. */
function addForgets(exitedTasks: readonly ExitedTask[], commands: WorkerCommand[]): void {
  const room = Math.max(0, MAXIMUM_COMMANDS_PER_MESSAGE - commands.length);
  for (const { job, task, attempt } of exitedTasks.slice(0, room)) {
    commands.push({ op: "forget", job, task, attempt });
  }
}

const commandTarget = ({ job, task, attempt }: Placement) => ({ job: job.spec.id, task, attempt });
