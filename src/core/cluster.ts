/** The leader's view of all machines and jobs, and what each team uses. Bookkeeping only. */

import type { Placement } from "./dispatch/placement.js";
import type { ActiveJob } from "./jobs/active-job.js";
import { GangStarts } from "./jobs/gang-starts.js";
import type { Machine } from "./machines/machine.js";
import { AMOUNT_TOLERANCE } from "./model/constants.js";
import type { JobSpec } from "./model/jobs.js";
import type { MachineType } from "./model/machines.js";
import type { Team } from "./model/settings.js";

export interface TeamUsage {
  cpus: number;
  gpus: number;
}

export class Cluster {
  readonly jobs = new Map<string, ActiveJob>();
  readonly machines = new Map<string, Machine>();
  readonly usage = new Map<string, TeamUsage>();
  readonly teams = new Map<string, Team>();
  /** Classes of which a starving job has just gone first, and until when the others do. */
  readonly classCooldownUntil = new Map<string, number>();
  readonly gangStarts = new GangStarts();

  constructor(teams: readonly Team[]) {
    for (const t of teams) this.teams.set(t.name, t);
  }

  usageOf(team: string): TeamUsage {
    let u = this.usage.get(team);
    if (u === undefined) {
      u = { cpus: 0, gpus: 0 };
      this.usage.set(team, u);
    }
    return u;
  }

  /** How many more tasks of this shape the team's limit allows; a limit of 0 is none. */
  quotaSlots(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    if (team === undefined) return 0;
    const u = this.usageOf(spec.team);
    let n = Number.MAX_SAFE_INTEGER;
    if (team.cpusMax > 0 && spec.cpus > 0)
      n = Math.min(n, Math.floor((team.cpusMax - u.cpus + AMOUNT_TOLERANCE) / spec.cpus));
    if (team.gpusMax > 0 && spec.gpus > 0)
      n = Math.min(n, Math.floor((team.gpusMax - u.gpus + AMOUNT_TOLERANCE) / spec.gpus));
    return Math.max(0, n);
  }

  /** Does what is placed keep the team's limit, as far as is known now? */
  isWithinLimit(teamName: string): boolean {
    const team = this.teams.get(teamName);
    if (team === undefined) return true;
    const { cpus, gpus } = this.usageOf(teamName);
    return (
      (team.cpusMax <= 0 || cpus <= team.cpusMax + AMOUNT_TOLERANCE) &&
      (team.gpusMax <= 0 || gpus <= team.gpusMax + AMOUNT_TOLERANCE)
    );
  }

  /** A machine is of another kind than was thought: what is placed on it counts where it is. */
  correctMachine(m: Machine, type: MachineType, zone: string, spot: boolean): void {
    for (const p of m.placements.values()) {
      p.job.zones.remove(m.zone);
      p.job.zones.add(zone);
    }
    m.type = type;
    m.zone = zone;
    m.spot = spot;
  }

  /** Books a placement on its machine and against its team, where it counts until released. */
  addPlacement(p: Placement, unrecorded = false): void {
    if (unrecorded) p.job.unrecorded.add(p);
    else p.job.placements.set(p.task, p);
    const part = p.job.shardOf(p.task);
    if (p.version > part.placedVersion) part.placedVersion = p.version;
    if (part.hasUnpersistedPlacement) p.job.unpersistedSince ??= p.placedAt;
    p.job.invalidatePendingCount();
    p.machine.placements.set(p.key, p);
    p.job.zones.add(p.machine.zone);
    const { cpus, gpus, memoryGb } = p.job.spec;
    p.machine.cpusUsed += cpus;
    p.machine.gpusUsed += gpus;
    p.machine.memoryUsedGb += memoryGb;
    const u = this.usageOf(p.job.spec.team);
    u.cpus += cpus;
    u.gpus += gpus;
  }

  /** The attempt is proven gone. */
  releasePlacement(p: Placement, now: number): void {
    if (!p.machine.placements.delete(p.key)) return;
    if (p.job.placements.get(p.task) === p) p.job.placements.delete(p.task);
    p.job.unrecorded.delete(p);
    p.job.zones.remove(p.machine.zone);
    const { cpus, gpus, memoryGb } = p.job.spec;
    p.machine.cpusUsed -= cpus;
    p.machine.gpusUsed -= gpus;
    p.machine.memoryUsedGb -= memoryGb;
    if (p.machine.placements.size === 0) p.machine.idleSince = now;
    const u = this.usageOf(p.job.spec.team);
    u.cpus -= cpus;
    u.gpus -= gpus;
    p.job.markChanged(p.task);
  }

  /**
   * Jobs within their team's guarantee: those that fit it together with the team's earlier
   * unfinished jobs. A guarantee of 0 promises nothing of that resource, and so cannot be
   * exceeded in it, as long as the team is guaranteed anything at all.
   */
  jobsWithinGuarantee(): Set<string> {
    const out = new Set<string>();
    const sums = new Map<string, TeamUsage>();
    const byAge = [...this.jobs.values()].sort((a, b) => a.submittedAtMs - b.submittedAtMs);
    for (const job of byAge) {
      if (job.isCancelled || job.isComplete || job.isBlockedOnDependencies) continue;
      const team = this.teams.get(job.spec.team);
      if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) continue;
      const sum = sums.get(team.name) ?? { cpus: 0, gpus: 0 };
      sums.set(team.name, sum);
      sum.cpus += job.spec.cpus * job.spec.tasks;
      sum.gpus += job.spec.gpus * job.spec.tasks;
      const fits =
        (team.cpus <= 0 || sum.cpus <= team.cpus + AMOUNT_TOLERANCE) &&
        (team.gpus <= 0 || sum.gpus <= team.gpus + AMOUNT_TOLERANCE);
      if (fits) out.add(job.spec.id);
    }
    return out;
  }
}
