/** Messages of the state service. */
import * as z from "zod";

export type Stored = unknown;

export interface Condition {
  readonly key: string;
  readonly mark: number;
}
export type Change =
  | { readonly op: "put"; readonly key: string; readonly value: Stored; readonly lease?: number }
  | { readonly op: "delete"; readonly key: string };

export interface Item {
  readonly key: string;
  readonly value: Stored;
  readonly mark: number;
}
/** A change seen by following: a null value means that the key was removed. */
export interface Event {
  readonly key: string;
  readonly value: Stored | null;
  readonly removed: boolean;
  readonly mark: number;
}

export const encodeTxn = (conditions: readonly Condition[], changes: readonly Change[]) => ({
  if: conditions.map((c) => ({ k: c.key, mark: c.mark })),
  // biome-ignore lint/suspicious/noThenProperty: the protocol's name; it holds a list, no function
  then: changes.map((c) =>
    c.op === "put"
      ? { write: c.key, data: c.value, ...(c.lease === undefined ? {} : { tether: c.lease }) }
      : { remove: c.key },
  ),
});

type Fields = Record<string, unknown>;

const isFields = (x: unknown): x is Fields => typeof x === "object" && x !== null;

/** Each entry of a list decoded, or null if one of them is none. */
function decodeAll<T>(list: unknown, decodeOne: (entry: Fields) => T | null): T[] | null {
  if (!Array.isArray(list)) return null;
  const out: T[] = [];
  for (const entry of list) {
    const decoded = isFields(entry) ? decodeOne(entry) : null;
    if (decoded === null) return null;
    out.push(decoded);
  }
  return out;
}

// Ranges and changes are looked at field by field, as reports are: every node reads each change of the whole service.

function itemIn({ k, data, mark }: Fields): Item | null {
  if (typeof k !== "string" || typeof mark !== "number") return null;
  return { key: k, value: data, mark };
}

/** A page of keys. */
export function decodeRange(
  body: unknown,
): { items: Item[]; more: boolean; ledger: number } | null {
  if (!isFields(body)) return null;
  const { ledger } = body;
  const more = body.more ?? false;
  if (typeof ledger !== "number" || typeof more !== "boolean") return null;
  const items = decodeAll(body.items, itemIn);
  return items === null ? null : { items, more, ledger };
}

function eventIn({ write, remove, data, mark }: Fields): Event | null {
  const key = remove ?? write;
  if (typeof key !== "string" || typeof mark !== "number") return null;
  const removed = remove !== null && remove !== undefined;
  return { key, value: removed ? null : data, removed, mark };
}

/** Changes in their order. */
export function decodeFollow(body: unknown): { ledger: number; events: Event[] } | null {
  if (!isFields(body) || typeof body.ledger !== "number") return null;
  const events = decodeAll(body.log, eventIn);
  return events === null ? null : { ledger: body.ledger, events };
}

const txnIn = z.object({ ledger: z.number(), failed: z.array(z.string()).nullish() });
export function decodeTxn(body: unknown): { ledger: number; failed: string[] } | null {
  const r = txnIn.safeParse(body);
  return r.success ? { ledger: r.data.ledger, failed: r.data.failed ?? [] } : null;
}

const leaseIn = z.object({ tether: z.number() });
export function decodeLease(body: unknown): number | null {
  const r = leaseIn.safeParse(body);
  return r.success ? r.data.tether : null;
}
