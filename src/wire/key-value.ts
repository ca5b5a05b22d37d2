/**
 * Codecs of the state service's API, between its field names and the types of `core/state/key-value.ts`. On the wire,
 * the `modRevision` of a key is called `mark`, and the `revision` of the state service is called `ledger`.
 *
 * Like heartbeats, pages of keys and changes are validated field by field instead of with a schema, because every
 * node reads every change.
 */
import * as z from "zod";
import type { Change, ChangeEvent, KeyValueItem, Precondition } from "../core/state/key-value.js";
import { decodeList, isObject } from "./fields.js";

const encodeChange = (change: Change) =>
  change.op === "put"
    ? {
        write: change.key,
        data: change.value,
        ...(change.lease === undefined ? {} : { tether: change.lease }),
      }
    : { remove: change.key };

/** Encodes a compare-and-swap: the changes are made atomically, and only if all preconditions hold. */
export const encodeTransaction = (
  preconditions: readonly Precondition[],
  changes: readonly Change[],
) => ({
  if: preconditions.map(({ key, modRevision }) => ({ k: key, mark: modRevision })),
  // biome-ignore lint/suspicious/noThenProperty: the protocol's field name; its value is an array, not a function
  then: changes.map(encodeChange),
});

function decodeItem(entry: unknown): KeyValueItem | null {
  if (!isObject(entry)) return null;
  const { k, data, mark } = entry;
  if (typeof k !== "string" || typeof mark !== "number") return null;
  return { key: k, value: data, modRevision: mark };
}

/** A page of keys, in the order of the keys. */
export interface KeyPage {
  readonly items: readonly KeyValueItem[];
  /** True if another page follows. */
  readonly more: boolean;
  /** Revision of the state service when the page was read. */
  readonly revision: number;
}

/** Decodes a page of keys; null if the body is malformed. */
export function decodeRange(body: unknown): KeyPage | null {
  if (!isObject(body)) return null;
  const { ledger } = body;
  const more = body.more ?? false;
  if (typeof ledger !== "number" || typeof more !== "boolean") return null;
  const items = decodeList(body.items, decodeItem);
  return items === null ? null : { items, more, revision: ledger };
}

function decodeEvent(entry: unknown): ChangeEvent | null {
  if (!isObject(entry)) return null;
  const { write, remove, data, mark } = entry;
  const key = remove ?? write;
  if (typeof key !== "string" || typeof mark !== "number") return null;
  const removed = remove !== null && remove !== undefined;
  // A removal carries no data.
  return { key, value: removed ? null : data, removed, modRevision: mark };
}

/** Changes in the order of their revisions, and the revision of the state service after them. */
export interface WatchBatch {
  readonly revision: number;
  readonly events: readonly ChangeEvent[];
}

/** Decodes the response to a watch; null if the body is malformed. */
export function decodeWatchResponse(body: unknown): WatchBatch | null {
  if (!isObject(body) || typeof body.ledger !== "number") return null;
  const events = decodeList(body.log, decodeEvent);
  return events === null ? null : { revision: body.ledger, events };
}

const transactionResultSchema = z.object({
  ledger: z.number(),
  failed: z.array(z.string()).nullish(),
});

/**
 * The response to a transaction: the revision of the state service, and the keys whose preconditions did not hold.
 */
export interface TransactionResult {
  readonly revision: number;
  readonly failedKeys: readonly string[];
}

/** Decodes the response to a transaction; null if the body is malformed. */
export function decodeTransactionResult(body: unknown): TransactionResult | null {
  const parsed = transactionResultSchema.safeParse(body);
  if (!parsed.success) return null;
  return { revision: parsed.data.ledger, failedKeys: parsed.data.failed ?? [] };
}

const leaseSchema = z.object({ tether: z.number() });

/** Decodes the id of a granted lease; null if the body is malformed. */
export function decodeLease(body: unknown): number | null {
  const parsed = leaseSchema.safeParse(body);
  return parsed.success ? parsed.data.tether : null;
}
