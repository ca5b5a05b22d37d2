/** Placement of arrays and services: as many tasks as capacity, quota and the size of stored values allow. */

import type { ActiveJob } from "../jobs/active-job.js";
import { placeableInShard } from "../state/job-shards.js";
import { maxValueBytes, taskNumberBytes } from "../state/job-values.js";
import { assignTasks, takeFirst } from "./assignment.js";
import { type Candidate, findCandidates } from "./candidates.js";
import type { PlanningContext } from "./context.js";

/** Share of a stored value's size limit that placements may fill; the rest is margin. */
const VALUE_FILL_RATIO = 0.95;

/** Bytes of a placement's machine in a stored value, beside the machine's name. */
const MACHINE_ENTRY_BYTES = 12;

/** Numbers in a range of tasks; in the worst case each task is a range of its own. */
const NUMBERS_PER_TASK_RANGE = 2;

/** Share of a transaction's operations for shards of one job: others need the rest. */
const SHARD_WRITE_SHARE = 1 / 4;

/** How many tasks may be placed, and on how many of the candidates. */
interface PlacementLimit {
  readonly tasks: number;
  readonly machines: number;
}

/** Places as many tasks as possible of an array or a service. */
export function placeIndependentTasks(job: ActiveJob, context: PlanningContext): void {
  const quota = context.cluster.quotaSlots(job.spec);
  if (quota <= 0 || job.pendingCount === 0 || job.isOnProbation) return;
  // Before the pass over all machines, which a long queue of large arrays would cost for nothing.
  if (job.shardSize !== null && availableBulkTasks(job, context) < 1) return;
  const candidates = restrictToOneZone(job, findCandidates(job, context));
  if (candidates.length === 0) return;
  const limit =
    job.shardSize === null
      ? limitByValueSize(job, candidates, quota, context)
      : limitByShardWrites(job, job.shardSize, candidates, context);
  // One task shows as well as all of them whether a suspect job still fails.
  const maxTasks = Math.min(quota, limit.tasks, job.isSuspect ? 1 : quota);
  const tasks = takeFirst(placeableTasks(job, context), maxTasks);
  if (tasks.length === 0) return;
  const placed = assignTasks(job, tasks, candidates.slice(0, limit.machines), context);
  if (job.shardSize !== null) context.bulkBudget.takeOnCredit(placed, context.now);
}

/**
 * If all tasks must share a zone: the candidates of the zone that takes most of them, and among equals, of the zone of
 * the best candidate. A service needs slots for all its replicas in the end. (When candidates of all zones were
 * offered, the tasks of one cycle were placed in several.)
 */
function restrictToOneZone(job: ActiveJob, candidates: readonly Candidate[]): readonly Candidate[] {
  const { oneZone, kind, tasks } = job.spec;
  if (!oneZone) return candidates;
  const usefulSlots = kind === "service" ? tasks : job.pendingCount;
  const slotsByZone = new Map<string, number>();
  for (const { machine, freeSlots } of candidates) {
    const slots = (slotsByZone.get(machine.zone) ?? 0) + freeSlots;
    slotsByZone.set(machine.zone, Math.min(usefulSlots, slots));
  }
  const [bestZone] = [...slotsByZone].sort(([, a], [, b]) => b - a)[0] ?? [];
  return candidates.filter(({ machine }) => machine.zone === bestZone);
}

/** The pending tasks, no more of a shard than its value can hold while they are placed. */
function* placeableTasks(job: ActiveJob, context: PlanningContext): Generator<number> {
  const { shardSize } = job;
  const maxPerShard = shardSize === null ? 0 : placeableInShard(shardSize, context.maxValueBytes);
  if (shardSize === null || maxPerShard >= shardSize || job.spec.kind !== "array") {
    yield* job.pendingTasks();
    return;
  }
  const placedByShard = new Map<number, number>();
  for (const task of job.placements.keys()) increment(placedByShard, Math.floor(task / shardSize));
  for (const task of job.pendingTasks()) {
    const shard = Math.floor(task / shardSize);
    if ((placedByShard.get(shard) ?? 0) >= maxPerShard) continue;
    increment(placedByShard, shard);
    yield task;
  }
}

function increment(counts: Map<number, number>, key: number): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** For a job in one value of bounded size: no more tasks than it can hold in the worst case. */
function limitByValueSize(
  job: ActiveJob,
  candidates: readonly Candidate[],
  quota: number,
  context: PlanningContext,
): PlacementLimit {
  let freeBytes = VALUE_FILL_RATIO * context.maxValueBytes - maxValueBytes(job);
  let tasks = 0;
  let machines = 0;
  const bytesPerTask = NUMBERS_PER_TASK_RANGE * taskNumberBytes(job);
  for (const { machine, freeSlots } of candidates) {
    freeBytes -= machine.name.length + MACHINE_ENTRY_BYTES;
    const slots = Math.min(freeSlots, Math.floor(freeBytes / bytesPerTask));
    if (slots < 1) break;
    freeBytes -= slots * bytesPerTask;
    tasks += slots;
    machines++;
    if (tasks >= quota) break;
  }
  return { tasks, machines };
}

/**
 * For a sharded job, whose values hold any number of tasks. Each shard is a write, so no more are begun than go into
 * one transaction beside those of other jobs; and each task's start, heartbeat and end takes time, so the rate is
 * bounded. (A guest's 25,000 tasks of six seconds were placed at 450 a second: heartbeats of all machines were late, 28
 * machines were taken for lost, and gangs within a guarantee waited for two minutes.)
 */
function limitByShardWrites(
  job: ActiveJob,
  shardSize: number,
  candidates: readonly Candidate[],
  context: PlanningContext,
): PlacementLimit {
  let shards = Math.floor(context.settings.txnOps * SHARD_WRITE_SHARE);
  for (const shard of job.unpersistedShards) if (shard.hasUnpersistedPlacement) shards--;
  let freeSlots = 0;
  for (const candidate of candidates) freeSlots += candidate.freeSlots;
  const tasks = Math.min(freeSlots, availableBulkTasks(job, context), shards * shardSize);
  return { tasks: Math.max(0, tasks), machines: candidates.length };
}

/** How many tasks of a sharded job may be placed now; production is not limited. */
function availableBulkTasks(job: ActiveJob, context: PlanningContext): number {
  if (job.spec.priority === "production") return Number.MAX_SAFE_INTEGER;
  return Math.floor(context.bulkBudget.available(context.now));
}
