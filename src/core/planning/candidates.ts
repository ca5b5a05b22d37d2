/** Machines with room for a task of a job, the best first. */

import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { PlanningContext } from "./context.js";
import { imagePullS, isCapacityOpenTo } from "./eligibility.js";
import { blocksGpuJob, type GpuReservation } from "./gpu-reservation.js";

/** Lower is better; in seconds of waiting, more or less. */
function placementCostS(m: Machine, spec: JobSpec, reserve: GpuReservation): number {
  let s = imagePullS(m, spec);
  // Work without GPUs should leave GPUs usable: what blocks one costs as much as a boot.
  if (blocksGpuJob(m, spec, reserve)) s += m.type.bootS * 2;
  if (spec.kind === "service") {
    // Replicas apart from one another, so that a machine's end takes few.
    for (const p of m.placements.values()) if (p.job.spec.kind === "service") s += 0.2;
  } else {
    // Others where little is left, and off the machines that replicas need.
    s += 0.5 * (m.freeCpus / Math.max(m.type.cpus, 1));
    // What cannot save loses all when a spot machine is taken: it leaves those to what can. (Of the jobs
    // that ended late, half had a task on one that was taken.)
    if (m.spot) s += spec.checkpointS > 0 ? -1 : 1;
  }
  return s;
}

export interface Candidate {
  readonly machine: Machine;
  readonly freeSlots: number;
  readonly costS: number;
}

/** It has waited so long that any place will do. */
export const acceptsAnyMachine = (job: ActiveJob, ctx: PlanningContext): boolean =>
  job.waitingSince !== null && ctx.now - job.waitingSince > 2 * ctx.settings.heartbeatIntervalS;

export function findCandidates(
  job: ActiveJob,
  ctx: PlanningContext,
  reserve: GpuReservation,
): Candidate[] {
  const out: Candidate[] = [];
  for (const m of ctx.snapshot.withFreeCapacity) {
    let fits = taskSlots(job.spec, m.freeCpus, m.freeGpus, m.freeMemoryGb);
    if (fits === 0 || !isCapacityOpenTo(m, job)) continue;
    if (!isMachineAllowed(job.spec, m) || job.zones.capacityIn(m.zone) === 0) continue;
    if (job.failures.avoids(m.name, ctx.now)) continue;
    // A replica stays for long. It takes a GPU away only when there was time to make room elsewhere.
    if (
      fits > 0 &&
      job.spec.kind === "service" &&
      !acceptsAnyMachine(job, ctx) &&
      blocksGpuJob(m, job.spec, reserve)
    )
      continue;
    if (
      fits > 0 &&
      job.spec.gpus === 0 &&
      job.spec.priority !== "production" &&
      reserve.reservedMachines.has(m)
    ) {
      // What is left beside the GPU job that this machine is kept for.
      for (const g of reserve.gpuJobSpecs) {
        if (taskSlots(g, m.freeCpus, m.freeGpus, m.freeMemoryGb) < 1) continue;
        const beside = taskSlots(
          job.spec,
          m.freeCpus - g.cpus,
          Infinity,
          m.freeMemoryGb - g.memoryGb,
        );
        fits = Math.min(fits, beside);
      }
    }
    if (fits > 0)
      out.push({ machine: m, freeSlots: fits, costS: placementCostS(m, job.spec, reserve) });
  }
  return out.sort((a, b) => a.costS - b.costS || (a.machine.name < b.machine.name ? -1 : 1));
}
