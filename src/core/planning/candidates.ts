/** Machines with room for a task of a job, the best first. */
import type { LiveJob } from "../live-job.js";
import { type Machine, slots } from "../machine.js";
import type { JobSpec } from "../model.js";
import { machineAllowed } from "../placement-rules.js";
import type { PlanContext } from "./context.js";
import { imageWaitS, roomOpenTo } from "./eligibility.js";
import { blocksGpuJob, type GpuReserve } from "./gpu-reserve.js";

/** Lower is better; in seconds of waiting, more or less. */
function score(m: Machine, spec: JobSpec, reserve: GpuReserve): number {
  let s = imageWaitS(m, spec);
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
  readonly fits: number;
  readonly score: number;
}

/** It has waited so long that any place will do. */
export const takesAnyPlace = (job: LiveJob, ctx: PlanContext): boolean =>
  job.waitingSince !== null && ctx.now - job.waitingSince > 2 * ctx.settings.reportS;

export function candidates(job: LiveJob, ctx: PlanContext, reserve: GpuReserve): Candidate[] {
  const out: Candidate[] = [];
  for (const m of ctx.snapshot.open) {
    let fits = slots(job.spec, m.freeCpus, m.freeGpus, m.freeMemory);
    if (fits === 0 || !roomOpenTo(m, job)) continue;
    if (!machineAllowed(job.spec, m) || job.zones.roomIn(m.zone) === 0) continue;
    if (job.failures.avoids(m.name, ctx.now)) continue;
    // A replica stays for long. It takes a GPU away only when there was time to make room elsewhere.
    if (
      fits > 0 &&
      job.spec.kind === "service" &&
      !takesAnyPlace(job, ctx) &&
      blocksGpuJob(m, job.spec, reserve)
    )
      continue;
    if (
      fits > 0 &&
      job.spec.gpus === 0 &&
      job.spec.priority !== "production" &&
      reserve.kept.has(m)
    ) {
      // What is left beside the GPU job that this machine is kept for.
      for (const g of reserve.specs) {
        if (slots(g, m.freeCpus, m.freeGpus, m.freeMemory) < 1) continue;
        const beside = slots(job.spec, m.freeCpus - g.cpus, Infinity, m.freeMemory - g.memoryGb);
        fits = Math.min(fits, beside);
      }
    }
    if (fits > 0) out.push({ machine: m, fits, score: score(m, job.spec, reserve) });
  }
  return out.sort((a, b) => a.score - b.score || (a.machine.name < b.machine.name ? -1 : 1));
}
