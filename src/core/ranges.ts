/** A set of task numbers kept as sorted, disjoint, closed ranges, written `0-5,7`. */
export class Ranges {
  private readonly spans: [number, number][] = [];
  private count = 0;

  static parse(text: string): Ranges {
    const r = new Ranges();
    if (text === "") return r;
    for (const part of text.split(",")) {
      const [a, b] = part.split("-");
      const from = Number(a);
      const to = b === undefined ? from : Number(b);
      r.spans.push([from, to]);
      r.count += to - from + 1;
    }
    return r;
  }

  static of(numbers: Iterable<number>): Ranges {
    const r = new Ranges();
    for (const n of [...numbers].sort((a, b) => a - b)) r.add(n);
    return r;
  }

  get size(): number {
    return this.count;
  }
  get spanCount(): number {
    return this.spans.length;
  }

  /** Index of the first span that ends at or after n. */
  private find(n: number): number {
    let lo = 0;
    let hi = this.spans.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if (this.spans[mid]![1] < n) lo = mid + 1;
      else hi = mid;
    }
    return lo;
  }

  has(n: number): boolean {
    const s = this.spans[this.find(n)];
    return s !== undefined && s[0] <= n;
  }

  add(n: number): boolean {
    const i = this.find(n);
    const at = this.spans[i];
    if (at !== undefined && at[0] <= n) return false;
    this.count++;
    const before = i > 0 ? this.spans[i - 1] : undefined;
    const joinsBefore = before !== undefined && before[1] === n - 1;
    const joinsAfter = at !== undefined && at[0] === n + 1;
    if (joinsBefore && joinsAfter) {
      before[1] = at[1];
      this.spans.splice(i, 1);
    } else if (joinsBefore) before[1] = n;
    else if (joinsAfter) at[0] = n;
    else this.spans.splice(i, 0, [n, n]);
    return true;
  }

  /** Numbers below `limit` that are not in the set, in order. */
  *missing(limit: number): Generator<number> {
    let next = 0;
    for (const [a, b] of this.spans) {
      for (; next < a && next < limit; next++) yield next;
      next = b + 1;
    }
    for (; next < limit; next++) yield next;
  }

  *[Symbol.iterator](): Generator<number> {
    for (const [a, b] of this.spans) for (let n = a; n <= b; n++) yield n;
  }

  toString(): string {
    return this.spans.map(([a, b]) => (a === b ? `${a}` : `${a}-${b}`)).join(",");
  }
}
