/** Handles values that the state service refuses for their size although they are within the known limits. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import { needsShards, shardSizeForResharding } from "./job-shards.js";
import { maxValueBytes } from "./job-values.js";
import { VALUE_FILL_RATIO } from "./value-size-limit.js";
import { type LeaderTransaction, largestValueBytes } from "./write-composer.js";

/** Makes stored values smaller after the state service refused one for its size. */
export class OversizedValueHandler {
  constructor(
    private readonly context: LeaderContext,
    private readonly machinePool: MachinePool,
  ) {}

  /**
   * Handles the refusal of a transaction with a single value. From then on, values are planned to be smaller.
   * Placements that only the refused value contained were never sent to a worker. They are released, so that the
   * value becomes smaller until it is accepted. Tasks whose placements are stored keep running, and other values are
   * still written.
   */
  handleRefusedValue(transaction: LeaderTransaction, now: number): void {
    const bytes = largestValueBytes(transaction);
    if (bytes === 0) return;
    this.context.valueSizeLimit.recordRefused(bytes, now);
    this.machinePool.shrinkRecordShards();
    this.context.log("value too large", { key: transaction.changes[0]!.key, bytes });
    for (const { job } of transaction.jobWrites) this.releaseUnpersistedPlacements(job, now);
    for (const job of this.context.cluster.jobs.values()) this.reshardIfTooLarge(job);
    this.context.cycleRequested = true;
  }

  private releaseUnpersistedPlacements(job: ActiveJob, now: number): void {
    for (const placement of [...job.placements.values()]) {
      const { state, task, version } = placement;
      const isUnsent = state === "planned" && !job.isPersisted(task, version);
      if (isUnsent) this.context.cluster.releasePlacement(placement, now);
    }
  }

  /** Reshards an unsharded job whose value may exceed the planned size. Its next write stores the shards. */
  private reshardIfTooLarge(job: ActiveJob): void {
    const bytes = this.context.valueSizeLimit.plannedBytes;
    if (job.shardSize !== null || job.spec.tasks < 2) return;
    const mayStayUnsharded = job.spec.kind === "array" || !needsShards(job.spec, bytes);
    if (mayStayUnsharded && maxValueBytes(job) <= VALUE_FILL_RATIO * bytes) return;
    job.reshard(shardSizeForResharding(job.spec, bytes, this.context.settings.txnOps));
  }
}
