/**
 * Decides when the leader stores an admission window, and whether the window limits admission. The planner reads no
 * clock: callers pass the time.
 */
import { isLimiting } from "./decision.js";
import type { AdmissionWindow } from "./model.js";
import { limitedWindow, loadRatio, openWindow, type WindowInput } from "./window.js";

/** Number of window lengths for which the cluster must be underloaded before an open window is stored. */
const REOPEN_AFTER_WINDOWS = 2;

/** Input from which the next window is computed. */
export type PlannerInput = Omit<WindowInput, "version" | "epoch">;

/** Arguments of `WindowPlanner.nextWindow`. */
export interface PlannerState {
  /** Monotonic time, in seconds. */
  readonly now: number;
  /** The newest window, or null if none was ever stored. */
  readonly stored: AdmissionWindow | null;
  /** Current leadership epoch. */
  readonly epoch: number;
  /** Whether jobs were rejected in the newest window or the one before. */
  readonly hasRecentRejections: boolean;
  readonly input: PlannerInput;
}

/**
 * Tracks when the last window was stored and since when the cluster has been underloaded. The cluster is overloaded
 * if its load ratio is more than 1 + `queueRatio`. It is underloaded if the ratio is at most 1 + `queueRatio` / 2 and
 * no jobs were rejected recently.
 */
export class WindowPlanner {
  private writtenAt = Number.NEGATIVE_INFINITY;
  private underloadedSince: number | null = null;

  constructor(
    /** Length of a window, in seconds. */
    private readonly windowS: number,
  ) {}

  /** Returns the window to store now, or null to keep the stored one. */
  nextWindow({
    now,
    stored,
    epoch,
    hasRecentRejections,
    input,
  }: PlannerState): AdmissionWindow | null {
    const version = (stored?.version ?? 0) + 1;
    const load = loadRatio(input);
    if (stored === null || stored.mode === "open") {
      this.underloadedSince = null;
      const isOverloaded = load > 1 + input.queueRatio;
      return isOverloaded ? limitedWindow({ ...input, version, epoch }) : null;
    }
    const isUnderloaded = !hasRecentRejections && load <= 1 + input.queueRatio / 2;
    if (this.canReopen(isUnderloaded, now)) return openWindow({ version, epoch });
    // A window of an earlier epoch is not in force and is replaced immediately.
    const isDue = !isLimiting(stored, epoch) || now - this.writtenAt >= this.windowS;
    return isDue ? limitedWindow({ ...input, version, epoch }) : null;
  }

  /** Must be called when a window was stored. */
  markWritten(now: number): void {
    this.writtenAt = now;
  }

  /** Updates `underloadedSince`. Returns whether the cluster has been underloaded long enough for an open window. */
  private canReopen(isUnderloaded: boolean, now: number): boolean {
    if (!isUnderloaded) {
      this.underloadedSince = null;
      return false;
    }
    this.underloadedSince ??= now;
    return now - this.underloadedSince >= REOPEN_AFTER_WINDOWS * this.windowS;
  }
}
