/** GPU machines that are kept free of other work, so that GPU jobs find them usable. */
import type { Cluster } from "../cluster.js";
import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";

/** GPU machines that other work must leave usable, and what a GPU job takes of one. */
export interface GpuReservation {
  readonly gpuJobSpecs: readonly JobSpec[];
  readonly reservedMachines: ReadonlySet<Machine>;
}

/** The GPU job that could start on the machine now, and could not with this task on it. */
export function blocksGpuJob(m: Machine, spec: JobSpec, reserve: GpuReservation): boolean {
  if (m.type.gpus <= 0 || spec.gpus > 0) return false;
  // Before any GPU job was seen, its size is not known: any task may be in its way. (Replicas that
  // came first, at a cold start, kept a GPU machine from its jobs for a whole day.)
  if (reserve.gpuJobSpecs.length === 0) return true;
  return reserve.gpuJobSpecs.some(
    (g) =>
      isMachineAllowed(g, m) &&
      taskSlots(g, m.freeCpus, m.freeGpus, m.freeMemoryGb) >
        taskSlots(g, m.freeCpus - spec.cpus, m.freeGpus, m.freeMemoryGb - spec.memoryGb),
  );
}

/**
 * Free GPU machines that are kept so: half as many as GPU work occupies, and two at least, and as
 * many as waiting GPU tasks need (arrays took each as it came free, and gangs waited for minutes
 * beside a quarter of all GPUs). Those
 * that hold the images GPU jobs use come first, because fetching takes them longer than anything.
 */
export function reserveGpuMachines(cluster: Cluster, specs: readonly JobSpec[]): GpuReservation {
  const images = new Set<string>();
  let busy = 0;
  let waiting = 0;
  for (const j of cluster.jobs.values()) {
    if (j.spec.gpus <= 0 || j.isBlockedOnDependencies) continue;
    images.add(j.spec.image);
    if (!j.isCancelled && !j.isComplete && !j.isSuspect) waiting += j.pendingCount;
  }
  const free: { m: Machine; held: number }[] = [];
  for (const m of cluster.machines.values()) {
    if (m.type.gpus <= 0 || m.state !== "up" || m.drainReason !== null || m.interruptionAt !== null)
      continue;
    if (m.gpusUsed > 0) busy++;
    const fits = specs.some(
      (g) => isMachineAllowed(g, m) && taskSlots(g, m.freeCpus, m.freeGpus, m.freeMemoryGb) > 0,
    );
    if (!fits) continue;
    let held = 0;
    for (const [name, i] of m.images) if (i.ready && images.has(name)) held += i.gb;
    free.push({ m, held });
  }
  free.sort((a, b) => b.held - a.held || (a.m.name < b.m.name ? -1 : 1));
  const keep = Math.max(2, Math.ceil(busy / 2), waiting);
  return { gpuJobSpecs: specs, reservedMachines: new Set(free.slice(0, keep).map((f) => f.m)) };
}
