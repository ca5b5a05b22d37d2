/** The state service, through its protocol. Tells apart what was not done from what may have been. */

import type { Change, ChangeEvent, KeyValueItem, Precondition } from "../core/state/key-value.js";
import {
  HttpConnectionPool,
  type HttpResponse,
  RequestError,
} from "../net/http-connection-pool.js";
import {
  decodeLease,
  decodeRange,
  decodeTransactionResult,
  decodeWatchResponse,
  encodeTransaction,
} from "../wire/key-value.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";

export type TransactionResult =
  | { readonly kind: "ok"; readonly revision: number }
  | { readonly kind: "failed"; readonly keys: readonly string[] }
  /** Certainly not executed: over a limit, or the service is not available to us. */
  | { readonly kind: "refused"; readonly status: number }
  /** May have been executed, or may yet be. */
  | { readonly kind: "unknown" };

export type WatchResult =
  | { readonly kind: "ok"; readonly revision: number; readonly events: readonly ChangeEvent[] }
  | { readonly kind: "compacted" }
  | { readonly kind: "failed" };

export class KeyValueClient {
  private readonly requestPool: HttpConnectionPool;
  private readonly watchPool: HttpConnectionPool;
  /** Steady time, in seconds, at which the service last answered other than by refusing. */
  lastAnswerAt = Number.NEGATIVE_INFINITY;

  constructor(
    address: string,
    private readonly now: () => number,
    private readonly timeoutMs: number,
  ) {
    this.requestPool = new HttpConnectionPool(address, 32);
    this.watchPool = new HttpConnectionPool(address, 4);
  }

  private async call(
    method: string,
    path: string,
    body: unknown,
    timeoutMs = this.timeoutMs,
    peer = this.requestPool,
  ): Promise<HttpResponse | { status: 0; sent: boolean }> {
    try {
      const r = await peer.request(
        method,
        path,
        body === undefined ? null : encode(body),
        timeoutMs,
      );
      if (r.status < 500 && r.status !== 429) this.lastAnswerAt = this.now();
      return r;
    } catch (e) {
      return { status: 0, sent: e instanceof RequestError ? e.mayHaveArrived : true };
    }
  }

  /** Closes its connections; nothing is asked of it any more. */
  close(): void {
    this.requestPool.close();
    this.watchPool.close();
  }

  async transact(
    conditions: readonly Precondition[],
    changes: readonly Change[],
  ): Promise<TransactionResult> {
    const r = await this.call("POST", PATH.transactions, encodeTransaction(conditions, changes));
    if (r.status === 0) {
      return (r as { sent: boolean }).sent ? { kind: "unknown" } : { kind: "refused", status: 0 };
    }
    if (r.status === 200 || r.status === 409) {
      const t = decodeTransactionResult(decode((r as HttpResponse).body));
      if (t === null) return { kind: "unknown" };
      return r.status === 200
        ? { kind: "ok", revision: t.revision }
        : { kind: "failed", keys: t.failedKeys };
    }
    return { kind: "refused", status: r.status };
  }

  /** Everything, page by page, with the revision before the first page. */
  async readAll(): Promise<{ items: KeyValueItem[]; revision: number } | null> {
    const items: KeyValueItem[] = [];
    let revision = -1;
    let since: string | null = null;
    for (;;) {
      const from: string = since === null ? "" : `&since=${since}`;
      const r = await this.call(
        "GET",
        `${PATH.keyValues}?prefix=${from}&most=1000`,
        undefined,
        3 * this.timeoutMs,
      );
      if (r.status !== 200) return null;
      const page = decodeRange(decode((r as HttpResponse).body));
      if (page === null) return null;
      if (revision < 0) revision = page.revision;
      for (const i of page.items) items.push(i);
      if (!page.more || page.items.length === 0) return { items, revision };
      since = page.items[page.items.length - 1]!.key;
    }
  }

  async watch(since: number, blockMs: number): Promise<WatchResult> {
    const r = await this.call(
      "GET",
      `${PATH.watch}?prefix=&since=${since}&blockMs=${blockMs}`,
      undefined,
      blockMs + this.timeoutMs,
      blockMs > 0 ? this.watchPool : this.requestPool,
    );
    if (r.status === 410) return { kind: "compacted" };
    if (r.status !== 200) return { kind: "failed" };
    const f = decodeWatchResponse(decode((r as HttpResponse).body));
    return f === null ? { kind: "failed" } : { kind: "ok", revision: f.revision, events: f.events };
  }

  async grantLease(ttlMs: number): Promise<number | null> {
    const r = await this.call("POST", PATH.leases, { ttlMs: Math.round(ttlMs) });
    return r.status === 200 ? decodeLease(decode((r as HttpResponse).body)) : null;
  }

  async extendLease(lease: number): Promise<"ok" | "ended" | "failed"> {
    const r = await this.call("POST", `${PATH.leases}/${lease}/${PATH.extend}`, undefined);
    return r.status === 200 ? "ok" : r.status === 404 ? "ended" : "failed";
  }

  async revokeLease(lease: number): Promise<void> {
    await this.call("DELETE", `${PATH.leases}/${lease}`, undefined);
  }
}
