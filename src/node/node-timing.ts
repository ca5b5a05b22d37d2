/** Durations derived from a node's settings. */
import type { OperatorSettings } from "../config/operator.js";
import type { ClusterSettings } from "../core/model/settings.js";

/** Durations that several components of a node use. */
export interface NodeTiming {
  /** Longest time without an answer of the state service after which the node still counts as in contact with it. */
  readonly maximumContactGapS: number;
  /** Time after the end of its term in which a former leader may still answer heartbeats. */
  readonly gracePeriodS: number;
  /** The same for machines that run service replicas or gang tasks, whose leases are extended during a partition. */
  readonly leaseExtensionS: number;
  /** Timeout of requests to the state service and to workers. */
  readonly requestTimeoutMs: number;
  /** Shortest time between two linearizable reads of the state service, and between two watches. */
  readonly minimumReadIntervalS: number;
}

/** Computes the durations for a node of this cluster. */
export function nodeTiming(cluster: ClusterSettings, operator: OperatorSettings): NodeTiming {
  const { heartbeatIntervalS, leaseS } = cluster;
  const maximumContactGapS = (2 * heartbeatIntervalS) / 3;
  return {
    maximumContactGapS,
    // At least the time for which standbys may answer heartbeats while no node leads (`StandbyResponder`).
    gracePeriodS: Math.max(operator.graceRatio * leaseS, leaseS / 3 + maximumContactGapS),
    leaseExtensionS: operator.extensionRatio * leaseS,
    requestTimeoutMs: (heartbeatIntervalS * 1000) / 3,
    // Linearizable reads and watches may each use a quarter of this node's share of requests.
    minimumReadIntervalS: (4 * cluster.nodes) / cluster.stateRps,
  };
}
