/**
 * What this node spends its time on, for operators who size it: a line in the log every few report intervals
 * (docs/operations-sizing.md).
 */
import type { ClusterSettings } from "../core/model/settings.js";

/** Report intervals between two lines. */
const LINE_INTERVALS = 5;

export const ACTIVITIES = ["reports", "passes", "commands", "records"] as const;
export type Activity = (typeof ACTIVITIES)[number];

/** How often something was done, and the seconds that it took. */
interface ActivityTotals {
  count: number;
  seconds: number;
}

/** One line: processor time used, as a share of a core, and what was done in the time since the last one. */
export interface LoadLine {
  readonly overS: number;
  readonly cpu: number;
  readonly cpuGiven: number;
  readonly behindMs: number;
  readonly heapMb: number;
  readonly residentMb: number;
  readonly activities: Readonly<Record<Activity, { perSecond: number; share: number }>>;
}

export interface NodeLoadOptions {
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Processor time that this process has used, in seconds. */
  readonly cpuS: () => number;
  readonly memory: () => { readonly heapUsed: number; readonly rss: number };
  /** The share of a core that the settings give. */
  readonly cpuShare: number;
  /** Seconds between two lines. */
  readonly everyS: number;
}

const MB = 2 ** 20;
const rounded = (n: number): number => Math.round(n * 1000) / 1000;

export class NodeLoad {
  private readonly spent = new Map<Activity, ActivityTotals>();
  private since: number;
  private cpuSince: number;

  constructor(private readonly options: NodeLoadOptions) {
    this.since = options.now();
    this.cpuSince = options.cpuS();
    this.clear();
  }

  /** Does the work, and counts it as that activity. */
  measure<T>(activity: Activity, work: () => T): T {
    const began = this.options.now();
    try {
      return work();
    } finally {
      const spent = this.spent.get(activity)!;
      spent.count++;
      spent.seconds += this.options.now() - began;
    }
  }

  /** The line that is due, or null. `behindS`: how late timers come back. */
  line(behindS: number): LoadLine | null {
    const { now, cpuS, memory, cpuShare, everyS } = this.options;
    const overS = now() - this.since;
    if (overS < everyS) return null;
    const cpu = cpuS();
    const { heapUsed, rss } = memory();
    const activities = {} as Record<Activity, { perSecond: number; share: number }>;
    for (const [activity, { count, seconds }] of this.spent) {
      activities[activity] = { perSecond: rounded(count / overS), share: rounded(seconds / overS) };
    }
    const line: LoadLine = {
      overS: rounded(overS),
      cpu: rounded((cpu - this.cpuSince) / overS),
      cpuGiven: cpuShare,
      behindMs: Math.round(1000 * behindS),
      heapMb: Math.round(heapUsed / MB),
      residentMb: Math.round(rss / MB),
      activities,
    };
    this.since = now();
    this.cpuSince = cpu;
    this.clear();
    return line;
  }

  private clear(): void {
    for (const activity of ACTIVITIES) this.spent.set(activity, { count: 0, seconds: 0 });
  }
}

/** The load of this process. */
export function newNodeLoad({ cpuShare, heartbeatIntervalS: reportS }: ClusterSettings): NodeLoad {
  return new NodeLoad({
    now: () => performance.now() / 1000,
    cpuS: () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / 1e6;
    },
    memory: process.memoryUsage,
    cpuShare,
    everyS: LINE_INTERVALS * reportS,
  });
}
