/**
 * Advancing the fencing token during a term: starts without an answer may still arrive, and a worker that has seen a
 * higher token drops them.
 */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";

/** The epoch, which is also the fencing token, as it is stored after an advance. */
export interface AdvancedEpoch {
  readonly epoch: number;
  /** Mod revision of its key. */
  readonly modRevision: number;
}

/** Asks for a higher fencing token where unanswered starts need one, and takes over the new one. */
export class FencingTokenAdvance {
  private inFlight = false;
  private endedAt: number;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {
    this.endedAt = context.startedAt;
  }

  /** It was asked for, and its end is not known: nothing may be written meanwhile. */
  get isInFlight(): boolean {
    return this.inFlight;
  }

  /** Asks for one if an unanswered start matters, at most once in half a lease. */
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

  /** It ended; null: the token is the same as before. */
  finish(stored: AdvancedEpoch | null, now: number): void {
    this.inFlight = false;
    this.endedAt = now;
    if (stored === null) return;
    this.context.epoch = stored.epoch;
    this.context.epochModRevision = stored.modRevision;
    for (const machine of this.context.cluster.machines.values()) {
      machine.hasAcknowledgedToken = false;
      this.dispatcher.dueMachines.add(machine);
    }
    for (const machine of [...this.dispatcher.dueMachines]) this.dispatcher.sendDue(machine, now);
  }
}

/** An unanswered start of a task that is cancelled, or that has ended and must not be forgotten. */
function hasStartToFence(machine: Machine): boolean {
  for (const key of machine.unansweredStarts.keys()) {
    const placement = machine.placements.get(key);
    if (placement === undefined) {
      if (machine.exitedTasks.has(key)) return true;
    } else if (placement.stop !== null && placement.state === "sent") return true;
  }
  return false;
}
