/** The clusters of simulations: zones, machine types, machines and the kinds of jobs that users submit. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { MachineType } from "../../src/core/model/machines.js";
import type { ClusterSettings } from "../../src/core/model/settings.js";
import { MACHINE_TYPES } from "./machine-types.js";
import { readSettings, settingsText, sharedSettings } from "./node-settings.js";

/** What a machine is and where. */
export interface MachineKind {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Settings, machines and users of one simulation. */
export interface SimulatedCluster {
  readonly settings: ClusterSettings;
  readonly types: readonly MachineType[];
  readonly machines: readonly MachineKind[];
  /** Machines that scaling out never exceeds; 0: it provisions none. */
  readonly maxMachines: number;
  readonly jobs: readonly Partial<JobSpec>[];
}

/** Jobs of every kind without a constraint, and those that the first searches had. */
const UNCONSTRAINED_JOBS: readonly Partial<JobSpec>[] = [
  { tasks: 1 },
  { tasks: 3 },
  { tasks: 2, cpus: 2, zone: "b" },
  { tasks: 2, cpus: 2, kind: "gang", oneZone: true },
  { tasks: 2, kind: "service", spread: true, priority: "production" },
  { tasks: 4, priority: "low" },
];

/** Each constraint on jobs of each kind. */
const CONSTRAINED_JOBS: readonly Partial<JobSpec>[] = [
  { kind: "array", tasks: 5, oneZone: true },
  { kind: "array", tasks: 5, spread: true },
  { kind: "array", tasks: 2, types: ["big"] },
  { kind: "array", tasks: 4, zone: "a" },
  { kind: "array", tasks: 3, spot: false },
  { kind: "gang", tasks: 3, oneZone: true },
  { kind: "gang", tasks: 3, spread: true },
  { kind: "gang", tasks: 2, types: ["small"] },
  { kind: "gang", tasks: 2, zone: "b" },
  { kind: "gang", tasks: 2, spot: false },
  { kind: "service", tasks: 3, oneZone: true, priority: "production" },
  { kind: "service", tasks: 3, spread: true, priority: "production" },
  { kind: "service", tasks: 2, types: ["small", "big"] },
  { kind: "service", tasks: 2, zone: "a" },
  { kind: "service", tasks: 2, spot: false },
];

/** Larger ones for clusters of tens of machines: some are stored in shards. */
const LARGE_JOBS: readonly Partial<JobSpec>[] = [
  { kind: "array", tasks: 16, oneZone: true },
  { kind: "array", tasks: 70, oneZone: true, team: "maps" },
  { kind: "array", tasks: 16, spread: true, types: ["small"] },
  { kind: "gang", tasks: 8, oneZone: true, spot: false },
  { kind: "gang", tasks: 7, spread: true },
  { kind: "service", tasks: 9, spread: true, spot: false },
  { kind: "service", tasks: 6, oneZone: true, spot: false },
];

/** Values of this size divide jobs of some tens of tasks into shards. */
const SHARDING_VALUE_KB = 2;

function clusterSettings(zones: readonly string[], valueKb: number): ClusterSettings {
  const shared = sharedSettings();
  const state = { ...shared.state, value_kb: valueKb };
  return readSettings(settingsText({ settings: { ...shared, zones, state } })).cluster;
}

const machineTypesIn = (zones: readonly string[]): MachineType[] =>
  MACHINE_TYPES.map((type) => ({ ...type, zones: [...zones] }));

/** Five ordinary machines of one type in two zones. */
function minimalCluster(jobs: readonly Partial<JobSpec>[]): SimulatedCluster {
  const zones = ["a", "b"];
  const machines = ["a", "a", "a", "b", "b"].map((zone) => ({ type: "small", zone, spot: false }));
  return {
    settings: clusterSettings(zones, 8),
    types: machineTypesIn(zones),
    machines,
    maxMachines: 0,
    jobs,
  };
}

/** Machines of two types in three zones, a third of them spot machines. */
function mixedCluster(
  count: number,
  maxMachines: number,
  jobs: readonly Partial<JobSpec>[],
): SimulatedCluster {
  const zones = ["a", "b", "c"];
  const machines = Array.from({ length: count }, (_, i) => ({
    type: i % 4 === 3 ? "big" : "small",
    zone: zones[i % 3]!,
    spot: Math.floor(i / 3) % 3 === 1,
  }));
  const settings = clusterSettings(zones, SHARDING_VALUE_KB);
  return { settings, types: machineTypesIn(zones), machines, maxMachines, jobs };
}

/** Clusters of several sizes in turn; `choose` draws a whole number below its argument. */
export function clusterForSeed(seed: number, choose: (limit: number) => number): SimulatedCluster {
  const jobs = [...UNCONSTRAINED_JOBS, ...CONSTRAINED_JOBS];
  switch (seed % 4) {
    case 0:
      return minimalCluster(UNCONSTRAINED_JOBS);
    case 1:
      return minimalCluster(jobs.filter((job) => !requiresBigMachine(job)));
    case 2:
      return mixedCluster(10 + choose(8), 0, jobs);
    default: {
      const machineCount = 12 + choose(40);
      return mixedCluster(machineCount, machineCount + 10, [...jobs, ...LARGE_JOBS]);
    }
  }
}

const requiresBigMachine = (job: Partial<JobSpec>): boolean =>
  job.types?.includes("small") === false;

/** A cluster for one sort of job, with little else in its way. */
export const clusterForJob = (job: Partial<JobSpec>): SimulatedCluster =>
  mixedCluster(18, 0, [job, { tasks: 2 }]);
