/** Faults of machines and of jobs: who is to blame when tasks fail or are slow. */

import type { Dispatch } from "./dispatch.js";
import type { LeaderContext } from "./leader-context.js";
import type { LiveJob } from "./live-job.js";
import type { Machine } from "./machine.js";
import { BEGIN_S, type TaskReport } from "./model.js";
import type { Placement } from "./placement.js";

/** A task this many times slower than the middle one of its job speaks against its machine. */
const SLOW_RATIO = 2.5;

/** So many machines on which a job failed, and nowhere fared well, make the job suspect. */
const FEW = 3;
/** Leases after which a failure says nothing any more. */
const AGE = 10;
/** Part of all machines that may be emptied at a time because jobs fail on them. */
const FAULTY_SHARE = 0.02;
const FAULTY = "sound jobs fail on it";

/** Machines, of those a job of this size comes to, that may be faulty without it being the job. */
const few = (job: LiveJob): number => Math.max(FEW, job.spec.tasks / 8);

/**
 * Some task of it completed, or runs for clearly longer than any that failed, on another machine than
 * that in question.
 */
function faresWell(job: LiveJob, now: number, reportS: number, except: Machine | null = null) {
  if (job.done.size > 0) return true;
  for (const p of job.placements.values()) {
    if (p.state !== "running" || p.machine === except) continue;
    if (now - p.runningSince > job.failures.failedAfterS + reportS) return true;
  }
  return false;
}

export class Faults {
  private slowCheckedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: Dispatch,
  ) {}

  afterExit(p: Placement, t: TaskReport, now: number): void {
    const job = p.job;
    this.context.logTask("task ended", () => ({
      task: `${job.spec.id}/${p.task}`,
      attempt: p.attempt,
      machine: p.machine.name,
      why: t.cause,
      saved: t.saved,
    }));
    if (t.cause === "error") {
      this.failed(p, now);
    } else if (t.cause === "no_room" || t.cause === "busy") {
      p.machine.refusedUntil = now + this.context.settings.reportS;
    } else if (t.cause === "unknown") {
      job.backoffUntil = now + this.context.settings.reportS;
    }
    if (job.spec.kind === "gang" && t.cause !== "done")
      this.dispatch.regroup(job, "a gang task ended");
  }

  /**
   * A task failed: by a fault of its machine, or of its job, which then fails on every machine. Both are
   * told apart by how either fares elsewhere. (Machines went back once two jobs had failed on them,
   * whichever: on a day on which one job in 25 was submitted with a mistake, thirty sound ones did.)
   */
  private failed(p: Placement, now: number): void {
    const { job, machine } = p;
    const { reportS } = this.context.settings;
    if (p.timed)
      job.failures.failedAfterS = Math.max(job.failures.failedAfterS, now - p.runningSince);
    job.failures.avoid(machine.name, now + BEGIN_S / 4);
    if (job.failures.failedOn.size <= few(job)) job.failures.failedOn.add(machine.name);
    if (job.failures.suspect !== null) {
      // Those that were placed before it was suspected tell nothing new.
      if (p.placedAt <= job.failures.suspect.since) return;
      job.failures.suspect.tries++;
    } else if (!faresWell(job, now, reportS) && job.failures.failedOn.size >= FEW) {
      job.failures.suspect = { since: now, tries: 0 };
      this.context.log("job fails everywhere", {
        job: job.spec.id,
        machines: job.failures.failedOn.size,
      });
    } else {
      machine.failures.set(job, now);
      this.accused.add(machine);
      if (job.spec.kind === "gang") job.backoffUntil = now + reportS / 4;
      // Some of its tasks fail and others do not: it goes on, at a rate.
      else if (job.failures.failedOn.size > few(job)) job.backoffUntil = now + reportS;
      this.judge(machine, now);
    }
    if (job.failures.suspect !== null) {
      const wait = reportS * 2 ** Math.min(job.failures.suspect.tries, 10);
      job.backoffUntil = now + Math.min(wait, BEGIN_S / 4);
    }
  }

  /** Clears jobs that fare well after all, and judges machines anew by what has become of jobs. */
  review(now: number): void {
    const { reportS, leaseS } = this.context.settings;
    if (now - this.reviewedAt < reportS / 2) return;
    this.reviewedAt = now;
    for (const job of this.context.cluster.jobs.values()) {
      if (job.failures.suspect === null || !faresWell(job, now, reportS)) continue;
      this.context.log("job fares well after all", { job: job.spec.id });
      job.failures.suspect = null;
      job.backoffUntil = Number.NEGATIVE_INFINITY;
      this.context.needPlan = true;
    }
    for (const m of this.accused) {
      for (const [job, at] of m.failures) {
        // A job that fails everywhere, or that ended before it was known, says nothing of its machines.
        const unproven = job.cancelled && !faresWell(job, now, reportS);
        if (job.failures.suspect !== null || unproven || now - at > AGE * leaseS)
          m.failures.delete(job);
      }
      if (m.failures.size === 0 || m.state !== "up") this.accused.delete(m);
      else this.judge(m, now);
    }
  }

  private judge(m: Machine, now: number): void {
    if (m.drain !== null || m.failures.size < 2) return;
    const { reportS, leaseS } = this.context.settings;
    let sound = 0;
    for (const job of m.failures.keys()) {
      // What fails on many machines is followed by its failures, even if other tasks of it do well.
      if (job.failures.failedOn.size <= few(job) && faresWell(job, now, reportS, m)) sound++;
    }
    if (sound >= 2) {
      const machines = this.context.cluster.machines;
      let faulty = 0;
      for (const x of machines.values()) if (x.drain === FAULTY) faulty++;
      if (faulty <= machines.size * FAULTY_SHARE) this.drain(m, FAULTY);
      return;
    }
    // Not known yet. It takes nothing new until its jobs have had time to show it elsewhere.
    const restS = Math.min(leaseS, reportS * 2 ** (m.failures.size - 2));
    const last = Math.max(...m.failures.values());
    if (last === now) m.refusedUntil = Math.max(m.refusedUntil, now + restS);
  }
  private reviewedAt = Number.NEGATIVE_INFINITY;
  /** Machines on which tasks failed, until it is known who was at fault. */
  private readonly accused = new Set<Machine>();

  /**
   * A machine on which several tasks run far longer than others of their jobs is faulty: it is
   * emptied and given back. Few at a time, in case it is the jobs after all.
   */
  findSlow(now: number): void {
    if (now - this.slowCheckedAt < this.context.settings.reportS) return;
    this.slowCheckedAt = now;
    for (const job of this.context.cluster.jobs.values()) {
      if (job.spec.kind !== "array" || job.runTimes.length < Math.max(3, job.spec.tasks / 4))
        continue;
      const sorted = [...job.runTimes].sort((a, b) => a - b);
      const usual = sorted[sorted.length >> 1]!;
      for (const p of job.placements.values()) {
        if (p.state !== "running" || !p.timed) continue;
        if (now - p.runningSince > SLOW_RATIO * usual + this.context.settings.reportS) {
          p.machine.slowTasks.add(p.key);
        }
      }
    }
    const machines = [...this.context.cluster.machines.values()];
    if (machines.some((m) => m.drain === "slow")) return;
    const worst = machines
      .filter((m) => m.state === "up" && m.drain === null && m.slowTasks.size >= 2)
      .sort((a, b) => b.slowTasks.size - a.slowTasks.size)[0];
    if (worst !== undefined) this.drain(worst, "slow");
  }

  private drain(m: Machine, why: string): void {
    m.drain = why;
    this.context.log("drain", { machine: m.name, why });
    for (const p of m.placements.values()) this.dispatch.stopWithMates(p, why, p.job.spec.saveS);
  }
}
