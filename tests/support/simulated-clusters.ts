/** The clusters for simulations: zones, machine types, machines and the jobs that users submit. */
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { MachineType } from "../../src/core/model/machines.js";
import type { ClusterSettings } from "../../src/core/model/settings.js";
import { MACHINE_TYPES } from "./machine-types.js";
import { readSettings, settingsText, sharedSettings } from "./node-settings.js";

/** Type and zone of a machine, and whether it is a spot machine. */
export interface MachineAttributes {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Settings, machines and job templates of one simulation. */
export interface SimulatedCluster {
  readonly settings: ClusterSettings;
  readonly types: readonly MachineType[];
  readonly machines: readonly MachineAttributes[];
  /** Limit on the number of machines when the scheduler scales out; 0: it provisions none. */
  readonly maxMachines: number;
  readonly jobs: readonly Partial<JobSpec>[];
}

/** Jobs of every kind with few placement constraints. */
const BASIC_JOBS: readonly Partial<JobSpec>[] = [
  { tasks: 1 },
  { tasks: 3 },
  { tasks: 2, cpus: 2, zone: "b" },
  { tasks: 2, cpus: 2, kind: "gang", oneZone: true },
  { tasks: 2, kind: "service", spread: true, priority: "production" },
  { tasks: 4, priority: "low" },
];

/** Jobs of every kind with each of the placement constraints. */
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

/** Larger jobs for clusters of tens of machines; some are stored in shards. */
const LARGE_JOBS: readonly Partial<JobSpec>[] = [
  { kind: "array", tasks: 16, oneZone: true },
  { kind: "array", tasks: 70, oneZone: true, team: "maps" },
  { kind: "array", tasks: 16, spread: true, types: ["small"] },
  { kind: "gang", tasks: 8, oneZone: true, spot: false },
  { kind: "gang", tasks: 7, spread: true },
  { kind: "service", tasks: 9, spread: true, spot: false },
  { kind: "service", tasks: 6, oneZone: true, spot: false },
];

/** Maximum size of stored values, low enough that jobs of some tens of tasks are divided into shards. */
const SHARDING_VALUE_KB = 2;

function clusterSettings(zones: readonly string[], valueKb: number): ClusterSettings {
  const shared = sharedSettings();
  const state = { ...shared.state, value_kb: valueKb };
  return readSettings(settingsText({ settings: { ...shared, zones, state } })).cluster;
}

const machineTypesIn = (zones: readonly string[]): MachineType[] =>
  MACHINE_TYPES.map((type) => ({ ...type, zones: [...zones] }));

/** Five non-spot machines of one type in two zones. */
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

/** Machines of two types in three zones; one third are spot machines. */
function mixedCluster(
  count: number,
  maxMachines: number,
  jobs: readonly Partial<JobSpec>[],
): SimulatedCluster {
  const zones = ["a", "b", "c"];
  const machines = Array.from({ length: count }, (_, index) => ({
    type: index % 4 === 3 ? "big" : "small",
    zone: zones[index % 3]!,
    spot: Math.floor(index / 3) % 3 === 1,
  }));
  const settings = clusterSettings(zones, SHARDING_VALUE_KB);
  return { settings, types: machineTypesIn(zones), machines, maxMachines, jobs };
}

/** Selects one of four kinds of clusters by the seed. `choose` draws a whole number below its argument. */
export function clusterForSeed(seed: number, choose: (limit: number) => number): SimulatedCluster {
  const jobs = [...BASIC_JOBS, ...CONSTRAINED_JOBS];
  switch (seed % 4) {
    case 0:
      return minimalCluster(BASIC_JOBS);
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

/** A cluster whose users submit the given job and a small unconstrained one. */
export const clusterForJob = (job: Partial<JobSpec>): SimulatedCluster =>
  mixedCluster(18, 0, [job, { tasks: 2 }]);
