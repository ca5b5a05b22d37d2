/** The leader's in-memory view of all machines and jobs, with each team's usage. Contains no scheduling decisions. */

import type { Placement } from "./dispatch/placement.js";
import type { ActiveJob } from "./jobs/active-job.js";
import { GangStarts } from "./jobs/gang-starts.js";
import type { Machine } from "./machines/machine.js";
import { AMOUNT_TOLERANCE } from "./model/constants.js";
import type { JobSpec } from "./model/jobs.js";
import type { MachineType } from "./model/machines.js";
import type { Team } from "./model/settings.js";

/** CPUs and GPUs in use by a team's tasks, including tasks whose termination is not proven yet. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** All machines and active jobs known to the leader, with the usage of each team. */
export class Cluster {
  /** Active jobs, by id. */
  readonly jobs = new Map<string, ActiveJob>();
  /** Machines, by name. */
  readonly machines = new Map<string, Machine>();
  /** Usage, by team name. */
  readonly usage = new Map<string, TeamUsage>();
  /** Teams, by name. */
  readonly teams = new Map<string, Team>();
  /**
   * By job class: time until which its jobs cannot count as starving, because a starving job of the class was placed
   * recently. Until then other jobs go first.
   */
  readonly starvationCooldownUntil = new Map<string, number>();
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

  /** Number of further tasks of the job that the team's quota allows. */
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

  /** Whether all known placements of the team's tasks are within its quota. */
  isWithinQuota(teamName: string): boolean {
    const team = this.teams.get(teamName);
    if (team === undefined) return true;
    const { cpus, gpus } = this.usageOf(teamName);
    return (
      (team.cpusMax <= 0 || cpus <= team.cpusMax + AMOUNT_TOLERANCE) &&
      (team.gpusMax <= 0 || gpus <= team.gpusMax + AMOUNT_TOLERANCE)
    );
  }

  /** Corrects the machine's type, zone and spot flag. Its placements count in the new zone from then on. */
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
   * Adds a placement to its job and machine and counts it against its team's quota until it is released.
   * `unrecorded`: a worker reports the attempt, but it is not in the stored state.
   */
  addPlacement(placement: Placement, unrecorded = false): void {
    const { job, machine, task, version } = placement;
    if (unrecorded) job.unrecordedPlacements.add(placement);
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

  /**
   * Removes a placement and releases its resources. To be called only once its attempt has certainly terminated or
   * can no longer start.
   */
  releasePlacement(placement: Placement, now: number): void {
    const { job, machine, task } = placement;
    if (!machine.placements.delete(placement.key)) return;
    if (job.placements.get(task) === placement) job.placements.delete(task);
    job.unrecordedPlacements.delete(placement);
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
   * Ids of the jobs within their team's guarantee: the job and the team's unfinished jobs submitted earlier need no
   * more than the guarantee in total. Cancelled jobs and jobs blocked on dependencies are left out. A guarantee of 0
   * for one resource means that none is set, so that resource is not checked. If it is 0 for both CPUs and GPUs, none
   * of the team's jobs are within the guarantee.
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

/** Number of further tasks, each using `amount`, that fit within a limit. A limit of 0 means unlimited. */
function slotsWithin(limit: number, used: number, amount: number): number {
  if (limit <= 0 || amount <= 0) return Number.MAX_SAFE_INTEGER;
  return Math.floor((limit - used + AMOUNT_TOLERANCE) / amount);
}
