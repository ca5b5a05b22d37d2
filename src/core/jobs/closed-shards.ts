/** The closed shards of a large job: those whose tasks are all done, and that have no stored value of their own. */

/** A set of shard indexes that counts the ranges of consecutive ones, which a job's own value lists. */
export class ClosedShards {
  private readonly indexes = new Set<number>();
  private ranges = 0;

  /** Number of ranges of consecutive indexes. */
  get rangeCount(): number {
    return this.ranges;
  }

  get size(): number {
    return this.indexes.size;
  }

  has(index: number): boolean {
    return this.indexes.has(index);
  }

  add(index: number): void {
    this.ranges = this.rangeCountWith(index);
    this.indexes.add(index);
  }

  /** Number of ranges once the shard with this index is closed too. */
  rangeCountWith(index: number): number {
    if (this.indexes.has(index)) return this.ranges;
    const neighbours = Number(this.indexes.has(index - 1)) + Number(this.indexes.has(index + 1));
    return this.ranges + 1 - neighbours;
  }
}
