/**
 * Moves jobs whose tasks must share a zone, if they cannot continue in the zone or zones that they are in.
 *
 * An earlier version of the scheduler placed tasks of one job in several zones. They are consolidated into one zone,
 * because until then no further task of the job may start. A service whose zone has no capacity left is relocated as
 * a whole to a zone that has enough.
 */
import type { Cluster } from "../cluster.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import { isMachineAllowed, UNKNOWN_ZONE } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots } from "../machines/machine.js";
import { START_LATENCY_BOUND_S } from "../model/constants.js";
import type { MachineSnapshot } from "./context.js";
import { isCapacityOpenTo } from "./eligibility.js";

/** Share of `START_LATENCY_BOUND_S` for which a service waits for capacity in its zone before it may be relocated. */
const ZONE_WAIT_SHARE = 1 / 4;

/** Whether the job is a service bound to one zone that has waited long enough there for its missing tasks. */
export function mayRelocate(job: ActiveJob, now: number): boolean {
  const { kind, oneZone } = job.spec;
  if (kind !== "service" || !oneZone || job.placementCount === 0) return false;
  return (
    job.waitingSince !== null && now - job.waitingSince > ZONE_WAIT_SHARE * START_LATENCY_BOUND_S
  );
}

/** Stops tasks that must be placed again in another zone. */
export class ZoneRelocation {
  constructor(
    private readonly cluster: Cluster,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /**
   * Consolidates or relocates the job if needed. Called for jobs that still lack capacity after the placement step.
   */
  relocateIfNeeded(job: ActiveJob, snapshot: MachineSnapshot, now: number): void {
    if (!job.spec.oneZone || job.spec.kind === "gang") return;
    if (job.zones.isSplit) {
      this.consolidate(job);
    } else if (mayRelocate(job, now) && this.lacksCapacityInZone(job, snapshot, now)) {
      this.relocate(job);
    }
  }

  /**
   * Whether the job's team has quota left, the job's zone has no free capacity left for it, and another zone has
   * enough for the whole job.
   */
  private lacksCapacityInZone(job: ActiveJob, snapshot: MachineSnapshot, now: number): boolean {
    // If the team's quota is used up, the job cannot be placed in any zone.
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

/** Number of tasks of the job that fit the free capacity, by zone. */
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
    const slots = freeTaskSlots(spec, machine);
    slotsByZone.set(machine.zone, (slotsByZone.get(machine.zone) ?? 0) + slots);
  }
  return slotsByZone;
}
