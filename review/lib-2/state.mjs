/** A stand-in for the state service: keys, transactions, leases, watches and the limits of the protocol page. */
import { now, sleep, startServer } from "./wire.mjs";

const KEPT_CHANGES = 10_000;
const TOO_MANY = { status: 429, body: { error: "too many" } };
const bad = (error) => ({ status: 400, body: { error } });

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = now();
  }
  take(count) {
    const time = now();
    this.tokens = Math.min(this.rate, this.tokens + (time - this.at) * this.rate);
    this.at = time;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  constructor(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
    /** Sorted keys that were there before, each with the same value. */
    this.history = [];
    this.historyValue = null;
    this.entries = new Map();
    this.log = [];
    this.revision = 1;
    this.leases = new Map();
    this.nextLease = 1;
    this.waiting = new Set();
    /** Seconds by which each answer is late. */
    this.answerDelayS = 0.002;
    /** True: an outage, in which each request gets 503. */
    this.isDown = false;
  }

  /** Changes the limits from now on. */
  setLimits(limits) {
    this.limits = limits;
    this.requests = new Bucket(limits.rps);
    this.writes = new Bucket(limits.write_rps);
  }

  async start(port) {
    this.server = await startServer(port, (...request) => this.handle(...request));
  }

  stop() {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Lets `count` keys exist since before the start. `keyOf` must be increasing in its argument. */
  seedHistory(count, keyOf, value) {
    this.historyValue = value;
    this.revision++;
    this.historyRevision = this.revision;
    for (let i = 0; i < count; i++) this.history.push(keyOf(i));
  }

  /** Adds keys to the history one by one, each as a change of its own; watches see them. */
  growHistory(keys) {
    for (const key of keys) {
      this.revision++;
      this.history.push(key);
      this.append({ write: key, data: this.historyValue, mark: this.revision });
    }
    this.wake();
  }

  async handle(method, url, body) {
    if (this.isDown) return { status: 503, body: { error: "trouble" } };
    if (!this.requests.take(1)) return TOO_MANY;
    const result = await this.execute(method, url, body);
    if (this.answerDelayS > 0) await sleep(this.answerDelayS);
    return result;
  }

  async execute(method, { pathname, searchParams }, body) {
    if (pathname === "/txn" && method === "POST") return this.transact(body ?? {});
    if (pathname === "/kv") return this.range(searchParams);
    if (pathname === "/follow") return await this.follow(searchParams);
    if (pathname === "/leases" && method === "POST") return this.grant(body);
    const lease = /^\/leases\/(\d+)(\/extend)?$/.exec(pathname);
    if (lease !== null) return this.changeLease(Number(lease[1]), method);
    return { status: 404, body: { ledger: this.revision } };
  }

  grant({ ttlMs }) {
    if (!Number.isInteger(ttlMs) || ttlMs < 100 || ttlMs > 600_000) return bad("ttlMs");
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    return { status: 200, body: { tether: id } };
  }

  changeLease(id, method) {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    clearTimeout(lease.timer);
    if (method === "DELETE") this.endLease(id);
    else lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    return { status: 200, body: {} };
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.entries].filter(([, entry]) => entry.tether === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.wake();
  }

  transact({ if: conditions = [], then: changes = [] }) {
    const { txn_ops, value_kb } = this.limits;
    if (changes.length > txn_ops || conditions.length > 4 * txn_ops) return bad("too many");
    if (JSON.stringify({ conditions, changes }).length > 64 * 1024) return bad("too large");
    for (const change of changes) {
      if (change.write === undefined) continue;
      if (JSON.stringify(change.data).length > 1024 * value_kb) return bad("value too large");
      const { tether } = change;
      if (tether !== undefined && tether !== null && !this.leases.has(tether)) return bad("no such lease");
    }
    if (!this.writes.take(changes.length)) return TOO_MANY;
    const failed = conditions.filter(({ k, mark }) => this.markOf(k) !== mark).map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    if (changes.length > 0) {
      this.revision++;
      for (const change of changes) {
        if (change.remove !== undefined && change.remove !== null) this.remove(change.remove);
        else this.write(change);
      }
      this.wake();
    }
    return { status: 200, body: { ledger: this.revision } };
  }

  markOf(key) {
    const entry = this.entries.get(key);
    if (entry !== undefined) return entry.mark;
    const index = this.historyIndex(key);
    return this.history[index] === key ? this.historyRevision : 0;
  }

  write({ write: key, data, tether }) {
    this.entries.set(key, { data, mark: this.revision, tether: tether ?? null });
    this.append({ write: key, data, mark: this.revision });
  }

  remove(key) {
    if (!this.entries.delete(key)) return;
    this.append({ remove: key, mark: this.revision });
  }

  append(change) {
    this.log.push(change);
    if (this.log.length > 2 * KEPT_CHANGES) this.log.splice(0, this.log.length - KEPT_CHANGES);
  }

  wake() {
    for (const resolve of [...this.waiting]) resolve();
  }

  /** Index of the first key of the history that is not before `key`. */
  historyIndex(key) {
    let low = 0;
    let high = this.history.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.history[middle] < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  range(query) {
    const prefix = query.get("prefix") ?? "";
    const since = query.get("since") ?? "";
    const most = Math.min(1000, Number(query.get("most") ?? 1000));
    let first = this.historyIndex(since);
    if (this.history[first] === since) first++;
    const old = this.history
      .slice(first, first + most + 1)
      .map((key) => ({ k: key, data: this.historyValue, mark: this.historyRevision }));
    const recent = [...this.entries]
      .filter(([key]) => key > since)
      .map(([key, { data, mark }]) => ({ k: key, data, mark }));
    const all = [...old, ...recent].filter(({ k }) => k.startsWith(prefix));
    all.sort((a, b) => (a.k < b.k ? -1 : 1));
    const items = all.slice(0, most);
    while (items.length > 1 && JSON.stringify(items).length > 512 * 1024) items.pop();
    return { status: 200, body: { items, more: all.length > items.length, ledger: this.revision } };
  }

  async follow(query) {
    const since = Number(query.get("since"));
    const until = now() + Math.min(60_000, Number(query.get("blockMs") ?? 0)) / 1000;
    for (;;) {
      while (this.isDown) await sleep(0.02);
      const oldest = this.log[0]?.mark ?? this.revision + 1;
      const isTruncated = this.log.length >= KEPT_CHANGES && since < oldest - 1;
      if (isTruncated) return { status: 410, body: { ledger: this.revision } };
      const log = this.log.slice(this.logIndexAfter(since));
      if (log.length > 0 || now() >= until) return { status: 200, body: { ledger: this.revision, log } };
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, 1000 * (until - now())));
        this.waiting.add(wake);
      });
    }
  }

  logIndexAfter(since) {
    let low = 0;
    let high = this.log.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.log[middle].mark <= since) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
