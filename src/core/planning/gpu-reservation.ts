/** GPU machines that are reserved for GPU jobs: other work must leave them usable. */
import type { Cluster } from "../cluster.js";
import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { GpuReservation } from "./context.js";
import { freeSlotsOn } from "./eligibility.js";

/** Free GPU machines that are reserved at the least. */
const MIN_RESERVED_MACHINES = 2;

/** Free machines to reserve for each machine with GPUs in use. */
const RESERVED_PER_BUSY_MACHINE = 1 / 2;

/** A free GPU machine, and the size of the images on it that GPU jobs use. */
interface FreeGpuMachine {
  readonly machine: Machine;
  readonly usefulImagesGb: number;
}

/** Could fewer tasks of some GPU job start on the machine now with a task of `spec` on it? */
export function blocksGpuJob(
  machine: Machine,
  spec: JobSpec,
  reservation: GpuReservation,
): boolean {
  if (machine.type.gpus <= 0 || spec.gpus > 0) return false;
  // Before any GPU job was seen, its shape is not known: any task may be in its way. (Replicas that came first, at a
  // cold start, kept a GPU machine from its jobs for a whole day.)
  if (reservation.gpuJobSpecs.length === 0) return true;
  return reservation.gpuJobSpecs.some((gpuJob) => {
    if (!isMachineAllowed(gpuJob, machine)) return false;
    const { freeCpus, freeGpus, freeMemoryGb } = machine;
    const slots = taskSlots(gpuJob, freeCpus, freeGpus, freeMemoryGb);
    return slots > taskSlots(gpuJob, freeCpus - spec.cpus, freeGpus, freeMemoryGb - spec.memoryGb);
  });
}

/**
 * Reserves free GPU machines: half as many as GPU work occupies, two at least, and as many as there are waiting GPU
 * tasks. (Without the last, arrays took each machine as it came free, and gangs waited for minutes beside a quarter of
 * all GPUs.) Those that hold images of GPU jobs come first, because nothing takes longer than pulling these.
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
    if (!takesAnyOf(gpuJobSpecs, machine)) continue;
    free.push({ machine, usefulImagesGb: readyImagesGb(machine, images) });
  }
  free.sort(
    (a, b) => b.usefulImagesGb - a.usefulImagesGb || (a.machine.name < b.machine.name ? -1 : 1),
  );
  const forBusy = Math.ceil(busyMachines * RESERVED_PER_BUSY_MACHINE);
  const count = Math.max(MIN_RESERVED_MACHINES, forBusy, waitingTasks);
  const reserved = free.slice(0, count).map(({ machine }) => machine);
  return { gpuJobSpecs, reservedMachines: new Set(reserved) };
}

/** The images of all GPU jobs, and how many tasks of those that may run are waiting. */
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

const takesAnyOf = (specs: readonly JobSpec[], machine: Machine): boolean =>
  specs.some((spec) => isMachineAllowed(spec, machine) && freeSlotsOn(spec, machine) > 0);

function readyImagesGb(machine: Machine, names: ReadonlySet<string>): number {
  let sumGb = 0;
  for (const [name, image] of machine.images) {
    if (image.isPulled && names.has(name)) sumGb += image.sizeGb;
  }
  return sumGb;
}
