/** Controllers as processes of their own, each of some version of the program, against the stand-ins. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { TaskReport } from "../src/core/model.js";
import { Peer } from "../src/net/client.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { decodeJob } from "../src/wire/schema.js";
import { jobBody, settingsText } from "./helpers.js";
import { RuleLog } from "./rule-log.js";
import { freePorts, sleep } from "./site.js";
import { CloudStandIn, StateStandIn, WorkerStandIn } from "./stand-ins.js";

/** The program as this version's build leaves it. */
export const PROGRAM = fileURLToPath(new URL("../../peatsaddle.cjs", import.meta.url));

const NODES = 3;
const WORKERS = 4;
const REPORT_MS = 300;
const LEASE_MS = 6000;
/** A request without an answer is repeated so often, and so far apart, as users do. */
const TRIES = 200;
const RETRY_S = 0.1;

export interface ProcessSiteOptions {
  /** How long a task of a job runs, in milliseconds. */
  readonly taskMs: (job: string) => number;
  /** Fields of `state` in the settings, beside those of the tests. */
  readonly state?: Record<string, unknown>;
  /** Teams in the settings, in place of those of the tests. */
  readonly teams?: readonly Record<string, unknown>[];
  /** The operators' settings (INI) of this version's processes. */
  readonly operator?: string;
  /** Machines; four if not given. */
  readonly workers?: number;
  /** Told of each end of a task. */
  readonly ended?: (task: string, cause: TaskReport["cause"]) => void;
  /** Seconds between a worker's reports, and of its lease, on both sides. */
  readonly report?: { readonly everyS: number; readonly leaseS: number };
  /** Arguments of Node.js before the program. */
  readonly nodeArguments?: readonly string[];
  /** Variables of one node's process. */
  readonly environment?: (node: number) => Record<string, string>;
  /** Told of each line that a process logs; none are logged otherwise. */
  readonly line?: (node: number, line: Record<string, unknown>) => void;
}

interface Member {
  readonly member: string;
  readonly address: string;
  readonly mesh: string;
}

export interface JobAnswer {
  readonly status: number;
  readonly state: string | undefined;
}

export async function eventually(
  what: string,
  check: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let i = 0; i < 400; i++) {
    if (await check()) return;
    await sleep(0.1);
  }
  assert.fail(`never: ${what}`);
}

export class ProcessSite {
  readonly state = new StateStandIn();
  readonly cloud = new CloudStandIn();
  readonly rules = new RuleLog();
  readonly peers: Peer[] = [];
  private readonly members: Member[] = [];
  private readonly files: string[] = [];
  private operatorFile: string | null = null;
  private readonly processes: (ChildProcess | null)[] = [];

  private constructor(private readonly options: ProcessSiteOptions) {}

  static async open(options: ProcessSiteOptions): Promise<ProcessSite> {
    const site = new ProcessSite(options);
    await Promise.all([site.state.start(), site.cloud.start()]);
    const ports = await freePorts(2 * NODES);
    for (let i = 0; i < NODES; i++) {
      const address = `127.0.0.1:${ports[i]}`;
      site.members.push({ member: `n${i}`, address, mesh: `127.0.0.1:${ports[NODES + i]}` });
      site.peers.push(new Peer(address, 4));
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
        report_s: this.options.report?.everyS ?? 1,
        lease_s: this.options.report?.leaseS ?? LEASE_MS / 1000,
        gang_wait_s: 10,
        gang_peer_s: 3,
        cancel_s: 10,
      },
      state: { rps: 1000, write_rps: 500, value_kb: 8, txn_ops: 32, ...this.options.state },
      ...(this.options.teams === undefined ? {} : { teams: this.options.teams }),
    };
    if (this.options.operator !== undefined) {
      this.operatorFile = join(dir, "operator.ini");
      writeFileSync(this.operatorFile, this.options.operator);
    }
    for (const { member, address, mesh } of this.members) {
      const others = this.members.filter((x) => x.member !== member);
      const siblings = others.map((x) => ({ member: x.member, location: "a", addr: x.mesh }));
      const services = { cloud: this.cloud.address, state: this.state.address };
      const own = { member, serve_on: address, mesh_addr: mesh, siblings, services, settings };
      const file = join(dir, `${member}.json`);
      writeFileSync(file, JSON.stringify({ ...base, ...own }));
      this.files.push(file);
    }
  }

  private async startWorkers(): Promise<void> {
    const { report } = this.options;
    for (let i = 0; i < (this.options.workers ?? WORKERS); i++) {
      const worker = new WorkerStandIn(
        `m-${i}`,
        i % 2 === 0 ? "a" : "b",
        this.members,
        this.options.taskMs,
        report === undefined ? REPORT_MS : report.everyS * 1000,
        report === undefined ? LEASE_MS : report.leaseS * 1000,
        (task, machine, on, cause) => {
          this.rules.task(task, machine, on, cause);
          if (!on) this.options.ended?.(task, cause);
        },
      );
      const { name, zone } = worker;
      this.rules.machine({ machine: name, type: "small", zone, spot: false });
      await worker.start();
      this.cloud.workers.set(worker.name, worker);
    }
  }

  start(i: number, program: string = PROGRAM): void {
    const { line } = this.options;
    const level = process.env.SITE_LOG ?? (line === undefined ? "error" : "info");
    const env = { ...process.env, LOG_LEVEL: level, ...this.options.environment?.(i) };
    const unread = process.env.SITE_LOG === undefined ? "ignore" : "inherit";
    const operator = program === PROGRAM && this.operatorFile !== null;
    const args = operator ? ["--operator", this.operatorFile!] : [];
    const ofNode = this.options.nodeArguments ?? [];
    const command = [...ofNode, program, "--config", this.files[i]!, ...args];
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

  signal(i: number, signal: "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGUSR2"): void {
    this.processes[i]?.kill(signal);
  }

  /** The process ends without a word, and one of that version comes in its place. */
  replace(i: number, program: string = PROGRAM): void {
    this.signal(i, "SIGKILL");
    this.start(i, program);
  }

  async healthy(i: number): Promise<void> {
    await eventually(`n${i} is healthy`, async () => {
      const r = await this.peers[i]!.request("GET", "/healthz", null, 1000).catch(() => null);
      return r?.status === 200;
    });
  }

  /** Index of the leader by the state service; -1: nobody leads. */
  leader(): number {
    const lead = this.state.keys.get("lead")?.data as { member: string } | undefined;
    return lead === undefined ? -1 : this.members.findIndex((m) => m.member === lead.member);
  }

  /** The epoch by the state service. */
  term(): number {
    return (this.state.keys.get("epoch")?.data as { n: number } | undefined)?.n ?? 0;
  }

  async otherLeader(than: number): Promise<number> {
    await eventually(`another leader than n${than}`, () => ![-1, than].includes(this.leader()));
    return this.leader();
  }

  /** Asks one node until it answers for good, as users do. */
  private async ask(
    i: number,
    id: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<JobAnswer> {
    const bytes = body === undefined ? null : encode(body);
    for (let n = 0; n < TRIES; n++) {
      const r = await this.peers[i]!.request(method, path, bytes, 2000).catch(() => null);
      if (r !== null && r.status < 429) {
        const { stance } = decode(r.body) as { stance?: string };
        this.rules.answered(id, r.status, stance);
        return { status: r.status, state: stance };
      }
      await sleep(RETRY_S);
    }
    assert.fail(`n${i} gives no answer to ${method} ${path}`);
  }

  private submission(id: string, change: Record<string, unknown>): Record<string, unknown> {
    const body = jobBody({ nameId: id, outfit: "maps", loaners: false, ...change });
    this.rules.submitted(decodeJob(body)!);
    return body;
  }
  submit(i: number, id: string, change: Record<string, unknown> = {}): Promise<JobAnswer> {
    return this.ask(i, id, "POST", "/api/jobs", this.submission(id, change));
  }
  /** One try, whatever the answer; no answer at all counts as 503. */
  async submitOnce(i: number, id: string, change: Record<string, unknown>): Promise<JobAnswer> {
    const body = encode(this.submission(id, change));
    const r = await this.peers[i]!.request("POST", "/api/jobs", body, 2000).catch(() => null);
    if (r === null) return { status: 503, state: undefined };
    const { stance } = decode(r.body) as { stance?: string };
    this.rules.answered(id, r.status, stance);
    return { status: r.status, state: stance };
  }
  query(i: number, id: string): Promise<JobAnswer> {
    return this.ask(i, id, "GET", `/api/jobs/${id}`);
  }
  cancel(i: number, id: string): Promise<JobAnswer> {
    this.rules.cancelAsked(id);
    return this.ask(i, id, "POST", `/api/jobs/${id}/withdraw`, {});
  }

  /** The machines of a job hear nothing for so long: neither commands nor answers reach them. */
  async deafen(id: string, forS: number): Promise<void> {
    const deaf = [...this.rules.machinesOf(id)].map((name) => this.cloud.workers.get(name)!);
    for (const worker of deaf) worker.deaf = true;
    await sleep(forS);
    for (const worker of deaf) worker.deaf = false;
  }

  /** Every node comes to answer that the job is in this state. */
  async becomes(id: string, state: string): Promise<void> {
    for (let i = 0; i < NODES; i++) {
      await eventually(`${id} is ${state} at n${i}`, async () => {
        return (await this.query(i, id)).state === state;
      });
    }
  }

  close(): void {
    for (const p of this.processes) p?.kill("SIGKILL");
    for (const p of this.peers) p.close();
    this.cloud.stop();
    this.state.stop();
  }
}
