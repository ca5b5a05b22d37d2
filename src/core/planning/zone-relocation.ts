/**
 * Jobs whose tasks must share a zone, and wait for capacity that this zone does not have.
 *
 * Tasks in several zones are consolidated into one: an earlier version placed them so, and nothing more may start while
 * they are apart. A service whose zone has lost its machines is relocated as a whole to one that has capacity for it.
 */
import type { Cluster } from "../cluster.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import { isMachineAllowed, UNKNOWN_ZONE } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { taskSlots } from "../machines/machine.js";
import { START_BOUND_S } from "../model/constants.js";
import type { MachineSnapshot } from "./context.js";
import { isCapacityOpenTo } from "./eligibility.js";

/** Part of the bound on starting for which a service waits for capacity in the zone that it is in. */
const ZONE_WAIT_SHARE = 1 / 4;

/** Whether a service that must be in one zone has waited long enough for capacity for the rest of it there. */
export function mayRelocate(job: ActiveJob, now: number): boolean {
  const { kind, oneZone } = job.spec;
  if (kind !== "service" || !oneZone || job.placementCount === 0) return false;
  return job.waitingSince !== null && now - job.waitingSince > ZONE_WAIT_SHARE * START_BOUND_S;
}

/** Stops tasks that must be placed anew in another zone. */
export class ZoneRelocation {
  constructor(
    private readonly cluster: Cluster,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** For a job that still has pending tasks after a scheduling cycle. */
  relocateIfNeeded(job: ActiveJob, snapshot: MachineSnapshot, now: number): void {
    if (!job.spec.oneZone || job.spec.kind === "gang") return;
    if (job.zones.isSplit) {
      this.consolidate(job);
    } else if (mayRelocate(job, now) && this.lacksCapacityInZone(job, snapshot, now)) {
      this.relocate(job);
    }
  }

  /** Whether it waits for nothing but capacity, its zone has none, and another has enough for all of it. */
  private lacksCapacityInZone(job: ActiveJob, snapshot: MachineSnapshot, now: number): boolean {
    // At its team's limit it could be placed nowhere.
    if (this.cluster.quotaSlots(job.spec) <= 0) return false;
    const freeSlots = freeSlotsByZone(job, snapshot, now);
    const slotsHere = freeSlots.get(job.zones.mainZone ?? UNKNOWN_ZONE) ?? 0;
    return slotsHere === 0 && Math.max(0, ...freeSlots.values()) >= job.spec.tasks;
  }

  private consolidate(job: ActiveJob): void {
    const { mainZone } = job.zones;
    for (const placement of job.allPlacements()) {
      if (placement.machine.zone === mainZone) continue;
      this.dispatcher.stop(placement, "its job's tasks must share a zone", job.spec.saveS);
    }
  }

  private relocate(job: ActiveJob): void {
    for (const placement of job.allPlacements()) {
      this.dispatcher.stop(placement, "its job is relocated to another zone", job.spec.saveS);
    }
  }
}

/** How many tasks of the job fit free machines, by zone. */
function freeSlotsByZone(
  job: ActiveJob,
  snapshot: MachineSnapshot,
  now: number,
): Map<string, number> {
  const { spec } = job;
  const slotsByZone = new Map<string, number>();
  for (const machine of snapshot.withFreeCapacity) {
    const isEligible =
      isMachineAllowed(spec, machine) &&
      isCapacityOpenTo(machine, job) &&
      !job.failures.avoids(machine.name, now);
    if (!isEligible) continue;
    const slots = taskSlots(spec, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb);
    slotsByZone.set(machine.zone, (slotsByZone.get(machine.zone) ?? 0) + slots);
  }
  return slotsByZone;
}
