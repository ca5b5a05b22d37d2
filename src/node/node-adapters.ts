/** What connects a node with the services around it, and what it knows of them. */
import { CloudClient } from "../cloud/client.js";
import type { OperatorSettings } from "../config/operator.js";
import { StateReplica } from "../core/state/state-replica.js";
import { KeyValueClient } from "../state/key-value-client.js";
import { steadyNowS } from "../time/steady-clock.js";
import type { NodeSettings } from "../wire/settings.js";
import { WorkerClient } from "../workers/client.js";
import { maxWorkerConnections } from "../workers/sockets.js";
import { JobTracer } from "./job-tracer.js";
import { type NodeLoad, newNodeLoad } from "./node-load.js";
import { type NodeTiming, nodeTiming } from "./node-timing.js";

/** Components that depend on no other component of the node. */
export interface NodeAdapters {
  readonly timing: NodeTiming;
  readonly load: NodeLoad;
  /** Null: tracing is switched off. */
  readonly tracer: JobTracer | null;
  readonly replica: StateReplica;
  readonly keyValueClient: KeyValueClient;
  readonly cloud: CloudClient;
  readonly workers: WorkerClient;
}

/** The adapters of a node; none opens a connection yet. */
export function createNodeAdapters(
  settings: NodeSettings,
  operator: OperatorSettings,
): NodeAdapters {
  const { cluster, member, stateServiceAddress, cloudAddress } = settings;
  const timing = nodeTiming(cluster, operator);
  const { requestTimeoutMs } = timing;
  return {
    timing,
    load: newNodeLoad(cluster),
    tracer: operator.tracingEnabled ? new JobTracer(member) : null,
    replica: new StateReplica(),
    keyValueClient: new KeyValueClient(stateServiceAddress, steadyNowS, requestTimeoutMs),
    cloud: new CloudClient(cloudAddress, cluster.heartbeatIntervalS * 1000),
    workers: new WorkerClient(requestTimeoutMs, maxWorkerConnections(cluster.sockets, 0)),
  };
}
