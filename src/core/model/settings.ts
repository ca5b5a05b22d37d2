/** What the platform's settings say of the cluster, in the field's terms. */

/** A team's guarantee and quota. */
export interface Team {
  readonly name: string;
  /** CPUs guaranteed; 0: nothing is guaranteed. */
  readonly cpus: number;
  /** Most CPUs at one time; 0: no limit. */
  readonly cpusMax: number;
  /** GPUs guaranteed; 0: nothing is guaranteed. */
  readonly gpus: number;
  /** Most GPUs at one time; 0: no limit. */
  readonly gpusMax: number;
}

/** A service-level objective (SLO) for a class of jobs. */
export interface Objective {
  /** What is measured. */
  readonly kind: string;
  /** Class of jobs; null: all. */
  readonly class: string | null;
  /** Time bound, in seconds; null: none. */
  readonly withinS: number | null;
  /** Share of the jobs that must meet it, from 0 to 1. */
  readonly share: number;
}

/** The cluster that the controllers manage, and what they may take of the services and of the node. */
export interface ClusterSettings {
  /** Number of controllers. */
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  /** Seconds between a worker's heartbeats, give or take a quarter. */
  readonly heartbeatIntervalS: number;
  /** Seconds after which a worker without an answered heartbeat ends all its tasks. */
  readonly leaseS: number;
  /** Seconds that a gang task waits for its peers before it exits. */
  readonly gangWaitS: number;
  /** Seconds within which gang tasks notice that a peer no longer runs, and within which all must be stopped. */
  readonly gangPeerS: number;
  /** Seconds from the confirmation of a cancellation within which no task may run any more. */
  readonly cancelS: number;
  /** Requests a second that the key-value store takes from all controllers together. */
  readonly stateRps: number;
  /** Changes a second that it takes from all controllers together. */
  readonly stateWriteRps: number;
  /** Largest stored value, in KiB. */
  readonly valueKb: number;
  /** Most changes in one transaction. */
  readonly txnOps: number;
  /** Requests a second that the cloud takes. */
  readonly cloudRps: number;
  /** Seconds by which the cloud's list of machines lags, at times twice as much. */
  readonly listLagS: number;
  /** Cores of this node: its share of a CPU, or several. */
  readonly cpuShare: number;
  /** Memory of this node, in MiB. */
  readonly memoryMb: number;
  /** Sockets that this node may have open. */
  readonly sockets: number;
  /** Bound on the difference between the times of day of two machines, in milliseconds. */
  readonly clockOffMs: number;
}
