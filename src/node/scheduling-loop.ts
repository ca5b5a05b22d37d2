/**
 * Runs scheduling cycles at a fixed poll interval and soon after new input, with pauses that leave processor time for
 * answering requests.
 */
import type { ClusterSettings } from "../core/model/settings.js";
import { sleepSeconds } from "../time/sleep.js";

/** Number of polls per heartbeat interval. Input causes additional cycles between polls. */
const POLLS_PER_INTERVAL = 20;
/** Shortest pause between two cycles, as a share of the heartbeat interval. */
const MINIMUM_PAUSE_SHARE = 1 / 100;
/**
 * Pause after a cycle, as a multiple of the cycle's duration: in normal operation, and while the node is overloaded.
 */
const PAUSE_RATIO = 2;
const OVERLOADED_PAUSE_RATIO = 8;
/**
 * Average timer lag above which a node counts as overloaded, as a share of the heartbeat interval. The lag of a timer
 * is the time from when it is due until it fires.
 */
const OVERLOADED_LAG_SHARE = 1 / 30;
/** Weight of the latest measurement in the moving average of the timer lag. */
const LAG_SMOOTHING = 0.3;

/** Callbacks that the loop runs, and callbacks that receive its measurements. */
export interface SchedulingLoopOptions {
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly settings: Pick<ClusterSettings, "heartbeatIntervalS">;
  /** Called at each poll, before a due cycle is run. */
  readonly onPoll: () => void;
  /** Runs one scheduling cycle. */
  readonly runCycle: () => void;
  /**
   * Receives the duration of each cycle, and the time from the end of the previous cycle to its start, in seconds.
   */
  readonly onCycleEnd: (durationS: number, sinceLastCycleS: number) => void;
  /** Receives the average timer lag in seconds after each poll, and whether the node counts as overloaded. */
  readonly onLag: (lagS: number, isOverloaded: boolean) => void;
}

/** Schedules the cycles of a node. */
export class SchedulingLoop {
  private isCycleRequested = false;
  private nextCycleAt = Number.NEGATIVE_INFINITY;
  private lastCycleEndedAt = 0;
  private lagS = 0;
  private isOverloaded = false;
  private stopped = false;

  constructor(private readonly options: SchedulingLoopOptions) {}

  /** Polls until `stop`. Runs a cycle at each poll unless the pause after the previous cycle has not ended. */
  async run(): Promise<void> {
    const { now, settings, onPoll, onLag } = this.options;
    const pollIntervalS = settings.heartbeatIntervalS / POLLS_PER_INTERVAL;
    while (!this.stopped) {
      onPoll();
      if (now() >= this.nextCycleAt) this.runCycle();
      const sleepStartedAt = now();
      await sleepSeconds(pollIntervalS);
      this.updateLag(now() - sleepStartedAt - pollIntervalS);
      onLag(this.lagS, this.isOverloaded);
    }
  }

  /** Ends the loop; no further cycle starts. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Requests a cycle for new input. It runs when the current pause ends, even if a poll has run a cycle in the
   * meantime.
   */
  requestCycle(): void {
    if (this.isCycleRequested) return;
    this.isCycleRequested = true;
    const delayS = Math.max(0, this.nextCycleAt - this.options.now());
    setTimeout(() => {
      this.isCycleRequested = false;
      if (!this.stopped) this.runCycle();
    }, 1000 * delayS);
  }

  /** A sleep that lasts much longer than requested shows that the event loop is overloaded. */
  private updateLag(measuredS: number): void {
    this.lagS = (1 - LAG_SMOOTHING) * this.lagS + LAG_SMOOTHING * measuredS;
    const { heartbeatIntervalS } = this.options.settings;
    this.isOverloaded = this.lagS > OVERLOADED_LAG_SHARE * heartbeatIntervalS;
  }

  /** Runs a cycle and sets the pause after it in proportion to its duration, which leaves time to answer requests. */
  private runCycle(): void {
    const { now, settings, runCycle, onCycleEnd } = this.options;
    const startedAt = now();
    runCycle();
    const endedAt = now();
    const durationS = endedAt - startedAt;
    onCycleEnd(durationS, startedAt - this.lastCycleEndedAt);
    this.lastCycleEndedAt = endedAt;
    const pauseS = durationS * (this.isOverloaded ? OVERLOADED_PAUSE_RATIO : PAUSE_RATIO);
    const minimumPauseS = MINIMUM_PAUSE_SHARE * settings.heartbeatIntervalS;
    this.nextCycleAt = endedAt + Math.max(minimumPauseS, pauseS);
  }
}
