/** Books tasks on machines that were chosen for them. */

import { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { JobShard } from "../state/job-shards.js";
import type { Candidate } from "./candidates.js";
import type { PlanningContext } from "./context.js";

export function assignTasks(
  job: ActiveJob,
  tasks: number[],
  on: Candidate[],
  ctx: PlanningContext,
): number {
  const together = job.mainShard.attempt;
  /** Versions of the job that hold these placements, by the part they stand in. */
  const versions = new Map<JobShard, number>();
  let next = 0;
  for (const c of on) {
    let n = Math.min(c.freeSlots, tasks.length - next);
    // Each booking changes what the job's other tasks leave of the zones.
    for (; n > 0 && job.zones.capacityIn(c.machine.zone) > 0; n--) {
      const task = tasks[next]!;
      const part = job.shardOf(task);
      if (next === 0 && (part === job.mainShard || job.spec.kind === "gang")) {
        job.mainShard.attempt++;
        job.markChanged();
        versions.set(job.mainShard, job.version);
      }
      if (!versions.has(part)) {
        job.markChanged(task);
        versions.set(part, job.version);
      }
      const attempt = job.attemptFor(task, together);
      const version = versions.get(part)!;
      const { incarnation: session } = c.machine;
      const p = new Placement(job, task, attempt, c.machine, session, version, ctx.now);
      next++;
      ctx.cluster.addPlacement(p);
      if (!c.machine.images.has(job.spec.image)) {
        c.machine.images.set(job.spec.image, { at: ctx.now, gb: job.spec.imageGb, ready: false });
      }
      ctx.logTask("place", () => ({
        task: `${job.spec.id}/${p.task}`,
        attempt,
        machine: c.machine.name,
        type: c.machine.type.name,
        zone: c.machine.zone,
        class: job.spec.class,
        waitedS: Math.round((ctx.wallMs - job.objectivesCountFromMs) / 100) / 10,
        imageS: Math.round(c.costS * 10) / 10,
      }));
    }
    if (next >= tasks.length) break;
  }
  return next;
}

export function takeFirst(pending: Iterable<number>, limit: number): number[] {
  const out: number[] = [];
  for (const t of pending) {
    if (out.length >= limit) break;
    out.push(t);
  }
  return out;
}
