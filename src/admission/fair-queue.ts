/**
 * A queue that serves groups in turn (round robin), each first come, first served. Until a window limits a team, its
 * burst must not hold up the submissions of others that wait for their transaction at the same node.
 */
import type { PendingQueue } from "../api/pending-queue.js";

export class FairQueue<T> implements PendingQueue<T> {
  /** Groups with anything in them; the first is served next. */
  private readonly groups = new Map<string, T[]>();
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
    if (items === undefined) this.groups.set(name, [item]);
    else items.push(item);
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
    // Served: its group goes behind the others.
    this.groups.delete(name);
    if (items.length > 0) this.groups.set(name, items);
    return item;
  }

  removeWhere(test: (item: T) => boolean): T[] {
    const taken = this.requeued.filter(test);
    this.requeued = this.requeued.filter((item) => !test(item));
    for (const [name, items] of [...this.groups]) {
      const left = items.filter((item) => !test(item));
      if (left.length === items.length) continue;
      taken.push(...items.filter(test));
      if (left.length === 0) this.groups.delete(name);
      else this.groups.set(name, left);
    }
    return taken;
  }
}
