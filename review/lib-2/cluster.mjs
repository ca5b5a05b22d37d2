/** Starts the controllers with the commands of the deploy file, beside stand-ins of the other components. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { StateService } from "./state.mjs";
import { Client, freePorts, now, sleep } from "./wire.mjs";
import { Worker } from "./worker.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const WITH_TROUBLE = process.env.TROUBLE !== "0";
const BREED = {
  sku: "jangada",
  cpus: 4.0,
  cards: 0.0,
  memoryGb: 32.0,
  localGb: 80.0,
  fetchGbPerS: 0.8,
  hourly: 0.31,
  spotPrice: 0.1,
  readyS: 15,
  paddocks: ["fortaleza-1", "recife-1", "natal-1"],
};

/** Collects what was sent, answered and run, and writes it to `record.txt` in the folder of the case. */
export class Record {
  constructor(folder) {
    this.file = join(folder, "record.txt");
    this.lines = [];
    this.events = [];
    /** Whether each event of a task gets a line; a case with thousands of tasks notes their numbers instead. */
    this.recordsTasks = true;
    this.startedAt = now();
  }
  note(text) {
    this.lines.push(`${(now() - this.startedAt).toFixed(3).padStart(8)}  ${text}`);
  }
  task(event) {
    this.events.push({ at: now(), ...event });
    if (!this.recordsTasks) return;
    const { what, stride, mounting, machine, cause } = event;
    this.note(`task ${stride} attempt ${mounting} on ${machine}: ${what}${cause === undefined ? "" : ` (${cause})`}`);
  }
  save() {
    writeFileSync(this.file, `${this.lines.join("\n")}\n`);
  }
}

/** The arguments of `run` in the deploy file. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/service.toml"), "utf8");
  return /^run = "([^"]*)"$/m.exec(text)[1].split(" ");
}

export class Cluster {
  /** `settings` replaces parts of the shared settings; `operator` is the text of the operators' file, if any. */
  constructor(record, { workers, settings = {}, operator = null, plan, cpusPerMachine = 4 }) {
    Object.assign(this, { record, workerCount: workers, operator, plan, cpusPerMachine });
    this.jobs = new Map();
    this.processes = [];
    this.ends = [];
    this.restartDelayS = 3;
    this.keepsRunning = true;
    this.settings = {
      nodes: 3,
      zones: BREED.paddocks,
      teams: [{ name: "campo", cpus: 112.0, cpus_max: 900.0, gpus: 8.0, gpus_max: 50.0 }],
      objectives: [],
      workers: { report_s: 3.0, lease_s: 21.0, gang_wait_s: 45.0, gang_peer_s: 8.0, cancel_s: 46.0 },
      state: { rps: 150.0, write_rps: 40.0, value_kb: 8.0, txn_ops: 32 },
      cloud: { rps: 5.0, list_lag_s: 3.0 },
      resources: { cpu_share: 0.255, mem_mb: 242.0, sockets: 1500 },
      clock_off_ms: 25.0,
      ...settings,
    };
  }

  /** Starts the stand-ins of the state service and the cloud, and writes the settings files. */
  async open() {
    const { nodes } = this.settings;
    const ports = await freePorts(2 + 2 * nodes + this.workerCount);
    this.folder = mkdtempSync(join(tmpdir(), "peatsaddle-case-"));
    this.state = new StateService(this.settings.state);
    this.cloud = new Cloud({ breeds: [BREED], listLagS: this.settings.cloud.list_lag_s });
    const [statePort, cloudPort] = ports;
    await this.state.start(statePort);
    await this.cloud.start(cloudPort);
    this.members = Array.from({ length: nodes }, (_, i) => ({
      member: `saddlehand-${i}`,
      location: BREED.paddocks[i % BREED.paddocks.length],
      address: `127.0.0.1:${ports[2 + i]}`,
      mesh: `127.0.0.1:${ports[2 + nodes + i]}`,
    }));
    this.workerPorts = ports.slice(2 + 2 * nodes);
    this.clients = this.members.map(({ address }) => new Client(address));
    for (const [i, { member, location, address, mesh }] of this.members.entries()) {
      const siblings = this.members
        .filter((other) => other.member !== member)
        .map((other) => ({ member: other.member, location: other.location, addr: other.mesh }));
      const services = { cloud: `127.0.0.1:${cloudPort}`, state: `127.0.0.1:${statePort}` };
      const file = { member, location, serve_on: address, mesh_addr: mesh, siblings, services, settings: this.settings };
      writeFileSync(this.settingsFile(i), JSON.stringify(file));
    }
    if (this.operator !== null) writeFileSync(this.operatorFile, this.operator);
  }

  settingsFile(i) {
    return join(this.folder, `node-${i}.json`);
  }

  get operatorFile() {
    return join(this.folder, "operator.ini");
  }

  startNodes() {
    for (let i = 0; i < this.settings.nodes; i++) this.startNode(i);
  }

  /** Starts a controller. If it ends, the platform starts it again after `restartDelayS`. */
  startNode(i) {
    const [program, ...args] = runCommand();
    const operator = this.operator === null ? [] : ["--operator", this.operatorFile];
    const child = spawn(program, [...args, this.settingsFile(i), ...operator], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.CASE_LOG ?? "error" },
      stdio: ["ignore", "ignore", "pipe"],
    });
    let tail = "";
    child.stderr.on("data", (chunk) => {
      if (process.env.CASE_LOG) process.stderr.write(chunk);
      tail = (tail + chunk).slice(-4000);
    });
    this.processes[i] = child;
    this.record.note(`${this.members[i].member} starts as process ${child.pid}`);
    child.once("exit", (code, signal) => {
      if (!this.keepsRunning) return;
      const isByItself = child.killedByCase !== true;
      const reason = /FATAL ERROR: [^\n]*/.exec(tail)?.[0] ?? "";
      this.ends.push({ at: now(), node: i, code, signal, isByItself });
      const how = isByItself ? "ends by itself" : "was killed";
      this.record.note(`${this.members[i].member} ${how} (code ${code}, signal ${signal}) ${reason}`);
      setTimeout(() => {
        if (this.keepsRunning && this.processes[i] === child) this.startNode(i);
      }, 1000 * this.restartDelayS);
    });
  }

  killNode(i) {
    const child = this.processes[i];
    child.killedByCase = true;
    child.kill("SIGKILL");
  }

  async startWorkers() {
    const { report_s, lease_s } = this.settings.workers;
    for (let i = 0; i < this.workerCount; i++) {
      const worker = new Worker({
        name: `m-${String(i + 1).padStart(6, "0")}`,
        breed: BREED.sku,
        paddock: BREED.paddocks[i % BREED.paddocks.length],
        cpus: this.cpusPerMachine,
        members: this.members,
        reportS: report_s,
        leaseS: lease_s,
        fetchGbPerS: BREED.fetchGbPerS,
        jobOf: (id) => this.jobs.get(id),
        plan: this.plan,
        record: (event) => this.record.task(event),
      });
      await worker.start(this.workerPorts[i]);
      this.cloud.workers.set(worker.name, worker);
    }
  }

  get workers() {
    return [...this.cloud.workers.values()];
  }

  async waitFor(what, seconds, test) {
    const until = now() + seconds;
    while (now() < until) {
      const result = await test();
      if (result) return result;
      await sleep(0.05);
    }
    throw new Error(`not reached within ${seconds} s: ${what}`);
  }

  /** True if the node answers its health check with 200. */
  async isHealthy(i) {
    const answer = await this.clients[i].request("GET", "/healthz", undefined, 1000);
    return answer?.status === 200;
  }

  async waitUntilHealthy(seconds) {
    await this.waitFor("all nodes healthy", seconds, async () => {
      const healthy = await Promise.all(this.members.map((_, i) => this.isHealthy(i)));
      return healthy.every(Boolean);
    });
  }

  /** Submits a job at a node as a user does, with retries for up to 60 s; returns the status of the final answer. */
  async submit(i, job) {
    this.jobs.set(job.nameId, job);
    const until = now() + 60;
    while (now() < until) {
      const answer = await this.clients[i].request("POST", "/api/jobs", job, 5000);
      this.record.note(`submit ${job.nameId} at ${this.members[i].member}: ${answer?.status ?? "no response"}`);
      if (answer !== null && [200, 201, 400, 422].includes(answer.status)) return answer.status;
      await sleep(Math.max(1, Math.min(30, Number(answer?.headers["retry-after"] ?? 1))));
    }
    return null;
  }

  /** Asks a node for a job once, and waits 2 s for the answer; null: no response. */
  async poll(i, id, isRecorded = true) {
    const answer = await this.clients[i].request("GET", `/api/jobs/${id}`, undefined, 2000);
    if (isRecorded) {
      const text = answer === null ? "no response" : `${answer.status} ${answer.body?.stance ?? ""}`;
      this.record.note(`poll ${id} at ${this.members[i].member}: ${text}`);
    }
    return answer;
  }

  /** Asks a node once to cancel a job, and waits 5 s for the answer; null: no response. */
  async withdraw(i, id) {
    const answer = await this.clients[i].request("POST", `/api/jobs/${id}/withdraw`, {}, 5000);
    const text = answer === null ? "no response" : `${answer.status} ${answer.body?.stance ?? answer.body?.error ?? ""}`;
    this.record.note(`withdraw ${id} at ${this.members[i].member}: ${text}`);
    return answer;
  }

  /** Ends all processes and servers that the case started. */
  close() {
    this.keepsRunning = false;
    for (const child of this.processes) child?.kill("SIGKILL");
    for (const worker of this.workers) worker.stop("case ends");
    for (const client of this.clients ?? []) client.close();
    this.cloud?.stop();
    this.state?.stop();
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A job of independent tasks, as users submit it. */
export const arrayJob = (nameId, fields = {}) => ({
  nameId,
  herd: "rota-noite",
  outfit: "campo",
  gait: "array",
  rank: "normal",
  strides: 1,
  cpus: 1.0,
  cards: 0.0,
  memoryGb: 2.7,
  tack: "img-01",
  pullGb: 0.4,
  breeds: null,
  paddock: null,
  together: false,
  apart: false,
  loaners: false,
  rideS: 25.0,
  restS: 0.0,
  unsaddleS: 0.0,
  dueS: null,
  ...fields,
});

/**
 * Runs a case: `run(cluster, record)` returns a text if the rule was broken, and null if it held. Exits with 1, 0, or
 * 2 if the case could not run.
 */
export async function runCase(folder, options, run) {
  const record = new Record(folder);
  record.recordsTasks = options.recordsTasks ?? true;
  const cluster = new Cluster(record, options);
  record.note(WITH_TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)");
  let code = 2;
  const watchdog = setTimeout(() => finish("not over after 118 s", 2), 118_000);
  const finish = (text, exitCode) => {
    clearTimeout(watchdog);
    record.note(text);
    record.save();
    cluster.close();
    console.log(text);
    process.exit(exitCode);
  };
  process.once("exit", () => {
    for (const child of cluster.processes) child?.kill("SIGKILL");
  });
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.once(event, (error) => finish(`the case could not run: ${error?.stack ?? error}`, 2));
  }
  for (const signal of ["SIGINT", "SIGTERM"]) process.once(signal, () => finish("interrupted", 2));
  try {
    await cluster.open();
    const fault = await run(cluster, record);
    code = fault === null ? 0 : 1;
    finish(fault === null ? "the rule held" : `the rule was broken: ${fault}`, code);
  } catch (error) {
    finish(`the case could not run: ${error.stack}`, 2);
  }
}
