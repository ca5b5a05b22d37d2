/** Which machines take new work now, and how long an image would take there. */
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ClusterSettings } from "../model/settings.js";
import type { PlanningContext } from "./context.js";

/** Part of a lease after which a machine whose own reports do not arrive takes no new work. */
const MAX_DIRECT_HEARTBEAT_AGE_LEASE_SHARE = 0.75;

/** A machine takes new work while its reports come in time. */
export function acceptsNewWork(
  m: Machine,
  job: ActiveJob | null,
  settings: ClusterSettings,
  now: number,
): boolean {
  return (
    m.state === "up" &&
    m.hasAcknowledgedToken &&
    m.isPersisted &&
    m.drainReason === null &&
    m.interruptionAt === null &&
    m.unreachableSince === null &&
    now - m.lastMessageAt < 1.5 * settings.heartbeatIntervalS &&
    // (Reports go to other nodes while a new leader settles, but not for so long.)
    now - m.lastHeartbeatAt < MAX_DIRECT_HEARTBEAT_AGE_LEASE_SHARE * settings.leaseS &&
    now >= m.backoffUntil &&
    isCapacityOpenTo(m, job)
  );
}

/**
 * Room that is made or held for another is not open to a job; but what was made for a gang is open to a
 * gang before it in line, else two that each have half of what they need keep it from each other.
 */
export function isCapacityOpenTo(m: Machine, job: ActiveJob | null): boolean {
  const r = m.reservation;
  if (r === null || job === null || r.job === job) return true;
  return (
    !r.held &&
    r.job.spec.kind === "gang" &&
    job.spec.kind === "gang" &&
    r.job.queuePosition > job.queuePosition
  );
}

/** Seconds until the image would be there. */
export function imagePullS(m: Machine, spec: JobSpec): number {
  const held = m.images.get(spec.image);
  if (held?.ready) return 0;
  let others = 0;
  for (const i of m.images.values()) if (!i.ready) others += i.gb;
  const own = spec.imageGb / m.type.fetchGbPerS;
  return held === undefined ? own + others / m.type.fetchGbPerS : own / 2;
}

/** Usable machines of the types of which a whole machine takes a task. */
export function* machinesThatFit(spec: JobSpec, ctx: PlanningContext): Generator<Machine> {
  for (const machines of ctx.snapshot.usableByType.values()) {
    const { cpus, gpus, memoryGb } = machines[0]!.type;
    if (taskSlots(spec, cpus, gpus, memoryGb) >= 1) yield* machines;
  }
}
