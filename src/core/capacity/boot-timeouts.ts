/** How long a machine may boot before it counts as one that never comes up. */
import type { Machine } from "../machines/machine.js";

/** Usual times to boot after which a machine goes back, at first and at most. */
const FIRST_TIMEOUT = 4;
const LONGEST_TIMEOUT = 12;
/** A timeout that ended adds a tenth, and a machine that came up takes as much away. */
const GROWTH = 1.1;
const DECAY = 0.9;

/** Timeouts by machine type, in usual times to boot. They follow what machines of the type took. */
export class BootTimeouts {
  private readonly byType = new Map<string, number>();

  /** It came up: others of its type may take as long. */
  noteMachineUp(m: Machine, now: number): void {
    const took = (now - m.bootingSince) / m.type.bootS;
    const timeout = Math.max(FIRST_TIMEOUT, 2 * took, DECAY * this.timeoutFor(m));
    this.byType.set(m.type.name, Math.min(timeout, LONGEST_TIMEOUT));
  }

  isExpired(m: Machine, now: number): boolean {
    return now - m.bootingSince > this.timeoutFor(m) * m.type.bootS;
  }

  /**
   * It went back: the next of its type has longer, up to a bound. (If all take longer than what is waited for, none
   * would ever come.)
   */
  noteExpired(m: Machine): void {
    this.byType.set(m.type.name, Math.min(GROWTH * this.timeoutFor(m), LONGEST_TIMEOUT));
  }

  private timeoutFor(m: Machine): number {
    return this.byType.get(m.type.name) ?? FIRST_TIMEOUT;
  }
}
