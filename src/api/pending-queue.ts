/** The order in which submissions and cancellations wait for a transaction. */
export interface PendingQueue<T> {
  readonly size: number;

  push(item: T): void;

  /** Puts back items that were taken and not written: they come before all others, in this order. */
  requeue(items: readonly T[]): void;

  /** The next item, which stays in the queue. */
  peek(): T | undefined;

  shift(): T | undefined;

  /** Removes and returns all items for which the test holds. */
  removeWhere(test: (item: T) => boolean): T[];
}

/** First come, first served. */
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
