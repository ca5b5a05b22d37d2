/** How long a machine may boot before it counts as late, and before it counts as one that never comes up. */
import type { Machine } from "../machines/machine.js";

/**
 * Usual boot times within which a booting machine counts as capacity. One that is later may come up or never: others are
 * requested meanwhile, of another kind if there is a choice. (When machines counted for four times the usual time, no
 * others were requested while machines came late or never.)
 */
const ON_TIME_BOOT_RATIO = 2;
/** Usual boot times after which a machine is released, at first and at most. */
const FIRST_TIMEOUT = 4;
const LONGEST_TIMEOUT = 12;
/** A timeout that expired adds a tenth, and a machine that came up takes as much away. */
const GROWTH = 1.1;
const DECAY = 0.9;

/** Whether a machine boots for longer than it usually takes. */
export const isBootLate = (machine: Machine, now: number): boolean =>
  machine.state === "booting" &&
  now - machine.bootingSince > ON_TIME_BOOT_RATIO * machine.type.bootS;

/** Boot timeouts by machine type, in usual boot times. They follow the boot times of machines of the type. */
export class BootTimeouts {
  private readonly byType = new Map<string, number>();

  /** The machine came up: others of its type may take as long. */
  noteMachineUp(machine: Machine, now: number): void {
    const bootRatio = (now - machine.bootingSince) / machine.type.bootS;
    const timeout = Math.max(FIRST_TIMEOUT, 2 * bootRatio, DECAY * this.timeoutFor(machine));
    this.byType.set(machine.type.name, Math.min(timeout, LONGEST_TIMEOUT));
  }

  /** Whether the machine has booted for longer than its timeout. */
  isExpired(machine: Machine, now: number): boolean {
    return now - machine.bootingSince > this.timeoutFor(machine) * machine.type.bootS;
  }

  /**
   * The machine is released: the next of its type has longer, up to a bound. (If all needed longer than the timeout, none
   * would ever come up.)
   */
  noteExpired(machine: Machine): void {
    const timeout = Math.min(GROWTH * this.timeoutFor(machine), LONGEST_TIMEOUT);
    this.byType.set(machine.type.name, timeout);
  }

  private timeoutFor(machine: Machine): number {
    return this.byType.get(machine.type.name) ?? FIRST_TIMEOUT;
  }
}
