/** Where the tasks of a job failed, and what is concluded from it. */

/** Since when a job is suspected of failing everywhere, and tries that have failed since. */
export interface Suspicion {
  readonly since: number;
  failedRetries: number;
}

export class FailureHistory {
  /** Machines on which a task of it failed, and until when it keeps off them. */
  private readonly avoidedMachines = new Map<string, number>();
  /** Machines on which a task of it ever failed; a few are enough to know. */
  readonly failedMachines = new Set<string>();
  /** The longest that a task of it ran before it failed, in seconds. */
  longestRunBeforeFailureS = 0;
  /** It fails wherever it goes, as far as is known. */
  suspicion: Suspicion | null = null;

  avoid(machine: string, until: number): void {
    this.avoidedMachines.set(machine, until);
  }

  /** A task of it failed there a while ago. */
  avoids(machine: string, now: number): boolean {
    const until = this.avoidedMachines.get(machine);
    if (until === undefined) return false;
    if (now < until) return true;
    this.avoidedMachines.delete(machine);
    return false;
  }
}
