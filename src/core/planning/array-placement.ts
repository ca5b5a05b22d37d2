/** Placement of arrays and services: as many tasks as there is room for, within what one write can hold. */
import { taskBytes, worstBytes } from "../job-values.js";
import type { LiveJob } from "../live-job.js";
import { placeableInPart } from "../parts.js";
import { place, take } from "./assignment.js";
import { type Candidate, candidates } from "./candidates.js";
import type { PlanContext } from "./context.js";
import type { GpuReserve } from "./gpu-reserve.js";

export function placeTasks(job: LiveJob, ctx: PlanContext, reserve: GpuReserve): void {
  const quota = ctx.cluster.quotaSlots(job.spec);
  if (quota <= 0 || job.pendingCount === 0 || job.onTrial) return;
  // Before the look at all machines, which a long queue of large arrays would cost for nothing.
  if (job.partSize !== null && bulkRate(job, ctx) < 1) return;
  const on = inOneZone(job, candidates(job, ctx, reserve));
  if (on.length === 0) return;
  const most =
    job.partSize === null ? fittingValue(job, on, quota, ctx) : fittingParts(job, on, ctx);
  // One task shows as well as all of them whether the job still fails.
  const limit = Math.min(quota, most.tasks, !job.suspected ? quota : 1);
  const tasks = take(placeable(job, ctx), limit);
  if (tasks.length === 0) return;
  const placed = place(job, tasks, on.slice(0, most.machines), ctx);
  if (job.partSize !== null) ctx.bulk.force(placed, ctx.now);
}

/**
 * If all tasks must share a zone and none is placed yet: the machines of the zone that takes most of them, and of
 * those alike in this, the zone of the best machine. A service needs places for all its replicas in the end.
 * (The machines of all zones were offered, and the tasks of one pass stood in several.)
 */
function inOneZone(job: LiveJob, on: readonly Candidate[]): readonly Candidate[] {
  const { oneZone, kind, tasks } = job.spec;
  if (!oneZone) return on;
  const want = kind === "service" ? tasks : job.pendingCount;
  const fits = new Map<string, number>();
  for (const c of on) {
    const { zone } = c.machine;
    fits.set(zone, Math.min(want, (fits.get(zone) ?? 0) + c.fits));
  }
  const [best] = [...fits].sort((a, b) => b[1] - a[1])[0] ?? [];
  return on.filter((c) => c.machine.zone === best);
}

/** Tasks that wait for a place, no more of a part than its value can hold while they are under way. */
function* placeable(job: LiveJob, ctx: PlanContext): Generator<number> {
  const size = job.partSize;
  const most = size === null ? 0 : placeableInPart(size, ctx.valueBytes);
  if (size === null || most >= size || job.spec.kind !== "array") {
    yield* job.pending();
    return;
  }
  const underWay = new Map<number, number>();
  for (const task of job.placements.keys()) count(underWay, Math.floor(task / size));
  for (const task of job.pending()) {
    const part = Math.floor(task / size);
    if ((underWay.get(part) ?? 0) >= most) continue;
    count(underWay, part);
    yield task;
  }
}

const count = (counts: Map<number, number>, key: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1);
};

/** A pipeline in one value of bounded length: no more is placed than it can hold at the worst. */
function fittingValue(job: LiveJob, on: readonly Candidate[], quota: number, ctx: PlanContext) {
  let room = 0.95 * ctx.valueBytes - worstBytes(job);
  let tasks = 0;
  let machines = 0;
  for (const c of on) {
    room -= c.machine.name.length + 12;
    const fit = Math.min(c.fits, Math.floor(room / (2 * taskBytes(job))));
    if (fit < 1) break;
    room -= fit * 2 * taskBytes(job);
    tasks += fit;
    machines++;
    if (tasks >= quota) break;
  }
  return { tasks, machines };
}

/**
 * In parts: any number of tasks fits. But each part is a write, so no more are begun than go into
 * one transaction beside those of others; and each task's start, report and end takes time, so there are
 * so many a second. (A guest's 25,000 tasks of six seconds went out at 450 a second: reports of all
 * machines were late, 28 were taken for dead, and gangs within a guarantee waited for two minutes.)
 */
function fittingParts(job: LiveJob, on: readonly Candidate[], ctx: PlanContext) {
  let parts = Math.floor(ctx.settings.txnOps / 4);
  for (const part of job.unsaved) if (part.startsWait) parts--;
  let fits = 0;
  for (const c of on) fits += c.fits;
  const tasks = Math.max(0, Math.min(fits, bulkRate(job, ctx), parts * job.partSize!));
  return { tasks, machines: on.length };
}

/** Tasks of jobs in parts that may be placed now. */
function bulkRate(job: LiveJob, ctx: PlanContext): number {
  if (job.spec.priority === "production") return Number.MAX_SAFE_INTEGER;
  return Math.floor(ctx.bulk.available(ctx.now));
}
