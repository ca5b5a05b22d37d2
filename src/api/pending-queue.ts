/** A queue of submissions and cancellations that wait for a transaction. Each implementation defines its order. */
export interface PendingQueue<T> {
  readonly size: number;

  push(item: T): void;

  /** Returns items to the front of the queue, in the given order. They had been removed, but were not stored. */
  requeue(items: readonly T[]): void;

  /** Returns the next item without removing it. */
  peek(): T | undefined;

  shift(): T | undefined;

  /** Removes and returns all items for which `test` returns true. */
  removeWhere(test: (item: T) => boolean): T[];
}

/** A first-in, first-out queue. */
export class FifoQueue<T> implements PendingQueue<T> {
  private items: T[] = [];

  get size(): number {
    return this.items.length;
  }

  push(item: T): void {
    this.items.push(item);
  }

  requeue(items: readonly T[]): void {
    this.items.unshift(...items);
  }

  peek(): T | undefined {
    return this.items[0];
  }

  shift(): T | undefined {
    return this.items.shift();
  }

  removeWhere(test: (item: T) => boolean): T[] {
    const removed = this.items.filter(test);
    if (removed.length > 0) this.items = this.items.filter((item) => !test(item));
    return removed;
  }
}
