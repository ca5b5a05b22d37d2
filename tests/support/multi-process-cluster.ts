/** Controllers as processes of their own, each of some version of the program, against the stand-ins. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { TaskStatus } from "../../src/core/model/workers.js";
import { HttpConnectionPool } from "../../src/net/http-connection-pool.js";
import { decodeJob } from "../../src/wire/jobs.js";
import { decode, encode } from "../../src/wire/msgpack.js";
import { jobBody, settingsText } from "./helpers.js";
import { freePorts, sleepSeconds } from "./in-process-cluster.js";
import { ProtocolRuleChecker } from "./protocol-rule-checker.js";
import { CloudStandIn, StateServiceStandIn, WorkerStandIn } from "./stand-ins.js";

/** The program as this version's build leaves it. */
export const PROGRAM = fileURLToPath(new URL("../../../peatsaddle.cjs", import.meta.url));

const NODE_COUNT = 3;
const DEFAULT_WORKER_COUNT = 4;
const HEARTBEAT_INTERVAL_MS = 300;
const LEASE_MS = 6000;
/** A request without an answer is repeated so often, and so far apart, as users do. */
const MAX_ATTEMPTS = 200;
const RETRY_INTERVAL_S = 0.1;

export interface MultiProcessClusterOptions {
  /** How long a task of a job runs, in milliseconds. */
  readonly taskMs: (job: string) => number;
  /** Fields of `state` in the settings, beside those of the tests. */
  readonly state?: Record<string, unknown>;
  /** Teams in the settings, in place of those of the tests. */
  readonly teams?: readonly Record<string, unknown>[];
  /** The operators' settings (INI) of this version's processes. */
  readonly operatorIni?: string;
  /** Machines; four if not given. */
  readonly workers?: number;
  /** Told of each end of a task. */
  readonly onTaskExit?: (task: string, cause: TaskStatus["cause"]) => void;
  /** Seconds between a worker's reports, and of its lease, on both sides. */
  readonly heartbeat?: { readonly everyS: number; readonly leaseS: number };
  /** Arguments of Node.js before the program. */
  readonly nodeArguments?: readonly string[];
  /** Variables of one node's process. */
  readonly environment?: (node: number) => Record<string, string>;
  /** Told of each line that a process logs; none are logged otherwise. */
  readonly onLogLine?: (node: number, line: Record<string, unknown>) => void;
}

interface ClusterMember {
  readonly member: string;
  readonly address: string;
  readonly peerAddress: string;
}

export interface JobAnswer {
  readonly status: number;
  readonly state: string | undefined;
}

export async function waitUntil(
  what: string,
  check: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (await check()) return;
    await sleepSeconds(0.1);
  }
  assert.fail(`never: ${what}`);
}

export class MultiProcessCluster {
  readonly stateService = new StateServiceStandIn();
  readonly cloud = new CloudStandIn();
  readonly ruleChecker = new ProtocolRuleChecker();
  readonly connections: HttpConnectionPool[] = [];
  private readonly members: ClusterMember[] = [];
  private readonly settingsFiles: string[] = [];
  private operatorFile: string | null = null;
  private readonly processes: (ChildProcess | null)[] = [];

  private constructor(private readonly options: MultiProcessClusterOptions) {}

  static async open(options: MultiProcessClusterOptions): Promise<MultiProcessCluster> {
    const site = new MultiProcessCluster(options);
    await Promise.all([site.stateService.start(), site.cloud.start()]);
    const ports = await freePorts(2 * NODE_COUNT);
    for (let i = 0; i < NODE_COUNT; i++) {
      const address = `127.0.0.1:${ports[i]}`;
      site.members.push({
        member: `n${i}`,
        address,
        peerAddress: `127.0.0.1:${ports[NODE_COUNT + i]}`,
      });
      site.connections.push(new HttpConnectionPool(address, 4));
      site.processes.push(null);
    }
    site.writeSettings();
    await site.startWorkers();
    return site;
  }

  private writeSettings(): void {
    const dir = mkdtempSync(join(tmpdir(), "peatsaddle-"));
    const base = JSON.parse(settingsText()) as { settings: object };
    const settings = {
      ...base.settings,
      workers: {
        report_s: this.options.heartbeat?.everyS ?? 1,
        lease_s: this.options.heartbeat?.leaseS ?? LEASE_MS / 1000,
        gang_wait_s: 10,
        gang_peer_s: 3,
        cancel_s: 10,
      },
      state: { rps: 1000, write_rps: 500, value_kb: 8, txn_ops: 32, ...this.options.state },
      ...(this.options.teams === undefined ? {} : { teams: this.options.teams }),
    };
    if (this.options.operatorIni !== undefined) {
      this.operatorFile = join(dir, "operator.ini");
      writeFileSync(this.operatorFile, this.options.operatorIni);
    }
    for (const { member, address, peerAddress: mesh } of this.members) {
      const others = this.members.filter((x) => x.member !== member);
      const siblings = others.map((x) => ({
        member: x.member,
        location: "a",
        addr: x.peerAddress,
      }));
      const services = { cloud: this.cloud.address, state: this.stateService.address };
      const own = { member, serve_on: address, mesh_addr: mesh, siblings, services, settings };
      const file = join(dir, `${member}.json`);
      writeFileSync(file, JSON.stringify({ ...base, ...own }));
      this.settingsFiles.push(file);
    }
  }

  private async startWorkers(): Promise<void> {
    const { heartbeat: report } = this.options;
    for (let i = 0; i < (this.options.workers ?? DEFAULT_WORKER_COUNT); i++) {
      const worker = new WorkerStandIn(
        `m-${i}`,
        i % 2 === 0 ? "a" : "b",
        this.members,
        this.options.taskMs,
        report === undefined ? HEARTBEAT_INTERVAL_MS : report.everyS * 1000,
        report === undefined ? LEASE_MS : report.leaseS * 1000,
        (task, machine, on, cause) => {
          this.ruleChecker.taskChanged(task, machine, on, cause);
          if (!on) this.options.onTaskExit?.(task, cause);
        },
      );
      const { name, zone } = worker;
      this.ruleChecker.addMachine({ machine: name, type: "small", zone, spot: false });
      await worker.start();
      this.cloud.workers.set(worker.name, worker);
    }
  }

  startNode(i: number, program: string = PROGRAM): void {
    const { onLogLine: line } = this.options;
    const level = process.env.SITE_LOG ?? (line === undefined ? "error" : "info");
    const env = { ...process.env, LOG_LEVEL: level, ...this.options.environment?.(i) };
    const unread = process.env.SITE_LOG === undefined ? "ignore" : "inherit";
    const operator = program === PROGRAM && this.operatorFile !== null;
    const args = operator ? ["--operator", this.operatorFile!] : [];
    const ofNode = this.options.nodeArguments ?? [];
    const command = [...ofNode, program, "--config", this.settingsFiles[i]!, ...args];
    const child = spawn(process.execPath, command, {
      env,
      stdio: ["ignore", "ignore", line === undefined ? unread : "pipe"],
    });
    this.processes[i] = child;
    if (line === undefined || child.stderr === null) return;
    const lines = createInterface({ input: child.stderr });
    lines.on("line", (text) => {
      // What a process was writing when it was killed is no whole line.
      if (text.startsWith("{") && text.endsWith("}")) line(i, JSON.parse(text));
    });
  }

  signalNode(i: number, signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGUSR2"): void {
    this.processes[i]?.kill(signal);
  }

  /** The process ends without a word, and one of that version comes in its place. */
  replaceNode(i: number, program: string = PROGRAM): void {
    this.signalNode(i, "SIGKILL");
    this.startNode(i, program);
  }

  async awaitHealthy(i: number): Promise<void> {
    await waitUntil(`n${i} is healthy`, async () => {
      const r = await this.connections[i]!.request("GET", "/healthz", null, 1000).catch(() => null);
      return r?.status === 200;
    });
  }

  /** Index of the leader by the state service; -1: nobody leads. */
  leaderIndex(): number {
    const lead = this.stateService.entries.get("lead")?.value as { member: string } | undefined;
    return lead === undefined ? -1 : this.members.findIndex((m) => m.member === lead.member);
  }

  /** The epoch by the state service. */
  epoch(): number {
    return (this.stateService.entries.get("epoch")?.value as { n: number } | undefined)?.n ?? 0;
  }

  async awaitOtherLeader(than: number): Promise<number> {
    await waitUntil(`another leader than n${than}`, () => ![-1, than].includes(this.leaderIndex()));
    return this.leaderIndex();
  }

  /** Asks one node until it answers for good, as users do. */
  private async request(
    i: number,
    id: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JobAnswer> {
    const bytes = body === undefined ? null : encode(body);
    for (let n = 0; n < MAX_ATTEMPTS; n++) {
      const r = await this.connections[i]!.request(method, path, bytes, 2000).catch(() => null);
      if (r !== null && r.status < 429) {
        const { stance } = decode(r.body) as { stance?: string };
        this.ruleChecker.answerReceived(id, r.status, stance);
        return { status: r.status, state: stance };
      }
      await sleepSeconds(RETRY_INTERVAL_S);
    }
    assert.fail(`n${i} gives no answer to ${method} ${path}`);
  }

  private recordSubmission(id: string, change: Record<string, unknown>): Record<string, unknown> {
    const body = jobBody({ nameId: id, outfit: "maps", loaners: false, ...change });
    this.ruleChecker.jobSubmitted(decodeJob(body)!);
    return body;
  }
  submitJob(i: number, id: string, change: Record<string, unknown> = {}): Promise<JobAnswer> {
    return this.request(i, id, "POST", "/api/jobs", this.recordSubmission(id, change));
  }
  /** One try, whatever the answer; no answer at all counts as 503. */
  async submitJobOnce(i: number, id: string, change: Record<string, unknown>): Promise<JobAnswer> {
    const body = encode(this.recordSubmission(id, change));
    const r = await this.connections[i]!.request("POST", "/api/jobs", body, 2000).catch(() => null);
    if (r === null) return { status: 503, state: undefined };
    const { stance } = decode(r.body) as { stance?: string };
    this.ruleChecker.answerReceived(id, r.status, stance);
    return { status: r.status, state: stance };
  }
  queryJob(i: number, id: string): Promise<JobAnswer> {
    return this.request(i, id, "GET", `/api/jobs/${id}`);
  }
  cancelJob(i: number, id: string): Promise<JobAnswer> {
    this.ruleChecker.cancelRequested(id);
    return this.request(i, id, "POST", `/api/jobs/${id}/withdraw`, {});
  }

  /** The machines of a job hear nothing for so long: neither commands nor answers reach them. */
  async dropInboundTraffic(id: string, forS: number): Promise<void> {
    const deaf = [...this.ruleChecker.machinesOf(id)].map((name) => this.cloud.workers.get(name)!);
    for (const worker of deaf) worker.dropsInbound = true;
    await sleepSeconds(forS);
    for (const worker of deaf) worker.dropsInbound = false;
  }

  /** Every node comes to answer that the job is in this state. */
  async awaitJobState(id: string, state: string): Promise<void> {
    for (let i = 0; i < NODE_COUNT; i++) {
      await waitUntil(`${id} is ${state} at n${i}`, async () => {
        return (await this.queryJob(i, id)).state === state;
      });
    }
  }

  close(): void {
    for (const p of this.processes) p?.kill("SIGKILL");
    for (const p of this.connections) p.close();
    this.cloud.stop();
    this.stateService.stop();
  }
}
