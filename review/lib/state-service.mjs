/**
 * A stand-in for the state service, after PROTOCOL "Controller nodes -> state service": pages, transactions, leases,
 * watches, the last 10,000 changes, and both rate limits with bursts of one second's worth.
 */
import { Bucket, decode, encode, serve, sleep } from "./wire.mjs";

const MAX_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const KEPT_CHANGES = 10_000;
const MAP_OF_THREE = Buffer.from([0x83]);

export class StateService {
  constructor({ rps, write_rps, value_kb, txn_ops }, latencyMs) {
    this.limits = { value_kb, txn_ops };
    this.latencyMs = latencyMs;
    this.requests = new Bucket(rps, 1);
    this.writes = new Bucket(write_rps, 1);
    this.entries = new Map();
    this.sortedKeys = null;
    this.pages = new Map();
    this.log = [];
    this.firstKept = 1; // Changes up to this revision are no longer kept.
    this.revision = 1;
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    /** Counts of answers by path and status, for the record. */
    this.counts = {};
  }

  async start() {
    this.server = await serve((...request) => this.answer(...request));
    this.address = this.server.address;
  }

  stop() {
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    this.server.close();
  }

  /** Puts keys that were written long ago. Only before any controller starts. */
  seed(items) {
    for (const [key, data] of items) {
      this.revision++;
      this.entries.set(key, { data, mark: this.revision, tether: null });
    }
    this.firstKept = this.revision;
    this.sortedKeys = null;
  }

  get(key) {
    return this.entries.get(key)?.data;
  }

  async answer(method, url, body) {
    const answer = await this.route(method, url, body);
    const kind = url.pathname.split("/")[1];
    const name = `${kind} ${answer.status}`;
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    await sleep(this.latencyMs);
    return answer;
  }

  async route(method, url, body) {
    if (!this.requests.take(1)) return { status: 429, body: { error: "too many requests" } };
    const { pathname, searchParams } = url;
    if (pathname === "/kv") return this.range(searchParams);
    if (pathname.startsWith("/kv/")) return this.read(pathname.slice(4));
    if (pathname === "/txn") return this.transact(body);
    if (pathname === "/leases") return this.grant(body);
    if (pathname.startsWith("/leases/")) return this.lease(method, pathname.split("/"));
    if (pathname === "/follow") return this.follow(searchParams);
    return { status: 400, body: { error: "no such path" } };
  }

  read(key) {
    const entry = this.entries.get(key);
    if (entry === undefined) return { status: 404, body: { ledger: this.revision } };
    return { status: 200, body: { k: key, data: entry.data, mark: entry.mark, tether: entry.tether } };
  }

  range(query) {
    const prefix = query.get("prefix") ?? "";
    const since = query.get("since") ?? "";
    const most = Math.min(MAX_ITEMS, Number(query.get("most") ?? MAX_ITEMS) || MAX_ITEMS);
    const name = `${prefix} ${since} ${most}`;
    let page = this.pages.get(name);
    if (page === undefined) {
      page = this.buildPage(prefix, since, most);
      this.pages.set(name, page);
    }
    const rest = [encode("more"), encode(page.more), encode("ledger"), encode(this.revision)];
    return { status: 200, body: Buffer.concat([MAP_OF_THREE, encode("items"), page.items, ...rest]) };
  }

  /** Builds a page. Pages are kept, encoded, until one of their keys changes, so that a page takes little time. */
  buildPage(prefix, since, most) {
    this.sortedKeys ??= [...this.entries.keys()].sort();
    const keys = this.sortedKeys;
    let low = 0;
    let high = keys.length;
    const from = since > prefix ? since : prefix;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (keys[middle] < from || (since !== "" && keys[middle] <= since)) low = middle + 1;
      else high = middle;
    }
    const items = [];
    let bytes = 0;
    let index = low;
    for (; index < keys.length && items.length < most; index++) {
      const key = keys[index];
      if (!key.startsWith(prefix)) break;
      const { data, mark } = this.entries.get(key);
      const item = { k: key, data, mark };
      bytes += JSON.stringify(item).length + 1;
      if (bytes > MAX_PAGE_BYTES && items.length > 0) break;
      items.push(item);
    }
    const more = index < keys.length && keys[index].startsWith(prefix);
    const last = more ? items[items.length - 1].k : "\uffff";
    return { items: encode(items), more, after: since, last };
  }

  dropPages(key) {
    for (const [name, { after, last }] of this.pages) {
      if (key > after && key <= last) this.pages.delete(name);
    }
  }

  transact({ if: conditions = [], then: changes = [] }) {
    if (!this.writes.take(changes.length)) return { status: 429, body: { error: "too many changes" } };
    const { value_kb, txn_ops } = this.limits;
    const tooLarge =
      changes.length > txn_ops ||
      conditions.length > 4 * txn_ops ||
      JSON.stringify({ if: conditions, then: changes }).length > 64 * 1024 ||
      changes.some(({ data }) => data !== undefined && JSON.stringify(data).length > value_kb * 1024);
    if (tooLarge) return { status: 400, body: { error: "too large" } };
    if (changes.some(({ tether }) => tether != null && !this.leases.has(tether))) {
      return { status: 400, body: { error: "no such lease" } };
    }
    const failed = conditions
      .filter(({ k, mark }) => (this.entries.get(k)?.mark ?? 0) !== mark)
      .map(({ k }) => k);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    if (changes.length > 0) {
      this.revision++;
      for (const { write, remove, data, tether } of changes) {
        if (write !== undefined) this.put(write, data, tether ?? null);
        else this.remove(remove);
      }
      this.changed();
    }
    return { status: 200, body: { ledger: this.revision } };
  }

  put(key, data, tether) {
    this.dropPages(key);
    if (!this.entries.has(key)) this.sortedKeys = null;
    const copy = decode(encode(data));
    this.entries.set(key, { data: copy, mark: this.revision, tether });
    this.log.push({ write: key, data: copy, mark: this.revision });
  }

  remove(key) {
    if (!this.entries.delete(key)) return;
    this.dropPages(key);
    this.sortedKeys = null;
    this.log.push({ remove: key, mark: this.revision });
  }

  changed() {
    while (this.log.length > KEPT_CHANGES) this.firstKept = this.log.shift().mark;
    for (const wake of [...this.watchers]) wake();
  }

  grant({ ttlMs } = {}) {
    if (!Number.isInteger(ttlMs) || ttlMs < 100 || ttlMs > 600_000) return { status: 400, body: {} };
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    return { status: 200, body: { tether: id } };
  }

  lease(method, [, , text, action]) {
    const id = Number(text);
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    clearTimeout(lease.timer);
    if (method === "DELETE") this.endLease(id);
    else if (action === "extend") lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    return { status: 200, body: { tether: id } };
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.entries].filter(([, entry]) => entry.tether === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.changed();
  }

  async follow(query) {
    const prefix = query.get("prefix") ?? "";
    const since = Number(query.get("since") ?? 0);
    const blockMs = Math.min(60_000, Number(query.get("blockMs") ?? 0));
    if (since < this.firstKept) return { status: 410, body: {} };
    const fresh = () => this.changesSince(since).filter((c) => (c.write ?? c.remove).startsWith(prefix));
    const deadline = performance.now() + blockMs;
    let log = fresh();
    while (log.length === 0 && performance.now() < deadline) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, deadline - performance.now());
        this.watchers.add(wake);
      });
      log = fresh();
    }
    return { status: 200, body: { ledger: this.revision, log } };
  }

  changesSince(revision) {
    let low = 0;
    let high = this.log.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.log[middle].mark <= revision) low = middle + 1;
      else high = middle;
    }
    return this.log.slice(low);
  }
}
