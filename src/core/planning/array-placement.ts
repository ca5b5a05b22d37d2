/** Placement of arrays and services: as many tasks as there is room for, within what one write can hold. */

import type { ActiveJob } from "../jobs/active-job.js";
import { placeableInShard } from "../state/job-shards.js";
import { maxValueBytes, taskNumberBytes } from "../state/job-values.js";
import { assignTasks, takeFirst } from "./assignment.js";
import { type Candidate, findCandidates } from "./candidates.js";
import type { PlanningContext } from "./context.js";
import type { GpuReservation } from "./gpu-reservation.js";

export function placeIndependentTasks(
  job: ActiveJob,
  ctx: PlanningContext,
  reserve: GpuReservation,
): void {
  const quota = ctx.cluster.quotaSlots(job.spec);
  if (quota <= 0 || job.pendingCount === 0 || job.isOnProbation) return;
  // Before the look at all machines, which a long queue of large arrays would cost for nothing.
  if (job.shardSize !== null && availableBulkTasks(job, ctx) < 1) return;
  const on = restrictToOneZone(job, findCandidates(job, ctx, reserve));
  if (on.length === 0) return;
  const most =
    job.shardSize === null
      ? limitByValueSize(job, on, quota, ctx)
      : limitByShardWrites(job, on, ctx);
  // One task shows as well as all of them whether the job still fails.
  const limit = Math.min(quota, most.tasks, !job.isSuspect ? quota : 1);
  const tasks = takeFirst(placeableTasks(job, ctx), limit);
  if (tasks.length === 0) return;
  const placed = assignTasks(job, tasks, on.slice(0, most.machines), ctx);
  if (job.shardSize !== null) ctx.bulkBudget.takeOnCredit(placed, ctx.now);
}

/**
 * If all tasks must share a zone and none is placed yet: the machines of the zone that takes most of them, and of
 * those alike in this, the zone of the best machine. A service needs places for all its replicas in the end.
 * (The machines of all zones were offered, and the tasks of one pass stood in several.)
 */
function restrictToOneZone(job: ActiveJob, on: readonly Candidate[]): readonly Candidate[] {
  const { oneZone, kind, tasks } = job.spec;
  if (!oneZone) return on;
  const want = kind === "service" ? tasks : job.pendingCount;
  const fits = new Map<string, number>();
  for (const c of on) {
    const { zone } = c.machine;
    fits.set(zone, Math.min(want, (fits.get(zone) ?? 0) + c.freeSlots));
  }
  const [best] = [...fits].sort((a, b) => b[1] - a[1])[0] ?? [];
  return on.filter((c) => c.machine.zone === best);
}

/** Tasks that wait for a place, no more of a part than its value can hold while they are under way. */
function* placeableTasks(job: ActiveJob, ctx: PlanningContext): Generator<number> {
  const size = job.shardSize;
  const most = size === null ? 0 : placeableInShard(size, ctx.maxValueBytes);
  if (size === null || most >= size || job.spec.kind !== "array") {
    yield* job.pendingTasks();
    return;
  }
  const underWay = new Map<number, number>();
  for (const task of job.placements.keys()) increment(underWay, Math.floor(task / size));
  for (const task of job.pendingTasks()) {
    const part = Math.floor(task / size);
    if ((underWay.get(part) ?? 0) >= most) continue;
    increment(underWay, part);
    yield task;
  }
}

const increment = (counts: Map<number, number>, key: number): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1);
};

/** A pipeline in one value of bounded length: no more is placed than it can hold at the worst. */
function limitByValueSize(
  job: ActiveJob,
  on: readonly Candidate[],
  quota: number,
  ctx: PlanningContext,
) {
  let room = 0.95 * ctx.maxValueBytes - maxValueBytes(job);
  let tasks = 0;
  let machines = 0;
  for (const c of on) {
    room -= c.machine.name.length + 12;
    const fit = Math.min(c.freeSlots, Math.floor(room / (2 * taskNumberBytes(job))));
    if (fit < 1) break;
    room -= fit * 2 * taskNumberBytes(job);
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
function limitByShardWrites(job: ActiveJob, on: readonly Candidate[], ctx: PlanningContext) {
  let parts = Math.floor(ctx.settings.txnOps / 4);
  for (const part of job.unpersistedShards) if (part.hasUnpersistedPlacement) parts--;
  let fits = 0;
  for (const c of on) fits += c.freeSlots;
  const tasks = Math.max(0, Math.min(fits, availableBulkTasks(job, ctx), parts * job.shardSize!));
  return { tasks, machines: on.length };
}

/** Tasks of jobs in parts that may be placed now. */
function availableBulkTasks(job: ActiveJob, ctx: PlanningContext): number {
  if (job.spec.priority === "production") return Number.MAX_SAFE_INTEGER;
  return Math.floor(ctx.bulkBudget.available(ctx.now));
}
