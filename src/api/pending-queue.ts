/** What waits for a transaction, in the order in which it is taken. */
export interface PendingQueue<T> {
  readonly size: number;
  push(item: T): void;
  /** Takes back what was taken and did not go: it goes before everything else, in this order. */
  requeue(items: readonly T[]): void;
  /** The next one, which stays. */
  peek(): T | undefined;
  shift(): T | undefined;
  /** Takes out all for which this holds. */
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
    const taken = this.items.filter(test);
    if (taken.length > 0) this.items = this.items.filter((item) => !test(item));
    return taken;
  }
}
