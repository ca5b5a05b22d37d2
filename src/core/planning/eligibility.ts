/**
 * Checks whether a machine accepts new work, whether a job may use its capacity, and how many tasks fit on it. Also
 * estimates how long image pulls take.
 */
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ClusterSettings } from "../model/settings.js";
import type { PlanningContext } from "./context.js";

/**
 * A machine accepts no new work if its worker's last message of any kind is at least this old, in heartbeat
 * intervals.
 */
const MAX_MESSAGE_AGE_HEARTBEAT_INTERVALS = 1.5;

/**
 * A machine accepts no new work if the last heartbeat that its worker sent without being asked is at least this old,
 * as a fraction of the worker lease.
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
    // After a change of leader, workers send their heartbeats to other controllers at first, but not for this long.
    now - machine.lastHeartbeatAt < MAX_HEARTBEAT_AGE_LEASE_SHARE * settings.leaseS &&
    now >= machine.backoffUntil
  );
}

/**
 * Whether no reservation for another job keeps this job from using the machine's capacity. Capacity that is still
 * being freed for a gang by preemption may be used by gangs that are earlier in the
 * queue. Otherwise two gangs could deadlock, each holding half of the capacity that it needs.
 */
export function isCapacityOpenTo(machine: Machine, job: ActiveJob): boolean {
  const { reservation } = machine;
  if (reservation === null || reservation.job === job) return true;
  return (
    reservation.kind === "being freed" &&
    reservation.job.spec.kind === "gang" &&
    job.spec.kind === "gang" &&
    reservation.job.queuePosition > job.queuePosition
  );
}

/**
 * Estimated seconds until the machine holds the job's image. If the image is already being pulled, the pull is
 * assumed to be half done. If not, its pull is assumed to begin after all pulls in progress.
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

/** Machines that accept new work and on which a task of the job would fit if nothing else ran there. */
export function* machinesThatFit(spec: JobSpec, context: PlanningContext): Generator<Machine> {
  for (const machines of context.snapshot.usableByType.values()) {
    if (slotsOnEmptyMachine(spec, machines[0]!) >= 1) yield* machines;
  }
}
