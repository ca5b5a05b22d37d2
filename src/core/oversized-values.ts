/** What becomes of a value that the state service refuses although it keeps the limits that are known. */

import type { Fleet } from "./fleet.js";
import { worstBytes } from "./job-values.js";
import type { LeaderContext } from "./leader-context.js";
import type { LiveJob } from "./live-job.js";
import { cutSize, standsInParts } from "./parts.js";
import { largestValue, type Write } from "./writer.js";

/** Part of a value that a job which stands in it may come to; beyond that it is cut. */
const FILLED = 0.95;

export class OversizedValues {
  constructor(
    private readonly context: LeaderContext,
    private readonly fleet: Fleet,
  ) {}

  /**
   * A single value was refused although it keeps the limits that are known. From now on values are planned
   * smaller. Placements in it that are not stored were never sent: they are given up, so that it shrinks until it is
   * taken; what is stored already goes on, and what else there is to write goes on meanwhile.
   */
  refusedAlone(w: Write, now: number): void {
    const bytes = largestValue(w);
    if (bytes === 0) return;
    this.context.valueLimit.refused(bytes, now);
    this.fleet.valuesShrink();
    this.context.log("value refused", { key: w.changes[0]!.key, bytes });
    for (const { job } of w.jobs) this.giveUpUnstored(job, now);
    for (const job of this.context.cluster.jobs.values()) this.cutIfTooLarge(job);
    this.context.needPlan = true;
  }

  private giveUpUnstored(job: LiveJob, now: number): void {
    for (const p of [...job.placements.values()]) {
      const unsent = p.state === "planned" && !job.holds(p.task, p.version);
      if (unsent) this.context.cluster.release(p, now);
    }
  }

  /** A job in one value that may outgrow what is taken now stands in parts from its next write on. */
  private cutIfTooLarge(job: LiveJob): void {
    const bytes = this.context.valueLimit.plannedBytes;
    if (job.partSize !== null || job.spec.tasks < 2) return;
    const fits = job.spec.kind === "array" || !standsInParts(job.spec, bytes);
    if (fits && worstBytes(job) <= FILLED * bytes) return;
    job.cut(cutSize(job.spec, bytes, this.context.settings.txnOps));
  }
}
