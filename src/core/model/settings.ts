/** Cluster settings from the platform's settings file, under the scheduler's own field names. */

/** A team with its guarantee and quota. */
export interface Team {
  readonly name: string;
  /** Guaranteed CPUs; 0: no guarantee. */
  readonly cpus: number;
  /** Maximum CPUs in use at the same time; 0: no limit. */
  readonly cpusMax: number;
  /** Guaranteed GPUs; 0: no guarantee. */
  readonly gpus: number;
  /** Maximum GPUs in use at the same time; 0: no limit. */
  readonly gpusMax: number;
}

/** A service-level objective (SLO) for a class of jobs. */
export interface Objective {
  /** Kind of objective, which determines the measured quantity. */
  readonly kind: string;
  /** Class of jobs that the objective applies to; null: all classes. */
  readonly class: string | null;
  /** Time bound, in seconds; null: no time bound. */
  readonly withinS: number | null;
  /** Share of the jobs that must meet the objective, from 0 to 1. */
  readonly share: number;
}

/** Settings of the managed cluster, and limits on the controllers' use of external services and of their own node. */
export interface ClusterSettings {
  /** Number of nodes in the cluster that run a controller. */
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** Seconds between a worker's heartbeats; actual intervals vary by up to a quarter. */
  readonly heartbeatIntervalS: number;
  /**
   * Length of a worker's lease, in seconds. A worker whose heartbeats get no response for this long kills all its
   * tasks.
   */
  readonly leaseS: number;
  /** Longest time, in seconds, for which a gang task waits for its peers to start. After that, it exits. */
  readonly gangWaitS: number;
  /**
   * Seconds from the end of one task of a gang until all its other tasks must have stopped. This includes the time
   * that these tasks need to detect that the first one no longer runs.
   */
  readonly gangPeerS: number;
  /** Seconds from the confirmation of a cancellation until all tasks of the job must have stopped. */
  readonly cancelS: number;
  /** Maximum rate of requests to the state service, in requests per second, of all controllers together. */
  readonly stateRps: number;
  /**
   * Maximum rate of stored changes, in changes per second, of all controllers together. One request may contain
   * several changes.
   */
  readonly stateWriteRps: number;
  /** Maximum size of a stored value, in KiB. */
  readonly valueKb: number;
  /** Maximum number of changes in one transaction. */
  readonly txnOps: number;
  /** Rate limit of the cloud's API, in requests per second. */
  readonly cloudRps: number;
  /** Normal delay, in seconds, until a change appears in the cloud's machine list. At times it is twice as long. */
  readonly listLagS: number;
  /** CPU cores available to this node, not necessarily a whole number: 0.5 is half a core, and 2 is two cores. */
  readonly cpuShare: number;
  /** Memory available to this node, in MiB. */
  readonly memoryMb: number;
  /** Maximum number of open sockets of this node. */
  readonly sockets: number;
  /** Maximum difference between the wall clocks of any two machines, in milliseconds. */
  readonly clockOffMs: number;
}
