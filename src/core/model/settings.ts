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
  /** Number of controllers. */
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** Seconds between a worker's heartbeats; actual intervals vary by up to a quarter. */
  readonly heartbeatIntervalS: number;
  /** Lease of a worker: seconds without a response to a heartbeat after which the worker kills all its tasks. */
  readonly leaseS: number;
  /** Seconds that a gang task waits for its peers to start before it exits. */
  readonly gangWaitS: number;
  /** Seconds within which gang tasks detect that a peer no longer runs, and within which all must be stopped. */
  readonly gangPeerS: number;
  /** Seconds from the confirmation of a cancellation after which no task of the job may run. */
  readonly cancelS: number;
  /** Rate limit of the state service, in requests per second, for all controllers together. */
  readonly stateRps: number;
  /** Rate limit of the state service, in changes per second, for all controllers together. */
  readonly stateWriteRps: number;
  /** Maximum size of a stored value, in KiB. */
  readonly valueKb: number;
  /** Maximum number of changes in one transaction. */
  readonly txnOps: number;
  /** Rate limit of the cloud's API, in requests per second. */
  readonly cloudRps: number;
  /** Seconds by which the cloud's list of machines normally lags. At times it lags twice as much. */
  readonly listLagS: number;
  /** CPU cores available to this node; may be a fraction of a core, or several cores. */
  readonly cpuShare: number;
  /** Memory available to this node, in MiB. */
  readonly memoryMb: number;
  /** Maximum number of open sockets of this node. */
  readonly sockets: number;
  /** Maximum difference between the wall clocks of two machines, in milliseconds. */
  readonly clockOffMs: number;
}
