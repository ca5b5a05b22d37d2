/** Which machines take new work now, and how long an image would take there. */
import type { LiveJob } from "../live-job.js";
import { type Machine, slots } from "../machine.js";
import type { ClusterSettings, JobSpec } from "../model.js";
import type { PlanContext } from "./context.js";

/** Part of a lease after which a machine whose own reports do not arrive takes no new work. */
const SILENT_SHARE_OF_LEASE = 0.75;

/** A machine takes new work while its reports come in time. */
export function acceptsWork(
  m: Machine,
  job: LiveJob | null,
  settings: ClusterSettings,
  now: number,
): boolean {
  return (
    m.state === "up" &&
    m.fenced &&
    m.stored &&
    m.drain === null &&
    m.takenAt === null &&
    m.deafSince === null &&
    now - m.lastHeard < 1.5 * settings.reportS &&
    // (Reports go to other nodes while a new leader settles, but not for so long.)
    now - m.reportedAt < SILENT_SHARE_OF_LEASE * settings.leaseS &&
    now >= m.refusedUntil &&
    roomOpenTo(m, job)
  );
}

/**
 * Room that is made or held for another is not open to a job; but what was made for a gang is open to a
 * gang before it in line, else two that each have half of what they need keep it from each other.
 */
export function roomOpenTo(m: Machine, job: LiveJob | null): boolean {
  const r = m.reservedFor;
  if (r === null || job === null || r.job === job) return true;
  return (
    !r.held &&
    r.job.spec.kind === "gang" &&
    job.spec.kind === "gang" &&
    r.job.queuePosition > job.queuePosition
  );
}

/** Seconds until the image would be there. */
export function imageWaitS(m: Machine, spec: JobSpec): number {
  const held = m.images.get(spec.image);
  if (held?.ready) return 0;
  let others = 0;
  for (const i of m.images.values()) if (!i.ready) others += i.gb;
  const own = spec.imageGb / m.type.fetchGbPerS;
  return held === undefined ? own + others / m.type.fetchGbPerS : own / 2;
}

/** Usable machines of the types of which a whole machine takes a task. */
export function* machinesThatFit(spec: JobSpec, ctx: PlanContext): Generator<Machine> {
  for (const machines of ctx.snapshot.usable.values()) {
    const { cpus, gpus, memoryGb } = machines[0]!.type;
    if (slots(spec, cpus, gpus, memoryGb) >= 1) yield* machines;
  }
}
