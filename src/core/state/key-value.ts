/**
 * Data types of the state service, the consensus-backed key-value store that holds the cluster's state. The core and
 * all adapters use these types. `wire/key-value.ts` converts them to the field names on the wire.
 */

/** A stored value. Its type depends on the key; the code that reads a key knows the type. */
export type StoredValue = unknown;

/** Condition on one key under which a transaction (a compare-and-swap) is committed. */
export interface Precondition {
  readonly key: string;
  /** Required mod revision of the key; 0 requires that the key does not exist. */
  readonly modRevision: number;
}

/** One change in a transaction. */
export type Change =
  | {
      readonly op: "put";
      readonly key: string;
      readonly value: StoredValue;
      /** Id of the lease with which the key expires. */
      readonly lease?: number;
    }
  | { readonly op: "delete"; readonly key: string };

/** A stored key with its value. */
export interface KeyValueItem {
  readonly key: string;
  readonly value: StoredValue;
  /** Revision of the state service at which the key was last changed. */
  readonly modRevision: number;
}

/** A change of one key, as reported by a watch. */
export interface ChangeEvent {
  readonly key: string;
  /** Null if the key was removed. */
  readonly value: StoredValue | null;
  readonly removed: boolean;
  readonly modRevision: number;
}
