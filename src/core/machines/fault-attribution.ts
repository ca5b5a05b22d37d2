/** Fault attribution: whether the machine or the job is at fault when tasks fail or are slow. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import { START_BOUND_S } from "../model/constants.js";
import type { TaskStatus } from "../model/workers.js";
import type { Machine } from "./machine.js";

/** A task so many times slower than the median one of its job speaks against its machine. */
const SLOW_RATIO = 2.5;
/** Machines on which a job must have failed, and nowhere succeeded, to be suspected itself. */
const MINIMUM_FAILED_MACHINES = 3;
/** Worker leases after which a failure is no longer considered. */
const FAILURE_MEMORY_LEASES = 10;
/** Different jobs that must fail, or tasks that must be slow, on a machine for it to be at fault. */
const MINIMUM_EVIDENCE = 2;
/** Part of all machines that may be drained at a time because jobs fail on them. */
const MAXIMUM_FAULTY_SHARE = 0.02;
/** Longest backoff of a job between two tries, in seconds. */
const MAXIMUM_JOB_BACKOFF_S = START_BOUND_S / 4;
/** Time for which a job keeps off a machine on which it failed, in seconds. */
const MACHINE_AVOIDANCE_S = START_BOUND_S / 4;
/** Doublings of the backoff after which it no longer grows. */
const MAXIMUM_BACKOFF_DOUBLINGS = 10;

const FAULTY_MACHINE = "healthy jobs fail on it";
const SLOW_MACHINE = "slow";

/** Attributes failures to machines, which are drained, or to jobs, which are tried again at a falling rate. */
export class FaultAttribution {
  /** Machines on which tasks failed, until the fault is attributed. */
  private readonly suspectMachines = new Set<Machine>();
  private reviewedAt = Number.NEGATIVE_INFINITY;
  private slowCheckedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** What follows from the exit of a task, other than the release of its resources. */
  handleExit(placement: Placement, status: TaskStatus, now: number): void {
    const { job, machine } = placement;
    const { heartbeatIntervalS } = this.context.settings;
    this.context.logTask("task ended", () => ({
      task: `${job.spec.id}/${placement.task}`,
      attempt: placement.attempt,
      machine: machine.name,
      why: status.cause,
      checkpointed: status.checkpointed,
    }));
    if (status.cause === "error") {
      this.handleFailure(placement, now);
    } else if (status.cause === "no_room" || status.cause === "busy") {
      machine.backoffUntil = now + heartbeatIntervalS;
    } else if (status.cause === "unknown") {
      job.backoffUntil = now + heartbeatIntervalS;
    }
    if (job.spec.kind === "gang" && status.cause !== "done") {
      this.dispatcher.restartGang(job, "a gang task ended");
    }
  }

  /** Clears jobs that succeed again, and evaluates machines anew by what has become of jobs since. */
  review(now: number): void {
    if (now - this.reviewedAt < this.context.settings.heartbeatIntervalS / 2) return;
    this.reviewedAt = now;
    this.clearRecoveredJobs(now);
    for (const machine of this.suspectMachines) {
      this.dropInconclusiveFailures(machine, now);
      if (machine.failedJobs.size === 0 || machine.state !== "up") {
        this.suspectMachines.delete(machine);
      } else {
        this.evaluateMachine(machine, now);
      }
    }
  }

  /**
   * Drains the machine on which most tasks run far longer than others of their jobs; one at a time, in case the jobs are
   * at fault after all.
   */
  drainSlowMachines(now: number): void {
    if (now - this.slowCheckedAt < this.context.settings.heartbeatIntervalS) return;
    this.slowCheckedAt = now;
    for (const job of this.context.cluster.jobs.values()) this.findSlowTasks(job, now);
    const machines = [...this.context.cluster.machines.values()];
    if (machines.some(({ drainReason }) => drainReason === SLOW_MACHINE)) return;
    const slowest = machines
      .filter(
        ({ state, drainReason, slowTasks }) =>
          state === "up" && drainReason === null && slowTasks.size >= MINIMUM_EVIDENCE,
      )
      .sort((a, b) => b.slowTasks.size - a.slowTasks.size)[0];
    if (slowest !== undefined) this.drain(slowest, SLOW_MACHINE);
  }

  /**
   * A task failed: by a fault of its machine, or of its job, which then fails on every machine. The two differ in
   * whether either succeeds elsewhere. (When any two jobs that failed on a machine were enough to release it, one job in
   * 25 submitted with a mistake cost thirty healthy machines in a day.)
   */
  private handleFailure(placement: Placement, now: number): void {
    const { job, machine } = placement;
    const { failures } = job;
    this.recordFailure(placement, now);
    if (failures.suspicion !== null) {
      // Failures of attempts that were placed before the suspicion are no new evidence.
      if (placement.placedAt <= failures.suspicion.since) return;
      failures.suspicion.failedRetries++;
    } else if (this.failsEverywhere(job, now)) {
      failures.suspicion = { since: now, failedRetries: 0 };
      this.context.log("job in crash-loop backoff", {
        job: job.spec.id,
        machines: failures.failedMachines.size,
      });
    } else {
      this.suspectMachine(machine, job, now);
      return;
    }
    const doublings = Math.min(failures.suspicion.failedRetries, MAXIMUM_BACKOFF_DOUBLINGS);
    const backoffS = this.context.settings.heartbeatIntervalS * 2 ** doublings;
    job.backoffUntil = now + Math.min(backoffS, MAXIMUM_JOB_BACKOFF_S);
  }

  private recordFailure(placement: Placement, now: number): void {
    const { job, machine } = placement;
    const { failures } = job;
    if (placement.hasKnownStart) {
      const runS = now - placement.runningSince;
      failures.longestRunBeforeFailureS = Math.max(failures.longestRunBeforeFailureS, runS);
    }
    failures.avoid(machine.name, now + MACHINE_AVOIDANCE_S);
    if (failures.failedMachines.size <= toleratedFailedMachines(job)) {
      failures.failedMachines.add(machine.name);
    }
  }

  private failsEverywhere(job: ActiveJob, now: number): boolean {
    if (this.succeedsElsewhere(job, now)) return false;
    return job.failures.failedMachines.size >= MINIMUM_FAILED_MACHINES;
  }

  /** The machine may be at fault: the job is tried on others meanwhile. */
  private suspectMachine(machine: Machine, job: ActiveJob, now: number): void {
    const { heartbeatIntervalS } = this.context.settings;
    machine.failedJobs.set(job, now);
    this.suspectMachines.add(machine);
    if (job.spec.kind === "gang") {
      job.backoffUntil = now + heartbeatIntervalS / 4;
    } else if (job.failures.failedMachines.size > toleratedFailedMachines(job)) {
      // Some of its tasks fail and others do not: it continues at a limited rate.
      job.backoffUntil = now + heartbeatIntervalS;
    }
    this.evaluateMachine(machine, now);
  }

  private clearRecoveredJobs(now: number): void {
    for (const job of this.context.cluster.jobs.values()) {
      if (job.failures.suspicion === null || !this.succeedsElsewhere(job, now)) continue;
      this.context.log("job recovered", { job: job.spec.id });
      job.failures.suspicion = null;
      job.backoffUntil = Number.NEGATIVE_INFINITY;
      this.context.cycleRequested = true;
    }
  }

  /** A job that fails everywhere, or that was cancelled before it succeeded, says nothing of its machines. */
  private dropInconclusiveFailures({ failedJobs }: Machine, now: number): void {
    const memoryS = FAILURE_MEMORY_LEASES * this.context.settings.leaseS;
    for (const [job, failedAt] of failedJobs) {
      const isInconclusive = job.isCancelled && !this.succeedsElsewhere(job, now);
      const isOld = now - failedAt > memoryS;
      if (job.failures.suspicion !== null || isInconclusive || isOld) failedJobs.delete(job);
    }
  }

  private evaluateMachine(machine: Machine, now: number): void {
    const { failedJobs } = machine;
    if (machine.drainReason !== null || failedJobs.size < MINIMUM_EVIDENCE) return;
    if (this.countHealthyFailedJobs(machine, now) >= MINIMUM_EVIDENCE) {
      if (this.mayDrainFaulty()) this.drain(machine, FAULTY_MACHINE);
      return;
    }
    // Not attributed yet. It takes nothing new until its jobs have had time to succeed or fail elsewhere.
    const { heartbeatIntervalS, leaseS } = this.context.settings;
    const backoffS = Math.min(
      leaseS,
      heartbeatIntervalS * 2 ** (failedJobs.size - MINIMUM_EVIDENCE),
    );
    const lastFailureAt = Math.max(...failedJobs.values());
    if (lastFailureAt === now) {
      machine.backoffUntil = Math.max(machine.backoffUntil, now + backoffS);
    }
  }

  /** Jobs that failed on the machine and succeed on others. */
  private countHealthyFailedJobs(machine: Machine, now: number): number {
    let healthy = 0;
    for (const job of machine.failedJobs.keys()) {
      // A job that failed on many machines is itself suspect, even if other tasks of it succeed.
      if (job.failures.failedMachines.size > toleratedFailedMachines(job)) continue;
      if (this.succeedsElsewhere(job, now, machine)) healthy++;
    }
    return healthy;
  }

  private mayDrainFaulty(): boolean {
    const { machines } = this.context.cluster;
    let faulty = 0;
    for (const { drainReason } of machines.values()) {
      if (drainReason === FAULTY_MACHINE) faulty++;
    }
    return faulty <= machines.size * MAXIMUM_FAULTY_SHARE;
  }

  /** Whether a task of the job completed, or has run clearly longer than any that failed, not on this machine. */
  private succeedsElsewhere(job: ActiveJob, now: number, except: Machine | null = null): boolean {
    if (job.doneTasks.size > 0) return true;
    const { heartbeatIntervalS } = this.context.settings;
    const clearlyLongerS = job.failures.longestRunBeforeFailureS + heartbeatIntervalS;
    for (const { state, machine, runningSince } of job.placements.values()) {
      if (state !== "running" || machine === except) continue;
      if (now - runningSince > clearlyLongerS) return true;
    }
    return false;
  }

  private findSlowTasks(job: ActiveJob, now: number): void {
    const { spec, runTimes } = job;
    if (spec.kind !== "array" || runTimes.length < Math.max(3, spec.tasks / 4)) return;
    const sorted = [...runTimes].sort((a, b) => a - b);
    const medianS = sorted[sorted.length >> 1]!;
    const slowAfterS = SLOW_RATIO * medianS + this.context.settings.heartbeatIntervalS;
    for (const placement of job.placements.values()) {
      if (placement.state !== "running" || !placement.hasKnownStart) continue;
      if (now - placement.runningSince > slowAfterS) {
        placement.machine.slowTasks.add(placement.key);
      }
    }
  }

  private drain(machine: Machine, why: string): void {
    machine.drainReason = why;
    this.context.log("drain", { machine: machine.name, why });
    for (const placement of machine.placements.values()) {
      this.dispatcher.stopGang(placement, why, placement.job.spec.saveS);
    }
  }
}

/** Machines, of those that a job of this size comes to, that may be faulty without the job being at fault. */
const toleratedFailedMachines = (job: ActiveJob): number =>
  Math.max(MINIMUM_FAILED_MACHINES, job.spec.tasks / 8);
