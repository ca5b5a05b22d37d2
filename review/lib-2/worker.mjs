/**
 * A stand-in for a worker, for arrays and services without checkpoints: reports, tokens, leases, the three commands
 * and the image fetch, as the protocol page describes them.
 */
import { Client, now, sleep, startServer } from "./wire.mjs";

const REPORT_TIMEOUT_MS = 4000;

export class Worker {
  /**
   * `jobOf(id)` returns the description of a job as users uploaded it, and `plan(stride, mounting, worker)` the run
   * time in seconds and the cause with which the attempt ends. `record(event)` notes what happens to tasks.
   */
  constructor({ name, breed, paddock, cpus, members, reportS, leaseS, fetchGbPerS, jobOf, plan, record }) {
    Object.assign(this, { name, breed, paddock, cpus, members, reportS, leaseS, fetchGbPerS, jobOf, plan, record });
    this.rentedAt = now() - 60;
    this.stint = 1;
    this.tally = 0;
    this.rein = 0;
    this.tasks = new Map();
    this.images = new Map();
    this.leaseStartedAt = now();
    this.memberIndex = 0;
    this.clients = members.map(({ address }) => new Client(address));
    this.isStopped = false;
    /** The bodies of the direct requests that were executed, in order. */
    this.executed = [];
    this.changed = true;
    this.lastReportAt = Number.NEGATIVE_INFINITY;
    this.nextReportAt = 0;
    /** After a refusal, the next report is sent at this time. */
    this.notBefore = 0;
    this.lastTokenChangeAt = Number.NEGATIVE_INFINITY;
  }

  async start(port) {
    this.address = `127.0.0.1:${port}`;
    this.server = await startServer(port, (...request) => this.handle(...request));
    void this.run();
  }

  stop(why) {
    if (this.isStopped) return;
    this.isStopped = true;
    for (const task of this.tasks.values()) this.end(task, why);
    for (const client of this.clients) client.close();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Name of the node to which the worker reports, and from which it got its last answer. */
  get member() {
    return this.members[this.memberIndex].member;
  }

  get runningCount() {
    return [...this.tasks.values()].filter(({ stance }) => stance === "running").length;
  }

  report() {
    this.tally++;
    return {
      mount: this.name,
      address: this.address,
      breed: this.breed,
      paddock: this.paddock,
      loaners: false,
      stint: this.stint,
      tally: this.tally,
      rein: this.rein,
      recallS: null,
      strides: [...this.tasks.values()].map(({ stride, mounting, stance, cause }) =>
        stance === "ended" ? { stride, mounting, stance, cause } : { stride, mounting, stance },
      ),
    };
  }

  handle(method, { pathname }, body) {
    this.expireIfDue();
    if (pathname === "/show") return { status: 200, body: this.report() };
    if (pathname !== "/commands" || body?.rein === undefined || body?.stint === undefined)
      return { status: 400, body: {} };
    return this.receive(body);
  }

  /** Handles a direct request; also used for a late copy of one. */
  receive(body) {
    if (body.rein < this.rein || body.stint !== this.stint) return { status: 409, body: this.report() };
    this.raiseToken(body.rein);
    if (body.calls.length > 0) this.executed.push(body);
    this.execute(body.calls);
    return { status: 200, body: this.report() };
  }

  raiseToken(rein) {
    if (rein <= this.rein) return;
    this.rein = rein;
    if (now() - this.lastTokenChangeAt < this.leaseS / 2) return;
    this.lastTokenChangeAt = now();
    this.changed = true;
  }

  execute(calls) {
    for (const { call, stride, mounting } of calls) {
      const key = `${stride}#${mounting}`;
      const task = this.tasks.get(key);
      if (call === "run" && task === undefined) this.startTask(key, stride, mounting);
      else if (call === "halt" && task !== undefined) this.end(task, "halted");
      else if (call === "forget" && task?.stance === "ended") {
        this.tasks.delete(key);
        this.note("forgotten", task);
      }
    }
  }

  startTask(key, stride, mounting) {
    const task = { key, stride, mounting, stance: "pulling", cause: null };
    this.tasks.set(key, task);
    this.changed = true;
    const job = this.jobOf(stride.slice(0, stride.lastIndexOf("/")));
    if (job === undefined) return this.end(task, "no_such");
    const others = [...this.tasks.values()].filter((other) => other !== task && other.stance !== "ended");
    if (others.some((other) => other.stride === stride)) return this.end(task, "in_use");
    const used = others.reduce((sum, other) => sum + (other.cpus ?? 0), 0);
    if (used + job.cpus > this.cpus + 1e-6) return this.end(task, "no_room");
    task.cpus = job.cpus;
    const fetchedAt = this.images.get(job.tack) ?? now() + job.pullGb / this.fetchGbPerS;
    this.images.set(job.tack, fetchedAt);
    task.timer = setTimeout(() => this.beginRun(task), Math.max(0, 1000 * (fetchedAt - now())));
  }

  beginRun(task) {
    task.stance = "running";
    this.changed = true;
    this.note("starts", task);
    const { runS, cause } = this.plan(task.stride, task.mounting, this);
    if (runS !== Infinity) task.timer = setTimeout(() => this.end(task, cause), 1000 * runS);
  }

  end(task, cause) {
    if (task.stance === "ended") return;
    clearTimeout(task.timer);
    if (task.stance === "running") this.note("ends", task, cause);
    else this.note("refused or not started", task, cause);
    task.stance = "ended";
    task.cause = cause;
    this.changed = true;
  }

  note(what, { stride, mounting }, cause) {
    this.record({ what, stride, mounting, machine: this.name, ...(cause === undefined ? {} : { cause }) });
  }

  expireIfDue() {
    if (now() - this.leaseStartedAt <= this.leaseS) return;
    for (const task of this.tasks.values()) this.end(task, "lease expired");
    this.tasks.clear();
    this.stint++;
    this.leaseStartedAt = now();
    this.changed = true;
  }

  async run() {
    while (!this.isStopped) {
      this.expireIfDue();
      const time = now();
      const isDue = time >= this.nextReportAt || (this.changed && time - this.lastReportAt >= 0.5);
      if (isDue && time >= this.notBefore) await this.sendReport();
      await sleep(0.02);
    }
  }

  async sendReport() {
    const sentAt = now();
    const { stint } = this;
    this.changed = false;
    this.lastReportAt = sentAt;
    this.nextReportAt = sentAt + this.reportS * (0.75 + 0.5 * Math.random());
    const answer = await this.clients[this.memberIndex].request("POST", "/checkin", this.report(), REPORT_TIMEOUT_MS);
    if (this.isStopped) return;
    this.expireIfDue();
    if (answer?.status === 200) {
      this.lastAnswerFrom = this.member;
      if (stint !== this.stint) return;
      const { rein, calls } = answer.body ?? {};
      if (rein === undefined || rein < this.rein) return;
      this.raiseToken(rein);
      this.leaseStartedAt = sentAt;
      this.execute(calls ?? []);
      return;
    }
    const index = this.members.findIndex(({ member }) => member === answer?.body?.groom);
    if (answer?.status === 421 && index >= 0 && index !== this.memberIndex) {
      this.memberIndex = index;
      this.nextReportAt = now() + 0.1;
      this.notBefore = this.nextReportAt;
    } else {
      this.memberIndex = (this.memberIndex + 1) % this.members.length;
      this.nextReportAt = now() + 1;
      this.notBefore = this.nextReportAt;
    }
  }
}
