/**
 * The terms of the consensus-backed key-value store that holds the state: what the core and every adapter speak. The codec
 * to the names on the wire is `wire/key-value.ts`.
 */

/** A value as it is stored; whoever reads a key knows its shape. */
export type StoredValue = unknown;

/** What a transaction (a compare-and-swap) requires of a key. */
export interface Precondition {
  readonly key: string;
  /** The key's mod revision must be this one; 0: the key must not exist. */
  readonly modRevision: number;
}

/** One change that a transaction makes. */
export type Change =
  | {
      readonly op: "put";
      readonly key: string;
      readonly value: StoredValue;
      /** The key is removed when this lease expires. */
      readonly lease?: number;
    }
  | { readonly op: "delete"; readonly key: string };

/** A key as it is stored. */
export interface KeyValueItem {
  readonly key: string;
  readonly value: StoredValue;
  /** The store's revision at which the key was last changed. */
  readonly modRevision: number;
}

/** A change seen by watching. */
export interface ChangeEvent {
  readonly key: string;
  /** Null if the key was removed. */
  readonly value: StoredValue | null;
  readonly removed: boolean;
  readonly modRevision: number;
}
