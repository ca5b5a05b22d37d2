/**
 * Jobs whose tasks must share a zone, and which wait for room that this zone does not have.
 *
 * Tasks in several zones are brought back to one: a version before this one placed them so, and nothing more may
 * start while they are apart. A service whose zone has lost its machines moves as a whole to one that takes it all.
 */
import type { Cluster } from "./cluster.js";
import type { Dispatch } from "./dispatch.js";
import type { LiveJob } from "./live-job.js";
import { slots } from "./machine.js";
import { BEGIN_S } from "./model.js";
import { machineAllowed, UNKNOWN_ZONE } from "./placement-rules.js";
import type { Snapshot } from "./planning/context.js";
import { roomOpenTo } from "./planning/eligibility.js";

/** Part of the users' bound on beginning for which a service waits for room in the zone that it is in. */
const WAITS_IN_ZONE = 1 / 4;

/** A service that must be in one zone has waited there for as long as it should for room for the rest of it. */
export function mayMove(job: LiveJob, now: number): boolean {
  const { kind, oneZone } = job.spec;
  if (kind !== "service" || !oneZone || job.present === 0) return false;
  return job.waitingSince !== null && now - job.waitingSince > WAITS_IN_ZONE * BEGIN_S;
}

export class ZoneMoves {
  constructor(
    private readonly cluster: Cluster,
    private readonly dispatch: Dispatch,
  ) {}

  /** Looks at a job that still has tasks waiting after a pass. */
  consider(job: LiveJob, snapshot: Snapshot, now: number): void {
    if (!job.spec.oneZone || job.spec.kind === "gang") return;
    if (job.zones.isSplit) this.bringTogether(job);
    else if (mayMove(job, now) && this.zoneLacksRoom(job, snapshot, now)) this.moveAway(job);
  }

  /** It waits for room and for nothing else, its zone has none, and another has room for all of it. */
  private zoneLacksRoom(job: LiveJob, snapshot: Snapshot, now: number): boolean {
    // At its team's limit it would find no more room anywhere.
    if (this.cluster.quotaSlots(job.spec) <= 0) return false;
    const free = freeByZone(job, snapshot, now);
    const here = free.get(job.zones.mainZone ?? UNKNOWN_ZONE) ?? 0;
    return here === 0 && Math.max(0, ...free.values()) >= job.spec.tasks;
  }

  private bringTogether(job: LiveJob): void {
    const kept = job.zones.mainZone;
    for (const p of job.everyPlacement()) {
      if (p.machine.zone === kept) continue;
      this.dispatch.stop(p, "its job's tasks must share a zone", job.spec.saveS);
    }
  }

  private moveAway(job: LiveJob): void {
    for (const p of job.everyPlacement()) {
      this.dispatch.stop(p, "its job moves to another zone", job.spec.saveS);
    }
  }
}

/** Tasks of the job that fit free machines, by zone. */
function freeByZone(job: LiveJob, snapshot: Snapshot, now: number): Map<string, number> {
  const { spec } = job;
  const free = new Map<string, number>();
  for (const m of snapshot.open) {
    const open = machineAllowed(spec, m) && roomOpenTo(m, job) && !job.failures.avoids(m.name, now);
    if (!open) continue;
    const fits = slots(spec, m.freeCpus, m.freeGpus, m.freeMemory);
    free.set(m.zone, (free.get(m.zone) ?? 0) + fits);
  }
  return free;
}
