/** Stand-ins for what peatsaddle meets: state service, cloud and workers, on loopback. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Report, TaskReport } from "../src/core/model.js";
import { Peer } from "../src/net/client.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { PATH } from "../src/wire/names.js";
import { encodeReport } from "../src/wire/report.js";
import { decodeCommands } from "../src/wire/schema.js";

type Answer = { status: number; body: unknown };
type Handler = (method: string, url: URL, body: unknown) => Answer | Promise<Answer>;

async function serve(handler: Handler): Promise<{ server: Server; address: string }> {
  const server = createServer(async (req: IncomingMessage, res: ServerResponse) => {
    const parts: Buffer[] = [];
    for await (const p of req) parts.push(p as Buffer);
    const raw = Buffer.concat(parts);
    const url = new URL(req.url ?? "/", "http://x");
    const a = await handler(req.method ?? "GET", url, raw.length > 0 ? decode(raw) : undefined);
    res.writeHead(a.status, { "content-type": "application/msgpack" });
    res.end(encode(a.body));
  });
  await new Promise<void>((r) => server.listen(0, "127.0.0.1", r));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

interface Entry {
  data: unknown;
  mark: number;
  tether: number | null;
}
interface LogEntry {
  key: string;
  data: unknown;
  removed: boolean;
  mark: number;
}

/** What becomes of a transaction that comes through a door. */
export type Fate = "answered" | "answer lost" | "late";

/** The way of one node to the state service. */
export class Door {
  address = "";
  server: Server | null = null;
  /** The service refuses this node alone; its open watches wait, as in an outage. */
  refused = false;
  /** Decides for each transaction, by its body. */
  fate: (txn: unknown) => Fate = () => "answered";
  /** Transactions that are carried out only when the test says so. */
  readonly held: (() => void)[] = [];
  private readonly reopened = new Set<() => void>();

  open(): void {
    this.refused = false;
    for (const f of this.reopened) f();
    this.reopened.clear();
  }
  async through(handler: Handler, method: string, url: URL, body: unknown): Promise<Answer> {
    if (this.refused) return { status: 503, body: { error: "trouble" } };
    if (url.pathname === PATH.txn) {
      const fate = this.fate(body);
      if (fate === "late") {
        this.held.push(() => void handler(method, url, body));
        return await new Promise(() => {});
      }
      if (fate === "answer lost") {
        await handler(method, url, body);
        return await new Promise(() => {});
      }
    }
    const answer = await handler(method, url, body);
    while (this.refused) await new Promise<void>((r) => this.reopened.add(r));
    return answer;
  }
}

/** Strongly consistent by being one map in one process. */
export class StateStandIn {
  readonly keys = new Map<string, Entry>();
  private log: LogEntry[] = [];
  /** How many changes of each key were carried out. */
  readonly changes = new Map<string, number>();
  private leases = new Map<number, { ttl: number; timer: NodeJS.Timeout }>();
  private nextLease = 1;
  private revision = 1;
  private waiters = new Set<() => void>();
  address = "";
  private server: Server | null = null;
  /** Larger values and transactions are refused. */
  limits = { valueBytes: Number.POSITIVE_INFINITY, txnOps: Number.POSITIVE_INFINITY };
  /** Transactions that were refused for what they hold. */
  tooLarge = 0;
  /** It refuses everybody; open watches wait. */
  out = false;

  async start(): Promise<void> {
    const s = await serve((m, u, b) => this.handle(m, u, b));
    this.server = s.server;
    this.address = s.address;
  }
  private readonly doors: Door[] = [];
  /** A way of its own for one node, with troubles of its own. */
  async door(): Promise<Door> {
    const door = new Door();
    const s = await serve((m, u, b) => door.through((...x) => this.handle(...x), m, u, b));
    door.server = s.server;
    door.address = s.address;
    this.doors.push(door);
    return door;
  }
  stop(): void {
    for (const l of this.leases.values()) clearTimeout(l.timer);
    for (const s of [this.server, ...this.doors.map((d) => d.server)]) {
      s?.closeAllConnections();
      s?.close();
    }
  }

  /** All changes so far, in their order. */
  get history(): readonly LogEntry[] {
    return this.log;
  }

  private change(key: string, data: unknown, removed: boolean, tether: number | null): void {
    if (removed) this.keys.delete(key);
    else this.keys.set(key, { data, mark: this.revision, tether });
    this.log.push({ key, data, removed, mark: this.revision });
    this.changes.set(key, (this.changes.get(key) ?? 0) + 1);
  }
  private wake(): void {
    for (const w of [...this.waiters]) w();
  }
  private end(id: number): void {
    const l = this.leases.get(id);
    if (l === undefined) return;
    clearTimeout(l.timer);
    this.leases.delete(id);
    this.revision++;
    for (const [k, e] of [...this.keys]) if (e.tether === id) this.change(k, null, true, null);
    this.wake();
  }
  private arm(id: number, ttl: number): void {
    const timer = setTimeout(() => this.end(id), ttl);
    timer.unref();
    this.leases.set(id, { ttl, timer });
  }

  private async handle(method: string, url: URL, body: unknown): Promise<Answer> {
    const path = url.pathname;
    if (this.out) return { status: 503, body: { error: "trouble" } };
    const q = (k: string): string => url.searchParams.get(k) ?? "";
    if (path === PATH.leases && method === "POST") {
      const { ttlMs } = body as { ttlMs: number };
      if (!Number.isInteger(ttlMs))
        return { status: 400, body: { error: "not whole milliseconds" } };
      const id = this.nextLease++;
      this.arm(id, ttlMs);
      return { status: 200, body: { tether: id } };
    }
    if (path.startsWith(`${PATH.leases}/`)) {
      const id = Number(path.split("/")[2]);
      const l = this.leases.get(id);
      if (l === undefined) return { status: 404, body: {} };
      clearTimeout(l.timer);
      if (method === "DELETE") this.end(id);
      else this.arm(id, l.ttl);
      return { status: 200, body: {} };
    }
    if (path === PATH.txn) return this.txn(body as Parameters<StateStandIn["txn"]>[0]);
    if (path === PATH.kv) {
      const since = q("since");
      const all = [...this.keys]
        .filter(([k]) => k.startsWith(q("prefix")) && k > since)
        .sort(([a], [b]) => (a < b ? -1 : 1));
      const most = Number(q("most"));
      const items = all.slice(0, most).map(([k, e]) => ({ k, data: e.data, mark: e.mark }));
      return { status: 200, body: { items, more: all.length > most, ledger: this.revision } };
    }
    if (path === PATH.follow) {
      const since = Number(q("since"));
      const events = (): LogEntry[] => this.log.filter((e) => e.mark > since);
      if (events().length === 0 && Number(q("blockMs")) > 0) {
        await new Promise<void>((resolve) => {
          const done = (): void => {
            clearTimeout(timer);
            this.waiters.delete(done);
            resolve();
          };
          const timer = setTimeout(done, Number(q("blockMs")));
          timer.unref();
          this.waiters.add(done);
        });
      }
      const log = events().map((e) =>
        e.removed ? { remove: e.key, mark: e.mark } : { write: e.key, data: e.data, mark: e.mark },
      );
      return { status: 200, body: { ledger: this.revision, log } };
    }
    return { status: 404, body: {} };
  }

  private exceedsLimits(changes: readonly { data?: unknown }[]): boolean {
    const { valueBytes, txnOps } = this.limits;
    if (changes.length > txnOps) return true;
    return changes.some((c) => c.data !== undefined && JSON.stringify(c.data).length > valueBytes);
  }

  private txn(t: {
    if?: { k: string; mark: number }[];
    then?: { write?: string; remove?: string; data?: unknown; tether?: number }[];
  }): Answer {
    for (const c of t.then ?? []) {
      if (c.tether !== undefined && c.tether !== null && !this.leases.has(c.tether))
        return { status: 400, body: { error: "no such lease" } };
    }
    if (this.exceedsLimits(t.then ?? [])) {
      this.tooLarge++;
      return { status: 400, body: { error: "too large" } };
    }
    const failed = (t.if ?? [])
      .filter((c) => (this.keys.get(c.k)?.mark ?? 0) !== c.mark)
      .map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    this.revision++;
    for (const c of t.then ?? []) {
      if (typeof c.write === "string") this.change(c.write, c.data, false, c.tether ?? null);
      else if (typeof c.remove === "string") this.change(c.remove, null, true, null);
    }
    this.wake();
    return { status: 200, body: { ledger: this.revision } };
  }
}

/** A cloud whose machines are workers in this process. */
export class CloudStandIn {
  readonly workers = new Map<string, WorkerStandIn>();
  /** The machine types are not to be had. */
  silent = false;
  address = "";
  private server: Server | null = null;

  async start(): Promise<void> {
    const s = await serve((m, u, b) => this.handle(m, u, b));
    this.server = s.server;
    this.address = s.address;
  }
  stop(): void {
    for (const w of this.workers.values()) w.stop();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private handle(method: string, url: URL, body: unknown): Answer {
    if (url.pathname === PATH.catalog) {
      if (this.silent) return { status: 503, body: { error: "trouble" } };
      const type = {
        sku: "small",
        cpus: 4,
        cards: 0,
        memoryGb: 32,
        localGb: 40,
        fetchGbPerS: 10,
        hourly: 0.2,
        spotPrice: 0.1,
        readyS: 15,
        paddocks: ["a", "b"],
      };
      return { status: 200, body: { breeds: [type] } };
    }
    if (url.pathname === PATH.returnMachines) {
      for (const name of (body as { mounts: string[] }).mounts) {
        this.workers.get(name)?.stop();
        this.workers.delete(name);
      }
      return { status: 200, body: {} };
    }
    if (url.pathname === PATH.machines && method === "GET") {
      const mounts = [...this.workers.values()].map((w) => ({
        nameId: w.name,
        address: w.address,
        breed: "small",
        paddock: w.zone,
        loaners: false,
        stance: "running",
        ageS: performance.now() / 1000,
      }));
      return { status: 200, body: { mounts, more: false } };
    }
    return { status: 503, body: { error: "no capacity" } };
  }
}

interface Running extends Omit<TaskReport, "state" | "cause"> {
  state: TaskReport["state"];
  cause: TaskReport["cause"];
  timer: NodeJS.Timeout | null;
}

/** Told of a task's start, and of its end with the cause. */
export type TaskWatch = (
  task: string,
  machine: string,
  on: boolean,
  cause: TaskReport["cause"],
) => void;

/** Runs every task for a time that its job sets, and writes down each start. */
export class WorkerStandIn {
  address = "";
  private server: Server | null = null;
  private session = 1;
  private seq = 0;
  private token = 0;
  private readonly tasks = new Map<string, Running>();
  private at = 0;
  private stopped = false;
  private leaseUntil: number;
  private peers: Peer[] = [];
  /** It reaches no controller, while direct commands reach it. */
  mute = false;
  /** Its reports arrive; answers and direct commands are lost. */
  deaf = false;
  /** The bytes of each report that it sent, for copies that arrive later. */
  readonly sent: Buffer[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly controllers: { member: string; address: string }[],
    private readonly taskMs: (job: string) => number,
    private readonly reportMs: number,
    private readonly leaseMs: number,
    /** Told of starts and ends, to see that nothing is on two machines. */
    private readonly watch: TaskWatch,
  ) {
    this.leaseUntil = performance.now() + leaseMs;
    this.peers = controllers.map((c) => new Peer(c.address, 4));
  }

  async start(): Promise<void> {
    const s = await serve((m, u, b) => this.handle(m, u, b));
    this.server = s.server;
    this.address = s.address;
    void this.reportLoop();
  }
  stop(): void {
    this.stopped = true;
    this.killAll();
    for (const p of this.peers) p.close();
    this.server?.closeAllConnections();
    this.server?.close();
  }
  private killAll(): void {
    for (const t of this.tasks.values()) this.exit(t, "stopped");
    this.tasks.clear();
  }
  private exit(t: Running, cause: TaskReport["cause"]): void {
    if (t.state === "exited") return;
    if (t.timer !== null) clearTimeout(t.timer);
    t.state = "exited";
    t.cause = cause;
    this.watch(`${t.job}/${t.task}`, this.name, false, cause);
  }

  private report(): Report {
    return {
      machine: this.name,
      address: this.address,
      type: "small",
      zone: this.zone,
      spot: false,
      session: this.session,
      seq: ++this.seq,
      token: this.token,
      noticeS: null,
      tasks: [...this.tasks.values()].map(({ timer, ...t }) => t),
    };
  }

  private async handle(method: string, url: URL, body: unknown): Promise<Answer> {
    if (this.deaf) return await new Promise(() => {});
    this.expire();
    if (url.pathname === PATH.show && method === "GET")
      return { status: 200, body: encodeReport(this.report()) };
    const c = decodeCommands(body);
    if (c === null || c.session === null) return { status: 400, body: {} };
    const fits = c.token >= this.token && c.session === this.session;
    this.token = Math.max(this.token, c.token);
    if (fits) this.execute(c.commands);
    return { status: fits ? 200 : 409, body: encodeReport(this.report()) };
  }

  private execute(commands: NonNullable<ReturnType<typeof decodeCommands>>["commands"]): void {
    for (const c of commands) {
      const key = `${c.job}/${c.task}#${c.attempt}`;
      const t = this.tasks.get(key);
      if (c.op === "forget") {
        if (t?.state === "exited") this.tasks.delete(key);
      } else if (c.op === "stop") {
        if (t !== undefined) this.exit(t, "stopped");
      } else if (t === undefined) {
        const fresh: Running = {
          job: c.job,
          task: c.task,
          attempt: c.attempt,
          state: "running",
          cause: null,
          saved: false,
          timer: null,
        };
        fresh.timer = setTimeout(() => this.exit(fresh, "done"), this.taskMs(c.job));
        fresh.timer.unref();
        this.tasks.set(key, fresh);
        this.watch(`${c.job}/${c.task}`, this.name, true, null);
      }
    }
  }

  private expire(): void {
    if (performance.now() <= this.leaseUntil) return;
    this.killAll();
    this.session++;
    this.seq = 0;
    this.leaseUntil = performance.now() + this.leaseMs;
  }

  private async reportLoop(): Promise<void> {
    while (!this.stopped) {
      await new Promise((r) => setTimeout(r, this.reportMs));
      if (this.stopped) return;
      this.expire();
      if (this.mute) continue;
      const sent = performance.now();
      const bytes = encode(encodeReport(this.report()));
      this.sent.push(bytes);
      try {
        const r = await this.peers[this.at]!.request("POST", PATH.report, bytes, 1000);
        if (this.deaf) continue;
        const body = decode(r.body) as { rein?: number; groom?: string };
        if (r.status === 200) {
          const c = decodeCommands(body);
          if (c !== null && c.token >= this.token) {
            this.token = c.token;
            this.leaseUntil = sent + this.leaseMs;
            this.execute(c.commands);
          }
          continue;
        }
        const to = this.controllers.findIndex((x) => x.member === body.groom);
        this.at = to >= 0 ? to : (this.at + 1) % this.controllers.length;
      } catch {
        this.at = (this.at + 1) % this.controllers.length;
      }
    }
  }
}
