/**
 * Types of the input of a scheduling cycle. The module imports only types, so every planning module can import it
 * without an import cycle.
 */

import type { Cluster } from "../cluster.js";
import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ClusterSettings } from "../model/settings.js";
import type { TokenBucket } from "../overload/token-bucket.js";

/** Input of one scheduling cycle, shared by all its steps. */
export interface PlanningContext {
  /** The leader's view of machines and jobs. The cycle adds its placements to it. */
  readonly cluster: Cluster;
  readonly settings: ClusterSettings;
  /** Monotonic time at the start of the cycle, in seconds. */
  readonly now: number;
  /** Time of day at the start of the cycle, in milliseconds since 1970. Deadlines and objectives refer to it. */
  readonly wallMs: number;
  /** Maximum size of a job's stored value, in bytes, which placing tasks of the job must not exceed. */
  readonly maxValueBytes: number;
  readonly snapshot: MachineSnapshot;
  /** Ids of the jobs that fit within the guaranteed capacity of their team. */
  readonly guaranteedJobs: ReadonlySet<string>;
  readonly gpuReservation: GpuReservation;
  /** Rate limit on placing tasks of sharded jobs; one token for each task. */
  readonly shardedTaskBudget: TokenBucket;
  /** Reports that no further task of the job can be placed, as its value would become larger than `maxValueBytes`. */
  readonly reportValueLimit: (job: ActiveJob, bytes: number) => void;
  /** Logs an event of a single task. `fields` is called only if such events are logged. */
  readonly logTask: (message: string, fields: () => Record<string, unknown>) => void;
}

/**
 * Indexes of the machines as of the start of a cycle. They are built once for all jobs, because with several hundred
 * machines and jobs a pass over all machines for every job takes more CPU time than a controller has.
 */
export interface MachineSnapshot {
  /** Usable machines, by the name of their type. A machine is usable if it accepts new work. */
  readonly usableByType: ReadonlyMap<string, readonly Machine[]>;
  /** Usable machines with free CPU and memory. */
  readonly withFreeCapacity: readonly Machine[];
  /** One machine, usable or not, for each combination of type, zone and spot flag. */
  readonly oneOfEachKind: readonly Machine[];
  /** The machines of `withFreeCapacity` that have pulled an image, by the image's name. */
  readonly withImage: ReadonlyMap<string, readonly Machine[]>;
  /** Number of usable GPU machines, with or without free capacity, that have pulled an image, by the image's name. */
  readonly gpuMachineCountByImage: ReadonlyMap<string, number>;
  /** The service tasks on usable machines that are not being stopped. They run until their job is cancelled. */
  readonly serviceTasks: ReadonlyMap<Machine, readonly Placement[]>;
}

/** The capacity reserved for GPU jobs, as of the start of a cycle. */
export interface GpuReservation {
  /** The spec of the latest job of each known class that uses GPUs. */
  readonly gpuJobSpecs: readonly JobSpec[];
  /**
   * GPU machines on which other jobs must leave enough free capacity for a GPU job, those with the most images of GPU
   * jobs first.
   */
  readonly reservedMachines: ReadonlySet<Machine>;
}
