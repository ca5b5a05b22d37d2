/** Handles the results of direct requests to workers: command requests and probes. */

import type { CommandOutcome } from "../effects.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { WorkerCommand, WorkerHeartbeat } from "../model/workers.js";
import type { CommandDispatcher } from "./command-dispatcher.js";
import { taskKey } from "./placement.js";
import type { Reconciler } from "./reconciler.js";

/** Applies the results of direct requests to the machines that they were sent to. */
export class DirectRequestResults {
  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly reconciler: Reconciler,
  ) {}

  /** Handles the outcome of a direct request that carried these commands. */
  applyCommandOutcome(
    machineName: string,
    commands: readonly WorkerCommand[],
    outcome: CommandOutcome,
    now: number,
  ): void {
    this.dispatcher.tokenRequestsInFlight.delete(machineName);
    const machine = this.context.cluster.machines.get(machineName);
    if (machine === undefined) return;
    machine.hasRequestInFlight = false;
    this.applyStartOutcomes(machine, commands, outcome);
    if (outcome.kind === "lost") this.dispatcher.recordUnansweredRequest(machine, now);
    else this.handleAnswer(machine, outcome.heartbeat, now);
    this.dispatcher.sendDueCommands(machine, now);
  }

  /**
   * Handles a probe's answer, or its timeout (null). `lateTimeout`: this node was stalled and noticed the timeout too
   * late, so the missing answer is no evidence against the worker. The worker is then contacted again a third of a
   * heartbeat interval later.
   */
  applyProbeAnswer(
    machineName: string,
    heartbeat: WorkerHeartbeat | null,
    now: number,
    lateTimeout: boolean,
  ): void {
    this.dispatcher.probesInFlight.delete(machineName);
    const machine = this.context.cluster.machines.get(machineName);
    if (machine === undefined) return;
    machine.hasRequestInFlight = false;
    const retryS = this.context.settings.heartbeatIntervalS / 3;
    if (heartbeat !== null) this.handleAnswer(machine, heartbeat, now);
    else if (lateTimeout) machine.nextRequestAt = now + retryS;
    else this.dispatcher.recordUnansweredRequest(machine, now);
    this.dispatcher.sendDueCommands(machine, now);
  }

  private handleAnswer(machine: Machine, heartbeat: WorkerHeartbeat, now: number): void {
    if (machine.unreachableSince !== null) this.context.cycleRequested = true;
    machine.unreachableSince = null;
    this.reconciler.handleHeartbeat(heartbeat, now);
  }

  /**
   * Records the start commands that may still arrive. If a start command was certainly not executed, its placement
   * returns from `sent` to `planned`.
   */
  private applyStartOutcomes(
    machine: Machine,
    commands: readonly WorkerCommand[],
    outcome: CommandOutcome,
  ): void {
    for (const command of commands) {
      if (command.op !== "start") continue;
      const key = taskKey(command.job, command.task, command.attempt);
      const placement = machine.placements.get(key);
      if (placement !== undefined) placement.startsInFlight--;
      if (outcome.kind === "lost" && outcome.mayArrive) {
        machine.unansweredStarts.set(key, machine.lastStartToken);
      } else if (outcome.kind === "answered" && outcome.executed) continue;
      else if (placement?.state === "sent") placement.state = "planned";
    }
  }
}
