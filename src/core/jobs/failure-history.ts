/** Records the machines on which tasks of a job failed, and the conclusions drawn from these failures. */

/** The suspicion that a job fails on any machine. */
export interface Suspicion {
  /** Time at which the suspicion arose, in seconds. */
  readonly since: number;
  /** Number of failed attempts that were placed after that time. */
  failedRetries: number;
}

/** Failures of one job, the input of fault attribution. They are not stored: a new leader starts with none. */
export class FailureHistory {
  /**
   * Machines on which a task of the job ever failed. No more are recorded than fault attribution needs to reach a
   * conclusion.
   */
  readonly failedMachines = new Set<string>();
  /** Longest time, in seconds, that a task of the job ran before it failed. */
  longestRunBeforeFailureS = 0;
  /** Null: the job is not suspect. */
  suspicion: Suspicion | null = null;
  /** Machines that the job avoids, with the time in seconds at which the avoidance ends. */
  private readonly avoidedMachines = new Map<string, number>();

  avoid(machine: string, until: number): void {
    this.avoidedMachines.set(machine, until);
  }

  /** Whether the job avoids the machine because one of its tasks recently failed there. */
  avoids(machine: string, now: number): boolean {
    const until = this.avoidedMachines.get(machine);
    if (until === undefined) return false;
    if (now < until) return true;
    this.avoidedMachines.delete(machine);
    return false;
  }
}
