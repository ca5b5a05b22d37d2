/** Starts the controllers as the platform does, with the `run` command of the deploy file, against the stand-ins. */
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { call, sleep } from "./wire.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Whether the run has the disruption. TROUBLE=0 leaves it out. */
export const TROUBLE = process.env.TROUBLE !== "0";

/**
 * Returns ports on which nothing listens. They lie below the range from which the operating system takes ports for
 * outgoing connections, since a controller that is away for some seconds must find its ports free again. Runs at the same
 * time begin at different ports.
 */
async function freePorts(count) {
  const ports = [];
  let port = 10_000 + Math.floor(Math.random() * 2000) * 10;
  while (ports.length < count) {
    const server = net.createServer();
    const isFree = await new Promise((done) => {
      server.once("error", () => done(false));
      server.listen(port, "127.0.0.1", () => done(true));
    });
    if (isFree) {
      await new Promise((done) => server.close(done));
      ports.push(port);
    }
    port++;
  }
  return ports;
}

/** Writes `record.txt`: one line for each event, with the seconds since the start. */
export class Recorder {
  constructor(folder) {
    this.file = openSync(join(folder, "record.txt"), "w");
    this.startedAt = performance.now();
  }
  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }
  line = (event, fields = {}) => {
    writeSync(this.file, `${this.now.toFixed(3).padStart(8)} ${event} ${JSON.stringify(fields)}\n`);
  };
}

export class Cluster {
  /** `settings`: the shared part of the settings file. `zones`: the zone of each controller. */
  constructor({ settings, zones, services, record, logLevel = "warn" }) {
    Object.assign(this, { settings, zones, services, record, logLevel });
    this.folder = mkdtempSync(join(tmpdir(), "peatsaddle-review-"));
    this.processes = [];
    this.healthy = [];
    const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/service.toml"), "utf8"));
    this.command = command.split(" ");
  }

  async prepare() {
    const count = this.zones.length;
    const ports = await freePorts(2 * count);
    this.members = this.zones.map((location, i) => ({
      member: `saddlehand-${i}`,
      location,
      address: `127.0.0.1:${ports[i]}`,
      mesh: `127.0.0.1:${ports[count + i]}`,
    }));
    for (const { member, location, address, mesh } of this.members) {
      const siblings = this.members
        .filter((other) => other.member !== member)
        .map((other) => ({ member: other.member, location: other.location, addr: other.mesh }));
      const text = { member, location, serve_on: address, mesh_addr: mesh, siblings, services: this.services(), settings: this.settings };
      writeFileSync(join(this.folder, `${member}.json`), JSON.stringify(text, null, 2));
    }
    this.probing = setInterval(() => void this.probeAll(), 1000);
  }

  startNode(i) {
    const { member } = this.members[i];
    const log = openSync(join(this.folder, `${member}.log`), "a");
    const [program, ...args] = this.command;
    const child = spawn(program, [...args, join(this.folder, `${member}.json`)], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: this.logLevel },
      stdio: ["ignore", "ignore", log],
    });
    this.processes[i] = child;
    child.once("exit", (code, signal) => {
      if (this.processes[i] === child) this.processes[i] = null;
      this.healthy[i] = false;
      this.record("controller ended", { member, code, signal });
    });
    this.record("controller started", { member });
  }

  /** Ends a controller as the platform does, with no signal that it could handle. */
  kill(i) {
    this.processes[i]?.kill("SIGKILL");
  }

  logOf(i) {
    return readFileSync(join(this.folder, `${this.members[i].member}.log`), "utf8");
  }

  async probeAll() {
    for (const [i, { address }] of this.members.entries()) {
      void call(address, "GET", "/healthz", undefined, { timeoutMs: 1000 }).then((answer) => {
        const isHealthy = answer?.status === 200;
        if (this.healthy[i] !== isHealthy) this.record("health", { node: i, isHealthy });
        this.healthy[i] = isHealthy;
      });
    }
  }

  async untilHealthy(nodes, withinS) {
    const deadline = performance.now() + 1000 * withinS;
    while (performance.now() < deadline) {
      const answers = await Promise.all(
        nodes.map((i) => call(this.members[i].address, "GET", "/healthz", undefined, { timeoutMs: 1000 })),
      );
      if (answers.every((answer) => answer?.status === 200)) return true;
      await sleep(100);
    }
    return false;
  }

  /**
   * A user's request through the load balancer: over a new connection to a healthy node; up to three nodes are tried
   * if one refuses the connection. Resolves to the answer or null.
   */
  async ask(method, path, body, timeoutMs) {
    const nodes = this.members.map((_, i) => i).filter((i) => this.healthy[i]);
    const order = nodes.sort(() => Math.random() - 0.5).slice(0, 3);
    for (const i of order) {
      const answer = await call(this.members[i].address, method, path, body, { timeoutMs });
      if (answer !== null) return { ...answer, node: i };
    }
    return null;
  }

  /** Submits as users do: retried after 1 s or Retry-After for up to 60 s. */
  async submit(job) {
    const startedAt = performance.now();
    for (;;) {
      const answer = await this.ask("POST", "/api/jobs", job, 5000);
      this.record("submit", { job: job.nameId, status: answer?.status ?? null, body: answer?.body });
      if (answer !== null && answer.status < 429) return answer;
      if (performance.now() - startedAt > 60_000) return null;
      await sleep(1000 * Math.max(1, Math.min(30, Number(answer?.headers["retry-after"] ?? 1))));
    }
  }

  async query(id) {
    const answer = await this.ask("GET", `/api/jobs/${id}`, undefined, 2000);
    this.record("query", { job: id, status: answer?.status ?? null, body: answer?.body });
    return answer;
  }

  async close() {
    clearInterval(this.probing);
    for (const child of this.processes) child?.kill("SIGKILL");
    await sleep(100);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: `test` returns "held" or "broken", and throws if the case can't run. */
export async function runCase(test) {
  let code = 2;
  const cleanups = [];
  const timer = setTimeout(() => finish(2, "took longer than 118 s"), 118_000);
  const finish = async (result, why) => {
    clearTimeout(timer);
    for (const cleanup of cleanups.reverse()) await cleanup();
    console.log(`${["held", "broken", "could not run"][result]}: ${why}`);
    process.exit(result);
  };
  process.on("SIGTERM", () => void finish(2, "terminated"));
  process.on("SIGINT", () => void finish(2, "interrupted"));
  try {
    const { broken, why } = await test((cleanup) => cleanups.push(cleanup));
    code = broken ? 1 : 0;
    await finish(code, why);
  } catch (error) {
    await finish(2, error.stack);
  }
}

/** Settings like those of the small deployment in the deploy page. */
export const smallSettings = (overrides = {}) => ({
  nodes: 3,
  zones: ["lisboa-a", "porto-b"],
  teams: [
    { name: "balcao", cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 16 },
    { name: "tesouraria", cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 32 },
    { name: "risco", cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 40 },
    { name: "lojistas", cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 12 },
    { name: "plataforma", cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 16 },
  ],
  objectives: [
    { kind: "wait", class: "redeem-api", within_s: 6, share: 0.9 },
    { kind: "finished", class: "settle-night", within_s: 120, share: 0.88 },
    { kind: "finished", class: "settle-night", within_s: 180, share: 0.95 },
    { kind: "guarantee", within_s: 40, share: 0.82 },
  ],
  workers: { report_s: 3, lease_s: 30, gang_wait_s: 40, gang_peer_s: 8, cancel_s: 50 },
  state: { rps: 100, write_rps: 30, value_kb: 16, txn_ops: 24 },
  cloud: { rps: 4, list_lag_s: 6 },
  resources: { cpu_share: 0.255, mem_mb: 434, sockets: 3500 },
  clock_off_ms: 25,
  ...overrides,
});

/** Machine types of the small deployment. */
export const CATALOG = [
  { sku: "cortico", cpus: 4, cards: 0, memoryGb: 16, localGb: 35, fetchGbPerS: 0.5, hourly: 0.16, spotPrice: 0.05, readyS: 30, paddocks: ["lisboa-a", "porto-b"] },
  { sku: "sobreiro", cpus: 8, cards: 0, memoryGb: 16, localGb: 70, fetchGbPerS: 1, hourly: 0.33, spotPrice: 0.1, readyS: 30, paddocks: ["lisboa-a", "porto-b"] },
  { sku: "montado", cpus: 64, cards: 0, memoryGb: 512, localGb: 70, fetchGbPerS: 0.4, hourly: 3.06, spotPrice: 0.98, readyS: 15, paddocks: ["lisboa-a", "porto-b"] },
];
