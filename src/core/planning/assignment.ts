/** Books tasks on machines that were chosen for them. */
import type { LiveJob } from "../live-job.js";
import type { Part } from "../parts.js";
import { Placement } from "../placement.js";
import type { Candidate } from "./candidates.js";
import type { PlanContext } from "./context.js";

export function place(job: LiveJob, tasks: number[], on: Candidate[], ctx: PlanContext): number {
  const together = job.main.attempt;
  /** Versions of the job that hold these placements, by the part they stand in. */
  const versions = new Map<Part, number>();
  let next = 0;
  for (const c of on) {
    let n = Math.min(c.fits, tasks.length - next);
    // Each booking changes what the job's other tasks leave of the zones.
    for (; n > 0 && job.zones.roomIn(c.machine.zone) > 0; n--) {
      const task = tasks[next]!;
      const part = job.partOf(task);
      if (next === 0 && (part === job.main || job.spec.kind === "gang")) {
        job.main.attempt++;
        job.touch();
        versions.set(job.main, job.version);
      }
      if (!versions.has(part)) {
        job.touch(task);
        versions.set(part, job.version);
      }
      const attempt = job.attemptFor(task, together);
      const version = versions.get(part)!;
      const { session } = c.machine;
      const p = new Placement(job, task, attempt, c.machine, session, version, ctx.now);
      next++;
      ctx.cluster.add(p);
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
        waitedS: Math.round((ctx.wallMs - job.countsFrom) / 100) / 10,
        imageS: Math.round(c.score * 10) / 10,
      }));
    }
    if (next >= tasks.length) break;
  }
  return next;
}

export function take(pending: Iterable<number>, limit: number): number[] {
  const out: number[] = [];
  for (const t of pending) {
    if (out.length >= limit) break;
    out.push(t);
  }
  return out;
}
