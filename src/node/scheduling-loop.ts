/** When a node runs scheduling cycles: at intervals, and soon after an input, with time left for answers in between. */
import type { ClusterSettings } from "../core/model/settings.js";
import { sleepSeconds } from "../time/sleep.js";

/** Polls in a heartbeat interval when nothing comes in. */
const POLLS_PER_INTERVAL = 20;
/** Least rest between two cycles, as a share of the heartbeat interval. */
const MINIMUM_REST_SHARE = 1 / 100;
/** Rest after a cycle, as a ratio to its duration; and the same while more comes in than can be done. */
const REST_RATIO = 2;
const OVERLOADED_REST_RATIO = 8;
/** Lag of timers from which a node is overloaded, as a share of the heartbeat interval. */
const OVERLOADED_LAG_SHARE = 1 / 30;
/** Weight of the last measurement of the lag in its moving average. */
const LAG_SMOOTHING = 0.3;

/** What the loop runs, and the callbacks that receive its measurements. */
export interface SchedulingLoopOptions {
  /** Steady time, in seconds. */
  readonly now: () => number;
  readonly settings: Pick<ClusterSettings, "heartbeatIntervalS">;
  /** Called at each poll, before the cycle that may be due. */
  readonly onPoll: () => void;
  /** Runs one scheduling cycle. */
  readonly runCycle: () => void;
  /** Receives the duration of each cycle, and how long after the end of the last one it began, in seconds. */
  readonly onCycleEnd: (durationS: number, sinceLastCycleS: number) => void;
  /** Receives after each poll how late timers fire on average, in seconds, and whether that is too much. */
  readonly onLag: (lagS: number, isOverloaded: boolean) => void;
}

/** Spaces the scheduling cycles of a node. */
export class SchedulingLoop {
  private isQueued = false;
  private nextCycleAt = Number.NEGATIVE_INFINITY;
  private lastCycleEndedAt = 0;
  private lagS = 0;
  private isOverloaded = false;
  private stopped = false;

  constructor(private readonly options: SchedulingLoopOptions) {}

  /** Polls until `stop`, and runs a cycle at each poll unless the rest after the last one still lasts. */
  async run(): Promise<void> {
    const { now, settings, onPoll, onLag } = this.options;
    const pollIntervalS = settings.heartbeatIntervalS / POLLS_PER_INTERVAL;
    while (!this.stopped) {
      onPoll();
      if (now() >= this.nextCycleAt) this.runCycle();
      const sleptFrom = now();
      await sleepSeconds(pollIntervalS);
      this.updateLag(now() - sleptFrom - pollIntervalS);
      onLag(this.lagS, this.isOverloaded);
    }
  }

  /** Ends the loop. No cycle begins after this. */
  stop(): void {
    this.stopped = true;
  }

  /** Input arrived: the next cycle runs as soon as the rest after the last one ends. */
  requeue(): void {
    if (this.isQueued) return;
    this.isQueued = true;
    const delayS = Math.max(0, this.nextCycleAt - this.options.now());
    setTimeout(() => {
      this.isQueued = false;
      if (!this.stopped) this.runCycle();
    }, 1000 * delayS);
  }

  /** A sleep that lasted far longer than requested means that more arrives than can be handled. */
  private updateLag(measuredS: number): void {
    this.lagS = (1 - LAG_SMOOTHING) * this.lagS + LAG_SMOOTHING * measuredS;
    const { heartbeatIntervalS } = this.options.settings;
    this.isOverloaded = this.lagS > OVERLOADED_LAG_SHARE * heartbeatIntervalS;
  }

  /** Cycles are spaced, so that whatever they cost, as much time is left for answers. */
  private runCycle(): void {
    const { now, settings, runCycle, onCycleEnd } = this.options;
    const startedAt = now();
    runCycle();
    const endedAt = now();
    const durationS = endedAt - startedAt;
    onCycleEnd(durationS, startedAt - this.lastCycleEndedAt);
    this.lastCycleEndedAt = endedAt;
    const restS = durationS * (this.isOverloaded ? OVERLOADED_REST_RATIO : REST_RATIO);
    const minimumRestS = MINIMUM_REST_SHARE * settings.heartbeatIntervalS;
    this.nextCycleAt = endedAt + Math.max(minimumRestS, restS);
  }
}
