/**
 * Reserves further fencing tokens within a term, by a higher stored epoch, once a worker's token cannot be raised any
 * more. A worker's token rises at most once a heartbeat.
 */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { WorkerFencing } from "../dispatch/worker-fencing.js";
import type { LeaderContext } from "../leader-context.js";

/** The stored epoch after an advance. The epoch is also the highest fencing token of the term. */
export interface AdvancedEpoch {
  readonly epoch: number;
  /** Mod revision of the epoch's key. */
  readonly modRevision: number;
}

/** Requests a higher epoch when starts have to be fenced off and no token is left for it, and applies the new epoch. */
export class FencingTokenAdvance {
  private inFlight = false;
  private endedAt: number;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly fencing: WorkerFencing,
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
   * Requests an advance if some start has to be fenced off, and no token is left for it, on a machine that is up and
   * whose worker sent a message recently. Between two advances, at least half a worker lease passes.
   */
  requestIfNeeded(now: number): void {
    const { leaseS, heartbeatIntervalS } = this.context.settings;
    if (this.inFlight || now - this.endedAt < leaseS / 2) return;
    for (const machine of this.context.cluster.machines.values()) {
      if (!this.fencing.isExhausted(machine)) continue;
      if (machine.state !== "up" || !machine.hasAcknowledgedToken) continue;
      if (now - machine.lastMessageAt > 2 * heartbeatIntervalS) continue;
      this.inFlight = true;
      this.context.effects.push({ kind: "advance fencing token" });
      return;
    }
  }

  /** Handles the end of an advance. `stored` is null if the epoch did not change. */
  finish(stored: AdvancedEpoch | null, now: number): void {
    this.inFlight = false;
    this.endedAt = now;
    if (stored === null) return;
    this.context.epoch = stored.epoch;
    this.context.epochModRevision = stored.modRevision;
    for (const machine of [...this.dispatcher.machinesAwaitingDispatch])
      this.dispatcher.sendDueCommands(machine, now);
  }
}
