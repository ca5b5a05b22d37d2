/**
 * What the state service holds, as every node follows it.
 *
 *   p/<id>   a live pipeline          d/<id>  how a job ended, for ever
 *   q/<id>/<n>  tasks of a large one, so many in a part
 *   x/<id>   a cancellation           g/<n>    machines that may hold tasks, many in one value
 *   lead     who holds the term       epoch   the count of terms, also the workers' token
 *   types    the machine types, for a start while the cloud is down
 */

import {
  eventName,
  isEventExcluded,
  parseResiduals,
  residuateByOutcome,
} from "../jobs/pipeline.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import type { JobSpec, JobView } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import type { ChangeEvent, KeyValueItem } from "./key-value.js";

export const KEY = {
  activeJob: (id: string) => `p/${id}`,
  jobShard: (id: string, n: number) => `q/${id}/${n}`,
  finalRecord: (id: string) => `d/${id}`,
  cancellation: (id: string) => `x/${id}`,
  machineShard: (n: number) => `g/${n}`,
  leader: "lead",
  epoch: "epoch",
  machineTypes: "types",
} as const;

/**
 * Tasks that count as being there: for each attempt and session, machines by turns with the ranges
 * of tasks on them. Many machines share one attempt, and a value holds few KiB.
 */
export type StoredPlacements = readonly [attempt: number, session: number, on: readonly string[]];

export interface PlacementRanges {
  readonly machine: string;
  readonly incarnation: number;
  readonly attempt: number;
  readonly tasks: string;
}

export function* storedPlacementRanges(
  stored: readonly StoredPlacements[],
): Generator<PlacementRanges> {
  for (const [attempt, session, on] of stored) {
    for (let i = 0; i + 1 < on.length; i += 2) {
      yield { machine: on[i]!, incarnation: session, attempt, tasks: on[i + 1]! };
    }
  }
}

export interface StoredJob {
  /** The submission as it was accepted. */
  readonly j: JobSpec;
  /** Time of day of the submission, in milliseconds. */
  readonly at: number;
  /** Residuals of the pipeline's dependencies. */
  readonly r: readonly string[];
  /** Counts the changes of this value. */
  readonly v: number;
  /** Next attempt number. */
  readonly n: number;
  /** Term whose leader owns the job; 0 before its start is accepted. */
  readonly o: number;
  /** Tasks done. */
  readonly done: string;
  readonly pl: readonly StoredPlacements[];
  /**
   * Tasks in a part, if it is too large for one value. Then `done` holds those of parts that are over,
   * and what is under way in the others stands in them.
   */
  readonly c?: number;
}

/** Some tasks of a large job, by their numbers less that of the first. */
export interface StoredShard {
  /** The job's count of changes as of this one. */
  readonly v: number;
  /** Next attempt number in this part. */
  readonly n: number;
  readonly done: string;
  readonly pl: readonly StoredPlacements[];
}

/**
 * A cancellation that a user asked for. `told` is false in all that is written now: users hear of it when
 * the end is stored, which is when every task is proven gone. Earlier versions wrote true and told at once.
 */
export interface StoredCancellation {
  readonly at: number;
  readonly told: boolean;
}

export interface StoredFinal {
  readonly s: "done" | "cancelled";
  readonly n: number;
}
export type StoredMachine = readonly [address: string, type: string, zone: string, spot: boolean];
export type StoredMachineShard = Readonly<Record<string, StoredMachine>>;
export interface StoredLeader {
  readonly member: string;
  readonly epoch: number;
  readonly lease: number;
  /** Time of day at which the term was taken, in milliseconds; clocks agree within a known bound. */
  readonly at: number;
}

export interface Versioned<V> {
  readonly value: V;
  readonly modRevision: number;
}

/** What a batch of changes touched, so that the leader need not look at everything. */
export interface ReplicaChange {
  readonly jobs: Set<string>;
  leadership: boolean;
  /** Submissions and cancellations among them. */
  userRequests: number;
}

export class StateReplica {
  readonly activeJobs = new Map<string, Versioned<StoredJob>>();
  readonly finalRecords = new Map<string, StoredFinal>();
  private readonly shards = new Map<string, Map<number, Versioned<StoredShard>>>();
  /** Tasks done and placed, counted once for each stored value: users ask far more often. */
  private readonly taskCounts = new WeakMap<object, { done: number; running: number }>();
  /** Cancelled jobs whose end is not stored yet, and whether users may be told. */
  readonly cancellations = new Map<string, { told: boolean }>();
  readonly machineShards = new Map<number, Versioned<StoredMachineShard>>();
  /** Live jobs that name a job as one that must be done before them, by its name. */
  private readonly dependents = new Map<string, Set<string>>();
  /**
   * Live jobs that can never start, since one that they need was cancelled, directly or through others. It
   * follows from what is stored, so every node says the same from one change on, however many there are;
   * their own ends are stored by and by.
   */
  private readonly excludedJobs = new Set<string>();
  leader: Versioned<StoredLeader> | null = null;
  machineTypes: readonly MachineType[] | null = null;
  machineTypesModRevision = 0;
  epoch: Versioned<{ n: number }> = { value: { n: 0 }, modRevision: 0 };
  /** Every change up to this revision is in. */
  revision = -1;

  /** Starts afresh from a full read. `ledger` is the revision before the first page. */
  reset(items: readonly KeyValueItem[], ledger: number): void {
    this.activeJobs.clear();
    this.finalRecords.clear();
    this.shards.clear();
    this.cancellations.clear();
    this.machineShards.clear();
    this.dependents.clear();
    this.excludedJobs.clear();
    this.leader = null;
    this.epoch = { value: { n: 0 }, modRevision: 0 };
    for (const i of items) this.put(i.key, i.value, i.modRevision);
    this.revision = ledger;
  }

  /** Applies what following returned; changes that are in already are passed over. */
  apply(events: readonly ChangeEvent[], ledger: number): ReplicaChange {
    const touched: ReplicaChange = { jobs: new Set(), leadership: false, userRequests: 0 };
    for (const e of events) {
      if (e.modRevision <= this.revision) continue;
      if (e.removed) this.remove(e.key);
      else this.put(e.key, e.value, e.modRevision);
      const kind = e.key.slice(0, 2);
      if (kind === "p/" || kind === "x/" || kind === "d/") touched.jobs.add(e.key.slice(2));
      if (!e.removed && (kind === "x/" || (kind === "p/" && (e.value as StoredJob).v === 1)))
        touched.userRequests++;
      if (kind === "q/") touched.jobs.add(parseShardName(e.key.slice(2)).id);
      else if (e.key === KEY.leader || e.key === KEY.epoch) touched.leadership = true;
    }
    if (ledger > this.revision) this.revision = ledger;
    return touched;
  }

  private put(key: string, value: unknown, mark: number): void {
    const name = key.slice(2);
    if (key.startsWith("p/")) {
      const known = this.activeJobs.has(name);
      this.activeJobs.set(name, { value: value as StoredJob, modRevision: mark });
      if (!known) this.addDependencies(name, value as StoredJob);
    } else if (key.startsWith("d/")) {
      this.finalRecords.set(name, value as StoredFinal);
      if ((value as StoredFinal).s === "cancelled") this.failDependents(name);
    } else if (key.startsWith("q/")) {
      const { id, n } = parseShardName(name);
      let of = this.shards.get(id);
      if (of === undefined) {
        of = new Map();
        this.shards.set(id, of);
      }
      of.set(n, { value: value as StoredShard, modRevision: mark });
    } else if (key.startsWith("x/")) {
      this.cancellations.set(name, { told: (value as StoredCancellation).told !== false });
    } else if (key.startsWith("g/")) {
      this.machineShards.set(Number(name), {
        value: value as StoredMachineShard,
        modRevision: mark,
      });
    } else if (key === KEY.leader)
      this.leader = { value: value as StoredLeader, modRevision: mark };
    else if (key === KEY.machineTypes) {
      this.machineTypes = value as MachineType[];
      this.machineTypesModRevision = mark;
    } else if (key === KEY.epoch) this.epoch = { value: value as { n: number }, modRevision: mark };
  }

  private remove(key: string): void {
    const name = key.slice(2);
    if (key.startsWith("p/")) {
      for (const other of this.activeJobs.get(name)?.value.j.after ?? []) {
        const of = this.dependents.get(other);
        of?.delete(name);
        if (of?.size === 0) this.dependents.delete(other);
      }
      this.activeJobs.delete(name);
      this.excludedJobs.delete(name);
    } else if (key.startsWith("d/")) this.finalRecords.delete(name);
    else if (key.startsWith("q/")) {
      const { id, n } = parseShardName(name);
      const of = this.shards.get(id);
      of?.delete(n);
      if (of?.size === 0) this.shards.delete(id);
    } else if (key.startsWith("x/")) this.cancellations.delete(name);
    else if (key.startsWith("g/")) this.machineShards.delete(Number(name));
    else if (key === KEY.leader) this.leader = null;
  }

  /** Live jobs that name this one. */
  dependentsOf(id: string): ReadonlySet<string> {
    return this.dependents.get(id) ?? NO_DEPENDENTS;
  }

  /** How a job ended, as an event for those that name it; null: it has not, as far as is stored. */
  outcomeOf(id: string): "done" | "failed" | null {
    const final = this.finalRecords.get(id);
    if (final !== undefined) return final.s === "done" ? "done" : "failed";
    return this.excludedJobs.has(id) ? "failed" : null;
  }

  private addDependencies(id: string, job: StoredJob): void {
    const after = job.j.after ?? [];
    for (const other of after) {
      const of = this.dependents.get(other) ?? new Set();
      this.dependents.set(other, of);
      of.add(id);
    }
    if (after.length > 0 && this.isExcluded(id, job)) {
      this.excludedJobs.add(id);
      this.failDependents(id);
    }
  }

  /** By its dependencies, residuated by the ends that are known of the jobs it names. */
  private isExcluded(id: string, job: StoredJob): boolean {
    let dependencies = parseResiduals(job.r);
    for (const other of job.j.after ?? []) {
      const end = this.outcomeOf(other);
      if (end !== null) dependencies = residuateByOutcome(dependencies, other, end);
    }
    return isEventExcluded(dependencies, eventName("start", id));
  }

  /** The failed event of one residuates the next: downward, each job once, whatever the depth. */
  private failDependents(first: string): void {
    const next = [first];
    for (let id = next.pop(); id !== undefined; id = next.pop()) {
      for (const follower of this.dependentsOf(id)) {
        const job = this.activeJobs.get(follower);
        if (job === undefined || this.excludedJobs.has(follower)) continue;
        if (!this.isExcluded(follower, job.value)) continue;
        this.excludedJobs.add(follower);
        next.push(follower);
      }
    }
  }

  /** Stored parts of a large job, by their number. */
  shardsOf(id: string): ReadonlyMap<number, Versioned<StoredShard>> {
    return this.shards.get(id) ?? NO_SHARDS;
  }

  private countTasks(of: Versioned<StoredJob | StoredShard>): { done: number; running: number } {
    let c = this.taskCounts.get(of);
    if (c === undefined) {
      c = { done: TaskRanges.parse(of.value.done).size, running: 0 };
      for (const p of storedPlacementRanges(of.value.pl))
        c.running += TaskRanges.parse(p.tasks).size;
      this.taskCounts.set(of, c);
    }
    return c;
  }

  /**
   * What a user is told of a job, or null if no such job was ever accepted.
   *
   * The one place that decides when a cancellation is confirmed, whichever node is asked and however
   * (cancellation, question, repeated submission): with the stored end, and the leader stores that when
   * no task can be on a machine or start any more. So nobody who answers a worker's report need know of
   * a confirmed cancellation, however old its copy is: there is nothing left to keep alive. (Confirmed
   * earlier, they bound a leader that the state service refused, which could not know of them, and its
   * answers kept the tasks for longer than `cancel_s`.)
   */
  view(id: string): JobView | null {
    const final = this.finalRecords.get(id);
    if (final !== undefined) {
      return { id, state: final.s, done: final.s === "done" ? final.n : 0, running: 0 };
    }
    const live = this.activeJobs.get(id);
    if (live === undefined) return null;
    let { done, running } = this.countTasks(live);
    for (const part of this.shardsOf(id).values()) {
      const c = this.countTasks(part);
      done += c.done;
      running += c.running;
    }
    if (this.cancellations.get(id)?.told || this.excludedJobs.has(id))
      return { id, state: "cancelled", done, running: 0 };
    return { id, state: running > 0 ? "running" : "queued", done, running };
  }
}

const NO_DEPENDENTS: ReadonlySet<string> = new Set();
const NO_SHARDS: ReadonlyMap<number, Versioned<StoredShard>> = new Map();

function parseShardName(name: string): { id: string; n: number } {
  const slash = name.lastIndexOf("/");
  return { id: name.slice(0, slash), n: Number(name.slice(slash + 1)) };
}
