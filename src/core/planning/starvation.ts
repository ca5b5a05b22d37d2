/** Jobs that have waited for too long go first, so that none of any size starves. */
import type { LiveJob } from "../live-job.js";
import { slots } from "../machine.js";
import { BEGIN_S } from "../model.js";
import { machineAllowed } from "../placement-rules.js";
import type { PlanContext } from "./context.js";
import { machinesThatFit } from "./eligibility.js";
import { waitedShare } from "./urgency.js";

/**
 * Of each class, the largest job that has waited for half of that bound without a start. It goes
 * before all but production, one of a class at a time, and after each the others come first for as long
 * as leaves it two thirds of all there is. (Without that, every job went largest first once a burst
 * had lasted for two minutes; with half, the middle one of the largest began after 289 s.)
 */
export function starvingOf(waiting: readonly LiveJob[], ctx: PlanContext): Set<LiveJob> {
  const worst = new Map<string, LiveJob[]>();
  for (const j of waiting) {
    if (j.suspected || j.done.size > 0 || j.present > 0) continue;
    if (waitedShare(j, ctx) < 0.5) continue;
    if (ctx.now < (ctx.cluster.othersFirst.get(j.spec.class) ?? 0)) continue;
    const of = worst.get(j.spec.class);
    if (of === undefined) worst.set(j.spec.class, [j]);
    else of.push(j);
  }
  const out = new Set<LiveJob>();
  for (const jobs of worst.values()) {
    // Whoever is past the bound comes after those that still can begin within it.
    const past = (j: LiveJob): number => (waitedShare(j, ctx) >= 1 ? 1 : 0);
    jobs.sort(
      (a, b) => past(a) - past(b) || b.spec.tasks - a.spec.tasks || a.submittedAt - b.submittedAt,
    );
    out.add(jobs[0]!);
  }
  for (const j of waiting) j.starving = out.has(j);
  return out;
}

/** A starving job was placed: a third of the room of its class is for others. */
export function yieldToOthers(job: LiveJob, ctx: PlanContext): void {
  if (!job.starving) return;
  job.starving = false;
  let room = 0;
  for (const m of machinesThatFit(job.spec, ctx)) {
    if (!machineAllowed(job.spec, m)) continue;
    room += slots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
  }
  const forS = (1.5 * job.spec.tasks * Math.max(1, job.spec.estimateS)) / Math.max(1, room);
  ctx.cluster.othersFirst.set(job.spec.class, ctx.now + Math.min(forS, BEGIN_S / 4));
}
