/**
 * The configuration in force as `peatsaddle check` prints it. Operators' scripts read the names of the fields, so those
 * stay as they are whatever the program calls them itself.
 */
import type { ClusterSettings } from "../core/model.js";
import type { NodeSettings } from "../wire/settings.js";
import type { OperatorSettings } from "./operator.js";

/** The JSON text that `peatsaddle check` prints. */
export const formatEffectiveConfiguration = (
  settings: NodeSettings,
  operator: OperatorSettings,
): string =>
  JSON.stringify(
    { settings: printedSettings(settings), operator: printedOperatorSettings(operator) },
    null,
    2,
  );

const printedSettings = (settings: NodeSettings) => ({
  member: settings.member,
  zone: settings.zone,
  serveOn: settings.listenAddress,
  meshAddress: settings.peerAddress,
  siblings: settings.peers,
  cloud: settings.cloudAddress,
  state: settings.stateServiceAddress,
  cluster: printedCluster(settings.cluster),
});

/** `reportS` keeps its place among the fields. */
function printedCluster(cluster: ClusterSettings) {
  const { nodes, zones, teams, objectives, heartbeatIntervalS, ...others } = cluster;
  return { nodes, zones, teams, objectives, reportS: heartbeatIntervalS, ...others };
}

const printedOperatorSettings = (operator: OperatorSettings) => ({
  termLeaseRatio: operator.termLeaseRatio,
  graceRatio: operator.graceRatio,
  keepRatio: operator.extensionRatio,
  spareRatio: operator.spareCapacityRatio,
  maxMachines: operator.maxMachines,
  idleLeases: operator.maxIdleLeases,
  maxInProgress: operator.maxConcurrentRequests,
  admission: operator.admission,
  tracing: operator.tracingEnabled,
});
