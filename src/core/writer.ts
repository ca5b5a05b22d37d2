/** What goes into the next transaction of the leader, and in which order. */

import type { Change, Condition } from "../wire/state.js";
import type { Cluster } from "./cluster.js";
import type { Group, Groups } from "./groups.js";
import { jobValue, partValue } from "./job-values.js";
import type { LiveJob } from "./live-job.js";
import type { Part } from "./parts.js";
import { isGuaranteed } from "./planning/precedence.js";
import { KEY, type StoredFinal } from "./records.js";

export interface Write {
  readonly conditions: Condition[];
  readonly changes: Change[];
  /**
   * Jobs in it, with the version that becomes the stored one (null: the final record), the parts that
   * are stored, and those that are over and go.
   */
  readonly jobs: {
    readonly job: LiveJob;
    readonly version: number | null;
    readonly parts: readonly Part[];
    readonly closed: readonly Part[];
  }[];
  readonly groups: { readonly group: Group; readonly version: number; readonly names: string[] }[];
  /** Changes by what they are for. */
  readonly counts: { machines: number; placements: number; ends: number; progress: number };
}

export interface WriteLimits {
  readonly maxOps: number;
  readonly maxBytes: number;
  /** May a value of so many bytes be sent, or were smaller ones refused lately? */
  readonly allows: (bytes: number) => boolean;
  /** Seconds by which a placement of one priority goes before one of the next. */
  readonly priorityLeadS: number;
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
    counts: { machines: 0, placements: 0, ends: 0, progress: 0 },
  };
  let bytes = 200;
  for (const g of groups.dirty()) {
    if (!limits.allows(g.bytes)) continue;
    if (w.changes.length + 1 > maxOps || (g.fresh === 0 && urgentOnly)) break;
    if (bytes + g.bytes + 300 > maxBytes / 2) break;
    bytes += g.bytes + 300;
    const key = groups.key(g);
    w.conditions.push({ key, mark: g.mark });
    w.changes.push({ op: "put", key, value: g.toStored() });
    w.counts.machines++;
    w.groups.push({ group: g, version: g.version, names: [...g.entries.keys()] });
  }
  for (const job of writeOrder(cluster, limits.priorityLeadS)) {
    if (urgentOnly && !over(job) && !job.startsWait && job.recut === null) continue;
    const left = maxOps - w.changes.length;
    const ending = over(job) && finalOps(job) <= left;
    if (!ending && !job.dirty && !over(job)) continue;
    const piece = ending ? final(job) : changed(job, left, limits);
    if (piece === "nothing" || (piece === "no room" && job.recut !== null)) continue;
    if (piece === "no room") break;
    const size = 400 + piece.bytes;
    if (bytes + size > maxBytes && w.changes.length > 0) break;
    bytes += size;
    w.counts[ending ? "ends" : job.startsWait ? "placements" : "progress"] += piece.changes.length;
    w.conditions.push(...piece.conditions);
    w.changes.push(...piece.changes);
    const { parts, closed } = piece;
    w.jobs.push({ job, version: ending ? null : job.version, parts, closed });
  }
  return w.changes.length === 0 ? null : w;
}

const sizeOf = (value: unknown): number => JSON.stringify(value).length;

/** The largest value in a transaction, in bytes; 0 if it only removes keys. */
export function largestValue(w: Write): number {
  let most = 0;
  for (const c of w.changes) if (c.op === "put") most = Math.max(most, sizeOf(c.value));
  return most;
}

/** By how many priorities work within a guarantee goes before other work. */
const GUARANTEE_STEPS = 2;

/** Of a change, what stands around its value, beside the key. */
const CHANGE_BYTES = 60;

interface Piece {
  /** What its changes take in the transaction, about. */
  bytes: number;
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly parts: Part[];
  readonly closed: Part[];
}

const stored = (job: LiveJob): Part[] => [...job.parts.values()].filter((p) => p.mark > 0);
const finalOps = (job: LiveJob): number => (job.calledOff ? 3 : 2) + stored(job).length;

/** The final record takes the place of all that is stored of the job. */
function final(job: LiveJob): Piece {
  const { id, tasks } = job.spec;
  const value: StoredFinal = { s: job.cancelled ? "cancelled" : "done", n: tasks };
  const conditions = [
    { key: KEY.live(id), mark: job.main.mark },
    { key: KEY.final(id), mark: 0 },
  ];
  // Done and cancelled exclude each other: whichever is stored first rejects the other.
  // (One that is cancelled through another leaves no key of its user's behind.)
  if (!job.calledOff) conditions.push({ key: KEY.cancel(id), mark: 0 });
  const changes: Change[] = [
    { op: "put", key: KEY.final(id), value },
    { op: "delete", key: KEY.live(id) },
  ];
  if (job.calledOff) changes.push({ op: "delete", key: KEY.cancel(id) });
  for (const p of stored(job)) changes.push({ op: "delete", key: KEY.part(id, p.n) });
  const bytes = changes.length * (CHANGE_BYTES + id.length) + sizeOf(value);
  return { bytes, conditions, changes, parts: [], closed: [] };
}

/** What changed of a job: its own value, and its parts, as many as there is room for. */
function changed(
  job: LiveJob,
  room: number,
  { urgentOnly, allows }: WriteLimits,
): Piece | "no room" | "nothing" {
  const { id } = job.spec;
  const piece: Piece = {
    bytes: 0,
    // Each time a part goes, this mark changes: a late copy of an older write cannot bring it back.
    conditions: [{ key: KEY.live(id), mark: job.main.mark }],
    changes: [],
    parts: [],
    closed: [],
  };
  // Cut into parts just now: all of them go with its own value, or none.
  const together = job.recut;
  if (together !== null && 1 + together.size > room) return "no room";
  let left = room;
  const open: Part[] = [];
  for (const p of over(job) ? job.parts.values() : job.unsaved) {
    if (p === job.main) continue;
    if (!job.isOver(p)) {
      if (!urgentOnly || p.startsWait || together?.has(p)) open.push(p);
    } else if (p.mark === 0 || (together === null && left > 1)) {
      job.close(p);
      piece.closed.push(p);
      if (p.mark === 0) continue;
      left--;
      piece.conditions.push({ key: KEY.part(id, p.n), mark: p.mark });
      piece.changes.push({ op: "delete", key: KEY.part(id, p.n) });
    }
  }
  if (job.main.unsaved) {
    if (left < 1) return "no room";
    const value = jobValue(job);
    const bytes = sizeOf(value);
    if (!allows(bytes)) return "nothing";
    left--;
    piece.bytes += bytes;
    piece.changes.unshift({ op: "put", key: KEY.live(id), value });
    piece.parts.push(job.main);
  }
  if (together !== null) open.sort((a, b) => Number(together.has(b)) - Number(together.has(a)));
  for (const p of open) {
    if (left < 1) break;
    const value = partValue(job, p);
    const bytes = sizeOf(value);
    if (!allows(bytes)) {
      // What was cut goes whole or not at all.
      if (together?.has(p)) return "nothing";
      continue;
    }
    left--;
    piece.bytes += bytes;
    piece.conditions.push({ key: KEY.part(id, p.n), mark: p.mark });
    piece.changes.push({ op: "put", key: KEY.part(id, p.n), value });
    piece.parts.push(p);
  }
  piece.bytes += piece.changes.length * (CHANGE_BYTES + id.length);
  return piece.changes.length === 0 ? "nothing" : piece;
}

/**
 * Production placements first, then ends, since users wait for them and they are few; then other
 * placements, of which a busy day has more than can be written; then progress. (Ends behind all
 * placements: on a rough day 299 jobs were done and 25 users told.)
 *
 * Among the other placements a higher priority goes before what has waited a little longer, and not before
 * all: in a backlog of urgent gangs, placements of the first steps of pipelines were stored after 30 to 153 s.
 * What is within its team's guarantee is that much ahead again. (By priority alone, in such a backlog 0.66 of the work
 * within a guarantee started in time, and 0.78 with the strict order.)
 */
function writeOrder(cluster: Cluster, priorityLeadS: number): LiveJob[] {
  const dueAt = (j: LiveJob): number => {
    const steps = j.rank + (isGuaranteed(j.precedence) ? 0 : GUARANTEE_STEPS);
    return (j.unstoredSince ?? 0) + steps * priorityLeadS;
  };
  const level = (j: LiveJob): number => {
    if (j.recut !== null) return -1;
    if (over(j)) return 1;
    if (!j.startsWait) return 3;
    return j.spec.priority === "production" ? 0 : 2;
  };
  const dirty: { job: LiveJob; level: number }[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.dirty || over(job)) dirty.push({ job, level: level(job) });
  }
  dirty.sort((a, b) => a.level - b.level || dueAt(a.job) - dueAt(b.job));
  return dirty.map((x) => x.job);
}

/** Changes that must go into one transaction, at the least. */
export function roomNeeded(cluster: Cluster): number {
  let most = 1;
  for (const job of cluster.jobs.values()) {
    if (job.recut !== null) most = Math.max(most, 1 + job.recut.size);
  }
  return most;
}

export function hasWrite(cluster: Cluster, groups: Groups): boolean {
  for (const job of cluster.jobs.values()) if (job.dirty || over(job)) return true;
  return groups.urgent;
}
