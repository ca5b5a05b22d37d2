/** Requests that wait, for a bounded time each, until the end of a job is stored. */
export class CompletionWaiters {
  private readonly waiters = new Map<string, Set<(isTerminal: boolean) => void>>();

  /** `isTerminal`: is the end of this job stored? */
  constructor(private readonly isTerminal: (id: string) => boolean) {}

  /** True as soon as the end is stored; false if it is not after `timeoutMs`. */
  waitFor(id: string, timeoutMs: number): Promise<boolean> {
    if (this.isTerminal(id)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiters = this.waiters.get(id) ?? new Set();
      this.waiters.set(id, waiters);
      const finish = (isTerminal: boolean): void => {
        clearTimeout(timer);
        waiters.delete(finish);
        if (waiters.size === 0 && this.waiters.get(id) === waiters) this.waiters.delete(id);
        resolve(isTerminal);
      };
      const timer = setTimeout(() => finish(false), timeoutMs);
      timer.unref();
      waiters.add(finish);
    });
  }

  /** The stored state of these jobs changed; null: that of any may have. */
  notifyChanged(ids: Iterable<string> | null): void {
    for (const id of [...(ids ?? this.waiters.keys())]) {
      const waiters = this.waiters.get(id);
      if (waiters === undefined || !this.isTerminal(id)) continue;
      for (const finish of [...waiters]) finish(true);
    }
  }
}
