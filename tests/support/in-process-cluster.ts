/** Runs complete controllers in the test process against stand-ins, and records the tasks and admission decisions. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Logger, pino } from "pino";
import type { JobSpec } from "../../src/core/model/jobs.js";
import { HttpConnectionPool } from "../../src/net/http-connection-pool.js";
import type { Controller } from "../../src/node/controller.js";
import { decodeJobState, encodeJob } from "../../src/wire/inverse-codecs.js";
import { decode, encode } from "../../src/wire/msgpack.js";
import { CloudStandIn } from "./cloud-stand-in.js";
import {
  type ControllerNode,
  controllerSettingsText,
  createController,
  FAST_STATE_SERVICE,
  startController,
} from "./controllers.js";
import { clusterJob } from "./job-builders.js";
import { findUnusedAddresses } from "./ports.js";
import type { StateServiceProxy } from "./state-service-proxy.js";
import { StateServiceStandIn } from "./state-service-stand-in.js";
import { waitUntil } from "./waiting.js";
import { WorkerStandIn } from "./worker-stand-in.js";

const MAX_CONNECTIONS = 16;
const REQUEST_TIMEOUT_MS = 5000;
const TEST_TIMEOUT_MS = 120_000;
/**
 * Ratio of the workers' heartbeat interval to the one in the settings: the workers send heartbeats more often than
 * required.
 */
const HEARTBEAT_INTERVAL_RATIO = 0.6;

/** Size, intervals (in seconds) and settings of the cluster. */
export interface InProcessClusterOptions {
  readonly nodes: number;
  readonly workers: number;
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  /** Run time of every task, in seconds. */
  readonly taskS: number;
  /** Whether the cloud answers requests for the machine type catalog with 503. */
  readonly isCatalogUnavailable: boolean;
  /** The operators' settings (INI). */
  readonly operatorIni: string;
}

const DEFAULT_OPTIONS: InProcessClusterOptions = {
  nodes: 3,
  workers: 4,
  heartbeatIntervalS: 0.5,
  leaseS: 3,
  cancelS: 4,
  taskS: 1000,
  isCatalogUnavailable: false,
  operatorIni: "",
};

interface ClusterNode {
  readonly name: string;
  readonly address: string;
  readonly stateProxy: StateServiceProxy;
  readonly connection: HttpConnectionPool;
  /** Text of the node's settings file. */
  readonly settings: string;
  /** Null while the node is stopped. */
  controller: Controller | null;
}

/** A node's answer to a request about a job. */
export interface JobAnswer {
  readonly status: number;
  readonly state: string | undefined;
  readonly retryAfter: string | undefined;
}

/** Controllers, their services and workers, which run from `open` to `close`. */
export class InProcessCluster {
  readonly stateService = new StateServiceStandIn();
  readonly cloud = new CloudStandIn();
  readonly nodes: ClusterNode[] = [];
  /** Machines on which each task (`job/index`) is running. */
  readonly machinesByTask = new Map<string, Set<string>>();
  readonly startedTasks: string[] = [];
  /** Tasks that started on a machine while they were running on another one. */
  readonly duplicateStarts: string[] = [];
  /** Admission decisions that each node logged, in order. */
  readonly admissionDecisions: Record<string, unknown>[][] = [];

  private constructor(readonly options: InProcessClusterOptions) {}

  static async open(overrides: Partial<InProcessClusterOptions> = {}): Promise<InProcessCluster> {
    const cluster = new InProcessCluster({ ...DEFAULT_OPTIONS, ...overrides });
    try {
      await cluster.startAll();
    } catch (error) {
      // Servers and timers that have started would keep the test process from exiting.
      await cluster.close();
      throw error;
    }
    return cluster;
  }

  /** Starts the controller of a node. `operatorIni` replaces the operators' settings of the cluster. */
  async startNode(
    nodeIndex: number,
    operatorIni: string = this.options.operatorIni,
  ): Promise<void> {
    const node = this.nodes[nodeIndex]!;
    const controller = createController(node.settings, operatorIni, this.loggerFor(nodeIndex));
    node.controller = controller;
    await startController(controller);
  }

  /**
   * Stops the controller of a node without notice to the others, as if its process were killed. Requests that it sent
   * before may still arrive.
   */
  async stopNode(nodeIndex: number): Promise<void> {
    await this.nodes[nodeIndex]!.controller?.stop();
    this.nodes[nodeIndex]!.controller = null;
  }

  /** Index of the leader according to the state service; -1 if there is none. */
  leaderIndex(): number {
    const leader = this.stateService.entries.get("lead")?.value as { member: string } | undefined;
    if (leader === undefined) return -1;
    return this.nodes.findIndex(({ name }) => name === leader.member);
  }

  /** Machines on which any task of the job is running, as the machines themselves report it. */
  machinesOf(job: string): Set<string> {
    const machines = new Set<string>();
    for (const [task, taskMachines] of this.machinesByTask) {
      if (task.startsWith(`${job}/`)) for (const machine of taskMachines) machines.add(machine);
    }
    return machines;
  }

  async request(
    nodeIndex: number,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JobAnswer> {
    const bytes = body === undefined ? null : encode(body);
    const { connection } = this.nodes[nodeIndex]!;
    const response = await connection.request(method, path, bytes, REQUEST_TIMEOUT_MS);
    return {
      status: response.status,
      state: decodeJobState(decode(response.body)),
      retryAfter: response.headers.get("retry-after"),
    };
  }

  submitJob(nodeIndex: number, id: string, overrides: Partial<JobSpec> = {}): Promise<JobAnswer> {
    return this.submitBody(nodeIndex, encodeJob(clusterJob(id, overrides)));
  }

  /** Submits a job with the given body, which may be malformed. */
  submitBody(nodeIndex: number, body: Record<string, unknown>): Promise<JobAnswer> {
    return this.request(nodeIndex, "POST", "/api/jobs", body);
  }

  queryJob(nodeIndex: number, id: string): Promise<JobAnswer> {
    return this.request(nodeIndex, "GET", `/api/jobs/${id}`);
  }

  cancelJob(nodeIndex: number, id: string): Promise<JobAnswer> {
    return this.request(nodeIndex, "POST", `/api/jobs/${id}/withdraw`, {});
  }

  /** Submits the job and returns once all its tasks are running. */
  async submitAndAwaitRunning(id: string, overrides: Partial<JobSpec> = {}): Promise<void> {
    const isAccepted = async () => (await this.submitJob(0, id, overrides)).status <= 201;
    await waitUntil(`${id} is accepted`, isAccepted);
    const { tasks } = clusterJob(id, overrides);
    await waitUntil(`${id} runs`, () => this.runningTaskCount(id) === tasks);
  }

  async close(): Promise<void> {
    for (const { connection, controller } of this.nodes) {
      connection.close();
      await controller?.stop();
    }
    this.cloud.stop();
    this.stateService.stop();
  }

  private async startAll(): Promise<void> {
    const { nodes, isCatalogUnavailable } = this.options;
    await Promise.all([this.stateService.start(), this.cloud.start()]);
    const addresses = await findUnusedAddresses(2 * nodes);
    const members = addresses.slice(0, nodes).map((address, index) => ({
      member: `n${index}`,
      address,
      peerAddress: addresses[nodes + index]!,
      zone: zoneOf(index),
    }));
    for (const member of members) await this.addNode(member, members);
    await this.startWorkers(members);
    this.cloud.isCatalogUnavailable = isCatalogUnavailable;
    for (let nodeIndex = 0; nodeIndex < nodes; nodeIndex++) await this.startNode(nodeIndex);
    if (isCatalogUnavailable) return;
    await waitUntil("a leader is elected", () => this.leaderIndex() >= 0);
  }

  private async addNode(node: ControllerNode, members: readonly ControllerNode[]): Promise<void> {
    const { options } = this;
    const stateProxy = await this.stateService.openProxy();
    const settings = controllerSettingsText({
      node,
      peers: members.filter((other) => other !== node),
      services: { cloud: this.cloud.address, state: stateProxy.address },
      shared: {
        nodes: options.nodes,
        workers: {
          report_s: options.heartbeatIntervalS,
          lease_s: options.leaseS,
          gang_wait_s: 10,
          gang_peer_s: 3,
          cancel_s: options.cancelS,
        },
        state: FAST_STATE_SERVICE,
      },
    });
    const connection = new HttpConnectionPool(node.address, MAX_CONNECTIONS);
    const { member: name, address } = node;
    this.nodes.push({ name, address, stateProxy, connection, settings, controller: null });
  }

  private async startWorkers(controllers: readonly ControllerNode[]): Promise<void> {
    const { workers, taskS, heartbeatIntervalS, leaseS } = this.options;
    for (let index = 0; index < workers; index++) {
      const worker = new WorkerStandIn({
        name: `m-${index}`,
        zone: zoneOf(index),
        controllers,
        taskMs: () => 1000 * taskS,
        heartbeatIntervalMs: 1000 * HEARTBEAT_INTERVAL_RATIO * heartbeatIntervalS,
        leaseMs: 1000 * leaseS,
        onTaskChange: (task, machine, isRunning) => this.recordTask(task, machine, isRunning),
      });
      await worker.start();
      this.cloud.workers.set(worker.name, worker);
    }
  }

  private recordTask(task: string, machine: string, isRunning: boolean): void {
    const machines = this.machinesByTask.get(task) ?? new Set();
    this.machinesByTask.set(task, machines);
    if (!isRunning) {
      machines.delete(machine);
      return;
    }
    this.startedTasks.push(task);
    machines.add(machine);
    if (machines.size > 1) this.duplicateStarts.push(`${task} on ${[...machines].join(" and ")}`);
  }

  private runningTaskCount(job: string): number {
    let count = 0;
    for (const [task, machines] of this.machinesByTask) {
      if (task.startsWith(`${job}/`) && machines.size > 0) count++;
    }
    return count;
  }

  private loggerFor(nodeIndex: number): Logger {
    const level = process.env.SITE_LOG;
    if (level !== undefined) return pino({ level }).child({ node: nodeIndex });
    const decisions: Record<string, unknown>[] = [];
    this.admissionDecisions[nodeIndex] = decisions;
    const write = (text: string): void => {
      const { level: _, time: __, msg, ...line } = JSON.parse(text) as Record<string, unknown>;
      if (msg === "admission decision") decisions.push(line);
    };
    return pino({ level: "debug", base: null }, { write });
  }
}

const zoneOf = (index: number): string => (index % 2 === 0 ? "a" : "b");

/** Defines a test of a complete cluster, which also fails if a task ever runs on two machines at once. */
export function clusterTest(
  name: string,
  options: Partial<InProcessClusterOptions>,
  run: (cluster: InProcessCluster) => Promise<void>,
): void {
  test(name, { timeout: TEST_TIMEOUT_MS }, async (t) => {
    const cluster = await InProcessCluster.open(options);
    t.after(() => cluster.close());
    await run(cluster);
    assert.deepEqual(cluster.duplicateStarts, [], "ran_twice");
  });
}
