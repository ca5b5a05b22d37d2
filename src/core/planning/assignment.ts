/** Assigns tasks to the chosen machines. */

import { Placement } from "../dispatch/placement.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { Machine } from "../machines/machine.js";
import type { JobShard } from "../state/job-shards.js";
import type { Candidate } from "./candidates.js";
import type { PlanningContext } from "./context.js";

/**
 * Places as many of `tasks` as fit on the candidates, in their order. Returns the number of tasks placed. A placement
 * counts against its team's quota and its machine's capacity immediately; it is stored later, with the job.
 */
export function assignTasks(
  job: ActiveJob,
  tasks: readonly number[],
  candidates: readonly Candidate[],
  context: PlanningContext,
): number {
  const batch = new PlacementBatch(job);
  let placed = 0;
  for (const candidate of candidates) {
    const { machine } = candidate;
    let slots = Math.min(candidate.freeSlots, tasks.length - placed);
    // The zone's capacity is checked again for each task, because every placement changes it.
    for (; slots > 0 && job.zones.capacityIn(machine.zone) > 0; slots--) {
      const placement = batch.createPlacement(tasks[placed]!, machine, context.now);
      placed++;
      context.cluster.addPlacement(placement);
      recordImagePull(job, machine, context);
      logPlacement(placement, candidate, context);
    }
    if (placed >= tasks.length) break;
  }
  return placed;
}

/**
 * Creates the placements of one batch, with attempt numbers and versions. All placements of a shard in the batch
 * share one version.
 */
class PlacementBatch {
  private readonly commonAttempt: number;
  /** The job version that contains the placements of a shard, by shard. */
  private readonly versionByShard = new Map<JobShard, number>();
  private isFirstPlacement = true;

  constructor(private readonly job: ActiveJob) {
    this.commonAttempt = job.mainShard.attempt;
  }

  createPlacement(task: number, machine: Machine, now: number): Placement {
    const { job } = this;
    const shard = job.shardOf(task);
    if (this.isFirstPlacement && (shard === job.mainShard || job.spec.kind === "gang")) {
      job.mainShard.attempt++;
      job.markChanged();
      this.versionByShard.set(job.mainShard, job.version);
    }
    this.isFirstPlacement = false;
    let version = this.versionByShard.get(shard);
    if (version === undefined) {
      job.markChanged(task);
      version = job.version;
      this.versionByShard.set(shard, version);
    }
    const attempt = job.attemptFor(task, this.commonAttempt);
    return new Placement(job, task, attempt, machine, machine.incarnation, version, now);
  }
}

/** Records that the machine pulls the job's image, unless it holds or pulls it already. */
function recordImagePull({ spec }: ActiveJob, { images }: Machine, context: PlanningContext): void {
  if (images.has(spec.image)) return;
  images.set(spec.image, { lastUsedAt: context.now, sizeGb: spec.imageGb, isPulled: false });
}

function logPlacement(
  { job, task, attempt, machine }: Placement,
  { costS }: Candidate,
  context: PlanningContext,
): void {
  context.logTask("place", () => ({
    task: `${job.spec.id}/${task}`,
    attempt,
    machine: machine.name,
    type: machine.type.name,
    zone: machine.zone,
    class: job.spec.class,
    waitedS: Math.round((context.wallMs - job.objectivesStartMs) / 100) / 10,
    imageS: Math.round(costS * 10) / 10,
  }));
}

/** Returns the first items, `limit` at most. */
export function takeFirst(items: Iterable<number>, limit: number): number[] {
  const taken: number[] = [];
  for (const item of items) {
    if (taken.length >= limit) break;
    taken.push(item);
  }
  return taken;
}
