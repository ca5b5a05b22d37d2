/**
 * Decides which fencing token a message to a worker carries.
 *
 * A start command may be executed once more at any time, by a late copy of its request, while the worker has seen no
 * higher token. The worker ignores the copy as long as it knows the attempt. A message that makes it forget attempts
 * therefore carries a higher token than all starts that were sent to it before.
 */
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { WorkerHeartbeat } from "../model/workers.js";

/** Chooses the fencing tokens of messages to workers, among the tokens that the term has reserved. */
export class WorkerFencing {
  constructor(private readonly context: LeaderContext) {}

  /** The token of the next message to the worker. */
  tokenFor(machine: Machine): number {
    return Math.max(this.context.firstFencingToken, machine.fencingToken);
  }

  /**
   * The token of an answer without commands. It is not lower than the worker's own token, as the worker would drop the
   * answer, unless that is a token of a later term.
   */
  answerToken({ machine: name, fencingToken }: WorkerHeartbeat): number {
    const { cluster, epoch, firstFencingToken } = this.context;
    const machine = cluster.machines.get(name);
    const token = machine === undefined ? firstFencingToken : this.tokenFor(machine);
    return Math.min(epoch, Math.max(token, fencingToken));
  }

  /**
   * Raises the worker's token, if necessary, so that its next message fences off all starts sent before. Returns
   * whether it does. It does not while a direct request is in flight, which the worker would reject if the next
   * message overtook it; nor if the term has used up its tokens.
   */
  fenceStarts(machine: Machine): boolean {
    const token = this.tokenFor(machine);
    if (token > machine.lastStartToken) return true;
    if (machine.hasRequestInFlight || token >= this.context.epoch) return false;
    machine.fencingToken = token + 1;
    return true;
  }

  /** Records that the next message to the worker carries a start command. */
  recordStart(machine: Machine): void {
    machine.lastStartToken = this.tokenFor(machine);
  }

  /**
   * Records the highest token that the worker has seen, from its heartbeat. Unanswered starts with a lower token can
   * no longer be executed.
   */
  recordAcknowledgement(machine: Machine, token: number): void {
    machine.acknowledgedToken = token;
    const isFirstOfTerm = !machine.hasAcknowledgedToken && token >= this.context.firstFencingToken;
    machine.hasAcknowledgedToken = token >= this.context.firstFencingToken;
    if (!machine.hasAcknowledgedToken) return;
    // A follower of an earlier version answers with the highest token of the term.
    machine.fencingToken = Math.max(machine.fencingToken, token);
    const startsDropped = dropFencedStarts(machine);
    if (isFirstOfTerm || startsDropped) this.context.cycleRequested = true;
  }

  /** Whether starts are to be fenced off on the machine, but the term has no higher token left. */
  isExhausted(machine: Machine): boolean {
    if (machine.lastStartToken < this.context.epoch) return false;
    return machine.exitedTasks.size > 0 || hasStartToFence(machine);
  }
}

/**
 * Whether an unanswered start of a task that is being stopped has to be fenced off: until then the task may start, so
 * its placement is kept.
 */
export function hasStartToFence(machine: Machine): boolean {
  for (const key of machine.unansweredStarts.keys()) {
    const placement = machine.placements.get(key);
    if (placement?.state === "sent" && placement.stop !== null) return true;
  }
  return false;
}

/** Drops the unanswered starts with a lower token than the acknowledged one. Returns whether there were any. */
function dropFencedStarts({ unansweredStarts, acknowledgedToken }: Machine): boolean {
  const countBefore = unansweredStarts.size;
  for (const [key, startToken] of unansweredStarts) {
    if (startToken < acknowledgedToken) unansweredStarts.delete(key);
  }
  return unansweredStarts.size < countBefore;
}
