/** Clients of the services that a node uses, and other components that depend on no other component of the node. */
import { CloudClient } from "../cloud/client.js";
import type { OperatorSettings } from "../config/operator.js";
import { StateReplica } from "../core/state/state-replica.js";
import { KeyValueClient } from "../state/key-value-client.js";
import { steadyNowS } from "../time/steady-clock.js";
import type { NodeSettings } from "../wire/settings.js";
import { WorkerClient } from "../workers/client.js";
import { maxWorkerConnections } from "../workers/sockets.js";
import { JobTracer } from "./job-tracer.js";
import { createNodeLoad, type NodeLoad } from "./node-load.js";
import { type NodeTiming, nodeTiming } from "./node-timing.js";

/** Service clients, the state replica and measurements of a node. */
export interface NodeAdapters {
  readonly timing: NodeTiming;
  readonly load: NodeLoad;
  /** Null if tracing is disabled. */
  readonly tracer: JobTracer | null;
  readonly replica: StateReplica;
  readonly keyValueClient: KeyValueClient;
  readonly cloud: CloudClient;
  readonly workers: WorkerClient;
}

/** Creates the adapters of a node, without opening connections. */
export function createNodeAdapters(
  settings: NodeSettings,
  operator: OperatorSettings,
): NodeAdapters {
  const { cluster, member, stateServiceAddress, cloudAddress } = settings;
  const timing = nodeTiming(cluster, operator);
  const { requestTimeoutMs } = timing;
  return {
    timing,
    load: createNodeLoad(cluster),
    tracer: operator.tracingEnabled ? new JobTracer(member) : null,
    replica: new StateReplica(),
    keyValueClient: new KeyValueClient(stateServiceAddress, steadyNowS, requestTimeoutMs),
    cloud: new CloudClient(cloudAddress, cluster.heartbeatIntervalS * 1000),
    workers: new WorkerClient(requestTimeoutMs, maxWorkerConnections(cluster.sockets, 0)),
  };
}
