/** Whole controllers in this process, against the stand-ins: what a scenario needs, and what it saw. */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { type Logger, pino } from "pino";
import { decodeOperatorSettings } from "../../src/config/operator.js";
import { HttpConnectionPool } from "../../src/net/http-connection-pool.js";
import { Controller } from "../../src/node/controller.js";
import { decode, encode } from "../../src/wire/msgpack.js";
import { decodeSettings } from "../../src/wire/settings.js";
import { CloudStandIn } from "./cloud-stand-in.js";
import { jobBody } from "./job-builders.js";
import { settingsText } from "./node-settings.js";
import type { StateServiceProxy } from "./state-service-proxy.js";
import { StateServiceStandIn } from "./state-service-stand-in.js";
import { WorkerStandIn } from "./worker-stand-in.js";

export const sleepSeconds = (s: number): Promise<void> =>
  new Promise((r) => setTimeout(r, s * 1000));

/** Below the range from which the system takes ports for outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
/** Test processes that run at the same time begin in different blocks. */
const PORTS_PER_PROCESS = 200;
let nextPort = FIRST_PORT + ((process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT));

async function isPortFree(port: number): Promise<boolean> {
  const server = createServer();
  const free = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  if (free) await new Promise((r) => server.close(r));
  return free;
}

/**
 * Ports for servers that are started later. (Ports that the system had chosen were taken by other tests' outgoing
 * connections before the server listened.)
 */
export async function freePorts(n: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < n) {
    const port = nextPort++;
    if (nextPort >= LAST_PORT) nextPort = FIRST_PORT;
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

export async function waitUntil(what: string, f: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < 1000; i++) {
    if (await f()) return;
    await sleepSeconds(0.02);
  }
  assert.fail(`never: ${what}`);
}

export interface InProcessClusterOptions {
  readonly nodes: number;
  readonly workers: number;
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  /** How long every task runs. */
  readonly taskS: number;
  /** The cloud does not tell the machine types. */
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
  controller: Controller | null;
}

export interface JobAnswer {
  readonly status: number;
  readonly state: string | undefined;
  readonly retryAfter: string | undefined;
}

export class InProcessCluster {
  readonly stateService = new StateServiceStandIn();
  readonly cloud = new CloudStandIn();
  readonly nodes: ClusterNode[] = [];
  /** Machines on which each task is. */
  readonly machinesByTask = new Map<string, Set<string>>();
  readonly startedTasks: string[] = [];
  /** Tasks that started while they were on another machine. */
  readonly duplicateStarts: string[] = [];
  private settingsTexts: string[] = [];
  /** What each node logged of admission, in order. */
  readonly admissionDecisions: Record<string, unknown>[][] = [];

  private constructor(readonly options: InProcessClusterOptions) {}

  static async open(change: Partial<InProcessClusterOptions> = {}): Promise<InProcessCluster> {
    const site = new InProcessCluster({ ...DEFAULT_OPTIONS, ...change });
    try {
      await site.startAll();
    } catch (error) {
      // What has started would keep the test process alive for good.
      await site.close();
      throw error;
    }
    return site;
  }

  private async startAll(): Promise<void> {
    const f = this.options;
    await Promise.all([this.stateService.start(), this.cloud.start()]);
    const ports = await freePorts(2 * f.nodes);
    const members = ports.slice(0, f.nodes).map((p, i) => ({
      member: `n${i}`,
      address: `127.0.0.1:${p}`,
      mesh: `127.0.0.1:${ports[f.nodes + i]}`,
      zone: i % 2 === 0 ? "a" : "b",
    }));
    for (const m of members) {
      const door = await this.stateService.openProxy();
      const base = JSON.parse(settingsText()) as { settings: object };
      const siblings = members
        .filter((x) => x !== m)
        .map((x) => ({ member: x.member, location: x.zone, addr: x.mesh }));
      this.settingsTexts.push(
        JSON.stringify({
          ...base,
          member: m.member,
          location: m.zone,
          serve_on: m.address,
          mesh_addr: m.mesh,
          siblings,
          services: { cloud: this.cloud.address, state: door.address },
          settings: {
            ...base.settings,
            nodes: f.nodes,
            workers: {
              report_s: f.heartbeatIntervalS,
              lease_s: f.leaseS,
              gang_wait_s: 10,
              gang_peer_s: 3,
              cancel_s: f.cancelS,
            },
            state: { rps: 1000, write_rps: 500, value_kb: 8, txn_ops: 32 },
          },
        }),
      );
      const peer = new HttpConnectionPool(m.address, 16);
      this.nodes.push({
        name: m.member,
        address: m.address,
        stateProxy: door,
        connection: peer,
        controller: null,
      });
    }
    const addresses = members.map((m) => ({ member: m.member, address: m.address }));
    for (let i = 0; i < f.workers; i++) {
      const w = new WorkerStandIn({
        name: `m-${i}`,
        zone: i % 2 === 0 ? "a" : "b",
        controllers: addresses,
        taskMs: () => 1000 * f.taskS,
        heartbeatIntervalMs: 600 * f.heartbeatIntervalS,
        leaseMs: 1000 * f.leaseS,
        onTaskChange: (task, machine, running) => this.watch(task, machine, running),
      });
      await w.start();
      this.cloud.workers.set(w.name, w);
    }
    this.cloud.isCatalogUnavailable = f.isCatalogUnavailable;
    for (let i = 0; i < f.nodes; i++) await this.startNode(i);
    if (!f.isCatalogUnavailable) await waitUntil("somebody leads", () => this.leaderIndex() >= 0);
  }

  private watch(task: string, machine: string, running: boolean): void {
    const where = this.machinesByTask.get(task) ?? new Set();
    this.machinesByTask.set(task, where);
    if (!running) where.delete(machine);
    else {
      this.startedTasks.push(task);
      where.add(machine);
      if (where.size > 1) this.duplicateStarts.push(`${task} on ${[...where].join(" and ")}`);
    }
  }

  async startNode(i: number, operatorText: string = this.options.operatorIni): Promise<void> {
    const read = decodeSettings(this.settingsTexts[i]!);
    if (!("settings" in read)) throw new Error(read.faults.join("; "));
    const { operator, faults } = decodeOperatorSettings(operatorText);
    if (operator === null) throw new Error(faults.join("; "));
    const node = new Controller(read.settings, operator, this.loggerFor(i));
    this.nodes[i]!.controller = node;
    await node.start();
    await waitUntil(`n${i} is healthy`, () => node.isHealthy());
  }

  private loggerFor(i: number): Logger {
    const level = process.env.SITE_LOG;
    if (level !== undefined) return pino({ level }).child({ node: i });
    const decisions: Record<string, unknown>[] = [];
    this.admissionDecisions[i] = decisions;
    const write = (text: string): void => {
      const { level: _, time: __, msg, ...line } = JSON.parse(text) as Record<string, unknown>;
      if (msg === "admission decision") decisions.push(line);
    };
    return pino({ level: "debug", base: null }, { write });
  }

  /** It ends without a word, as a killed process does: what it sent before may still be under way. */
  async stopNode(i: number): Promise<void> {
    await this.nodes[i]!.controller?.stop();
    this.nodes[i]!.controller = null;
  }

  /** By the state service; -1: nobody. */
  leaderIndex(): number {
    const lead = this.stateService.entries.get("lead")?.value as { member: string } | undefined;
    return lead === undefined ? -1 : this.nodes.findIndex((n) => n.name === lead.member);
  }

  /** Machines on which any task of the job is, by what the machines themselves say. */
  machinesOf(job: string): Set<string> {
    const out = new Set<string>();
    for (const [task, where] of this.machinesByTask) {
      if (task.startsWith(`${job}/`)) for (const m of where) out.add(m);
    }
    return out;
  }

  async request(i: number, method: string, path: string, body?: unknown): Promise<JobAnswer> {
    const bytes = body === undefined ? null : encode(body);
    const r = await this.nodes[i]!.connection.request(method, path, bytes, 5000);
    const said = decode(r.body) as { stance?: string } | null;
    return { status: r.status, state: said?.stance, retryAfter: r.headers.get("retry-after") };
  }
  submitJob(i: number, id: string, change: Record<string, unknown> = {}): Promise<JobAnswer> {
    const body = jobBody({ nameId: id, outfit: "maps", loaners: false, ...change });
    return this.request(i, "POST", "/api/jobs", body);
  }
  queryJob(i: number, id: string): Promise<JobAnswer> {
    return this.request(i, "GET", `/api/jobs/${id}`);
  }
  cancelJob(i: number, id: string): Promise<JobAnswer> {
    return this.request(i, "POST", `/api/jobs/${id}/withdraw`, {});
  }

  /** A job that runs with all its tasks. */
  async submitAndAwaitRunning(id: string, change: Record<string, unknown> = {}): Promise<void> {
    await waitUntil(
      `${id} is taken`,
      async () => (await this.submitJob(0, id, change)).status <= 201,
    );
    const tasks = Number(change.strides ?? 4);
    await waitUntil(`${id} runs`, () => {
      let n = 0;
      for (const [t, where] of this.machinesByTask)
        if (t.startsWith(`${id}/`) && where.size > 0) n++;
      return n === tasks;
    });
  }

  async close(): Promise<void> {
    for (const n of this.nodes) {
      n.connection.close();
      await n.controller?.stop();
    }
    this.cloud.stop();
    this.stateService.stop();
  }
}

/** A test of whole controllers: whatever happens in it, no task may be on two machines. */
export function clusterTest(
  name: string,
  figures: Partial<InProcessClusterOptions>,
  body: (site: InProcessCluster) => Promise<void>,
): void {
  test(name, { timeout: 120_000 }, async () => {
    const site = await InProcessCluster.open(figures);
    try {
      await body(site);
      assert.deepEqual(site.duplicateStarts, [], "ran_twice");
    } finally {
      await site.close();
    }
  });
}
