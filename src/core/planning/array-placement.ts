/** Places as many tasks of arrays and services as capacity, quota and the size limit of stored values allow. */

import type { ActiveJob } from "../jobs/active-job.js";
import {
  fitsDescription,
  maxActiveTasksInShard,
  shardSizeForResharding,
} from "../state/job-shards.js";
import { maxValueBytes, taskNumberBytes } from "../state/job-values.js";
import { VALUE_FILL_RATIO } from "../state/value-size-limit.js";
import { assignTasks, takeFirst } from "./assignment.js";
import { type Candidate, findCandidates } from "./candidates.js";
import type { PlanningContext } from "./context.js";

/** Bytes of a machine's entry in a stored value, in addition to the machine's name. */
const MACHINE_ENTRY_BYTES = 12;

/**
 * Maximum number of task numbers that a value has to hold per placed task. In the worst case, each placed task is
 * stored as a separate range and also splits a range of done tasks in two (`maxValueBytes`).
 */
const NUMBERS_PER_PLACED_TASK = 2;

/** Share of a transaction's operations that the shards of one job may use. Other jobs need the rest. */
const SHARD_WRITE_SHARE = 1 / 4;

/** Maximum number of tasks to place, and of machines to place them on. */
interface PlacementLimit {
  readonly tasks: number;
  readonly machines: number;
}

/** Places as many tasks as possible of an array or a service. */
export function placeIndependentTasks(job: ActiveJob, context: PlanningContext): void {
  const quota = context.cluster.quotaSlots(job.spec);
  if (quota <= 0 || job.pendingCount === 0 || job.hasRetryInProgress) return;
  // If the rate limit allows no task now, the search for candidates on all machines is skipped. Otherwise it would be
  // repeated to no effect for each large array in a long queue.
  if (job.shardSize !== null && shardedTasksWithinRate(job, context) < 1) return;
  const candidates = restrictToOneZone(job, findCandidates(job, context));
  if (candidates.length === 0) return;
  const limit = placementLimit(job, candidates, quota, context);
  // A single task is enough to find out whether a suspect job still fails.
  const maxTasks = Math.min(quota, limit.tasks, job.isSuspect ? 1 : quota);
  const tasks = takeFirst(placeableTasks(job, context), maxTasks);
  if (tasks.length === 0) return;
  const placed = assignTasks(job, tasks, candidates.slice(0, limit.machines), context);
  if (job.shardSize !== null) context.shardedTaskBudget.takeOnCredit(placed, context.now);
}

/**
 * For a job whose tasks must share a zone, returns the candidates of the zone with the most usable slots; among equal
 * zones, the zone of the cheapest candidate. Slots in excess of the job's pending tasks are not counted, because the
 * job cannot use them. For a service, all its tasks are taken instead of the pending ones, because all of them must
 * eventually fit in the zone. Without this restriction, tasks placed in one cycle ended up in several zones.
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

/** The pending tasks, limited per shard to the number of placements that the shard's stored value can hold. */
function* placeableTasks(job: ActiveJob, context: PlanningContext): Generator<number> {
  const { shardSize } = job;
  const maxPerShard =
    shardSize === null ? 0 : maxActiveTasksInShard(shardSize, context.maxValueBytes);
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

/**
 * Limit of a job. A job whose single value is full is split into shards if none of its tasks will make room by ending: a
 * service runs until it is cancelled, and an array may have no task left that runs.
 */
function placementLimit(
  job: ActiveJob,
  candidates: readonly Candidate[],
  quota: number,
  context: PlanningContext,
): PlacementLimit {
  if (job.shardSize === null) {
    const limit = limitByValueSize(job, candidates, quota, context);
    const makesRoom = job.spec.kind !== "service" && job.placementCount > 0;
    if (limit.tasks > 0 || makesRoom || !splitIntoShards(job, context)) return limit;
  }
  return limitByShardWrites(job, job.shardSize!, candidates, context);
}

/** Splits the job into shards, or reports that its description alone is too large. Returns whether it was split. */
function splitIntoShards(job: ActiveJob, context: PlanningContext): boolean {
  const { maxValueBytes: limit, settings } = context;
  if (job.isStartAccepted && fitsDescription(job.spec, limit)) {
    job.reshard(shardSizeForResharding(job.spec, limit, settings.txnOps));
    return true;
  }
  context.reportValueLimit(job, maxValueBytes(job));
  return false;
}

/** Limit for a job stored in a single value: the tasks that the value can hold in the worst case. */
function limitByValueSize(
  job: ActiveJob,
  candidates: readonly Candidate[],
  quota: number,
  context: PlanningContext,
): PlacementLimit {
  let freeBytes = VALUE_FILL_RATIO * context.maxValueBytes - maxValueBytes(job);
  let tasks = 0;
  let machines = 0;
  const bytesPerTask = NUMBERS_PER_PLACED_TASK * taskNumberBytes(job);
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
 * Limit for a sharded job, whose number of tasks is not limited by the size of one value. Each shard is a separate
 * write, so the number of shards is limited to those that fit into one transaction beside the writes of other jobs.
 * Processing each task's start, heartbeats and end takes CPU time, so the rate of placements is limited too. Without
 * the rate limit, 25,000 tasks of six seconds each, of a team without a guarantee, were placed at 450 a second: the
 * heartbeats of all machines were late, 28 machines were considered lost, and gangs within a guarantee waited for two
 * minutes.
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
  const tasks = Math.min(freeSlots, shardedTasksWithinRate(job, context), shards * shardSize);
  return { tasks: Math.max(0, tasks), machines: candidates.length };
}

/** Number of tasks of a sharded job that the rate limit allows now. Production jobs are not limited. */
function shardedTasksWithinRate(job: ActiveJob, context: PlanningContext): number {
  if (job.spec.priority === "production") return Number.MAX_SAFE_INTEGER;
  return Math.floor(context.shardedTaskBudget.available(context.now));
}
