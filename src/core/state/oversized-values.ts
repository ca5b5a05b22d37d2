/** What becomes of a value that the state service refuses although it keeps the limits that are known. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import { needsShards, reshardingSize } from "./job-shards.js";
import { maxValueBytes } from "./job-values.js";
import { type LeaderTransaction, largestValueBytes } from "./write-composer.js";

/** Part of a value that a job which stands in it may come to; beyond that it is cut. */
const MAX_FILL_RATIO = 0.95;

export class OversizedValueHandler {
  constructor(
    private readonly context: LeaderContext,
    private readonly machinePool: MachinePool,
  ) {}

  /**
   * A single value was refused although it keeps the limits that are known. From now on values are planned
   * smaller. Placements in it that are not stored were never sent: they are given up, so that it shrinks until it is
   * taken; what is stored already goes on, and what else there is to write goes on meanwhile.
   */
  handleRefusedValue(w: LeaderTransaction, now: number): void {
    const bytes = largestValueBytes(w);
    if (bytes === 0) return;
    this.context.valueSizeLimit.recordRefused(bytes, now);
    this.machinePool.shrinkRecordShards();
    this.context.log("value too large", { key: w.changes[0]!.key, bytes });
    for (const { job } of w.jobWrites) this.releaseUnpersistedPlacements(job, now);
    for (const job of this.context.cluster.jobs.values()) this.reshardIfTooLarge(job);
    this.context.cycleRequested = true;
  }

  private releaseUnpersistedPlacements(job: ActiveJob, now: number): void {
    for (const p of [...job.placements.values()]) {
      const unsent = p.state === "planned" && !job.isPersisted(p.task, p.version);
      if (unsent) this.context.cluster.releasePlacement(p, now);
    }
  }

  /** A job in one value that may outgrow what is taken now stands in parts from its next write on. */
  private reshardIfTooLarge(job: ActiveJob): void {
    const bytes = this.context.valueSizeLimit.plannedBytes;
    if (job.shardSize !== null || job.spec.tasks < 2) return;
    const fits = job.spec.kind === "array" || !needsShards(job.spec, bytes);
    if (fits && maxValueBytes(job) <= MAX_FILL_RATIO * bytes) return;
    job.reshard(reshardingSize(job.spec, bytes, this.context.settings.txnOps));
  }
}
