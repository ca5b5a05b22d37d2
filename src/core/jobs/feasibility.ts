/** Checks whether a job can ever run, given the cloud's machine types and the team's quota. */

import { areZonesSufficient, isMachineAllowed } from "../dispatch/placement-constraints.js";
import { taskSlots } from "../machines/machine.js";
import { AMOUNT_TOLERANCE } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import type { ClusterSettings } from "../model/settings.js";

/**
 * Whether some machine type in some zone can run a task of the job, and the job fits its team's quota. An array fits
 * the quota if one of its tasks does; of any other job, all tasks together must fit. For a gang, there must also be
 * enough zones for all tasks to run at the same time.
 */
export function canEverRun(
  spec: JobSpec,
  settings: ClusterSettings,
  types: readonly MachineType[],
): boolean {
  const team = settings.teams.find(({ name }) => name === spec.team);
  if (team === undefined) return false;
  const tasksAtOnce = spec.kind === "array" ? 1 : spec.tasks;
  // A quota of 0 means no limit.
  if (team.cpusMax > 0 && spec.cpus * tasksAtOnce > team.cpusMax + AMOUNT_TOLERANCE) return false;
  if (team.gpusMax > 0 && spec.gpus * tasksAtOnce > team.gpusMax + AMOUNT_TOLERANCE) return false;
  const zones = new Set<string>();
  for (const type of types) {
    if (taskSlots(spec, type.cpus, type.gpus, type.memoryGb) < 1) continue;
    for (const zone of type.zones) {
      // Every job may use on-demand machines, so these are the ones to check.
      if (isMachineAllowed(spec, { type, zone, spot: false })) zones.add(zone);
    }
  }
  return zones.size > 0 && (spec.kind !== "gang" || areZonesSufficient(spec, zones.size));
}
