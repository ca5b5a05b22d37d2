/** Requests that wait for the end of a job to be stored, for a bounded time each. */
export class Ends {
  private readonly waiting = new Map<string, Set<(ended: boolean) => void>>();

  constructor(private readonly ended: (id: string) => boolean) {}

  /** True as soon as the end is stored; false if it is not in time. */
  wait(id: string, withinMs: number): Promise<boolean> {
    if (this.ended(id)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const of = this.waiting.get(id) ?? new Set();
      this.waiting.set(id, of);
      const finish = (ended: boolean): void => {
        clearTimeout(timer);
        of.delete(finish);
        if (of.size === 0 && this.waiting.get(id) === of) this.waiting.delete(id);
        resolve(ended);
      };
      const timer = setTimeout(() => finish(false), withinMs);
      timer.unref();
      of.add(finish);
    });
  }

  /** The records of these jobs changed; null: any may have. */
  changed(ids: Iterable<string> | null): void {
    for (const id of [...(ids ?? this.waiting.keys())]) {
      const of = this.waiting.get(id);
      if (of !== undefined && this.ended(id)) for (const finish of [...of]) finish(true);
    }
  }
}
