/** When a node looks at what there is to do: at intervals, and soon after something came in, with time left for answers. */
import type { ClusterSettings } from "../core/model/settings.js";

/** Looks in a report interval when nothing comes in. */
const POLLS_PER_INTERVAL = 20;
/** Part of a report interval that is left between two passes at the least. */
const MINIMUM_REST_SHARE = 1 / 100;
/** Rest after a pass, as a ratio to what it took; and while more comes in than can be done. */
const REST_RATIO = 2;
const OVERLOADED_REST_RATIO = 8;
/** Lateness of timers from which a node is overloaded, as a ratio to the report interval. */
const OVERLOADED_LAG_SHARE = 1 / 30;
/** Weight of the last measurement of lateness. */
const LAG_SMOOTHING = 0.3;

export interface SchedulingLoopOptions {
  /** Steady time, in seconds. */
  readonly now: () => number;
  readonly settings: Pick<ClusterSettings, "heartbeatIntervalS">;
  /** Done at each look, before a pass that is due. */
  readonly onPoll: () => void;
  readonly runCycle: () => void;
  /** Told how long each pass took, and how long after the one before it began, in seconds. */
  readonly onCycleEnd: (tookS: number, sinceS: number) => void;
  /** Told after each look how late timers come back, in seconds, and whether that is too much. */
  readonly onLag: (behindS: number, overloaded: boolean) => void;
}

export class SchedulingLoop {
  private isQueued = false;
  /** No further pass is made before then. */
  private nextCycleAt = Number.NEGATIVE_INFINITY;
  private lastCycleEndedAt = 0;
  private lagS = 0;
  private isOverloaded = false;
  private stopped = false;

  constructor(private readonly options: SchedulingLoopOptions) {}

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    const { now, settings, onPoll: look, onLag: behind } = this.options;
    const everyS = settings.heartbeatIntervalS / POLLS_PER_INTERVAL;
    while (!this.stopped) {
      look();
      if (now() >= this.nextCycleAt) this.runCycle();
      const before = now();
      await new Promise((resolve) => setTimeout(resolve, 1000 * everyS));
      // A pause that took far longer than asked for: more comes in than can be done.
      const lateS = now() - before - everyS;
      this.lagS = (1 - LAG_SMOOTHING) * this.lagS + LAG_SMOOTHING * lateS;
      this.isOverloaded = this.lagS > OVERLOADED_LAG_SHARE * settings.heartbeatIntervalS;
      behind(this.lagS, this.isOverloaded);
    }
  }

  /** Something came in: a pass follows as soon as the rest after the last one is over. */
  requeue(): void {
    if (this.isQueued) return;
    this.isQueued = true;
    const inS = Math.max(0, this.nextCycleAt - this.options.now());
    setTimeout(() => {
      this.isQueued = false;
      if (!this.stopped) this.runCycle();
    }, 1000 * inS);
  }

  /** Passes are spaced, so that whatever they cost, as much time is left for answers. */
  private runCycle(): void {
    const { now, settings, runCycle: pass, onCycleEnd: took } = this.options;
    const began = now();
    pass();
    const ended = now();
    took(ended - began, began - this.lastCycleEndedAt);
    this.lastCycleEndedAt = ended;
    const rest = (this.isOverloaded ? OVERLOADED_REST_RATIO : REST_RATIO) * (ended - began);
    this.nextCycleAt = ended + Math.max(MINIMUM_REST_SHARE * settings.heartbeatIntervalS, rest);
  }
}
