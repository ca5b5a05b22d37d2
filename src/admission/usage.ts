/**
 * Adapter between the scheduler core and the window computation: derives the input of the next admission window from
 * the leader's cluster state.
 */
import type { Cluster } from "../core/cluster.js";
import type { Period } from "./calendar.js";
import {
  addResources,
  NO_RESOURCES,
  type RejectionRecord,
  type ResourceVector,
  resourcesOf,
} from "./model.js";
import type { ClassUsage } from "./window.js";

/** Returns the total capacity of the machines that are up or booting. */
export function capacityOf(cluster: Cluster): ResourceVector {
  let capacity = NO_RESOURCES;
  for (const { state, type } of cluster.machines.values()) {
    if (state === "up" || state === "booting") capacity = addResources(capacity, type);
  }
  return capacity;
}

/** A `ClassUsage` without its weight, while the sums are being computed. */
interface MutableUsage {
  readonly team: string;
  readonly class: string;
  /** Whether the class has an unfinished job of priority `production`. */
  production: boolean;
  /** Total resources of the tasks that are not done. */
  unfinished: ResourceVector;
  /** Total resources in the rejection records. */
  refused: ResourceVector;
}

/** Accumulates the usage of classes, in the order in which they first appear. */
class UsageTable {
  private readonly usages = new Map<string, MutableUsage>();

  /** Returns the entry of a class, creating it if necessary. */
  findOrCreate(team: string, className: string): MutableUsage {
    const key = JSON.stringify([team, className]);
    const existing = this.usages.get(key);
    if (existing !== undefined) return existing;
    const usage: MutableUsage = {
      team,
      class: className,
      production: false,
      unfinished: NO_RESOURCES,
      refused: NO_RESOURCES,
    };
    this.usages.set(key, usage);
    return usage;
  }

  withWeights(periods: readonly Period[]): ClassUsage[] {
    return [...this.usages.values()].map((usage) => ({
      ...usage,
      weight: classWeightOf(usage, periods),
    }));
  }
}

/** Returns the usage and weight of every class with unfinished or rejected jobs. `periods`: the active periods. */
export function classUsages(
  cluster: Cluster,
  rejections: readonly RejectionRecord[],
  periods: readonly Period[],
): ClassUsage[] {
  const usages = new UsageTable();
  for (const job of cluster.jobs.values()) {
    // A job that is blocked on dependencies does not use resources yet, and a cancelled job no longer does.
    if (job.isBlockedOnDependencies || job.isCancelled) continue;
    const usage = usages.findOrCreate(job.spec.team, job.spec.class);
    const unfinishedTasks = Math.max(0, job.spec.tasks - job.doneTasks.size);
    usage.unfinished = addResources(usage.unfinished, resourcesOf(job.spec, unfinishedTasks));
    if (job.spec.priority === "production") usage.production = true;
  }
  for (const record of rejections) {
    for (const refused of record.classes) {
      if (!cluster.teams.has(refused.team)) continue;
      const usage = usages.findOrCreate(refused.team, refused.class);
      usage.refused = addResources(usage.refused, refused.resources);
    }
  }
  return usages.withWeights(periods);
}

function classWeightOf(usage: MutableUsage, periods: readonly Period[]): number {
  return periods
    .filter((period) => period.team === usage.team && period.class === usage.class)
    .reduce((weight, period) => weight * period.weight, 1);
}

/**
 * Returns the weight factor of each team for which a period applies to the whole team: the product of the weights of
 * these periods. `periods`: the active periods.
 */
export function teamWeightsOf(periods: readonly Period[]): Map<string, number> {
  const weights = new Map<string, number>();
  for (const { team, class: className, weight } of periods) {
    if (className === null) weights.set(team, (weights.get(team) ?? 1) * weight);
  }
  return weights;
}
