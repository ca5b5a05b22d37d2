/**
 * Output of `peatsaddle check`: the configuration in force. Operators' scripts parse it, so its field names and their
 * order must not change when a name in the code does. This module therefore maps the settings whose names differ.
 * Other fields, such as those in `...others`, are printed under their names in the code.
 */
import type { ClusterSettings } from "../core/model/settings.js";
import type { NodeSettings } from "../wire/settings.js";
import type { OperatorSettings } from "./operator.js";

/** Returns the value that `check` prints as JSON. */
export function configurationReport(settings: NodeSettings, operator: OperatorSettings): object {
  return { settings: reportSettings(settings), operator: reportOperator(operator) };
}

function reportSettings(settings: NodeSettings): object {
  return {
    member: settings.member,
    zone: settings.zone,
    serveOn: settings.listenAddress,
    meshAddress: settings.peerAddress,
    siblings: settings.peers,
    cloud: settings.cloudAddress,
    state: settings.stateServiceAddress,
    cluster: reportCluster(settings.cluster),
  };
}

function reportCluster(cluster: ClusterSettings): object {
  const { nodes, zones, teams, objectives, heartbeatIntervalS, ...others } = cluster;
  return { nodes, zones, teams, objectives, reportS: heartbeatIntervalS, ...others };
}

function reportOperator(operator: OperatorSettings): object {
  return {
    termLeaseRatio: operator.termLeaseRatio,
    graceRatio: operator.graceRatio,
    keepRatio: operator.extensionRatio,
    spareRatio: operator.spareCapacityRatio,
    maxMachines: operator.maxMachines,
    idleLeases: operator.maxIdleLeases,
    maxInProgress: operator.maxConcurrentRequests,
    admission: operator.admission,
    tracing: operator.tracingEnabled,
  };
}
