/** Lets requests wait, each with a timeout, until the final state of a job is stored. */
export class CompletionWaiters {
  private readonly waiters = new Map<string, Set<(isTerminal: boolean) => void>>();

  /** `isTerminal` reports whether the final state of a job is stored. */
  constructor(private readonly isTerminal: (id: string) => boolean) {}

  /** Resolves to true as soon as the job's final state is stored, or to false after `timeoutMs`. */
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

  /** To be called after the stored state of these jobs changed; null means that any job may have changed. */
  notifyChanged(ids: Iterable<string> | null): void {
    for (const id of [...(ids ?? this.waiters.keys())]) {
      const waiters = this.waiters.get(id);
      if (waiters === undefined || !this.isTerminal(id)) continue;
      for (const finish of [...waiters]) finish(true);
    }
  }
}
