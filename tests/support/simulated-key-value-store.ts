/** The state service of the simulation: conditional transactions and what changed since a revision. */

import type {
  Change,
  ChangeEvent,
  KeyValueItem,
  Precondition,
} from "../../src/core/state/key-value.js";
import { StateReplica } from "../../src/core/state/state-replica.js";

export class SimulatedKeyValueStore {
  private readonly entries = new Map<string, { value: unknown; modRevision: number }>();
  private readonly changeLog: ChangeEvent[] = [];
  revision = 1;
  /** What is stored now, as a node sees it that has caught up. */
  readonly replica = new StateReplica();

  constructor() {
    this.replica.reset([], 0);
  }

  /** Carries the changes out if all conditions hold. */
  commit(conditions: readonly Precondition[], changes: readonly Change[]): boolean {
    for (const c of conditions) {
      if ((this.entries.get(c.key)?.modRevision ?? 0) !== c.modRevision) return false;
    }
    this.revision++;
    const events = changes.map((c) => this.applyChange(c));
    this.changeLog.push(...events);
    this.replica.apply(events, this.revision);
    return true;
  }

  private applyChange(c: Change): ChangeEvent {
    const value = c.op === "put" ? JSON.parse(JSON.stringify(c.value)) : null;
    if (c.op === "put") this.entries.set(c.key, { value, modRevision: this.revision });
    else this.entries.delete(c.key);
    return { key: c.key, value, removed: c.op === "delete", modRevision: this.revision };
  }

  changesSince(revision: number): ChangeEvent[] {
    let from = this.changeLog.length;
    while (from > 0 && this.changeLog[from - 1]!.modRevision > revision) from--;
    return this.changeLog.slice(from);
  }

  items(): KeyValueItem[] {
    return [...this.entries].map(([key, entry]) => ({ key, ...entry }));
  }
}
