/**
 * What one scheduling cycle works on: types only. Nothing is imported here at run time, so that every planning
 * module may depend on it without a circle of imports.
 */

import type { Cluster } from "../cluster.js";
import type { Machine } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ClusterSettings } from "../model/settings.js";
import type { TokenBucket } from "../overload/token-bucket.js";

/** Input of one scheduling cycle, the same for all of its steps. */
export interface PlanningContext {
  /** The leader's view of machines and jobs; placements of this cycle are added to it. */
  readonly cluster: Cluster;
  readonly settings: ClusterSettings;
  /** Steady clock at the beginning of the cycle, in seconds. */
  readonly now: number;
  /** Time of day at the beginning of the cycle, in milliseconds since 1970: for deadlines and objectives. */
  readonly wallMs: number;
  /** Bytes that the stored value of a job may grow to while its tasks are still being placed. */
  readonly maxValueBytes: number;
  readonly snapshot: MachineSnapshot;
  /** Ids of the jobs within their team's guarantee. */
  readonly guaranteedJobs: ReadonlySet<string>;
  readonly gpuReservation: GpuReservation;
  /** Tasks of sharded jobs that may still be placed. */
  readonly bulkBudget: TokenBucket;
  /** Logs a line on a single task; the fields are computed only where such lines are written. */
  readonly logTask: (message: string, fields: () => Record<string, unknown>) => void;
}

/**
 * The machines as the cycle begins. Computed once for all jobs: with many hundred machines and jobs, one pass over
 * the machines for every job costs more than a controller can spend.
 */
export interface MachineSnapshot {
  /** Machines that accept new work, by the name of their type. */
  readonly usableByType: ReadonlyMap<string, readonly Machine[]>;
  /** Usable machines with free CPU and memory. */
  readonly withFreeCapacity: readonly Machine[];
  /** One machine of each kind, which is its type, its zone and whether it is a spot machine. */
  readonly oneOfEachKind: readonly Machine[];
  /** Of `withFreeCapacity`, those that hold an image, by image. */
  readonly withImage: ReadonlyMap<string, readonly Machine[]>;
  /** Number of usable GPU machines, with free capacity or not, that hold an image, by image. */
  readonly gpuMachinesWithImage: ReadonlyMap<string, number>;
}

/** The capacity reservation for GPU jobs, as of the beginning of a cycle. */
export interface GpuReservation {
  /** One job of each known shape that uses GPUs. */
  readonly gpuJobSpecs: readonly JobSpec[];
  /** Free GPU machines that other work must leave usable. */
  readonly reservedMachines: ReadonlySet<Machine>;
}
