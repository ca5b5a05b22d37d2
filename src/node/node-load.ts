/**
 * Measures how a node spends its processor time, and reports it in the log every few heartbeat intervals. Operators
 * use the reports to size a node (docs/operations-sizing.md).
 */
import type { ClusterSettings } from "../core/model/settings.js";
import { steadyNowS } from "../time/steady-clock.js";

/** Time between two reports, in heartbeat intervals. */
const REPORT_INTERVALS = 5;

/**
 * Measured activities: answering heartbeats, scheduling cycles, handling effect results, and handling replica
 * changes.
 */
export const ACTIVITIES = ["heartbeats", "cycles", "effectResults", "replicaChanges"] as const;
/** A measured activity, which is also the field name of its totals in a load report. */
export type Activity = (typeof ACTIVITIES)[number];

/** Count and total duration of an activity. */
interface ActivityTotals {
  count: number;
  seconds: number;
}

/** Frequency of an activity, and the share of the time that was spent on it. */
export interface ActivityRate {
  readonly perSecond: number;
  readonly share: number;
}

/** A load report: processor time used since the previous report, and the activities in that time. */
export interface LoadReport {
  /** Seconds since the previous report. */
  readonly intervalS: number;
  /** Processor time used, as a share of a core. */
  readonly cpu: number;
  /** Share of a core that the settings give this node. */
  readonly cpuShare: number;
  /** Average timer lag (time from when a timer is due until it fires), in milliseconds. */
  readonly lagMs: number;
  readonly heapMb: number;
  readonly residentMb: number;
  readonly activities: Readonly<Record<Activity, ActivityRate>>;
}

/** Clocks and settings of `NodeLoad`. */
export interface NodeLoadOptions {
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Processor time that this process has used so far, in seconds. */
  readonly cpuS: () => number;
  /** Memory of this process, in bytes. */
  readonly memory: () => { readonly heapUsed: number; readonly rss: number };
  /** Share of a core that the settings give this node. */
  readonly cpuShare: number;
  /** Seconds between two reports. */
  readonly reportIntervalS: number;
}

const BYTES_PER_MB = 2 ** 20;
const rounded = (value: number): number => Math.round(value * 1000) / 1000;

/** Counts and times a node's activities. */
export class NodeLoad {
  private readonly totals = new Map<Activity, ActivityTotals>();
  private lastReportAt: number;
  private cpuSAtLastReport: number;

  constructor(private readonly options: NodeLoadOptions) {
    this.lastReportAt = options.now();
    this.cpuSAtLastReport = options.cpuS();
    this.resetTotals();
  }

  /** Runs `work` and records it as `activity`, even if it throws. */
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

  /**
   * Returns a report and resets the totals if a report is due; otherwise null. `lagS`: average timer lag in seconds.
   */
  takeDueReport(lagS: number): LoadReport | null {
    const { now, cpuS, memory, cpuShare, reportIntervalS } = this.options;
    const intervalS = now() - this.lastReportAt;
    if (intervalS < reportIntervalS) return null;
    const cpuSNow = cpuS();
    const { heapUsed, rss } = memory();
    const report: LoadReport = {
      intervalS: rounded(intervalS),
      cpu: rounded((cpuSNow - this.cpuSAtLastReport) / intervalS),
      cpuShare,
      lagMs: Math.round(1000 * lagS),
      heapMb: Math.round(heapUsed / BYTES_PER_MB),
      residentMb: Math.round(rss / BYTES_PER_MB),
      activities: this.activityRates(intervalS),
    };
    this.lastReportAt = now();
    this.cpuSAtLastReport = cpuSNow;
    this.resetTotals();
    return report;
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

/** Creates the load measurement of this process. */
export function createNodeLoad({ cpuShare, heartbeatIntervalS }: ClusterSettings): NodeLoad {
  return new NodeLoad({
    now: steadyNowS,
    cpuS: () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / 1e6;
    },
    memory: process.memoryUsage,
    cpuShare,
    reportIntervalS: REPORT_INTERVALS * heartbeatIntervalS,
  });
}
