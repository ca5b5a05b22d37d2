/** Faults of machines and of jobs: who is to blame when tasks fail or are slow. */
import type { Machine, Placement } from "./cluster.js";
import type { Dispatch } from "./dispatch.js";
import type { TaskReport } from "./model.js";
import type { Office } from "./office.js";

/** A task this many times slower than the middle one of its job speaks against its machine. */
const SLOW_RATIO = 2.5;

export class Faults {
  private slowCheckedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly office: Office,
    private readonly dispatch: Dispatch,
  ) {}

  afterExit(p: Placement, t: TaskReport, now: number): void {
    const job = p.job;
    this.office.log("task ended", {
      task: `${job.spec.id}/${p.task}`,
      attempt: p.attempt,
      machine: p.machine.name,
      why: t.cause,
      saved: t.saved,
    });
    if (t.cause === "error") {
      job.errors++;
      job.errorMachines.add(p.machine.name);
      const usual = this.office.settings.reportS;
      job.backoffUntil = now + Math.min(10 * usual, usual * 2 ** Math.min(job.errors - 1, 5));
      if (job.errorMachines.size > (job.anyDone ? this.office.cluster.machines.size / 4 : 3)) {
        // It fails wherever it goes: the job is at fault. Go on trying, anywhere.
        for (const name of job.errorMachines) {
          this.office.cluster.machines.get(name)?.failedJobs.delete(job.spec.id);
        }
        job.errorMachines.clear();
      } else p.machine.failedJobs.add(job.spec.id);
      if (p.machine.failedJobs.size >= 2 && p.machine.drain === null) {
        this.drain(p.machine, "different jobs fail on it");
      }
    } else if (t.cause === "no_room" || t.cause === "busy") {
      p.machine.refusedUntil = now + this.office.settings.reportS;
    } else if (t.cause === "unknown") {
      job.backoffUntil = now + this.office.settings.reportS;
    }
    if (job.spec.kind === "gang" && t.cause !== "done")
      this.dispatch.regroup(job, "a gang task ended");
  }

  /**
   * A machine on which several tasks run far longer than others of their jobs is faulty: it is
   * emptied and given back. Few at a time, in case it is the jobs after all.
   */
  findSlow(now: number): void {
    if (now - this.slowCheckedAt < this.office.settings.reportS) return;
    this.slowCheckedAt = now;
    for (const job of this.office.cluster.jobs.values()) {
      if (job.spec.kind !== "array" || job.runTimes.length < Math.max(3, job.spec.tasks / 4))
        continue;
      const sorted = [...job.runTimes].sort((a, b) => a - b);
      const usual = sorted[sorted.length >> 1]!;
      for (const p of job.placements.values()) {
        if (p.state !== "running" || !p.timed) continue;
        if (now - p.runningSince > SLOW_RATIO * usual + this.office.settings.reportS) {
          p.machine.slowTasks.add(p.key);
        }
      }
    }
    const machines = [...this.office.cluster.machines.values()];
    if (machines.some((m) => m.drain === "slow")) return;
    const worst = machines
      .filter((m) => m.state === "up" && m.drain === null && m.slowTasks.size >= 2)
      .sort((a, b) => b.slowTasks.size - a.slowTasks.size)[0];
    if (worst !== undefined) this.drain(worst, "slow");
  }

  private drain(m: Machine, why: string): void {
    m.drain = why;
    this.office.log("drain", { machine: m.name, why });
    for (const p of m.placements.values()) this.dispatch.stopWithMates(p, why, p.job.spec.saveS);
  }
}
