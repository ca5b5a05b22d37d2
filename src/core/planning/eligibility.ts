/**
 * Checks which machines accept new work and which jobs may use their capacity, and estimates how long image pulls
 * take.
 */
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ClusterSettings } from "../model/settings.js";
import type { PlanningContext } from "./context.js";

/** Age of the worker's last message of any kind, in heartbeat intervals, at which a machine accepts no new work. */
const MAX_MESSAGE_AGE_HEARTBEAT_INTERVALS = 1.5;

/**
 * Age of the last heartbeat that the worker sent unprompted, as a share of a lease, at which a machine accepts no new
 * work.
 */
const MAX_HEARTBEAT_AGE_LEASE_SHARE = 0.75;

/** Whether the machine accepts new work at `now` (in seconds), regardless of reservations for particular jobs. */
export function acceptsNewWork(machine: Machine, settings: ClusterSettings, now: number): boolean {
  return (
    machine.state === "up" &&
    machine.hasAcknowledgedToken &&
    machine.isPersisted &&
    machine.drainReason === null &&
    machine.interruptionAt === null &&
    machine.unreachableSince === null &&
    now - machine.lastMessageAt <
      MAX_MESSAGE_AGE_HEARTBEAT_INTERVALS * settings.heartbeatIntervalS &&
    // Under a new leader, workers at first send heartbeats to other controllers, but for a shorter time than this.
    now - machine.lastHeartbeatAt < MAX_HEARTBEAT_AGE_LEASE_SHARE * settings.leaseS &&
    now >= machine.backoffUntil
  );
}

/**
 * Whether the job may use the machine's capacity, as far as reservations for other jobs are concerned. Capacity that
 * is being freed for a gang may still be used by gangs that are earlier in the queue: otherwise two gangs could
 * deadlock, each holding half of the capacity that it needs.
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

/**
 * Estimated seconds until the machine holds the job's image. A pull of this image in progress counts as half done; a
 * new pull is assumed to begin after all pulls in progress.
 */
export function imagePullS(machine: Machine, spec: JobSpec): number {
  const { images, type } = machine;
  const image = images.get(spec.image);
  if (image?.isPulled) return 0;
  let pendingPullsGb = 0;
  for (const other of images.values()) if (!other.isPulled) pendingPullsGb += other.sizeGb;
  const ownPullS = spec.imageGb / type.fetchGbPerS;
  return image === undefined ? ownPullS + pendingPullsGb / type.fetchGbPerS : ownPullS / 2;
}

/** Number of tasks of the job that fit on the machine when nothing else runs there. */
export const slotsOnEmptyMachine = (spec: JobSpec, { type }: Machine): number =>
  taskSlots(spec, type.cpus, type.gpus, type.memoryGb);

/** Number of tasks of the job that fit into the machine's free capacity. */
export const freeSlotsOn = (spec: JobSpec, machine: Machine): number =>
  taskSlots(spec, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb);

/** Usable machines of all types on which a task of the job fits when the machine is empty. */
export function* machinesThatFit(spec: JobSpec, context: PlanningContext): Generator<Machine> {
  for (const machines of context.snapshot.usableByType.values()) {
    if (slotsOnEmptyMachine(spec, machines[0]!) >= 1) yield* machines;
  }
}
