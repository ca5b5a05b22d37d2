/** Faults of machines and of jobs: who is to blame when tasks fail or are slow. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import { START_BOUND_S } from "../model/constants.js";
import type { TaskStatus } from "../model/workers.js";
import type { Machine } from "./machine.js";

/** A task this many times slower than the middle one of its job speaks against its machine. */
const SLOW_RATIO = 2.5;

/** So many machines on which a job failed, and nowhere fared well, make the job suspect. */
const MINIMUM_FAILED_MACHINES = 3;
/** Leases after which a failure says nothing any more. */
const FAILURE_MEMORY_LEASES = 10;
/** Part of all machines that may be emptied at a time because jobs fail on them. */
const MAXIMUM_FAULTY_SHARE = 0.02;
const FAULTY_MACHINE = "sound jobs fail on it";

/** Machines, of those a job of this size comes to, that may be faulty without it being the job. */
const toleratedFailedMachines = (job: ActiveJob): number =>
  Math.max(MINIMUM_FAILED_MACHINES, job.spec.tasks / 8);

/**
 * Some task of it completed, or runs for clearly longer than any that failed, on another machine than
 * that in question.
 */
function succeedsElsewhere(
  job: ActiveJob,
  now: number,
  reportS: number,
  except: Machine | null = null,
) {
  if (job.doneTasks.size > 0) return true;
  for (const p of job.placements.values()) {
    if (p.state !== "running" || p.machine === except) continue;
    if (now - p.runningSince > job.failures.longestRunBeforeFailureS + reportS) return true;
  }
  return false;
}

export class FaultAttribution {
  private slowCheckedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  handleExit(p: Placement, t: TaskStatus, now: number): void {
    const job = p.job;
    this.context.logTask("task ended", () => ({
      task: `${job.spec.id}/${p.task}`,
      attempt: p.attempt,
      machine: p.machine.name,
      why: t.cause,
      saved: t.checkpointed,
    }));
    if (t.cause === "error") {
      this.handleFailure(p, now);
    } else if (t.cause === "no_room" || t.cause === "busy") {
      p.machine.backoffUntil = now + this.context.settings.heartbeatIntervalS;
    } else if (t.cause === "unknown") {
      job.backoffUntil = now + this.context.settings.heartbeatIntervalS;
    }
    if (job.spec.kind === "gang" && t.cause !== "done")
      this.dispatcher.restartGang(job, "a gang task ended");
  }

  /**
   * A task failed: by a fault of its machine, or of its job, which then fails on every machine. Both are
   * told apart by how either fares elsewhere. (Machines went back once two jobs had failed on them,
   * whichever: on a day on which one job in 25 was submitted with a mistake, thirty sound ones did.)
   */
  private handleFailure(p: Placement, now: number): void {
    const { job, machine } = p;
    const { heartbeatIntervalS: reportS } = this.context.settings;
    if (p.hasKnownStart)
      job.failures.longestRunBeforeFailureS = Math.max(
        job.failures.longestRunBeforeFailureS,
        now - p.runningSince,
      );
    job.failures.avoid(machine.name, now + START_BOUND_S / 4);
    if (job.failures.failedMachines.size <= toleratedFailedMachines(job))
      job.failures.failedMachines.add(machine.name);
    if (job.failures.suspicion !== null) {
      // Those that were placed before it was suspected tell nothing new.
      if (p.placedAt <= job.failures.suspicion.since) return;
      job.failures.suspicion.failedRetries++;
    } else if (
      !succeedsElsewhere(job, now, reportS) &&
      job.failures.failedMachines.size >= MINIMUM_FAILED_MACHINES
    ) {
      job.failures.suspicion = { since: now, failedRetries: 0 };
      this.context.log("job fails everywhere", {
        job: job.spec.id,
        machines: job.failures.failedMachines.size,
      });
    } else {
      machine.failedJobs.set(job, now);
      this.suspectMachines.add(machine);
      if (job.spec.kind === "gang") job.backoffUntil = now + reportS / 4;
      // Some of its tasks fail and others do not: it goes on, at a rate.
      else if (job.failures.failedMachines.size > toleratedFailedMachines(job))
        job.backoffUntil = now + reportS;
      this.evaluateMachine(machine, now);
    }
    if (job.failures.suspicion !== null) {
      const wait = reportS * 2 ** Math.min(job.failures.suspicion.failedRetries, 10);
      job.backoffUntil = now + Math.min(wait, START_BOUND_S / 4);
    }
  }

  /** Clears jobs that fare well after all, and judges machines anew by what has become of jobs. */
  review(now: number): void {
    const { heartbeatIntervalS: reportS, leaseS } = this.context.settings;
    if (now - this.reviewedAt < reportS / 2) return;
    this.reviewedAt = now;
    for (const job of this.context.cluster.jobs.values()) {
      if (job.failures.suspicion === null || !succeedsElsewhere(job, now, reportS)) continue;
      this.context.log("job fares well after all", { job: job.spec.id });
      job.failures.suspicion = null;
      job.backoffUntil = Number.NEGATIVE_INFINITY;
      this.context.cycleRequested = true;
    }
    for (const m of this.suspectMachines) {
      for (const [job, at] of m.failedJobs) {
        // A job that fails everywhere, or that ended before it was known, says nothing of its machines.
        const unproven = job.isCancelled && !succeedsElsewhere(job, now, reportS);
        if (
          job.failures.suspicion !== null ||
          unproven ||
          now - at > FAILURE_MEMORY_LEASES * leaseS
        )
          m.failedJobs.delete(job);
      }
      if (m.failedJobs.size === 0 || m.state !== "up") this.suspectMachines.delete(m);
      else this.evaluateMachine(m, now);
    }
  }

  private evaluateMachine(m: Machine, now: number): void {
    if (m.drainReason !== null || m.failedJobs.size < 2) return;
    const { heartbeatIntervalS: reportS, leaseS } = this.context.settings;
    let sound = 0;
    for (const job of m.failedJobs.keys()) {
      // What fails on many machines is followed by its failures, even if other tasks of it do well.
      if (
        job.failures.failedMachines.size <= toleratedFailedMachines(job) &&
        succeedsElsewhere(job, now, reportS, m)
      )
        sound++;
    }
    if (sound >= 2) {
      const machines = this.context.cluster.machines;
      let faulty = 0;
      for (const x of machines.values()) if (x.drainReason === FAULTY_MACHINE) faulty++;
      if (faulty <= machines.size * MAXIMUM_FAULTY_SHARE) this.drain(m, FAULTY_MACHINE);
      return;
    }
    // Not known yet. It takes nothing new until its jobs have had time to show it elsewhere.
    const restS = Math.min(leaseS, reportS * 2 ** (m.failedJobs.size - 2));
    const last = Math.max(...m.failedJobs.values());
    if (last === now) m.backoffUntil = Math.max(m.backoffUntil, now + restS);
  }
  private reviewedAt = Number.NEGATIVE_INFINITY;
  /** Machines on which tasks failed, until it is known who was at fault. */
  private readonly suspectMachines = new Set<Machine>();

  /**
   * A machine on which several tasks run far longer than others of their jobs is faulty: it is
   * emptied and given back. Few at a time, in case it is the jobs after all.
   */
  drainSlowMachines(now: number): void {
    if (now - this.slowCheckedAt < this.context.settings.heartbeatIntervalS) return;
    this.slowCheckedAt = now;
    for (const job of this.context.cluster.jobs.values()) {
      if (job.spec.kind !== "array" || job.runTimes.length < Math.max(3, job.spec.tasks / 4))
        continue;
      const sorted = [...job.runTimes].sort((a, b) => a - b);
      const usual = sorted[sorted.length >> 1]!;
      for (const p of job.placements.values()) {
        if (p.state !== "running" || !p.hasKnownStart) continue;
        if (now - p.runningSince > SLOW_RATIO * usual + this.context.settings.heartbeatIntervalS) {
          p.machine.slowTasks.add(p.key);
        }
      }
    }
    const machines = [...this.context.cluster.machines.values()];
    if (machines.some((m) => m.drainReason === "slow")) return;
    const worst = machines
      .filter((m) => m.state === "up" && m.drainReason === null && m.slowTasks.size >= 2)
      .sort((a, b) => b.slowTasks.size - a.slowTasks.size)[0];
    if (worst !== undefined) this.drain(worst, "slow");
  }

  private drain(m: Machine, why: string): void {
    m.drainReason = why;
    this.context.log("drain", { machine: m.name, why });
    for (const p of m.placements.values()) this.dispatcher.stopGang(p, why, p.job.spec.saveS);
  }
}
