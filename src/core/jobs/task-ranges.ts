/** A set of task numbers, stored as sorted, disjoint ranges that include both ends, and formatted like `0-5,7`. */
export class TaskRanges {
  private readonly ranges: [first: number, last: number][] = [];
  private count = 0;

  /** Parses the format of `toString`. The ranges must be sorted and disjoint, which is not checked. */
  static parse(text: string): TaskRanges {
    const parsed = new TaskRanges();
    if (text === "") return parsed;
    for (const range of text.split(",")) {
      const [firstText, lastText] = range.split("-");
      const first = Number(firstText);
      const last = lastText === undefined ? first : Number(lastText);
      parsed.ranges.push([first, last]);
      parsed.count += last - first + 1;
    }
    return parsed;
  }

  static of(tasks: Iterable<number>): TaskRanges {
    const ranges = new TaskRanges();
    for (const task of [...tasks].sort((a, b) => a - b)) ranges.add(task);
    return ranges;
  }

  /** Number of tasks in the set. */
  get size(): number {
    return this.count;
  }

  get rangeCount(): number {
    return this.ranges.length;
  }

  has(task: number): boolean {
    const range = this.ranges[this.firstRangeEndingAtOrAfter(task)];
    return range !== undefined && range[0] <= task;
  }

  /** Adds a task. Returns false if it was already in the set. */
  add(task: number): boolean {
    const index = this.firstRangeEndingAtOrAfter(task);
    const next = this.ranges[index];
    if (next !== undefined && next[0] <= task) return false;
    this.count++;
    const previous = index > 0 ? this.ranges[index - 1] : undefined;
    const joinsPrevious = previous !== undefined && previous[1] === task - 1;
    const joinsNext = next !== undefined && next[0] === task + 1;
    if (joinsPrevious && joinsNext) {
      previous[1] = next[1];
      this.ranges.splice(index, 1);
    } else if (joinsPrevious) {
      previous[1] = task;
    } else if (joinsNext) {
      next[0] = task;
    } else {
      this.ranges.splice(index, 0, [task, task]);
    }
    return true;
  }

  /** Task numbers below `limit` that are not in the set, in ascending order. */
  *missing(limit: number): Generator<number> {
    let task = 0;
    for (const [first, last] of this.ranges) {
      for (; task < first && task < limit; task++) yield task;
      task = last + 1;
    }
    for (; task < limit; task++) yield task;
  }

  /** Task numbers in the set, in ascending order. */
  *[Symbol.iterator](): Generator<number> {
    for (const [first, last] of this.ranges) {
      for (let task = first; task <= last; task++) yield task;
    }
  }

  toString(): string {
    return this.ranges
      .map(([first, last]) => (first === last ? `${first}` : `${first}-${last}`))
      .join(",");
  }

  /** Index of the first range that ends at or after the task; `ranges.length` if there is none. */
  private firstRangeEndingAtOrAfter(task: number): number {
    let low = 0;
    let high = this.ranges.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.ranges[middle]![1] < task) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
