/** When a node looks at what there is to do: at intervals, and soon after something came in, with time left for answers. */
import type { ClusterSettings } from "./core/model.js";

/** Looks in a report interval when nothing comes in. */
const LOOKS = 20;
/** Part of a report interval that is left between two passes at the least. */
const LEAST_REST = 1 / 100;
/** Rest after a pass, as a ratio to what it took; and while more comes in than can be done. */
const REST = 2;
const REST_WHEN_OVERLOADED = 8;
/** Lateness of timers from which a node is overloaded, as a ratio to the report interval. */
const OVERLOADED = 1 / 30;
/** Weight of the last measurement of lateness. */
const WEIGHT = 0.3;

export interface PassLoopOptions {
  /** Steady time, in seconds. */
  readonly now: () => number;
  readonly settings: Pick<ClusterSettings, "reportS">;
  /** Done at each look, before a pass that is due. */
  readonly look: () => void;
  readonly pass: () => void;
  /** Told how long each pass took, and how long after the one before it began, in seconds. */
  readonly took: (tookS: number, sinceS: number) => void;
  /** Told after each look how late timers come back, in seconds, and whether that is too much. */
  readonly behind: (behindS: number, overloaded: boolean) => void;
}

export class PassLoop {
  private queued = false;
  /** No further pass is made before then. */
  private restUntil = Number.NEGATIVE_INFINITY;
  private endedAt = 0;
  private behindS = 0;
  private overloaded = false;
  private stopped = false;

  constructor(private readonly options: PassLoopOptions) {}

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    const { now, settings, look, behind } = this.options;
    const everyS = settings.reportS / LOOKS;
    while (!this.stopped) {
      look();
      if (now() >= this.restUntil) this.pass();
      const before = now();
      await new Promise((resolve) => setTimeout(resolve, 1000 * everyS));
      // A pause that took far longer than asked for: more comes in than can be done.
      const lateS = now() - before - everyS;
      this.behindS = (1 - WEIGHT) * this.behindS + WEIGHT * lateS;
      this.overloaded = this.behindS > OVERLOADED * settings.reportS;
      behind(this.behindS, this.overloaded);
    }
  }

  /** Something came in: a pass follows as soon as the rest after the last one is over. */
  queue(): void {
    if (this.queued) return;
    this.queued = true;
    const inS = Math.max(0, this.restUntil - this.options.now());
    setTimeout(() => {
      this.queued = false;
      if (!this.stopped) this.pass();
    }, 1000 * inS);
  }

  /** Passes are spaced, so that whatever they cost, as much time is left for answers. */
  private pass(): void {
    const { now, settings, pass, took } = this.options;
    const began = now();
    pass();
    const ended = now();
    took(ended - began, began - this.endedAt);
    this.endedAt = ended;
    const rest = (this.overloaded ? REST_WHEN_OVERLOADED : REST) * (ended - began);
    this.restUntil = ended + Math.max(LEAST_REST * settings.reportS, rest);
  }
}
