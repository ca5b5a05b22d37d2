/**
 * A stand-in for one worker, after PROTOCOL "Workers -> controller nodes" and "Controller nodes -> workers". It runs
 * tasks of arrays and services; a task runs for `taskS(job)` seconds (services: until halted).
 */
import http from "node:http";
import { call, serve, sleep } from "./wire.mjs";

const RESPONSE_TIMEOUT_MS = 4000;
const MIN_CHANGE_REPORT_MS = 500;

export class Worker {
  /**
   * @param options name, breed (catalog entry), zone, spot, controllers [{member, address}], workers (settings),
   *   jobs (Map of submitted bodies), taskS(job body), onTask(event, fields)
   */
  constructor(options) {
    Object.assign(this, options);
    this.tasks = new Map(); // "stride#mounting" -> status
    this.images = new Map(); // tack -> promise of the fetch, or true
    this.stint = 1;
    this.tally = 0;
    this.rein = 0;
    this.isDead = false;
    this.leaseFrom = performance.now();
    this.node = Math.floor(Math.random() * this.controllers.length);
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.reportAt = 0;
    this.lastReportAt = -Infinity;
  }

  async start() {
    this.server = await serve((...request) => this.answer(...request));
    this.address = this.server.address;
    this.leaseFrom = performance.now();
    void this.reportLoop();
  }

  /** The machine is gone, as after a return to the cloud: everything on it ends. */
  stop(why = "gone") {
    if (!this.isDead) this.die(why);
    this.server?.close();
  }

  /** The machine stops with all that is on it. It stays silent: connections to it hang. */
  die(why = "machine died") {
    this.isDead = true;
    for (const task of this.tasks.values()) this.end(task, why);
    this.tasks.clear();
    this.agent.destroy();
  }

  running() {
    return [...this.tasks.values()].filter((task) => task.stance !== "ended");
  }

  /** Free CPUs; tasks that fetch their image count. */
  freeCpus() {
    return this.breed.cpus - this.running().reduce((sum, { job }) => sum + job.cpus, 0);
  }

  report() {
    return {
      mount: this.name, address: this.address, breed: this.breed.sku, paddock: this.zone,
      loaners: this.spot, stint: this.stint, tally: ++this.tally, rein: this.rein, recallS: null,
      strides: [...this.tasks.values()].map(({ stride, mounting, stance, cause }) =>
        cause === undefined ? { stride, mounting, stance } : { stride, mounting, stance, cause }),
    };
  }

  expireLease() {
    const leaseMs = this.workers.lease_s * 1000;
    if (performance.now() - this.leaseFrom <= leaseMs) return;
    this.onTask("lease expired", { machine: this.name, stint: this.stint });
    for (const task of this.tasks.values()) this.end(task, "lease expired");
    this.tasks.clear();
    this.stint++;
    this.leaseFrom = performance.now();
  }

  async answer(method, { pathname }, body) {
    if (this.isDead) return null;
    this.expireLease();
    if (pathname === "/show" && method === "GET") return { status: 200, body: this.report() };
    if (pathname !== "/commands") return { status: 404, body: {} };
    const { rein, stint, calls = [] } = body ?? {};
    if (typeof rein !== "number" || typeof stint !== "number") return { status: 400, body: {} };
    const fits = rein >= this.rein && stint === this.stint;
    this.seeToken(rein);
    if (fits) this.execute(calls, "direct");
    return { status: fits ? 200 : 409, body: this.report() };
  }

  seeToken(rein) {
    if (rein <= this.rein) return;
    this.rein = rein;
    const now = performance.now();
    if (now - (this.tokenChangeAt ?? -Infinity) < (this.workers.lease_s * 1000) / 2) return;
    this.tokenChangeAt = now;
    this.changed();
  }

  changed() {
    this.reportAt = Math.min(this.reportAt, this.lastReportAt + MIN_CHANGE_REPORT_MS);
    this.wake?.();
  }

  execute(calls, how) {
    for (const { call: name, stride, mounting } of calls) {
      const key = `${stride}#${mounting}`;
      const task = this.tasks.get(key);
      if (name === "run") this.run(key, stride, mounting, how);
      else if (name === "halt" && task !== undefined) this.end(task, "halted");
      else if (name === "forget" && task?.stance === "ended") this.tasks.delete(key);
    }
  }

  run(key, stride, mounting, how) {
    if (this.tasks.has(key)) return;
    const [id, number] = stride.split("/");
    const job = this.jobs.get(id);
    const task = { stride, mounting, stance: "pulling", job, at: performance.now() };
    this.onTask("run", { stride, mounting, machine: this.name, how });
    const refusal = this.refusal(stride, Number(number), job);
    this.tasks.set(key, task);
    if (refusal !== null) this.end(task, refusal);
    else void this.fetchAndRun(key, task);
    this.changed();
  }

  refusal(stride, number, job) {
    if (job === undefined || !(number < job.strides)) return "no_such";
    if (this.running().some((other) => other.stride === stride)) return "in_use";
    const running = this.running();
    const used = (field) => running.reduce((sum, other) => sum + other.job[field], 0);
    const fits =
      used("cpus") + job.cpus <= this.breed.cpus + 1e-6 &&
      used("cards") + job.cards <= this.breed.cards + 1e-6 &&
      used("memoryGb") + job.memoryGb <= this.breed.memoryGb + 1e-6;
    return fits ? null : "no_room";
  }

  async fetchAndRun(key, task) {
    const { tack, pullGb } = task.job;
    if (!this.images.has(tack)) {
      this.images.set(tack, sleep((1000 * pullGb) / this.breed.fetchGbPerS));
    }
    await this.images.get(tack);
    if (this.isDead || this.tasks.get(key) !== task || task.stance !== "pulling") return;
    task.stance = "running";
    this.onTask("running", { stride: task.stride, mounting: task.mounting, machine: this.name });
    this.changed();
    if (task.job.gait === "service") return;
    task.timer = setTimeout(() => this.end(task, "done"), 1000 * this.taskS(task.job));
  }

  end(task, cause) {
    if (task.stance === "ended") return;
    clearTimeout(task.timer);
    task.stance = "ended";
    task.cause = cause;
    this.onTask("ended", { stride: task.stride, mounting: task.mounting, machine: this.name, cause });
    if (!this.isDead) this.changed();
  }

  async reportLoop() {
    while (!this.isDead) {
      const waitMs = this.reportAt - performance.now();
      if (waitMs > 0) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          this.wake = () => {
            clearTimeout(timer);
            resolve();
          };
        });
        this.wake = undefined;
        if (!this.isDead) this.expireLease();
        continue;
      }
      await this.sendReport();
    }
  }

  async sendReport() {
    this.expireLease();
    const { report_s } = this.workers;
    const sentAt = performance.now();
    const { stint } = this;
    this.lastReportAt = sentAt;
    this.reportAt = sentAt + 1000 * report_s * (0.75 + 0.5 * Math.random());
    const { address } = this.controllers[this.node];
    const answer = await call(address, "POST", "/checkin", this.report(), {
      timeoutMs: RESPONSE_TIMEOUT_MS, agent: this.agent,
    });
    if (this.isDead) return;
    this.expireLease();
    if (answer?.status === 200) this.handleAnswer(answer.body, stint, sentAt);
    else await this.moveOn(answer);
  }

  handleAnswer(body, stint, sentAt) {
    const { rein, calls = [] } = body ?? {};
    if (stint !== this.stint || typeof rein !== "number" || rein < this.rein) return;
    this.leaseFrom = sentAt;
    this.seeToken(rein);
    this.execute(calls, "report");
  }

  async moveOn(answer) {
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const named = answer?.status === 421 ? answer.body?.groom : undefined;
    const index = this.controllers.findIndex(({ member }) => member === named);
    if (index >= 0 && index !== this.node) {
      this.node = index;
    } else {
      this.node = (this.node + 1) % this.controllers.length;
      await sleep(1000);
    }
    this.reportAt = performance.now();
  }
}
