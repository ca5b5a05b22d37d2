/** The leader's view of all machines and jobs, and what each team uses. Bookkeeping only. */

import type { Placement } from "./dispatch/placement.js";
import type { ActiveJob } from "./jobs/active-job.js";
import { GangStarts } from "./jobs/gang-starts.js";
import type { Machine } from "./machines/machine.js";
import { AMOUNT_TOLERANCE } from "./model/constants.js";
import type { JobSpec } from "./model/jobs.js";
import type { MachineType } from "./model/machines.js";
import type { Team } from "./model/settings.js";

/** CPUs and GPUs that a team's tasks take; those whose end is not proven count. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** The leader's view of all machines and active jobs, with the usage of each team. */
export class Cluster {
  /** Active jobs, by id. */
  readonly jobs = new Map<string, ActiveJob>();
  /** By name. */
  readonly machines = new Map<string, Machine>();
  /** By team. */
  readonly usage = new Map<string, TeamUsage>();
  /** By name. */
  readonly teams = new Map<string, Team>();
  /** By class of jobs: a starving job of it has just gone first, and until then other classes do. */
  readonly classCooldownUntil = new Map<string, number>();
  readonly gangStarts = new GangStarts();

  constructor(teams: readonly Team[]) {
    for (const team of teams) this.teams.set(team.name, team);
  }

  usageOf(team: string): TeamUsage {
    let usage = this.usage.get(team);
    if (usage === undefined) {
      usage = { cpus: 0, gpus: 0 };
      this.usage.set(team, usage);
    }
    return usage;
  }

  /** How many more tasks of this job the team's quota allows. */
  quotaSlots(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    if (team === undefined) return 0;
    const usage = this.usageOf(spec.team);
    const slots = Math.min(
      slotsWithin(team.cpusMax, usage.cpus, spec.cpus),
      slotsWithin(team.gpusMax, usage.gpus, spec.gpus),
    );
    return Math.max(0, slots);
  }

  /** What is placed keeps the team's quota, as far as is known now. */
  isWithinLimit(teamName: string): boolean {
    const team = this.teams.get(teamName);
    if (team === undefined) return true;
    const { cpus, gpus } = this.usageOf(teamName);
    return (
      (team.cpusMax <= 0 || cpus <= team.cpusMax + AMOUNT_TOLERANCE) &&
      (team.gpusMax <= 0 || gpus <= team.gpusMax + AMOUNT_TOLERANCE)
    );
  }

  /** The machine proved to be of another kind: what is placed on it counts where it is. */
  correctMachine(machine: Machine, type: MachineType, zone: string, spot: boolean): void {
    for (const { job } of machine.placements.values()) {
      job.zones.remove(machine.zone);
      job.zones.add(zone);
    }
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
  }

  /**
   * Books a placement on its machine and against its team's quota, where it counts until released. `unrecorded`: a
   * worker reports an attempt that is not in the stored state.
   */
  addPlacement(placement: Placement, unrecorded = false): void {
    const { job, machine, task, version } = placement;
    if (unrecorded) job.unrecorded.add(placement);
    else job.placements.set(task, placement);
    const shard = job.shardOf(task);
    if (version > shard.placedVersion) shard.placedVersion = version;
    if (shard.hasUnpersistedPlacement) job.unpersistedSince ??= placement.placedAt;
    job.invalidatePendingCount();
    machine.placements.set(placement.key, placement);
    job.zones.add(machine.zone);
    const { cpus, gpus, memoryGb } = job.spec;
    machine.cpusUsed += cpus;
    machine.gpusUsed += gpus;
    machine.memoryUsedGb += memoryGb;
    const usage = this.usageOf(job.spec.team);
    usage.cpus += cpus;
    usage.gpus += gpus;
  }

  /** The attempt is proven gone. */
  releasePlacement(placement: Placement, now: number): void {
    const { job, machine, task } = placement;
    if (!machine.placements.delete(placement.key)) return;
    if (job.placements.get(task) === placement) job.placements.delete(task);
    job.unrecorded.delete(placement);
    job.zones.remove(machine.zone);
    const { cpus, gpus, memoryGb } = job.spec;
    machine.cpusUsed -= cpus;
    machine.gpusUsed -= gpus;
    machine.memoryUsedGb -= memoryGb;
    if (machine.placements.size === 0) machine.idleSince = now;
    const usage = this.usageOf(job.spec.team);
    usage.cpus -= cpus;
    usage.gpus -= gpus;
    job.markChanged(task);
  }

  /**
   * Ids of the jobs within their team's guarantee: those that fit it together with the team's earlier unfinished
   * jobs. A guarantee of 0 promises nothing of that resource, and so cannot be exceeded in it, as long as the team is
   * guaranteed anything at all.
   */
  jobsWithinGuarantee(): Set<string> {
    const within = new Set<string>();
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
      if (fits) within.add(job.spec.id);
    }
    return within;
  }
}

/** How many more tasks that each take `amount` keep a limit; a limit of 0 is none. */
function slotsWithin(limit: number, used: number, amount: number): number {
  if (limit <= 0 || amount <= 0) return Number.MAX_SAFE_INTEGER;
  return Math.floor((limit - used + AMOUNT_TOLERANCE) / amount);
}
