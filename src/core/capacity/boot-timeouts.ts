/** Decides when a booting machine counts as late, and when it is given up and released. */
import type { Machine } from "../machines/machine.js";

/**
 * Multiple of the usual boot time up to which a booting machine counts as capacity. A machine that takes longer may
 * never come up, so replacements are requested meanwhile, from another offer if there is one. A ratio of four was too
 * large: no replacements were requested while machines were late or failed to boot.
 */
const LATE_BOOT_RATIO = 2;
/** Boot timeout as a multiple of the usual boot time: the initial value and the maximum. */
const INITIAL_TIMEOUT_RATIO = 4;
const MAX_TIMEOUT_RATIO = 12;
/**
 * Factors on the timeout: an expired timeout raises it by a tenth, and a machine that came up lowers it by a tenth at
 * most (`recordBoot`).
 */
const TIMEOUT_GROWTH_FACTOR = 1.1;
const TIMEOUT_DECAY_FACTOR = 0.9;

/** Whether the machine has been booting for longer than `LATE_BOOT_RATIO` times the usual boot time of its type. */
export const isBootLate = (machine: Machine, now: number): boolean =>
  machine.state === "booting" && now - machine.bootingSince > LATE_BOOT_RATIO * machine.type.bootS;

/** Boot timeouts by machine type, adapted to the observed boot times of the type. */
export class BootTimeouts {
  private readonly ratioByType = new Map<string, number>();

  /**
   * Lowers the timeout after a machine came up, but not below the initial value or twice the boot time of this
   * machine, because other machines of its type may take as long. A slow boot raises the timeout.
   */
  recordBoot(machine: Machine, now: number): void {
    const bootRatio = (now - machine.bootingSince) / machine.type.bootS;
    const timeoutRatio = Math.max(
      INITIAL_TIMEOUT_RATIO,
      2 * bootRatio,
      TIMEOUT_DECAY_FACTOR * this.timeoutRatioFor(machine),
    );
    this.ratioByType.set(machine.type.name, Math.min(timeoutRatio, MAX_TIMEOUT_RATIO));
  }

  /** Whether the machine has been booting for longer than its timeout. */
  isExpired(machine: Machine, now: number): boolean {
    return now - machine.bootingSince > this.timeoutRatioFor(machine) * machine.type.bootS;
  }

  /**
   * Raises the timeout for the type, up to the maximum. A machine is released on timeout, so with a fixed timeout no
   * machine would ever come up if all machines of the type needed longer than that.
   */
  recordTimeout(machine: Machine): void {
    const timeoutRatio = Math.min(
      TIMEOUT_GROWTH_FACTOR * this.timeoutRatioFor(machine),
      MAX_TIMEOUT_RATIO,
    );
    this.ratioByType.set(machine.type.name, timeoutRatio);
  }

  private timeoutRatioFor(machine: Machine): number {
    return this.ratioByType.get(machine.type.name) ?? INITIAL_TIMEOUT_RATIO;
  }
}
