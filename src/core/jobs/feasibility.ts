/** Whether a job can ever run at all, by what the cloud offers and what its team may use. */

import { areZonesSufficient, isMachineAllowed } from "../dispatch/placement-constraints.js";
import { taskSlots } from "../machines/machine.js";
import { AMOUNT_TOLERANCE } from "../model/constants.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import type { ClusterSettings } from "../model/settings.js";

/** Can any task of the job ever run, and does the job fit its team's limit? */
export function canEverRun(
  spec: JobSpec,
  settings: ClusterSettings,
  types: readonly MachineType[],
): boolean {
  const team = settings.teams.find((t) => t.name === spec.team);
  if (team === undefined) return false;
  const tasks = spec.kind === "array" ? 1 : spec.tasks;
  if (team.cpusMax > 0 && spec.cpus * tasks > team.cpusMax + AMOUNT_TOLERANCE) return false;
  if (team.gpusMax > 0 && spec.gpus * tasks > team.gpusMax + AMOUNT_TOLERANCE) return false;
  const zones = new Set<string>();
  for (const type of types) {
    if (taskSlots(spec, type.cpus, type.gpus, type.memoryGb) < 1) continue;
    for (const zone of type.zones) {
      if (isMachineAllowed(spec, { type, zone, spot: false })) zones.add(zone);
    }
  }
  // Of a gang all tasks run at one time, or none does.
  return zones.size > 0 && (spec.kind !== "gang" || areZonesSufficient(spec, zones.size));
}
