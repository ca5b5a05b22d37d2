/** Reserves GPU machines for GPU jobs. Other jobs must leave enough free capacity there for a GPU job. */
import type { Cluster } from "../cluster.js";
import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import { freeTaskSlots, type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { GpuReservation } from "./context.js";

/** Minimum number of free GPU machines to reserve. */
const MIN_RESERVED_MACHINES = 2;

/** Number of free machines to reserve per machine with GPUs in use. */
const RESERVED_PER_BUSY_MACHINE = 1 / 2;

/** A GPU machine with room for a GPU job, and the total size of the images on it that GPU jobs use. */
interface FreeGpuMachine {
  readonly machine: Machine;
  readonly usefulImagesGb: number;
}

/** Whether a task of `spec` on the machine would leave room for fewer tasks of some GPU job. */
export function blocksGpuJob(
  machine: Machine,
  spec: JobSpec,
  reservation: GpuReservation,
): boolean {
  if (machine.type.gpus <= 0 || spec.gpus > 0) return false;
  // Until a GPU job is known, neither are its demands, so any task may block one. Without this rule, service tasks
  // that were placed first, at a cold start, blocked a GPU machine for a whole day.
  if (reservation.gpuJobSpecs.length === 0) return true;
  return reservation.gpuJobSpecs.some((gpuJob) => {
    if (!isMachineAllowed(gpuJob, machine)) return false;
    const { freeCpus, freeGpus, freeMemoryGb } = machine;
    const slots = taskSlots(gpuJob, freeCpus, freeGpus, freeMemoryGb);
    return slots > taskSlots(gpuJob, freeCpus - spec.cpus, freeGpus, freeMemoryGb - spec.memoryGb);
  });
}

/**
 * Reserves free GPU machines: half as many as have GPUs in use, at least two, and at least as many as there are
 * waiting GPU tasks. Without the last rule, arrays took each machine as it became free, and gangs waited for minutes
 * while a quarter of all GPUs was idle. Machines that hold images of GPU jobs come first, because the pulls of these
 * images are the longest part of a start.
 */
export function reserveGpuMachines(
  cluster: Cluster,
  gpuJobSpecs: readonly JobSpec[],
): GpuReservation {
  const { images, waitingTasks } = gpuDemand(cluster);
  const free: FreeGpuMachine[] = [];
  let busyMachines = 0;
  for (const machine of cluster.machines.values()) {
    if (!isUsableGpuMachine(machine)) continue;
    if (machine.gpusUsed > 0) busyMachines++;
    if (!fitsTaskOfAny(gpuJobSpecs, machine)) continue;
    free.push({ machine, usefulImagesGb: pulledImagesGb(machine, images) });
  }
  free.sort(
    (a, b) => b.usefulImagesGb - a.usefulImagesGb || (a.machine.name < b.machine.name ? -1 : 1),
  );
  const countForBusyMachines = Math.ceil(busyMachines * RESERVED_PER_BUSY_MACHINE);
  const count = Math.max(MIN_RESERVED_MACHINES, countForBusyMachines, waitingTasks);
  const reserved = free.slice(0, count).map(({ machine }) => machine);
  return { gpuJobSpecs, reservedMachines: new Set(reserved) };
}

/**
 * The images of all GPU jobs that are not blocked on dependencies, and the number of these jobs' waiting tasks. The
 * tasks of cancelled, complete and suspect jobs are not counted.
 */
function gpuDemand(cluster: Cluster): {
  readonly images: ReadonlySet<string>;
  readonly waitingTasks: number;
} {
  const images = new Set<string>();
  let waitingTasks = 0;
  for (const job of cluster.jobs.values()) {
    if (job.spec.gpus <= 0 || job.isBlockedOnDependencies) continue;
    images.add(job.spec.image);
    if (!job.isCancelled && !job.isComplete && !job.isSuspect) waitingTasks += job.pendingCount;
  }
  return { images, waitingTasks };
}

const isUsableGpuMachine = (machine: Machine): boolean =>
  machine.type.gpus > 0 &&
  machine.state === "up" &&
  machine.drainReason === null &&
  machine.interruptionAt === null;

const fitsTaskOfAny = (specs: readonly JobSpec[], machine: Machine): boolean =>
  specs.some((spec) => isMachineAllowed(spec, machine) && freeTaskSlots(spec, machine) > 0);

function pulledImagesGb(machine: Machine, names: ReadonlySet<string>): number {
  let sumGb = 0;
  for (const [name, image] of machine.images) {
    if (image.isPulled && names.has(name)) sumGb += image.sizeGb;
  }
  return sumGb;
}
