/** What goes into the next transaction of the term holder, and in which order. */
import type { Change, Condition } from "../wire/state.js";
import type { Cluster, LiveJob } from "./cluster.js";
import type { Group, Groups } from "./groups.js";
import { rankOf } from "./planner.js";
import { KEY, type StoredFinal } from "./records.js";

export interface Write {
  readonly conditions: Condition[];
  readonly changes: Change[];
  /** Jobs in it, with the version that becomes the stored one; null: the final record. */
  readonly jobs: { readonly job: LiveJob; readonly version: number | null }[];
  readonly groups: { readonly group: Group; readonly version: number; readonly names: string[] }[];
}

export interface WriteLimits {
  readonly maxOps: number;
  readonly maxBytes: number;
  /** Leave progress, and what is no more, for when there is plenty. */
  readonly urgentOnly: boolean;
}

const over = (job: LiveJob): boolean => job.present === 0 && (job.cancelled || job.complete);

export function composeWrite(
  cluster: Cluster,
  groups: Groups,
  epochMark: number,
  limits: WriteLimits,
): Write | null {
  const { maxOps, maxBytes, urgentOnly } = limits;
  const w: Write = {
    conditions: [{ key: KEY.epoch, mark: epochMark }],
    changes: [],
    jobs: [],
    groups: [],
  };
  let bytes = 200;
  for (const g of groups.dirty()) {
    if (w.changes.length + 1 > maxOps || (g.fresh === 0 && urgentOnly)) break;
    if (bytes + g.bytes + 300 > maxBytes / 2) break;
    bytes += g.bytes + 300;
    const key = groups.key(g);
    w.conditions.push({ key, mark: g.mark });
    w.changes.push({ op: "put", key, value: g.toStored() });
    w.groups.push({ group: g, version: g.version, names: [...g.entries.keys()] });
  }
  for (const job of writeOrder(cluster)) {
    const id = job.spec.id;
    const ending = over(job);
    if (urgentOnly && !ending && job.placedVersion <= job.savedVersion) continue;
    const ops = ending ? (job.cancelled ? 3 : 2) : 1;
    if (w.changes.length + ops > maxOps) break;
    let size = 400;
    const conditions: Condition[] = [{ key: KEY.live(id), mark: job.mark }];
    const changes: Change[] = [];
    if (ending) {
      const value: StoredFinal = {
        s: job.cancelled ? "cancelled" : "done",
        n: job.spec.tasks,
      };
      conditions.push({ key: KEY.final(id), mark: 0 });
      // Done and cancelled exclude each other: whichever is stored first rejects the other.
      if (!job.cancelled) conditions.push({ key: KEY.cancel(id), mark: 0 });
      changes.push({ op: "put", key: KEY.final(id), value });
      changes.push({ op: "delete", key: KEY.live(id) });
      if (job.cancelled) changes.push({ op: "delete", key: KEY.cancel(id) });
    } else {
      if (!job.dirty) continue;
      const value = job.toStored();
      size += JSON.stringify(value).length;
      changes.push({ op: "put", key: KEY.live(id), value });
    }
    if (bytes + size > maxBytes && w.changes.length > 0) break;
    bytes += size;
    w.conditions.push(...conditions);
    w.changes.push(...changes);
    w.jobs.push({ job, version: ending ? null : job.version });
  }
  return w.changes.length === 0 ? null : w;
}

/**
 * Production placements first, then ends, since users wait for them and they are few; then other
 * placements, of which a busy day has more than can be written; then progress. (Ends behind all
 * placements: on a rough day 299 jobs were done and 25 users told.)
 */
function writeOrder(cluster: Cluster): LiveJob[] {
  const level = (j: LiveJob): number => {
    if (over(j)) return 1;
    if (j.placedVersion <= j.savedVersion) return 3;
    return j.spec.priority === "production" ? 0 : 2;
  };
  const dirty: { job: LiveJob; level: number }[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.dirty || over(job)) dirty.push({ job, level: level(job) });
  }
  dirty.sort(
    (a, b) => a.level - b.level || rankOf(a.job.spec.priority) - rankOf(b.job.spec.priority),
  );
  return dirty.map((x) => x.job);
}

export function hasWrite(cluster: Cluster, groups: Groups): boolean {
  for (const job of cluster.jobs.values()) if (job.dirty || over(job)) return true;
  return groups.urgent;
}
