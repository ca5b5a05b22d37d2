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

const item = z
  .object({ k: z.string(), data: z.unknown(), mark: z.number() })
  .transform((i): Item => ({ key: i.k, value: i.data, mark: i.mark }));
const rangeIn = z.object({ items: z.array(item), more: z.boolean().nullish(), ledger: z.number() });
export function decodeRange(
  body: unknown,
): { items: Item[]; more: boolean; ledger: number } | null {
  const r = rangeIn.safeParse(body);
  return r.success
    ? { items: r.data.items, more: r.data.more ?? false, ledger: r.data.ledger }
    : null;
}

const followIn = z.object({
  ledger: z.number(),
  log: z.array(
    z
      .object({
        write: z.string().nullish(),
        remove: z.string().nullish(),
        // A removal carries no value, and a key of unknown content is required unless said.
        data: z.unknown().optional(),
        mark: z.number(),
      })
      .transform((e): Event => {
        const removed = e.remove !== null && e.remove !== undefined;
        return {
          key: (removed ? e.remove : e.write) ?? "",
          value: removed ? null : e.data,
          removed,
          mark: e.mark,
        };
      }),
  ),
});
export function decodeFollow(body: unknown): { ledger: number; events: Event[] } | null {
  const r = followIn.safeParse(body);
  return r.success ? { ledger: r.data.ledger, events: r.data.log } : null;
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
