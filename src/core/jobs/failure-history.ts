/** Where the tasks of a job failed, and what is concluded from it. */

/** A job is suspected of failing on any machine. */
export interface Suspicion {
  /** When the suspicion arose, in seconds. */
  readonly since: number;
  /** Attempts that have failed since. */
  failedRetries: number;
}

/** Failures of one job, on which fault attribution decides. Not stored: a successor counts anew. */
export class FailureHistory {
  /** Machines on which a task of it ever failed; a few are enough to know. */
  readonly failedMachines = new Set<string>();
  /** The longest that a task of it ran before it failed, in seconds. */
  longestRunBeforeFailureS = 0;
  /** Null: nothing speaks against the job. */
  suspicion: Suspicion | null = null;
  /** Machines that the job avoids, and until when, in seconds. */
  private readonly avoidedMachines = new Map<string, number>();

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
