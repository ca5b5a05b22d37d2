/** Fault attribution: decides whether the machine or the job is at fault when tasks fail or run slowly. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { TaskStatus } from "../model/workers.js";
import type { Machine } from "./machine.js";

/** Ratio of a task's run time to the median of its job above which the task counts as slow on its machine. */
const SLOW_RATIO = 2.5;
/** Number of machines on which a job without any successful task must have failed to be suspected of a fault. */
const MINIMUM_FAILED_MACHINES = 3;
/** Age, in worker leases, above which a failure is no longer considered. */
const FAILURE_RETENTION_LEASES = 10;
/** Number of distinct jobs that must fail, or of tasks that must be slow, on a machine for it to be at fault. */
const MINIMUM_EVIDENCE = 2;
/** No machine is drained because jobs fail on it while more than this share of all machines is drained for that. */
const MAXIMUM_FAULTY_SHARE = 0.02;
/** Longest backoff of a job between two attempts, in seconds. */
const MAXIMUM_JOB_BACKOFF_S = START_LATENCY_BOUND_S / 4;
/** Seconds for which a job is not placed on a machine on which it failed. */
const MACHINE_AVOIDANCE_S = START_LATENCY_BOUND_S / 4;
/** Number of doublings after which the backoff of a job no longer grows. */
const MAXIMUM_BACKOFF_DOUBLINGS = 10;

const FAULTY_DRAIN_REASON = "healthy jobs fail on it";
const SLOW_DRAIN_REASON = "slow";

/** Attributes failures to machines, which are drained, or to jobs, which are retried with exponential backoff. */
export class FaultAttribution {
  /** Machines on which tasks failed and whose failures are not attributed yet. */
  private readonly suspectMachines = new Set<Machine>();
  private reviewedAt = Number.NEGATIVE_INFINITY;
  private slowCheckedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** Handles the exit of a task. The caller releases the task's resources. */
  handleTaskExit(placement: Placement, status: TaskStatus, now: number): void {
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

  /** Clears the suspicion against jobs that succeed again, and re-evaluates machines on which jobs failed. */
  reviewFailures(now: number): void {
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
   * Drains the machine with the most tasks that ran far longer than others of their job. Only one machine is drained
   * for this reason at a time, because the fault may lie with the jobs and not with the machine.
   */
  drainSlowMachines(now: number): void {
    if (now - this.slowCheckedAt < this.context.settings.heartbeatIntervalS) return;
    this.slowCheckedAt = now;
    for (const job of this.context.cluster.jobs.values()) this.recordSlowTasks(job, now);
    const machines = [...this.context.cluster.machines.values()];
    if (machines.some(({ drainReason }) => drainReason === SLOW_DRAIN_REASON)) return;
    const slowest = machines
      .filter(
        ({ state, drainReason, slowTasks }) =>
          state === "up" && drainReason === null && slowTasks.size >= MINIMUM_EVIDENCE,
      )
      .sort((a, b) => b.slowTasks.size - a.slowTasks.size)[0];
    if (slowest !== undefined) this.drain(slowest, SLOW_DRAIN_REASON);
  }

  /**
   * Handles a failed task. A faulty job fails on every machine, whereas jobs that fail on a faulty machine succeed on
   * others. Two failed jobs alone are therefore no reason to release a machine: with that rule, and one faulty job in
   * 25 submitted, 30 healthy machines were lost in a day.
   */
  private handleFailure(placement: Placement, now: number): void {
    const { job, machine } = placement;
    const { failures } = job;
    this.recordFailure(placement, now);
    if (failures.suspicion !== null) {
      // Attempts that were placed before the job became suspect are not retries, so their failures do not count.
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

  /** Whether the job is at fault as far as is known: it failed on enough machines and succeeds on none. */
  private failsEverywhere(job: ActiveJob, now: number): boolean {
    if (this.succeedsElsewhere(job, now)) return false;
    return job.failures.failedMachines.size >= MINIMUM_FAILED_MACHINES;
  }

  /** Records that the machine may be at fault. The job is retried on other machines meanwhile. */
  private suspectMachine(machine: Machine, job: ActiveJob, now: number): void {
    const { heartbeatIntervalS } = this.context.settings;
    machine.failedJobs.set(job, now);
    this.suspectMachines.add(machine);
    if (job.spec.kind === "gang") {
      job.backoffUntil = now + heartbeatIntervalS / 4;
    } else if (job.failures.failedMachines.size > toleratedFailedMachines(job)) {
      // Some tasks of the job fail and others succeed, so the job continues at a limited rate.
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

  /**
   * Discards failures that are no evidence against the machine: old ones, and those of jobs that are suspect or were
   * cancelled before they succeeded.
   */
  private dropInconclusiveFailures({ failedJobs }: Machine, now: number): void {
    const retentionS = FAILURE_RETENTION_LEASES * this.context.settings.leaseS;
    for (const [job, failedAt] of failedJobs) {
      const isInconclusive = job.isCancelled && !this.succeedsElsewhere(job, now);
      const isOld = now - failedAt > retentionS;
      if (job.failures.suspicion !== null || isInconclusive || isOld) failedJobs.delete(job);
    }
  }

  /** Drains the machine if enough jobs that failed on it succeed elsewhere, or else blocks new tasks for a time. */
  private evaluateMachine(machine: Machine, now: number): void {
    const { failedJobs } = machine;
    if (machine.drainReason !== null || failedJobs.size < MINIMUM_EVIDENCE) return;
    if (this.countJobsSucceedingElsewhere(machine, now) >= MINIMUM_EVIDENCE) {
      if (this.mayDrainFaultyMachine()) this.drain(machine, FAULTY_DRAIN_REASON);
      return;
    }
    // The failures cannot be attributed yet: the machine accepts no new tasks until its failed jobs have had time to
    // succeed or fail on other machines.
    const { heartbeatIntervalS, leaseS } = this.context.settings;
    const backoffS = Math.min(
      leaseS,
      heartbeatIntervalS * 2 ** (failedJobs.size - MINIMUM_EVIDENCE),
    );
    // Only a new failure extends the backoff; a periodic review does not.
    const lastFailureAt = Math.max(...failedJobs.values());
    if (lastFailureAt === now) {
      machine.backoffUntil = Math.max(machine.backoffUntil, now + backoffS);
    }
  }

  /** Number of jobs that failed on the machine and succeed on others, except those that failed on many machines. */
  private countJobsSucceedingElsewhere(machine: Machine, now: number): number {
    let count = 0;
    for (const job of machine.failedJobs.keys()) {
      // A job that failed on many machines may itself be at fault, even if other tasks of it succeed.
      if (job.failures.failedMachines.size > toleratedFailedMachines(job)) continue;
      if (this.succeedsElsewhere(job, now, machine)) count++;
    }
    return count;
  }

  private mayDrainFaultyMachine(): boolean {
    const { machines } = this.context.cluster;
    let faulty = 0;
    for (const { drainReason } of machines.values()) {
      if (drainReason === FAULTY_DRAIN_REASON) faulty++;
    }
    return faulty <= machines.size * MAXIMUM_FAULTY_SHARE;
  }

  /**
   * Whether a task of the job has completed, or runs on a machine other than `except` and has run longer than any
   * failed task by more than a heartbeat interval.
   */
  private succeedsElsewhere(job: ActiveJob, now: number, except: Machine | null = null): boolean {
    if (job.doneTasks.size > 0) return true;
    const { heartbeatIntervalS } = this.context.settings;
    const minimumSuccessfulRunS = job.failures.longestRunBeforeFailureS + heartbeatIntervalS;
    for (const { state, machine, runningSince } of job.placements.values()) {
      if (state !== "running" || machine === except) continue;
      if (now - runningSince > minimumSuccessfulRunS) return true;
    }
    return false;
  }

  private recordSlowTasks(job: ActiveJob, now: number): void {
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
    this.context.log("draining machine", { machine: machine.name, why });
    for (const placement of machine.placements.values()) {
      this.dispatcher.stopTaskOrGang(placement, why, placement.job.spec.saveS);
    }
  }
}

/**
 * Number of machines on which a job of this size may fail before its failures no longer count as evidence against a
 * machine, because the job itself may be at fault.
 */
const toleratedFailedMachines = (job: ActiveJob): number =>
  Math.max(MINIMUM_FAILED_MACHINES, job.spec.tasks / 8);
