/** Free room that is held for a gang of several machines until all its tasks fit. */
import { type LiveJob, type Machine, slots } from "../cluster.js";
import type { PlanContext } from "./context.js";
import { imageWaitS, machinesThatFit, roomOpenTo, typeAllowed } from "./eligibility.js";

/**
 * A gang of many machines would never find them free at one moment while smaller jobs take each as
 * it comes free. So what is free in one zone is held for it, and what waits behind it in this pass takes
 * the rest. The next pass begins anew: a gang that comes first in line does not find it held. One gang
 * gathers room in a zone at a time: two between them kept a third of it idle.
 */
export function gatherRoom(job: LiveJob, ctx: PlanContext, taken: Set<string>): void {
  const { spec } = job;
  const before = job.heldZone;
  job.heldZone = null;
  if (taken.has("") || taken.size >= ctx.settings.zones.length) return;
  if (
    spec.tasks < 2 ||
    job.suspect !== null ||
    job.present > 0 ||
    ctx.cluster.quotaSlots(spec) < spec.tasks
  )
    return;
  const zones = new Map<string, { free: number; all: number; held: number }>();
  const fitting: Machine[] = [];
  for (const m of machinesThatFit(spec, ctx)) {
    if (!roomOpenTo(m, job)) continue;
    const whole = slots(spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
    if (!typeAllowed(spec, m.type.name, m.zone, m.spot) || job.avoids(m.name, ctx.now)) continue;
    const zone = spec.oneZone ? m.zone : "";
    if (taken.has(zone)) continue;
    const z = zones.get(zone) ?? { free: 0, all: 0, held: 0 };
    zones.set(zone, z);
    z.all += whole;
    const free = slots(spec, m.freeCpus, m.freeGpus, m.freeMemory);
    z.free += free;
    const made = m.reservedFor?.job === job;
    if (made) z.held += whole;
    if (free > 0 || made) fitting.push(m);
  }
  let zone: string | null = null;
  let best = -1;
  for (const [name, z] of zones) {
    if (z.all < spec.tasks) continue;
    const worth = z.free + z.held + (name === before ? spec.tasks / 4 : 0);
    if (worth > best) {
      best = worth;
      zone = name;
    }
  }
  if (zone === null) return;
  job.heldZone = zone;
  let need = spec.tasks;
  fitting.sort((a, b) => imageWaitS(a, spec) - imageWaitS(b, spec) || (a.name < b.name ? -1 : 1));
  for (const m of fitting) {
    if (spec.oneZone && m.zone !== zone) continue;
    if (need <= 0) break;
    need -= slots(spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
    if (m.reservedFor === null || m.reservedFor.job !== job) {
      m.reservedFor = { job, until: ctx.now + ctx.settings.reportS, held: true };
    }
  }
  if (need > 0) taken.add(zone);
}
