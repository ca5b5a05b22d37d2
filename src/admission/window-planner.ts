/** Decides when the leader stores a window, and whether the window limits admission. Pure: time is an argument. */
import { isLimiting } from "./decision.js";
import type { AdmissionWindow } from "./model.js";
import { limitedWindow, loadRatio, openWindow, type WindowInput } from "./window.js";

/** Windows without overload or rejections after which admission opens again. */
const CALM_WINDOWS = 2;

/** What the next window is computed from. */
export type PlannerInput = Omit<WindowInput, "version" | "epoch">;

/** The situation in which the planner is asked for a window. */
export interface PlannerState {
  /** Monotonic time, in seconds. */
  readonly now: number;
  /** The newest window; null: there never was one. */
  readonly stored: AdmissionWindow | null;
  /** Current epoch of the leadership. */
  readonly epoch: number;
  /** Jobs were rejected in the newest window or the one before. */
  readonly hasRecentRejections: boolean;
  readonly input: PlannerInput;
}

/** Remembers when the last window was stored, and since when the cluster is not overloaded any more. */
export class WindowPlanner {
  private writtenAt = Number.NEGATIVE_INFINITY;
  private calmSince: number | null = null;

  constructor(
    /** Length of a window, in seconds. */
    private readonly windowS: number,
  ) {}

  /** The window that is to be stored now; null: the stored one stays. */
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
      this.calmSince = null;
      const isOverloaded = load > 1 + input.queueRatio;
      return isOverloaded ? limitedWindow({ ...input, version, epoch }) : null;
    }
    const isCalm = !hasRecentRejections && load <= 1 + input.queueRatio / 2;
    if (this.isCalmLongEnough(isCalm, now)) return openWindow({ version, epoch });
    // A window of an earlier epoch is not in force, so it is replaced at once.
    const isDue = !isLimiting(stored, epoch) || now - this.writtenAt >= this.windowS;
    return isDue ? limitedWindow({ ...input, version, epoch }) : null;
  }

  /** To be called when a window was stored. */
  markWritten(now: number): void {
    this.writtenAt = now;
  }

  private isCalmLongEnough(isCalm: boolean, now: number): boolean {
    if (!isCalm) {
      this.calmSince = null;
      return false;
    }
    this.calmSince ??= now;
    return now - this.calmSince >= CALM_WINDOWS * this.windowS;
  }
}
