/** Requests that wait for the end of a job to be stored, for a bounded time each. */
export class CompletionWaiters {
  private readonly waiters = new Map<string, Set<(ended: boolean) => void>>();

  constructor(private readonly isTerminal: (id: string) => boolean) {}

  /** True as soon as the end is stored; false if it is not in time. */
  waitFor(id: string, withinMs: number): Promise<boolean> {
    if (this.isTerminal(id)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const of = this.waiters.get(id) ?? new Set();
      this.waiters.set(id, of);
      const finish = (ended: boolean): void => {
        clearTimeout(timer);
        of.delete(finish);
        if (of.size === 0 && this.waiters.get(id) === of) this.waiters.delete(id);
        resolve(ended);
      };
      const timer = setTimeout(() => finish(false), withinMs);
      timer.unref();
      of.add(finish);
    });
  }

  /** The records of these jobs changed; null: any may have. */
  notifyChanged(ids: Iterable<string> | null): void {
    for (const id of [...(ids ?? this.waiters.keys())]) {
      const of = this.waiters.get(id);
      if (of !== undefined && this.isTerminal(id)) for (const finish of [...of]) finish(true);
    }
  }
}
