/**
 * A queue that serves groups of items in round-robin order, and the items of each group first in, first out. With one
 * group per team, a burst of submissions from one team does not delay those of other teams that wait for a
 * transaction on the same controller, even if no admission window limits the team yet.
 */
import type { PendingQueue } from "../api/pending-queue.js";

/** Serves groups of items in round-robin order. */
export class FairQueue<T> implements PendingQueue<T> {
  /** Non-empty groups, in the order in which they are served. */
  private readonly groups = new Map<string, T[]>();
  /** Items put back after a failed transaction. They are served before all groups, in array order. */
  private requeued: T[] = [];

  constructor(private readonly groupOf: (item: T) => string) {}

  get size(): number {
    let size = this.requeued.length;
    for (const items of this.groups.values()) size += items.length;
    return size;
  }

  push(item: T): void {
    const name = this.groupOf(item);
    const items = this.groups.get(name);
    if (items === undefined) {
      this.groups.set(name, [item]);
    } else {
      items.push(item);
    }
  }

  requeue(items: readonly T[]): void {
    this.requeued.unshift(...items);
  }

  peek(): T | undefined {
    return this.requeued[0] ?? this.groups.values().next().value?.[0];
  }

  shift(): T | undefined {
    if (this.requeued.length > 0) return this.requeued.shift();
    const first = this.groups.entries().next().value;
    if (first === undefined) return undefined;
    const [name, items] = first;
    const item = items.shift();
    // Reinserting the group moves it to the end of the service order.
    this.groups.delete(name);
    if (items.length > 0) this.groups.set(name, items);
    return item;
  }

  removeWhere(matches: (item: T) => boolean): T[] {
    const removed = this.requeued.filter(matches);
    this.requeued = this.requeued.filter((item) => !matches(item));
    for (const [name, items] of [...this.groups]) {
      const remaining = items.filter((item) => !matches(item));
      if (remaining.length === items.length) continue;
      removed.push(...items.filter(matches));
      if (remaining.length === 0) {
        this.groups.delete(name);
      } else {
        this.groups.set(name, remaining);
      }
    }
    return removed;
  }
}
