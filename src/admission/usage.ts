/** What the leader's view of the cluster says of the load: the adapter between the core and the windows. */
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

/** Of all machines that run tasks or are coming up. */
export function capacityOf(cluster: Cluster): ResourceVector {
  let sum = NO_RESOURCES;
  for (const m of cluster.machines.values()) {
    if (m.state === "up" || m.state === "booting") sum = addResources(sum, m.type);
  }
  return sum;
}

interface MutableUsage {
  readonly team: string;
  readonly class: string;
  production: boolean;
  unfinished: ResourceVector;
  refused: ResourceVector;
}

/** The classes of which jobs are unfinished or were refused. */
export function classUsages(
  cluster: Cluster,
  rejections: readonly RejectionRecord[],
  periods: readonly Period[],
): ClassUsage[] {
  const usages = new Map<string, MutableUsage>();
  const of = (team: string, className: string): MutableUsage => {
    const key = JSON.stringify([team, className]);
    let usage = usages.get(key);
    if (usage === undefined) {
      usage = {
        team,
        class: className,
        production: false,
        unfinished: NO_RESOURCES,
        refused: NO_RESOURCES,
      };
      usages.set(key, usage);
    }
    return usage;
  };
  for (const job of cluster.jobs.values()) {
    // What waits for other jobs uses nothing yet, and what is cancelled nothing any more.
    if (job.isBlockedOnDependencies || job.isCancelled) continue;
    const usage = of(job.spec.team, job.spec.class);
    const left = Math.max(0, job.spec.tasks - job.doneTasks.size);
    usage.unfinished = addResources(usage.unfinished, resourcesOf(job.spec, left));
    if (job.spec.priority === "production") usage.production = true;
  }
  for (const record of rejections) {
    for (const refused of record.classes) {
      if (!cluster.teams.has(refused.team)) continue;
      const usage = of(refused.team, refused.class);
      usage.refused = addResources(usage.refused, refused.resources);
    }
  }
  return [...usages.values()].map((u) => ({ ...u, weight: classWeightOf(u, periods) }));
}

function classWeightOf(usage: { team: string; class: string }, periods: readonly Period[]): number {
  const concerned = periods.filter((p) => p.team === usage.team && p.class === usage.class);
  return concerned.reduce((weight, p) => weight * p.weight, 1);
}

/** Factors on the weights of teams as a whole. */
export function teamWeightsOf(periods: readonly Period[]): Map<string, number> {
  const out = new Map<string, number>();
  for (const p of periods) {
    if (p.class === null) out.set(p.team, (out.get(p.team) ?? 1) * p.weight);
  }
  return out;
}
