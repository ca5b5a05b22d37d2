/** Simulated state service with conditional transactions and the changes since a revision. */
import type {
  Change,
  ChangeEvent,
  KeyValueItem,
  Precondition,
} from "../../src/core/state/key-value.js";
import { StateReplica } from "../../src/core/state/state-replica.js";

/** An in-memory key-value store without leases. It never fails. */
export class SimulatedKeyValueStore {
  private readonly entries = new Map<string, { value: unknown; modRevision: number }>();
  private readonly changeLog: ChangeEvent[] = [];
  revision = 1;
  /** Replica that is always up to date. */
  readonly replica = new StateReplica();

  constructor() {
    this.replica.reset([], 0);
  }

  /** Commits the changes if all preconditions hold. Returns whether they were committed. */
  commit(preconditions: readonly Precondition[], changes: readonly Change[]): boolean {
    for (const { key, modRevision } of preconditions) {
      if ((this.entries.get(key)?.modRevision ?? 0) !== modRevision) return false;
    }
    this.revision++;
    const events = changes.map((change) => this.applyChange(change));
    this.changeLog.push(...events);
    this.replica.apply(events, this.revision);
    return true;
  }

  /** The changes after a revision, in order. */
  changesSince(revision: number): ChangeEvent[] {
    let from = this.changeLog.length;
    while (from > 0 && this.changeLog[from - 1]!.modRevision > revision) from--;
    return this.changeLog.slice(from);
  }

  /** All stored items. */
  items(): KeyValueItem[] {
    return [...this.entries].map(([key, entry]) => ({ key, ...entry }));
  }

  private applyChange(change: Change): ChangeEvent {
    const { key } = change;
    const modRevision = this.revision;
    if (change.op === "delete") {
      this.entries.delete(key);
      return { key, value: null, removed: true, modRevision };
    }
    // Stores a copy, as a store behind a network connection does.
    const value: unknown = JSON.parse(JSON.stringify(change.value));
    this.entries.set(key, { value, modRevision });
    return { key, value, removed: false, modRevision };
  }
}
