/** Durations of a node that follow from its settings. */
import type { OperatorSettings } from "../config/operator.js";
import type { ClusterSettings } from "../core/model/settings.js";

/** Durations that several components of a node share. */
export interface NodeTiming {
  /** Longest time between two answers of the state service that counts as contact with it. */
  readonly maximumContactGapS: number;
  /** For how long after its term a former leader may still answer heartbeats. */
  readonly gracePeriodS: number;
  /** The same for machines that run replicas or gang tasks, whose leases are extended during a partition. */
  readonly leaseExtensionS: number;
  /** Timeout of requests to the state service and to workers. */
  readonly requestTimeoutMs: number;
  /** Least time between two reads that catch up with the state service, and between two watches. */
  readonly minimumReadIntervalS: number;
}

/** The durations of a node in this cluster. */
export function nodeTiming(cluster: ClusterSettings, operator: OperatorSettings): NodeTiming {
  const { heartbeatIntervalS, leaseS } = cluster;
  const maximumContactGapS = (2 * heartbeatIntervalS) / 3;
  return {
    maximumContactGapS,
    // While no node leads, the others may have answered for as long (`StandbyResponder`).
    gracePeriodS: Math.max(operator.graceRatio * leaseS, leaseS / 3 + maximumContactGapS),
    leaseExtensionS: operator.extensionRatio * leaseS,
    requestTimeoutMs: (heartbeatIntervalS * 1000) / 3,
    // Reads that catch up and watches each take a quarter of this node's share of requests.
    minimumReadIntervalS: (4 * cluster.nodes) / cluster.stateRps,
  };
}
