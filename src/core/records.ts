/**
 * What the state service holds, as every node follows it.
 *
 *   p/<id>   a live pipeline          d/<id>  how a job ended, for ever
 *   q/<id>/<n>  tasks of a large one, so many in a part
 *   x/<id>   a cancellation           g/<n>    machines that may hold tasks, many in one value
 *   lead     who holds the term       epoch   the count of terms, also the workers' token
 *   types    the machine types, for a start while the cloud is down
 */
import type { Event, Item } from "../wire/state.js";
import type { JobSpec, JobView, MachineType } from "./model.js";
import { eventName, excluded, otherEnded, residuals } from "./pipeline.js";
import { Ranges } from "./ranges.js";

export const KEY = {
  live: (id: string) => `p/${id}`,
  part: (id: string, n: number) => `q/${id}/${n}`,
  final: (id: string) => `d/${id}`,
  cancel: (id: string) => `x/${id}`,
  group: (n: number) => `g/${n}`,
  lead: "lead",
  epoch: "epoch",
  types: "types",
} as const;

/**
 * Tasks that count as being there: for each attempt and session, machines by turns with the ranges
 * of tasks on them. Many machines share one attempt, and a value holds few KiB.
 */
export type StoredPlacements = readonly [attempt: number, session: number, on: readonly string[]];

export interface PlacedRanges {
  readonly machine: string;
  readonly session: number;
  readonly attempt: number;
  readonly tasks: string;
}

export function* placedIn(stored: readonly StoredPlacements[]): Generator<PlacedRanges> {
  for (const [attempt, session, on] of stored) {
    for (let i = 0; i + 1 < on.length; i += 2) {
      yield { machine: on[i]!, session, attempt, tasks: on[i + 1]! };
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
export interface StoredPart {
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
export interface StoredCancel {
  readonly at: number;
  readonly told: boolean;
}

export interface StoredFinal {
  readonly s: "done" | "cancelled";
  readonly n: number;
}
export type StoredMachine = readonly [address: string, type: string, zone: string, spot: boolean];
export type StoredGroup = Readonly<Record<string, StoredMachine>>;
export interface StoredLead {
  readonly member: string;
  readonly epoch: number;
  readonly lease: number;
  /** Time of day at which the term was taken, in milliseconds; clocks agree within a known bound. */
  readonly at: number;
}

export interface Marked<V> {
  readonly value: V;
  readonly mark: number;
}

/** What a batch of changes touched, so that the leader need not look at everything. */
export interface Touched {
  readonly jobs: Set<string>;
  lead: boolean;
  /** Submissions and cancellations among them. */
  asked: number;
}

export class Records {
  readonly live = new Map<string, Marked<StoredJob>>();
  readonly finals = new Map<string, StoredFinal>();
  private readonly parts = new Map<string, Map<number, Marked<StoredPart>>>();
  /** Tasks done and placed, counted once for each stored value: users ask far more often. */
  private readonly counts = new WeakMap<object, { done: number; running: number }>();
  /** Cancelled jobs whose end is not stored yet, and whether users may be told. */
  readonly cancels = new Map<string, { told: boolean }>();
  readonly groups = new Map<number, Marked<StoredGroup>>();
  /** Live jobs that name a job as one that must be done before them, by its name. */
  private readonly followers = new Map<string, Set<string>>();
  /**
   * Live jobs that can never start, since one that they need was cancelled, directly or through others. It
   * follows from what is stored, so every node says the same from one change on, however many there are;
   * their own ends are stored by and by.
   */
  private readonly failed = new Set<string>();
  lead: Marked<StoredLead> | null = null;
  types: readonly MachineType[] | null = null;
  typesMark = 0;
  epoch: Marked<{ n: number }> = { value: { n: 0 }, mark: 0 };
  /** Every change up to this revision is in. */
  ledger = -1;

  /** Starts afresh from a full read. `ledger` is the revision before the first page. */
  reset(items: readonly Item[], ledger: number): void {
    this.live.clear();
    this.finals.clear();
    this.parts.clear();
    this.cancels.clear();
    this.groups.clear();
    this.followers.clear();
    this.failed.clear();
    this.lead = null;
    this.epoch = { value: { n: 0 }, mark: 0 };
    for (const i of items) this.put(i.key, i.value, i.mark);
    this.ledger = ledger;
  }

  /** Applies what following returned; changes that are in already are passed over. */
  apply(events: readonly Event[], ledger: number): Touched {
    const touched: Touched = { jobs: new Set(), lead: false, asked: 0 };
    for (const e of events) {
      if (e.mark <= this.ledger) continue;
      if (e.removed) this.remove(e.key);
      else this.put(e.key, e.value, e.mark);
      const kind = e.key.slice(0, 2);
      if (kind === "p/" || kind === "x/" || kind === "d/") touched.jobs.add(e.key.slice(2));
      if (!e.removed && (kind === "x/" || (kind === "p/" && (e.value as StoredJob).v === 1)))
        touched.asked++;
      if (kind === "q/") touched.jobs.add(partName(e.key.slice(2)).id);
      else if (e.key === KEY.lead || e.key === KEY.epoch) touched.lead = true;
    }
    if (ledger > this.ledger) this.ledger = ledger;
    return touched;
  }

  private put(key: string, value: unknown, mark: number): void {
    const name = key.slice(2);
    if (key.startsWith("p/")) {
      const known = this.live.has(name);
      this.live.set(name, { value: value as StoredJob, mark });
      if (!known) this.follow(name, value as StoredJob);
    } else if (key.startsWith("d/")) {
      this.finals.set(name, value as StoredFinal);
      if ((value as StoredFinal).s === "cancelled") this.failFollowers(name);
    } else if (key.startsWith("q/")) {
      const { id, n } = partName(name);
      let of = this.parts.get(id);
      if (of === undefined) {
        of = new Map();
        this.parts.set(id, of);
      }
      of.set(n, { value: value as StoredPart, mark });
    } else if (key.startsWith("x/")) {
      this.cancels.set(name, { told: (value as StoredCancel).told !== false });
    } else if (key.startsWith("g/")) {
      this.groups.set(Number(name), { value: value as StoredGroup, mark });
    } else if (key === KEY.lead) this.lead = { value: value as StoredLead, mark };
    else if (key === KEY.types) {
      this.types = value as MachineType[];
      this.typesMark = mark;
    } else if (key === KEY.epoch) this.epoch = { value: value as { n: number }, mark };
  }

  private remove(key: string): void {
    const name = key.slice(2);
    if (key.startsWith("p/")) {
      for (const other of this.live.get(name)?.value.j.after ?? []) {
        const of = this.followers.get(other);
        of?.delete(name);
        if (of?.size === 0) this.followers.delete(other);
      }
      this.live.delete(name);
      this.failed.delete(name);
    } else if (key.startsWith("d/")) this.finals.delete(name);
    else if (key.startsWith("q/")) {
      const { id, n } = partName(name);
      const of = this.parts.get(id);
      of?.delete(n);
      if (of?.size === 0) this.parts.delete(id);
    } else if (key.startsWith("x/")) this.cancels.delete(name);
    else if (key.startsWith("g/")) this.groups.delete(Number(name));
    else if (key === KEY.lead) this.lead = null;
  }

  /** Live jobs that name this one. */
  followersOf(id: string): ReadonlySet<string> {
    return this.followers.get(id) ?? NOBODY;
  }

  /** How a job ended, as an event for those that name it; null: it has not, as far as is stored. */
  endOf(id: string): "done" | "failed" | null {
    const final = this.finals.get(id);
    if (final !== undefined) return final.s === "done" ? "done" : "failed";
    return this.failed.has(id) ? "failed" : null;
  }

  private follow(id: string, job: StoredJob): void {
    const after = job.j.after ?? [];
    for (const other of after) {
      const of = this.followers.get(other) ?? new Set();
      this.followers.set(other, of);
      of.add(id);
    }
    if (after.length > 0 && this.cannotStart(id, job)) {
      this.failed.add(id);
      this.failFollowers(id);
    }
  }

  /** By its dependencies, residuated by the ends that are known of the jobs it names. */
  private cannotStart(id: string, job: StoredJob): boolean {
    let dependencies = residuals(job.r);
    for (const other of job.j.after ?? []) {
      const end = this.endOf(other);
      if (end !== null) dependencies = otherEnded(dependencies, other, end);
    }
    return excluded(dependencies, eventName("start", id));
  }

  /** The failed event of one residuates the next: downward, each job once, whatever the depth. */
  private failFollowers(first: string): void {
    const next = [first];
    for (let id = next.pop(); id !== undefined; id = next.pop()) {
      for (const follower of this.followersOf(id)) {
        const job = this.live.get(follower);
        if (job === undefined || this.failed.has(follower)) continue;
        if (!this.cannotStart(follower, job.value)) continue;
        this.failed.add(follower);
        next.push(follower);
      }
    }
  }

  /** Stored parts of a large job, by their number. */
  partsOf(id: string): ReadonlyMap<number, Marked<StoredPart>> {
    return this.parts.get(id) ?? NO_PARTS;
  }

  private count(of: Marked<StoredJob | StoredPart>): { done: number; running: number } {
    let c = this.counts.get(of);
    if (c === undefined) {
      c = { done: Ranges.parse(of.value.done).size, running: 0 };
      for (const p of placedIn(of.value.pl)) c.running += Ranges.parse(p.tasks).size;
      this.counts.set(of, c);
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
    const final = this.finals.get(id);
    if (final !== undefined) {
      return { id, state: final.s, done: final.s === "done" ? final.n : 0, running: 0 };
    }
    const live = this.live.get(id);
    if (live === undefined) return null;
    let { done, running } = this.count(live);
    for (const part of this.partsOf(id).values()) {
      const c = this.count(part);
      done += c.done;
      running += c.running;
    }
    if (this.cancels.get(id)?.told || this.failed.has(id))
      return { id, state: "cancelled", done, running: 0 };
    return { id, state: running > 0 ? "running" : "queued", done, running };
  }
}

const NOBODY: ReadonlySet<string> = new Set();
const NO_PARTS: ReadonlyMap<number, Marked<StoredPart>> = new Map();

function partName(name: string): { id: string; n: number } {
  const slash = name.lastIndexOf("/");
  return { id: name.slice(0, slash), n: Number(name.slice(slash + 1)) };
}
