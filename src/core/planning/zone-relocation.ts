/**
 * Jobs whose tasks must share a zone, and which wait for room that this zone does not have.
 *
 * Tasks in several zones are brought back to one: a version before this one placed them so, and nothing more may
 * start while they are apart. A service whose zone has lost its machines moves as a whole to one that takes it all.
 */
import type { Cluster } from "../cluster.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import { isMachineAllowed, UNKNOWN_ZONE } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { taskSlots } from "../machines/machine.js";
import { START_BOUND_S } from "../model/constants.js";
import type { MachineSnapshot } from "./context.js";
import { isCapacityOpenTo } from "./eligibility.js";

/** Part of the users' bound on beginning for which a service waits for room in the zone that it is in. */
const ZONE_WAIT_SHARE = 1 / 4;

/** A service that must be in one zone has waited there for as long as it should for room for the rest of it. */
export function mayRelocate(job: ActiveJob, now: number): boolean {
  const { kind, oneZone } = job.spec;
  if (kind !== "service" || !oneZone || job.placementCount === 0) return false;
  return job.waitingSince !== null && now - job.waitingSince > ZONE_WAIT_SHARE * START_BOUND_S;
}

export class ZoneRelocation {
  constructor(
    private readonly cluster: Cluster,
    private readonly dispatcher: CommandDispatcher,
  ) {}

  /** Looks at a job that still has tasks waiting after a pass. */
  relocateIfNeeded(job: ActiveJob, snapshot: MachineSnapshot, now: number): void {
    if (!job.spec.oneZone || job.spec.kind === "gang") return;
    if (job.zones.isSplit) this.consolidate(job);
    else if (mayRelocate(job, now) && this.lacksCapacityInZone(job, snapshot, now))
      this.relocate(job);
  }

  /** It waits for room and for nothing else, its zone has none, and another has room for all of it. */
  private lacksCapacityInZone(job: ActiveJob, snapshot: MachineSnapshot, now: number): boolean {
    // At its team's limit it would find no more room anywhere.
    if (this.cluster.quotaSlots(job.spec) <= 0) return false;
    const free = freeSlotsByZone(job, snapshot, now);
    const here = free.get(job.zones.mainZone ?? UNKNOWN_ZONE) ?? 0;
    return here === 0 && Math.max(0, ...free.values()) >= job.spec.tasks;
  }

  private consolidate(job: ActiveJob): void {
    const kept = job.zones.mainZone;
    for (const p of job.allPlacements()) {
      if (p.machine.zone === kept) continue;
      this.dispatcher.stop(p, "its job's tasks must share a zone", job.spec.saveS);
    }
  }

  private relocate(job: ActiveJob): void {
    for (const p of job.allPlacements()) {
      this.dispatcher.stop(p, "its job moves to another zone", job.spec.saveS);
    }
  }
}

/** Tasks of the job that fit free machines, by zone. */
function freeSlotsByZone(
  job: ActiveJob,
  snapshot: MachineSnapshot,
  now: number,
): Map<string, number> {
  const { spec } = job;
  const free = new Map<string, number>();
  for (const m of snapshot.withFreeCapacity) {
    const open =
      isMachineAllowed(spec, m) && isCapacityOpenTo(m, job) && !job.failures.avoids(m.name, now);
    if (!open) continue;
    const fits = taskSlots(spec, m.freeCpus, m.freeGpus, m.freeMemoryGb);
    free.set(m.zone, (free.get(m.zone) ?? 0) + fits);
  }
  return free;
}
