/** Durations derived from a node's settings. */
import type { OperatorSettings } from "../config/operator.js";
import type { ClusterSettings } from "../core/model/settings.js";

/** Durations that several components of a node use. */
export interface NodeTiming {
  /** Longest time without an answer from the state service for which the node still counts as in contact with it. */
  readonly maximumContactGapS: number;
  /** Seconds for which a previous leader may still answer heartbeats after the end of its term. */
  readonly gracePeriodS: number;
  /**
   * Like `gracePeriodS`, for workers that run service or gang tasks. It is usually longer, because the leases of
   * these workers are extended during a partition.
   */
  readonly leaseExtensionS: number;
  /** Timeout of requests to the state service and to workers. */
  readonly requestTimeoutMs: number;
  /** Shortest time between the starts of two linearizable reads of the state service, or of two watches. */
  readonly minimumReadIntervalS: number;
}

/** Computes the durations for a node of this cluster. */
export function nodeTiming(cluster: ClusterSettings, operator: OperatorSettings): NodeTiming {
  const { heartbeatIntervalS, leaseS } = cluster;
  const maximumContactGapS = (2 * heartbeatIntervalS) / 3;
  return {
    maximumContactGapS,
    // At least the time for which followers may answer heartbeats while there is no leader (`FollowerResponder`).
    gracePeriodS: Math.max(operator.graceRatio * leaseS, leaseS / 3 + maximumContactGapS),
    leaseExtensionS: operator.extensionRatio * leaseS,
    requestTimeoutMs: (heartbeatIntervalS * 1000) / 3,
    // Linearizable reads may use a quarter of this node's share of `stateRps`, and watches another quarter.
    minimumReadIntervalS: (4 * cluster.nodes) / cluster.stateRps,
  };
}
