/** A set of task numbers kept as sorted, disjoint, closed ranges, written `0-5,7`. */
export class TaskRanges {
  private readonly ranges: [number, number][] = [];
  private count = 0;

  static parse(text: string): TaskRanges {
    const r = new TaskRanges();
    if (text === "") return r;
    for (const part of text.split(",")) {
      const [a, b] = part.split("-");
      const from = Number(a);
      const to = b === undefined ? from : Number(b);
      r.ranges.push([from, to]);
      r.count += to - from + 1;
    }
    return r;
  }

  static of(numbers: Iterable<number>): TaskRanges {
    const r = new TaskRanges();
    for (const n of [...numbers].sort((a, b) => a - b)) r.add(n);
    return r;
  }

  get size(): number {
    return this.count;
  }
  get rangeCount(): number {
    return this.ranges.length;
  }

  /** Index of the first span that ends at or after n. */
  private indexOfRangeEndingFrom(n: number): number {
    let lo = 0;
    let hi = this.ranges.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if (this.ranges[mid]![1] < n) lo = mid + 1;
      else hi = mid;
    }
    return lo;
  }

  has(n: number): boolean {
    const s = this.ranges[this.indexOfRangeEndingFrom(n)];
    return s !== undefined && s[0] <= n;
  }

  add(n: number): boolean {
    const i = this.indexOfRangeEndingFrom(n);
    const at = this.ranges[i];
    if (at !== undefined && at[0] <= n) return false;
    this.count++;
    const before = i > 0 ? this.ranges[i - 1] : undefined;
    const joinsBefore = before !== undefined && before[1] === n - 1;
    const joinsAfter = at !== undefined && at[0] === n + 1;
    if (joinsBefore && joinsAfter) {
      before[1] = at[1];
      this.ranges.splice(i, 1);
    } else if (joinsBefore) before[1] = n;
    else if (joinsAfter) at[0] = n;
    else this.ranges.splice(i, 0, [n, n]);
    return true;
  }

  /** Numbers below `limit` that are not in the set, in order. */
  *missing(limit: number): Generator<number> {
    let next = 0;
    for (const [a, b] of this.ranges) {
      for (; next < a && next < limit; next++) yield next;
      next = b + 1;
    }
    for (; next < limit; next++) yield next;
  }

  *[Symbol.iterator](): Generator<number> {
    for (const [a, b] of this.ranges) for (let n = a; n <= b; n++) yield n;
  }

  toString(): string {
    return this.ranges.map(([a, b]) => (a === b ? `${a}` : `${a}-${b}`)).join(",");
  }
}
