/**
 * Client of the state service, the consensus-backed key-value store that holds the cluster's state.
 *
 * A failed request is returned as a result; a method rejects only if a response body is not valid MessagePack.
 * Results distinguish requests that were certainly not executed from those that may have been executed.
 */
import type { Change, ChangeEvent, Precondition } from "../core/state/key-value.js";
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
  type KeyPage,
} from "../wire/key-value.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import type { PageResult } from "./full-read.js";

/** Maximum number of connections for requests that are answered immediately, and for blocking watches. */
const REQUEST_CONNECTIONS = 32;
const WATCH_CONNECTIONS = 4;
const KEYS_PER_PAGE = 1000;
/** Timeout of one page of a full read, as a multiple of the request timeout. */
const PAGE_TIMEOUT_FACTOR = 3;
/** Longest `Retry-After` that is observed, in seconds. A later answer must not be able to stop a full read. */
const MAXIMUM_RETRY_AFTER_S = 30;

/** Result of a transaction. */
export type TransactionResult =
  | { readonly kind: "ok"; readonly revision: number }
  /** Not executed, because the preconditions on these keys did not hold. */
  | { readonly kind: "failed"; readonly keys: readonly string[] }
  /**
   * Certainly not executed, because the transaction is invalid, a limit was exceeded, or the state service is
   * unavailable to this node. `status` is the HTTP status, or 0 if no request was sent.
   */
  | { readonly kind: "refused"; readonly status: number }
  /** May have been executed, or may still be executed later. */
  | { readonly kind: "unknown" };

/** Result of a watch. */
export type WatchResult =
  | { readonly kind: "ok"; readonly revision: number; readonly events: readonly ChangeEvent[] }
  /** The state service no longer keeps the changes since the requested revision; a full read is required. */
  | { readonly kind: "compacted" }
  | { readonly kind: "failed" };

/** Result of a request for a lease. */
export type LeaseGrant =
  | { readonly kind: "ok"; readonly leaseId: number }
  | { readonly kind: "failed" };

/** Result of a lease renewal. */
export type LeaseRenewal =
  | { readonly kind: "ok" }
  | { readonly kind: "expired" }
  /** No answer, or an inconclusive one; the lease may have been renewed. */
  | { readonly kind: "failed" };

type CallResult =
  | { readonly kind: "response"; readonly response: HttpResponse }
  | { readonly kind: "no response"; readonly mayHaveArrived: boolean };

interface Call {
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs?: number;
  readonly pool?: HttpConnectionPool;
}

const FAILED = { kind: "failed" } as const;

/** Sends requests to the state service. A missing answer is returned as a result. */
export class KeyValueClient {
  private readonly requestPool: HttpConnectionPool;
  private readonly watchPool: HttpConnectionPool;
  /** Monotonic time, in seconds, of the last answer with a status other than 429 and below 500. */
  lastAnswerAt = Number.NEGATIVE_INFINITY;

  constructor(
    address: string,
    private readonly now: () => number,
    private readonly timeoutMs: number,
  ) {
    this.requestPool = new HttpConnectionPool(address, REQUEST_CONNECTIONS);
    this.watchPool = new HttpConnectionPool(address, WATCH_CONNECTIONS);
  }

  /** Closes the connections. No request may be made afterwards. */
  close(): void {
    this.requestPool.close();
    this.watchPool.close();
  }

  /** Atomically applies all changes if all preconditions hold (compare-and-swap). */
  async transact(
    preconditions: readonly Precondition[],
    changes: readonly Change[],
  ): Promise<TransactionResult> {
    const body = encodeTransaction(preconditions, changes);
    const result = await this.call({ method: "POST", path: PATH.transactions, body });
    if (result.kind === "no response") {
      return result.mayHaveArrived ? { kind: "unknown" } : { kind: "refused", status: 0 };
    }
    const { response } = result;
    if (response.status !== 200 && response.status !== 409) {
      return { kind: "refused", status: response.status };
    }
    const decoded = decodeTransactionResult(decode(response.body));
    if (decoded === null) return { kind: "unknown" };
    if (response.status === 409) return { kind: "failed", keys: decoded.failedKeys };
    return { kind: "ok", revision: decoded.revision };
  }

  /** Reads the page of keys after `lastKey`, in the order of the keys; null: the first page. Never rejects. */
  async readPage(lastKey: string | null): Promise<PageResult> {
    const since = lastKey === null ? "" : `&since=${lastKey}`;
    const result = await this.call({
      method: "GET",
      path: `${PATH.keyValues}?prefix=${since}&most=${KEYS_PER_PAGE}`,
      timeoutMs: PAGE_TIMEOUT_FACTOR * this.timeoutMs,
    });
    if (result.kind === "no response") return { kind: "failed", retryAfterS: 0 };
    const { response } = result;
    const page = response.status === 200 ? decodePage(response.body) : null;
    if (page === null) return { kind: "failed", retryAfterS: retryAfterS(response) };
    return { kind: "ok", page };
  }

  /**
   * Reads the changes after a revision. If there are none, the state service waits up to `blockMs` milliseconds for
   * one.
   */
  async watch(revision: number, blockMs: number): Promise<WatchResult> {
    const result = await this.call({
      method: "GET",
      path: `${PATH.watch}?prefix=&since=${revision}&blockMs=${blockMs}`,
      timeoutMs: blockMs + this.timeoutMs,
      pool: blockMs > 0 ? this.watchPool : this.requestPool,
    });
    if (result.kind === "no response") return FAILED;
    const { response } = result;
    if (response.status === 410) return { kind: "compacted" };
    if (response.status !== 200) return FAILED;
    const decoded = decodeWatchResponse(decode(response.body));
    if (decoded === null) return FAILED;
    return { kind: "ok", revision: decoded.revision, events: decoded.events };
  }

  async grantLease(ttlMs: number): Promise<LeaseGrant> {
    const body = { ttlMs: Math.round(ttlMs) };
    const result = await this.call({ method: "POST", path: PATH.leases, body });
    if (result.kind === "no response" || result.response.status !== 200) return FAILED;
    const leaseId = decodeLease(decode(result.response.body));
    return leaseId === null ? FAILED : { kind: "ok", leaseId };
  }

  async extendLease(leaseId: number): Promise<LeaseRenewal> {
    const path = `${PATH.leases}/${leaseId}/${PATH.extend}`;
    const result = await this.call({ method: "POST", path });
    if (result.kind === "no response") return FAILED;
    switch (result.response.status) {
      case 200:
        return { kind: "ok" };
      case 404:
        return { kind: "expired" };
      default:
        return FAILED;
    }
  }

  /** Revokes a lease, best effort: if the request fails, the lease expires by itself. */
  async revokeLease(leaseId: number): Promise<void> {
    await this.call({ method: "DELETE", path: `${PATH.leases}/${leaseId}` });
  }

  private async call(call: Call): Promise<CallResult> {
    const { method, path, body, timeoutMs = this.timeoutMs, pool = this.requestPool } = call;
    try {
      const encoded = body === undefined ? null : encode(body);
      const response = await pool.request(method, path, encoded, timeoutMs);
      if (response.status < 500 && response.status !== 429) this.lastAnswerAt = this.now();
      return { kind: "response", response };
    } catch (error) {
      const mayHaveArrived = error instanceof RequestError ? error.mayHaveArrived : true;
      return { kind: "no response", mayHaveArrived };
    }
  }
}

/** Decodes a page of keys; null if the body is malformed. */
function decodePage(body: Buffer): KeyPage | null {
  try {
    return decodeRange(decode(body));
  } catch {
    return null;
  }
}

/** The seconds that the response asks to wait, from its `Retry-After`; 0 without one. */
function retryAfterS({ headers }: HttpResponse): number {
  const seconds = Number(headers.get("retry-after") ?? 0);
  return seconds > 0 ? Math.min(seconds, MAXIMUM_RETRY_AFTER_S) : 0;
}
