/** Messages of the state service. */
import * as z from "zod";
import type { Change, ChangeEvent, KeyValueItem, Precondition } from "../core/state/key-value.js";

export const encodeTransaction = (
  conditions: readonly Precondition[],
  changes: readonly Change[],
) => ({
  if: conditions.map((c) => ({ k: c.key, mark: c.modRevision })),
  // biome-ignore lint/suspicious/noThenProperty: the protocol's name; it holds a list, no function
  then: changes.map((c) =>
    c.op === "put"
      ? { write: c.key, data: c.value, ...(c.lease === undefined ? {} : { tether: c.lease }) }
      : { remove: c.key },
  ),
});

type WireFields = Record<string, unknown>;

const isWireFields = (x: unknown): x is WireFields => typeof x === "object" && x !== null;

/** Each entry of a list decoded, or null if one of them is none. */
function decodeAll<T>(list: unknown, decodeOne: (entry: WireFields) => T | null): T[] | null {
  if (!Array.isArray(list)) return null;
  const out: T[] = [];
  for (const entry of list) {
    const decoded = isWireFields(entry) ? decodeOne(entry) : null;
    if (decoded === null) return null;
    out.push(decoded);
  }
  return out;
}

// Ranges and changes are looked at field by field, as reports are: every node reads each change of the whole service.

function decodeItem({ k, data, mark }: WireFields): KeyValueItem | null {
  if (typeof k !== "string" || typeof mark !== "number") return null;
  return { key: k, value: data, modRevision: mark };
}

/** A page of keys. */
export function decodeRange(
  body: unknown,
): { items: KeyValueItem[]; more: boolean; ledger: number } | null {
  if (!isWireFields(body)) return null;
  const { ledger } = body;
  const more = body.more ?? false;
  if (typeof ledger !== "number" || typeof more !== "boolean") return null;
  const items = decodeAll(body.items, decodeItem);
  return items === null ? null : { items, more, ledger };
}

function decodeChangeEvent({ write, remove, data, mark }: WireFields): ChangeEvent | null {
  const key = remove ?? write;
  if (typeof key !== "string" || typeof mark !== "number") return null;
  const removed = remove !== null && remove !== undefined;
  return { key, value: removed ? null : data, removed, modRevision: mark };
}

/** Changes in their order. */
export function decodeWatchResponse(
  body: unknown,
): { ledger: number; events: ChangeEvent[] } | null {
  if (!isWireFields(body) || typeof body.ledger !== "number") return null;
  const events = decodeAll(body.log, decodeChangeEvent);
  return events === null ? null : { ledger: body.ledger, events };
}

const transactionResultSchema = z.object({
  ledger: z.number(),
  failed: z.array(z.string()).nullish(),
});
export function decodeTransactionResult(
  body: unknown,
): { ledger: number; failed: string[] } | null {
  const r = transactionResultSchema.safeParse(body);
  return r.success ? { ledger: r.data.ledger, failed: r.data.failed ?? [] } : null;
}

const leaseSchema = z.object({ tether: z.number() });
export function decodeLease(body: unknown): number | null {
  const r = leaseSchema.safeParse(body);
  return r.success ? r.data.tether : null;
}
