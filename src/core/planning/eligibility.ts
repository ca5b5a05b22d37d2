/** Which machines accept new work, to whom their capacity is open, and how long an image pull takes there. */
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ClusterSettings } from "../model/settings.js";
import type { PlanningContext } from "./context.js";

/** Heartbeat intervals without any message from the worker after which a machine accepts no new work. */
const MAX_SILENT_HEARTBEAT_INTERVALS = 1.5;

/** Share of a lease after which a machine whose own heartbeats do not arrive accepts no new work. */
const MAX_DIRECT_HEARTBEAT_AGE_LEASE_SHARE = 0.75;

/** Does the machine accept new work now (in seconds), apart from reservations for certain jobs? */
export function acceptsNewWork(machine: Machine, settings: ClusterSettings, now: number): boolean {
  return (
    machine.state === "up" &&
    machine.hasAcknowledgedToken &&
    machine.isPersisted &&
    machine.drainReason === null &&
    machine.interruptionAt === null &&
    machine.unreachableSince === null &&
    now - machine.lastMessageAt < MAX_SILENT_HEARTBEAT_INTERVALS * settings.heartbeatIntervalS &&
    // While a new leader settles, heartbeats go to other controllers, but not for so long.
    now - machine.lastHeartbeatAt < MAX_DIRECT_HEARTBEAT_AGE_LEASE_SHARE * settings.leaseS &&
    now >= machine.backoffUntil
  );
}

/**
 * Is the machine's capacity not reserved for another job? What is being freed for a gang is open to a gang earlier in
 * the queue all the same: otherwise two gangs, each with half of what it needs, block each other.
 */
export function isCapacityOpenTo(machine: Machine, job: ActiveJob): boolean {
  const { reservation } = machine;
  if (reservation === null || reservation.job === job) return true;
  return (
    !reservation.held &&
    reservation.job.spec.kind === "gang" &&
    job.spec.kind === "gang" &&
    reservation.job.queuePosition > job.queuePosition
  );
}

/** Seconds until the job's image would be on the machine; a pull under way counts as half done. */
export function imagePullS(machine: Machine, spec: JobSpec): number {
  const { images, type } = machine;
  const image = images.get(spec.image);
  if (image?.isPulled) return 0;
  let pendingPullsGb = 0;
  for (const other of images.values()) if (!other.isPulled) pendingPullsGb += other.sizeGb;
  const ownPullS = spec.imageGb / type.fetchGbPerS;
  return image === undefined ? ownPullS + pendingPullsGb / type.fetchGbPerS : ownPullS / 2;
}

/** How many tasks of this shape the whole machine takes when nothing else runs on it. */
export const slotsOnEmptyMachine = (spec: JobSpec, { type }: Machine): number =>
  taskSlots(spec, type.cpus, type.gpus, type.memoryGb);

/** How many tasks of this shape fit beside what is placed on the machine. */
export const freeSlotsOn = (spec: JobSpec, machine: Machine): number =>
  taskSlots(spec, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb);

/** Usable machines of the types of which an empty machine takes a task of this shape. */
export function* machinesThatFit(spec: JobSpec, context: PlanningContext): Generator<Machine> {
  for (const machines of context.snapshot.usableByType.values()) {
    if (slotsOnEmptyMachine(spec, machines[0]!) >= 1) yield* machines;
  }
}
