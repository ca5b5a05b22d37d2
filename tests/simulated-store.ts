/** The state service of the simulation: conditional transactions and what changed since a revision. */
import { Records } from "../src/core/records.js";
import type { Change, Condition, Event, Item } from "../src/wire/state.js";

export class SimulatedStore {
  private readonly keys = new Map<string, { value: unknown; mark: number }>();
  private readonly log: Event[] = [];
  revision = 1;
  /** What is stored now, as a node sees it that has caught up. */
  readonly records = new Records();

  constructor() {
    this.records.reset([], 0);
  }

  /** Carries the changes out if all conditions hold. */
  commit(conditions: readonly Condition[], changes: readonly Change[]): boolean {
    for (const c of conditions) {
      if ((this.keys.get(c.key)?.mark ?? 0) !== c.mark) return false;
    }
    this.revision++;
    const events = changes.map((c) => this.change(c));
    this.log.push(...events);
    this.records.apply(events, this.revision);
    return true;
  }

  private change(c: Change): Event {
    const value = c.op === "put" ? JSON.parse(JSON.stringify(c.value)) : null;
    if (c.op === "put") this.keys.set(c.key, { value, mark: this.revision });
    else this.keys.delete(c.key);
    return { key: c.key, value, removed: c.op === "delete", mark: this.revision };
  }

  changesSince(revision: number): Event[] {
    let from = this.log.length;
    while (from > 0 && this.log[from - 1]!.mark > revision) from--;
    return this.log.slice(from);
  }

  items(): Item[] {
    return [...this.keys].map(([key, entry]) => ({ key, ...entry }));
  }
}
