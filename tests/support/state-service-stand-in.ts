/** An in-memory stand-in for the state service: a key-value store with transactions, leases and watches. */

import type { Change, ChangeEvent } from "../../src/core/state/key-value.js";
import {
  decodeTransaction,
  encodeLease,
  encodeRange,
  encodeTransactionResult,
  encodeWatchResponse,
  type Transaction,
} from "../../src/wire/inverse-codecs.js";
import { PATH } from "../../src/wire/names.js";
import type { RequestRateLimit } from "./request-rate-limit.js";
import { type StandInResponse, StandInServer, UNAVAILABLE } from "./stand-in-server.js";
import { StateServiceProxy } from "./state-service-proxy.js";

/** A stored value and the lease that it is attached to, if any. */
interface StoredEntry {
  readonly value: unknown;
  readonly modRevision: number;
  readonly lease: number | null;
}

interface Lease {
  readonly ttlMs: number;
  readonly timer: NodeJS.Timeout;
}

const TOO_MANY_REQUESTS: StandInResponse = { status: 429, body: { error: "too many requests" } };
const NOT_FOUND: StandInResponse = { status: 404, body: {} };
const ok = (body: unknown): StandInResponse => ({ status: 200, body });
const badRequest = (error: string): StandInResponse => ({ status: 400, body: { error } });

/** Linearizable, because all requests operate on one map in one process. */
export class StateServiceStandIn {
  readonly entries = new Map<string, StoredEntry>();
  /** Number of changes applied to each key. */
  readonly changeCounts = new Map<string, number>();
  /** Transactions that exceed these limits are rejected. */
  limits = { valueBytes: Number.POSITIVE_INFINITY, txnOps: Number.POSITIVE_INFINITY };
  /** Number of transactions that were rejected because they exceeded the limits. */
  rejectedTransactionCount = 0;
  /** Whether all requests are answered with 503. Open watches stay open. */
  isUnavailable = false;
  /** Requests beyond this rate, with a burst of one second's worth, are answered with 429. Null: no limit. */
  requestLimit: RequestRateLimit | null = null;
  /** Number of pages of keys that were read. */
  pageReadCount = 0;
  private readonly changeLog: ChangeEvent[] = [];
  private readonly leases = new Map<number, Lease>();
  private readonly watchers = new Set<() => void>();
  private readonly proxies: StateServiceProxy[] = [];
  private readonly server = new StandInServer((...request) => this.handle(...request));
  /** The keys of `entries` in order; null after a change. */
  private sortedKeys: string[] | null = null;
  private nextLeaseId = 1;
  private revision = 1;

  get address(): string {
    return this.server.address;
  }

  /** All changes so far, in order. */
  get history(): readonly ChangeEvent[] {
    return this.changeLog;
  }

  start(): Promise<void> {
    return this.server.start();
  }

  /** Stores values as if they had been written before. */
  seed(values: Iterable<readonly [key: string, value: unknown]>): void {
    this.revision++;
    for (const [key, value] of values) {
      this.entries.set(key, { value, modRevision: this.revision, lease: null });
    }
    this.sortedKeys = null;
  }

  /** Starts a proxy for one node, in which a test can inject faults for this node only. */
  async openProxy(): Promise<StateServiceProxy> {
    const proxy = new StateServiceProxy((...request) => this.handle(...request));
    await proxy.start();
    this.proxies.push(proxy);
    return proxy;
  }

  stop(): void {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.server.stop();
    for (const proxy of this.proxies) proxy.stop();
  }

  private async handle(method: string, url: URL, body: unknown): Promise<StandInResponse> {
    if (this.isUnavailable) return UNAVAILABLE;
    if (this.requestLimit?.take() === false) return TOO_MANY_REQUESTS;
    const { pathname, searchParams } = url;
    if (pathname === PATH.leases && method === "POST") return this.grantLease(body);
    if (pathname.startsWith(`${PATH.leases}/`)) return this.extendOrRevokeLease(method, pathname);
    if (pathname === PATH.transactions) return this.transact(decodeTransaction(body));
    if (pathname === PATH.keyValues) return this.readRange(searchParams);
    if (pathname === PATH.watch) return await this.watch(searchParams);
    return NOT_FOUND;
  }

  private grantLease(body: unknown): StandInResponse {
    const { ttlMs } = body as { ttlMs: number };
    if (!Number.isInteger(ttlMs)) return badRequest("ttlMs is not an integer");
    const id = this.nextLeaseId++;
    this.startLeaseTimer(id, ttlMs);
    return ok(encodeLease(id));
  }

  /** Extends the lease, or revokes it if the method is DELETE. */
  private extendOrRevokeLease(method: string, path: string): StandInResponse {
    const id = Number(path.split("/")[2]);
    const lease = this.leases.get(id);
    if (lease === undefined) return NOT_FOUND;
    clearTimeout(lease.timer);
    if (method === "DELETE") this.expireLease(id);
    else this.startLeaseTimer(id, lease.ttlMs);
    return ok({});
  }

  private startLeaseTimer(id: number, ttlMs: number): void {
    const timer = setTimeout(() => this.expireLease(id), ttlMs);
    timer.unref();
    this.leases.set(id, { ttlMs, timer });
  }

  private expireLease(id: number): void {
    const lease = this.leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    this.revision++;
    for (const [key, entry] of [...this.entries]) {
      if (entry.lease === id) this.applyChange({ op: "delete", key });
    }
    this.notifyWatchers();
  }

  private readRange(query: URLSearchParams): StandInResponse {
    this.pageReadCount++;
    const prefix = query.get("prefix") ?? "";
    const since = query.get("since") ?? "";
    const limit = Number(query.get("most") ?? "");
    const matches = this.keysInOrder().filter((key) => key.startsWith(prefix) && key > since);
    const items = matches.slice(0, limit).map((key) => {
      const { value, modRevision } = this.entries.get(key)!;
      return { key, value, modRevision };
    });
    return ok(encodeRange(items, matches.length > limit, this.revision));
  }

  private keysInOrder(): readonly string[] {
    if (this.sortedKeys?.length !== this.entries.size) {
      this.sortedKeys = [...this.entries.keys()].sort();
    }
    return this.sortedKeys;
  }

  private async watch(query: URLSearchParams): Promise<StandInResponse> {
    const since = Number(query.get("since") ?? "");
    const blockMs = Number(query.get("blockMs") ?? "");
    if (this.changesSince(since).length === 0 && blockMs > 0) await this.waitForChange(blockMs);
    return ok(encodeWatchResponse(this.changesSince(since), this.revision));
  }

  private changesSince(revision: number): ChangeEvent[] {
    return this.changeLog.filter(({ modRevision }) => modRevision > revision);
  }

  private async waitForChange(timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      timer.unref();
      this.watchers.add(wake);
    });
  }

  private notifyWatchers(): void {
    for (const wake of [...this.watchers]) wake();
  }

  private transact({ preconditions, changes }: Transaction): StandInResponse {
    if (changes.some((change) => this.hasUnknownLease(change))) return badRequest("no such lease");
    if (this.exceedsLimits(changes)) {
      this.rejectedTransactionCount++;
      return badRequest("transaction exceeds the limits");
    }
    const failedKeys = preconditions
      .filter(({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) !== modRevision)
      .map(({ key }) => key);
    if (failedKeys.length > 0) {
      return { status: 409, body: encodeTransactionResult(this.revision, failedKeys) };
    }
    this.revision++;
    for (const change of changes) this.applyChange(change);
    this.notifyWatchers();
    return ok(encodeTransactionResult(this.revision, []));
  }

  private hasUnknownLease(change: Change): boolean {
    return change.op === "put" && change.lease !== undefined && !this.leases.has(change.lease);
  }

  private exceedsLimits(changes: readonly Change[]): boolean {
    const { valueBytes, txnOps } = this.limits;
    if (changes.length > txnOps) return true;
    return changes.some(
      (change) =>
        change.op === "put" &&
        change.value !== undefined &&
        JSON.stringify(change.value).length > valueBytes,
    );
  }

  private applyChange(change: Change): void {
    const { key } = change;
    const modRevision = this.revision;
    this.sortedKeys = null;
    if (change.op === "delete") {
      this.entries.delete(key);
      this.changeLog.push({ key, value: null, removed: true, modRevision });
    } else {
      const { value, lease = null } = change;
      this.entries.set(key, { value, modRevision, lease });
      this.changeLog.push({ key, value, removed: false, modRevision });
    }
    this.changeCounts.set(key, (this.changeCounts.get(key) ?? 0) + 1);
  }
}
