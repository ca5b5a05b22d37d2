/** When the leader writes a window, and whether it limits admission. Pure: time comes with each call. */
import { isLimiting } from "./decision.js";
import type { AdmissionWindow } from "./model.js";
import { limitedWindow, loadRatio, openWindow, type WindowInput } from "./window.js";

/** Windows without pressure or rejections after which admission is open again. */
const CALM_WINDOWS = 2;

export type PlannerInput = Omit<WindowInput, "version" | "epoch">;

export class WindowPlanner {
  private writtenAt = Number.NEGATIVE_INFINITY;
  private calmSince: number | null = null;

  constructor(
    /** Length of a window, in seconds. */
    private readonly windowS: number,
  ) {}

  /** The window that is to be stored now; null: the stored one stays. */
  nextWindow(
    now: number,
    stored: AdmissionWindow | null,
    epoch: number,
    refusing: boolean,
    input: PlannerInput,
  ): AdmissionWindow | null {
    const version = (stored?.version ?? 0) + 1;
    const load = loadRatio(input);
    const over = load > 1 + input.queueRatio;
    if (stored === null || stored.mode === "open") {
      this.calmSince = null;
      return over ? limitedWindow({ ...input, version, epoch }) : null;
    }
    const calm = !refusing && load <= 1 + input.queueRatio / 2;
    if (!calm) this.calmSince = null;
    else this.calmSince ??= now;
    if (this.calmSince !== null && now - this.calmSince >= CALM_WINDOWS * this.windowS) {
      return openWindow({ version, epoch });
    }
    // Of an earlier term, it is not in force.
    const due = !isLimiting(stored, epoch) || now - this.writtenAt >= this.windowS;
    return due ? limitedWindow({ ...input, version, epoch }) : null;
  }

  markWritten(now: number): void {
    this.writtenAt = now;
  }
}
