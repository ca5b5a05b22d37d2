/** Collects the pages of a full read of the state service. */
import { FinalRecordTable } from "./final-record-table.js";
import type { KeyValueItem } from "./key-value.js";
import { decodeFinalRecord, parseKey } from "./stored-values.js";

/**
 * The pages of a full read. Final records, which are most of the keys, are kept in their compact form from the start: all
 * keys of five days in plain form did not fit the heap of a controller.
 */
export class ReplicaLoad {
  readonly finalRecords = new FinalRecordTable();
  /** All items but the final records, in the order in which they were read. */
  readonly otherItems: KeyValueItem[] = [];

  add(items: readonly KeyValueItem[]): void {
    for (const item of items) {
      const key = parseKey(item.key);
      if (key?.kind === "finalRecord") {
        this.finalRecords.set(key.id, decodeFinalRecord(item.value));
      } else {
        this.otherItems.push(item);
      }
    }
  }
}
