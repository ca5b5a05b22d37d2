/**
 * What this node spends its time on, for operators who size it: a line in the log every few heartbeat intervals
 * (docs/operations-sizing.md).
 */
import type { ClusterSettings } from "../core/model/settings.js";
import { steadyNowS } from "../time/steady-clock.js";

/** Heartbeat intervals between two lines. */
const LINE_INTERVALS = 5;

/** What is counted: heartbeats answered, scheduling cycles, results of effects, and changes of the replica. */
export const ACTIVITIES = ["heartbeats", "cycles", "effectResults", "replicaChanges"] as const;
/** Something that a node spends its time on. */
export type Activity = (typeof ACTIVITIES)[number];

/** How often something was done, and for how many seconds in all. */
interface ActivityTotals {
  count: number;
  seconds: number;
}

/** How often something was done in a second, and the share of the time that was spent on it. */
export interface ActivityRate {
  readonly perSecond: number;
  readonly share: number;
}

/** One line: the processor time used since the last one, and what was done in it. */
export interface LoadLine {
  /** Seconds since the last line. */
  readonly intervalS: number;
  /** Processor time used, as a share of a core. */
  readonly cpu: number;
  /** The share of a core that the settings give. */
  readonly cpuShare: number;
  /** How late timers fire. */
  readonly lagMs: number;
  readonly heapMb: number;
  readonly residentMb: number;
  readonly activities: Readonly<Record<Activity, ActivityRate>>;
}

/** What the load is measured by. */
export interface NodeLoadOptions {
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Processor time that this process has used, in seconds. */
  readonly cpuS: () => number;
  /** Memory of this process, in bytes. */
  readonly memory: () => { readonly heapUsed: number; readonly rss: number };
  /** The share of a core that the settings give. */
  readonly cpuShare: number;
  /** Seconds between two lines. */
  readonly lineIntervalS: number;
}

const BYTES_PER_MB = 2 ** 20;
const rounded = (value: number): number => Math.round(value * 1000) / 1000;

/** Counts and times the activities of a node. */
export class NodeLoad {
  private readonly totals = new Map<Activity, ActivityTotals>();
  private lastLineAt: number;
  private cpuSAtLastLine: number;

  constructor(private readonly options: NodeLoadOptions) {
    this.lastLineAt = options.now();
    this.cpuSAtLastLine = options.cpuS();
    this.resetTotals();
  }

  /** Does the work, and counts it as that activity, also when it throws. */
  measure<Result>(activity: Activity, work: () => Result): Result {
    const startedAt = this.options.now();
    try {
      return work();
    } finally {
      const totals = this.totals.get(activity)!;
      totals.count++;
      totals.seconds += this.options.now() - startedAt;
    }
  }

  /** The line that is due, or null. `lagS`: how late timers fire. */
  line(lagS: number): LoadLine | null {
    const { now, cpuS, memory, cpuShare, lineIntervalS } = this.options;
    const intervalS = now() - this.lastLineAt;
    if (intervalS < lineIntervalS) return null;
    const cpuSNow = cpuS();
    const { heapUsed, rss } = memory();
    const line: LoadLine = {
      intervalS: rounded(intervalS),
      cpu: rounded((cpuSNow - this.cpuSAtLastLine) / intervalS),
      cpuShare,
      lagMs: Math.round(1000 * lagS),
      heapMb: Math.round(heapUsed / BYTES_PER_MB),
      residentMb: Math.round(rss / BYTES_PER_MB),
      activities: this.activityRates(intervalS),
    };
    this.lastLineAt = now();
    this.cpuSAtLastLine = cpuSNow;
    this.resetTotals();
    return line;
  }

  private activityRates(intervalS: number): Record<Activity, ActivityRate> {
    const rates = {} as Record<Activity, ActivityRate>;
    for (const [activity, { count, seconds }] of this.totals) {
      rates[activity] = {
        perSecond: rounded(count / intervalS),
        share: rounded(seconds / intervalS),
      };
    }
    return rates;
  }

  private resetTotals(): void {
    for (const activity of ACTIVITIES) this.totals.set(activity, { count: 0, seconds: 0 });
  }
}

/** The load of this process. */
export function newNodeLoad({ cpuShare, heartbeatIntervalS }: ClusterSettings): NodeLoad {
  return new NodeLoad({
    now: steadyNowS,
    cpuS: () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / 1e6;
    },
    memory: process.memoryUsage,
    cpuShare,
    lineIntervalS: LINE_INTERVALS * heartbeatIntervalS,
  });
}
