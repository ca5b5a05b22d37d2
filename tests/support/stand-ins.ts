/** Stand-ins for what peatsaddle meets: state service, cloud and workers, on loopback. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { TaskStatus, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { HttpConnectionPool } from "../../src/net/http-connection-pool.js";
import { decodeCommands } from "../../src/wire/commands.js";
import { decode, encode } from "../../src/wire/msgpack.js";
import { PATH } from "../../src/wire/names.js";
import { encodeWorkerHeartbeat } from "../../src/wire/worker-heartbeat.js";

type StandInResponse = { status: number; body: unknown };
type RequestHandler = (
  method: string,
  url: URL,
  body: unknown,
) => StandInResponse | Promise<StandInResponse>;

async function startHttpServer(
  handler: RequestHandler,
): Promise<{ server: Server; address: string }> {
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

interface StoredEntry {
  value: unknown;
  modRevision: number;
  lease: number | null;
}
interface ChangeLogEntry {
  key: string;
  value: unknown;
  removed: boolean;
  modRevision: number;
}

/** What becomes of a transaction that comes through a door. */
export type TransactionFate = "answered" | "answer lost" | "late";

/** The way of one node to the state service. */
export class StateServiceProxy {
  address = "";
  server: Server | null = null;
  /** The service refuses this node alone; its open watches wait, as in an outage. */
  isRefusing = false;
  /** Decides for each transaction, by its body. */
  fateOf: (txn: unknown) => TransactionFate = () => "answered";
  /** Transactions that are carried out only when the test says so. */
  readonly delayedTransactions: (() => void)[] = [];
  private readonly reopenWaiters = new Set<() => void>();

  reopen(): void {
    this.isRefusing = false;
    for (const f of this.reopenWaiters) f();
    this.reopenWaiters.clear();
  }
  async forward(
    handler: RequestHandler,
    method: string,
    url: URL,
    body: unknown,
  ): Promise<StandInResponse> {
    if (this.isRefusing) return { status: 503, body: { error: "trouble" } };
    if (url.pathname === PATH.transactions) {
      const fate = this.fateOf(body);
      if (fate === "late") {
        this.delayedTransactions.push(() => void handler(method, url, body));
        return await new Promise(() => {});
      }
      if (fate === "answer lost") {
        await handler(method, url, body);
        return await new Promise(() => {});
      }
    }
    const answer = await handler(method, url, body);
    while (this.isRefusing) await new Promise<void>((r) => this.reopenWaiters.add(r));
    return answer;
  }
}

/** Strongly consistent by being one map in one process. */
export class StateServiceStandIn {
  readonly entries = new Map<string, StoredEntry>();
  private changeLog: ChangeLogEntry[] = [];
  /** How many changes of each key were carried out. */
  readonly changeCounts = new Map<string, number>();
  private leases = new Map<number, { ttl: number; timer: NodeJS.Timeout }>();
  private nextLease = 1;
  private revision = 1;
  private watchers = new Set<() => void>();
  address = "";
  private server: Server | null = null;
  /** Larger values and transactions are refused. */
  limits = { valueBytes: Number.POSITIVE_INFINITY, txnOps: Number.POSITIVE_INFINITY };
  /** Transactions that were refused for what they hold. */
  rejectedTransactions = 0;
  /** It refuses everybody; open watches wait. */
  isUnavailable = false;

  async start(): Promise<void> {
    const s = await startHttpServer((m, u, b) => this.handle(m, u, b));
    this.server = s.server;
    this.address = s.address;
  }
  private readonly proxies: StateServiceProxy[] = [];
  /** A way of its own for one node, with troubles of its own. */
  async openProxy(): Promise<StateServiceProxy> {
    const door = new StateServiceProxy();
    const s = await startHttpServer((m, u, b) =>
      door.forward((...x) => this.handle(...x), m, u, b),
    );
    door.server = s.server;
    door.address = s.address;
    this.proxies.push(door);
    return door;
  }
  stop(): void {
    for (const l of this.leases.values()) clearTimeout(l.timer);
    for (const s of [this.server, ...this.proxies.map((d) => d.server)]) {
      s?.closeAllConnections();
      s?.close();
    }
  }

  /** All changes so far, in their order. */
  get history(): readonly ChangeLogEntry[] {
    return this.changeLog;
  }

  private applyChange(key: string, data: unknown, removed: boolean, tether: number | null): void {
    if (removed) this.entries.delete(key);
    else this.entries.set(key, { value: data, modRevision: this.revision, lease: tether });
    this.changeLog.push({ key, value: data, removed, modRevision: this.revision });
    this.changeCounts.set(key, (this.changeCounts.get(key) ?? 0) + 1);
  }
  private wakeWatchers(): void {
    for (const w of [...this.watchers]) w();
  }
  private expireLease(id: number): void {
    const l = this.leases.get(id);
    if (l === undefined) return;
    clearTimeout(l.timer);
    this.leases.delete(id);
    this.revision++;
    for (const [k, e] of [...this.entries])
      if (e.lease === id) this.applyChange(k, null, true, null);
    this.wakeWatchers();
  }
  private armLease(id: number, ttl: number): void {
    const timer = setTimeout(() => this.expireLease(id), ttl);
    timer.unref();
    this.leases.set(id, { ttl, timer });
  }

  private async handle(method: string, url: URL, body: unknown): Promise<StandInResponse> {
    const path = url.pathname;
    if (this.isUnavailable) return { status: 503, body: { error: "trouble" } };
    const q = (k: string): string => url.searchParams.get(k) ?? "";
    if (path === PATH.leases && method === "POST") {
      const { ttlMs } = body as { ttlMs: number };
      if (!Number.isInteger(ttlMs))
        return { status: 400, body: { error: "not whole milliseconds" } };
      const id = this.nextLease++;
      this.armLease(id, ttlMs);
      return { status: 200, body: { tether: id } };
    }
    if (path.startsWith(`${PATH.leases}/`)) {
      const id = Number(path.split("/")[2]);
      const l = this.leases.get(id);
      if (l === undefined) return { status: 404, body: {} };
      clearTimeout(l.timer);
      if (method === "DELETE") this.expireLease(id);
      else this.armLease(id, l.ttl);
      return { status: 200, body: {} };
    }
    if (path === PATH.transactions)
      return this.transact(body as Parameters<StateServiceStandIn["transact"]>[0]);
    if (path === PATH.keyValues) {
      const since = q("since");
      const all = [...this.entries]
        .filter(([k]) => k.startsWith(q("prefix")) && k > since)
        .sort(([a], [b]) => (a < b ? -1 : 1));
      const most = Number(q("most"));
      const items = all.slice(0, most).map(([k, e]) => ({ k, data: e.value, mark: e.modRevision }));
      return { status: 200, body: { items, more: all.length > most, ledger: this.revision } };
    }
    if (path === PATH.watch) {
      const since = Number(q("since"));
      const events = (): ChangeLogEntry[] => this.changeLog.filter((e) => e.modRevision > since);
      if (events().length === 0 && Number(q("blockMs")) > 0) {
        await new Promise<void>((resolve) => {
          const done = (): void => {
            clearTimeout(timer);
            this.watchers.delete(done);
            resolve();
          };
          const timer = setTimeout(done, Number(q("blockMs")));
          timer.unref();
          this.watchers.add(done);
        });
      }
      const log = events().map((e) =>
        e.removed
          ? { remove: e.key, mark: e.modRevision }
          : { write: e.key, data: e.value, mark: e.modRevision },
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

  private transact(t: {
    if?: { k: string; mark: number }[];
    then?: { write?: string; remove?: string; data?: unknown; tether?: number }[];
  }): StandInResponse {
    for (const c of t.then ?? []) {
      if (c.tether !== undefined && c.tether !== null && !this.leases.has(c.tether))
        return { status: 400, body: { error: "no such lease" } };
    }
    if (this.exceedsLimits(t.then ?? [])) {
      this.rejectedTransactions++;
      return { status: 400, body: { error: "too large" } };
    }
    const failed = (t.if ?? [])
      .filter((c) => (this.entries.get(c.k)?.modRevision ?? 0) !== c.mark)
      .map((c) => c.k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    this.revision++;
    for (const c of t.then ?? []) {
      if (typeof c.write === "string") this.applyChange(c.write, c.data, false, c.tether ?? null);
      else if (typeof c.remove === "string") this.applyChange(c.remove, null, true, null);
    }
    this.wakeWatchers();
    return { status: 200, body: { ledger: this.revision } };
  }
}

/** A cloud whose machines are workers in this process. */
export class CloudStandIn {
  readonly workers = new Map<string, WorkerStandIn>();
  /** The machine types are not to be had. */
  isCatalogUnavailable = false;
  address = "";
  private server: Server | null = null;

  async start(): Promise<void> {
    const s = await startHttpServer((m, u, b) => this.handle(m, u, b));
    this.server = s.server;
    this.address = s.address;
  }
  stop(): void {
    for (const w of this.workers.values()) w.stop();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private handle(method: string, url: URL, body: unknown): StandInResponse {
    if (url.pathname === PATH.catalog) {
      if (this.isCatalogUnavailable) return { status: 503, body: { error: "trouble" } };
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
    if (url.pathname === PATH.releaseMachines) {
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

interface StandInTask extends Omit<TaskStatus, "state" | "cause"> {
  state: TaskStatus["state"];
  cause: TaskStatus["cause"];
  timer: NodeJS.Timeout | null;
}

/** Told of a task's start, and of its end with the cause. */
export type TaskListener = (
  task: string,
  machine: string,
  on: boolean,
  cause: TaskStatus["cause"],
) => void;

/** Runs every task for a time that its job sets, and writes down each start. */
export class WorkerStandIn {
  address = "";
  private server: Server | null = null;
  private incarnation = 1;
  private sequence = 0;
  private fencingToken = 0;
  private readonly tasks = new Map<string, StandInTask>();
  private controllerIndex = 0;
  private isStopped = false;
  private leaseExpiresAt: number;
  private connections: HttpConnectionPool[] = [];
  /** It reaches no controller, while direct commands reach it. */
  dropsOutbound = false;
  /** Its reports arrive; answers and direct commands are lost. */
  dropsInbound = false;
  /** The bytes of each report that it sent, for copies that arrive later. */
  readonly sentHeartbeats: Buffer[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    private readonly controllers: { member: string; address: string }[],
    private readonly taskMs: (job: string) => number,
    private readonly heartbeatIntervalMs: number,
    private readonly leaseMs: number,
    /** Told of starts and ends, to see that nothing is on two machines. */
    private readonly onTaskChange: TaskListener,
  ) {
    this.leaseExpiresAt = performance.now() + leaseMs;
    this.connections = controllers.map((c) => new HttpConnectionPool(c.address, 4));
  }

  async start(): Promise<void> {
    const s = await startHttpServer((m, u, b) => this.handle(m, u, b));
    this.server = s.server;
    this.address = s.address;
    void this.heartbeatLoop();
  }
  stop(): void {
    this.isStopped = true;
    this.stopAllTasks();
    for (const p of this.connections) p.close();
    this.server?.closeAllConnections();
    this.server?.close();
  }
  private stopAllTasks(): void {
    for (const t of this.tasks.values()) this.exitTask(t, "stopped");
    this.tasks.clear();
  }
  private exitTask(t: StandInTask, cause: TaskStatus["cause"]): void {
    if (t.state === "exited") return;
    if (t.timer !== null) clearTimeout(t.timer);
    t.state = "exited";
    t.cause = cause;
    this.onTaskChange(`${t.job}/${t.task}`, this.name, false, cause);
  }

  private heartbeat(): WorkerHeartbeat {
    return {
      machine: this.name,
      address: this.address,
      type: "small",
      zone: this.zone,
      spot: false,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      fencingToken: this.fencingToken,
      interruptionNoticeS: null,
      tasks: [...this.tasks.values()].map(({ timer, ...t }) => t),
    };
  }

  private async handle(method: string, url: URL, body: unknown): Promise<StandInResponse> {
    if (this.dropsInbound) return await new Promise(() => {});
    this.expireLease();
    if (url.pathname === PATH.probe && method === "GET")
      return { status: 200, body: encodeWorkerHeartbeat(this.heartbeat()) };
    const c = decodeCommands(body);
    if (c === null || c.incarnation === null) return { status: 400, body: {} };
    const fits = c.fencingToken >= this.fencingToken && c.incarnation === this.incarnation;
    this.fencingToken = Math.max(this.fencingToken, c.fencingToken);
    if (fits) this.execute(c.commands);
    return { status: fits ? 200 : 409, body: encodeWorkerHeartbeat(this.heartbeat()) };
  }

  private execute(commands: NonNullable<ReturnType<typeof decodeCommands>>["commands"]): void {
    for (const c of commands) {
      const key = `${c.job}/${c.task}#${c.attempt}`;
      const t = this.tasks.get(key);
      if (c.op === "forget") {
        if (t?.state === "exited") this.tasks.delete(key);
      } else if (c.op === "stop") {
        if (t !== undefined) this.exitTask(t, "stopped");
      } else if (t === undefined) {
        const fresh: StandInTask = {
          job: c.job,
          task: c.task,
          attempt: c.attempt,
          state: "running",
          cause: null,
          checkpointed: false,
          timer: null,
        };
        fresh.timer = setTimeout(() => this.exitTask(fresh, "done"), this.taskMs(c.job));
        fresh.timer.unref();
        this.tasks.set(key, fresh);
        this.onTaskChange(`${c.job}/${c.task}`, this.name, true, null);
      }
    }
  }

  private expireLease(): void {
    if (performance.now() <= this.leaseExpiresAt) return;
    this.stopAllTasks();
    this.incarnation++;
    this.sequence = 0;
    this.leaseExpiresAt = performance.now() + this.leaseMs;
  }

  private async heartbeatLoop(): Promise<void> {
    while (!this.isStopped) {
      await new Promise((r) => setTimeout(r, this.heartbeatIntervalMs));
      if (this.isStopped) return;
      this.expireLease();
      if (this.dropsOutbound) continue;
      const sent = performance.now();
      const bytes = encode(encodeWorkerHeartbeat(this.heartbeat()));
      this.sentHeartbeats.push(bytes);
      try {
        const r = await this.connections[this.controllerIndex]!.request(
          "POST",
          PATH.heartbeat,
          bytes,
          1000,
        );
        if (this.dropsInbound) continue;
        const body = decode(r.body) as { rein?: number; groom?: string };
        if (r.status === 200) {
          const c = decodeCommands(body);
          if (c !== null && c.fencingToken >= this.fencingToken) {
            this.fencingToken = c.fencingToken;
            this.leaseExpiresAt = sent + this.leaseMs;
            this.execute(c.commands);
          }
          continue;
        }
        const to = this.controllers.findIndex((x) => x.member === body.groom);
        this.controllerIndex = to >= 0 ? to : (this.controllerIndex + 1) % this.controllers.length;
      } catch {
        this.controllerIndex = (this.controllerIndex + 1) % this.controllers.length;
      }
    }
  }
}
