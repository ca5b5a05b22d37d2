/**
 * Advances the fencing token during a term. A start command that got no answer may still reach its worker later; a
 * worker that has seen a higher token drops it.
 */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";

/** The stored epoch after an advance. The epoch is also the fencing token. */
export interface AdvancedEpoch {
  readonly epoch: number;
  /** Mod revision of the epoch's key. */
  readonly modRevision: number;
}

/**
 * Requests a higher fencing token when unanswered start commands have to be fenced off, and applies the new token.
 */
export class FencingTokenAdvance {
  private inFlight = false;
  private endedAt: number;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {
    this.endedAt = context.startedAt;
  }

  /**
   * Whether an advance was requested and its result is still unknown. Until it is known, no transaction may be sent,
   * because each transaction requires the current mod revision of the epoch's key.
   */
  get isInFlight(): boolean {
    return this.inFlight;
  }

  /**
   * Requests an advance if some unanswered start command has to be fenced off on a machine that is up and whose
   * worker sent a message recently. Between two advances, at least half a worker lease passes.
   */
  requestIfNeeded(now: number): void {
    const { leaseS, heartbeatIntervalS } = this.context.settings;
    if (this.inFlight || now - this.endedAt < leaseS / 2) return;
    for (const machine of this.context.cluster.machines.values()) {
      if (machine.unansweredStarts.size === 0) continue;
      if (machine.state !== "up" || !machine.hasAcknowledgedToken) continue;
      if (now - machine.lastMessageAt > 2 * heartbeatIntervalS) continue;
      if (!hasStartToFence(machine)) continue;
      this.inFlight = true;
      this.context.effects.push({ kind: "advance fencing token" });
      return;
    }
  }

  /** Handles the end of an advance. `stored` is null if the token did not change. */
  finish(stored: AdvancedEpoch | null, now: number): void {
    this.inFlight = false;
    this.endedAt = now;
    if (stored === null) return;
    this.context.epoch = stored.epoch;
    this.context.epochModRevision = stored.modRevision;
    for (const machine of this.context.cluster.machines.values()) {
      machine.hasAcknowledgedToken = false;
      this.dispatcher.machinesAwaitingDispatch.add(machine);
    }
    for (const machine of [...this.dispatcher.machinesAwaitingDispatch])
      this.dispatcher.sendDueCommands(machine, now);
  }
}

/**
 * Whether the machine has an unanswered start command of a task that is being stopped or has exited. As long as the
 * command may still arrive, the worker must not forget the exited task, since the command would run it again.
 */
function hasStartToFence(machine: Machine): boolean {
  for (const key of machine.unansweredStarts.keys()) {
    const placement = machine.placements.get(key);
    if (placement === undefined) {
      if (machine.exitedTasks.has(key)) return true;
    } else if (placement.stop !== null && placement.state === "sent") return true;
  }
  return false;
}
