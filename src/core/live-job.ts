/**
 * A job that is not over, as the leader knows it: its residuals, its tasks that are done, the placements of the
 * others, and which of this is stored.
 */
import type { Expression } from "../algebra/expression.js";
import { FailureHistory } from "./failure-history.js";
import { type JobSpec, rankOf } from "./model.js";
import { Part } from "./parts.js";
import { acceptable, eventName, residuals, written } from "./pipeline.js";
import type { Placement } from "./placement.js";
import { ZoneOccupancy } from "./placement-rules.js";
import { Ranges } from "./ranges.js";
import type { Marked, StoredJob, StoredPart } from "./records.js";

export class LiveJob {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  /** Residuals as stored; parsed only when an event residuates them, so that a takeover is quick. */
  residualsText: readonly string[];
  private parsed: Expression[] | null = null;
  /** Its start is not accepted yet, for jobs that must be done before it; null: not looked at since. */
  private waitsKnown: boolean | null = null;
  /** Time of day (ms) from which what is promised of it counts, other than its deadline. */
  private readyAt: number | null = null;
  /** Its own priority, or the highest of those that need it, directly or through others. */
  rank: number;
  /** Latest end (ms of the day) for its own deadline, and for those that wait for it. */
  dueMs: number | null;
  version: number;
  /** Its own value, and the parts of a large one of which any task was placed. */
  readonly main: Part;
  readonly parts = new Map<number, Part>();
  readonly unsaved = new Set<Part>();
  /** Tasks in a part; null: it stands in one value. */
  partSize: number | null;
  /** Parts that must be stored together with its own value, which held their tasks before. */
  recut: Set<Part> | null = null;
  private cutAt = 0;
  /** Numbers of the parts that are over. */
  readonly closed = new Set<number>();
  owner: number;
  readonly done: Ranges;
  readonly placements = new Map<number, Placement>();
  /** Since when a placement of it waits to be stored; null: none does. */
  unstoredSince: number | null = null;
  /** Attempts on machines that our records did not hold: they count, and are stopped. */
  readonly unrecorded = new Set<Placement>();
  /** Zones of all its placements, the unrecorded ones too. */
  readonly zones: ZoneOccupancy;
  /** A task of it ran, as far as this leader knows. */
  begun = false;
  cancelled = false;
  /** By its user; otherwise through one that it needs, and no key of its own says so. */
  calledOff = false;
  started = false;
  backoffUntil = Number.NEGATIVE_INFINITY;
  readonly failures = new FailureHistory();
  /** Run times of tasks that completed, in seconds. */
  readonly runTimes: number[] = [];
  /** How strongly it holds its place, the strongest first, as of the last pass. */
  precedence = 0;
  /** No search for tasks to stop before then: the last one found none. */
  roomAfter = Number.NEGATIVE_INFINITY;
  /** Its team's guarantee can still be kept, if it is a gang. */
  inTime = true;
  /** It goes first because it has waited for too long. */
  starving = false;
  /** Its place in line as of the last pass. */
  queuePosition = Number.MAX_SAFE_INTEGER;
  /** Zone in which room is held for a gang until all its tasks fit; "" if any zone will do. */
  heldZone: string | null = null;
  /** Time at which tasks of it first waited for room. */
  waitingSince: number | null = null;
  /** Tasks that wait for a place, until something changes. */
  private pendingKnown: number | null = null;

  /** `inParts`: tasks in a part, if it was never placed and is to stand in parts. */
  constructor(
    stored: StoredJob,
    mark: number,
    parts: ReadonlyMap<number, Marked<StoredPart>>,
    inParts: number | null,
  ) {
    this.spec = stored.j;
    this.zones = new ZoneOccupancy(stored.j);
    this.submittedAt = stored.at;
    this.rank = rankOf(stored.j.priority);
    this.dueMs = this.ownDueMs;
    this.residualsText = stored.r;
    this.version = stored.v;
    this.main = new Part(-1, 0, stored.j.tasks);
    this.main.saved = stored.v;
    this.main.mark = mark;
    this.main.attempt = stored.n;
    this.owner = stored.o;
    this.done = Ranges.parse(stored.done);
    this.started = stored.o > 0;
    this.partSize = stored.c ?? (stored.o === 0 ? inParts : null);
    if (this.partSize === null) return;
    const size = this.partSize;
    for (const n of range(Math.ceil(this.spec.tasks / size))) {
      if (this.done.has(n * size) && !parts.has(n)) this.closed.add(n);
    }
    for (const [n, { value, mark: partMark }] of parts) {
      const part = this.part(n);
      part.mark = partMark;
      part.saved = value.v;
      // What its tasks were tried with is not all known any more.
      part.attempt = value.n + 1;
      // A gang's number may be in a part that was stored, and not in its own value that was not.
      if (this.spec.kind === "gang") this.main.attempt = Math.max(this.main.attempt, part.attempt);
      this.version = Math.max(this.version, value.v);
      for (const t of Ranges.parse(value.done)) this.done.add(part.from + t);
    }
  }

  /** The part that a task stands in. */
  partOf(task: number): Part {
    if (this.partSize === null || task >= this.spec.tasks) return this.main;
    return this.part(Math.floor(task / this.partSize));
  }
  private part(n: number): Part {
    let part = this.parts.get(n);
    if (part === undefined) {
      const size = this.partSize!;
      part = new Part(n, n * size, Math.min(this.spec.tasks, (n + 1) * size));
      this.parts.set(n, part);
    }
    return part;
  }

  /** Attempt number for a task that is placed now; those of one pass have `of` in common. */
  attemptFor(task: number, of: number): number {
    if (this.partSize === null) return of;
    const part = this.partOf(task);
    return this.spec.kind === "gang" ? part.together(of) : part.next(task);
  }

  /** Is everything about a task that was true at this version stored? */
  holds(task: number, version: number): boolean {
    return this.partOf(task).holds(version);
  }
  /** Placements are not stored yet: starts wait. */
  get startsWait(): boolean {
    for (const part of this.unsaved) if (part.startsWait) return true;
    return false;
  }
  /** Nothing of the part is under way, nor will be. */
  isOver(part: Part): boolean {
    if (this.partSize === null || part === this.main) return false;
    for (let t = part.from; t < part.to; t++) {
      if (this.placements.has(t) || !(this.cancelled || this.done.has(t))) return false;
    }
    return true;
  }
  /** Its key goes with the next write of the job's own value. */
  close(part: Part): void {
    if (!this.cancelled) this.closed.add(part.n);
    if (!this.main.unsaved) this.touch();
  }
  /** As of this version the part is stored, or gone. */
  stored(part: Part, version: number, mark: number): void {
    // (A late copy of a write from before says nothing of the parts.)
    if (part === this.main && version >= this.cutAt) this.recut = null;
    part.mark = Math.max(part.mark, mark);
    part.saved = Math.max(part.saved, version);
    if (!part.unsaved) this.unsaved.delete(part);
    if (!this.startsWait) this.unstoredSince = null;
  }
  dropped(part: Part): void {
    this.unsaved.delete(part);
    this.parts.delete(part.n);
  }
  /** The records were read again after a write whose end was not known. */
  reread(live: Marked<StoredJob>, parts: ReadonlyMap<number, Marked<StoredPart>>): void {
    this.stored(this.main, live.value.v, live.mark);
    for (const part of this.parts.values()) {
      const now = parts.get(part.n);
      if (now === undefined) part.mark = 0;
      else this.stored(part, now.value.v, now.mark);
    }
  }

  get dependencies(): readonly Expression[] {
    this.parsed ??= residuals(this.residualsText);
    return this.parsed;
  }
  get ownDueMs(): number | null {
    const { deadlineS } = this.spec;
    return deadlineS === null ? null : this.submittedAt + 1000 * deadlineS;
  }

  /** By its dependencies: its start would make one of them zero, or insecure, as things stand. */
  get waits(): boolean {
    if (this.spec.after === undefined || this.started) return false;
    this.waitsKnown ??= !acceptable(this.dependencies, eventName("start", this.spec.id));
    return this.waitsKnown;
  }
  /** The last of the jobs that it needs is done, as of this time of day. */
  ready(wallMs: number): void {
    this.readyAt ??= wallMs;
  }
  get countsFrom(): number {
    return this.spec.after === undefined ? this.submittedAt : (this.readyAt ?? this.submittedAt);
  }
  get isReady(): boolean {
    return this.spec.after === undefined || this.readyAt !== null;
  }

  set dependencies(next: Expression[]) {
    this.waitsKnown = null;
    this.parsed = next;
    this.residualsText = written(next);
  }

  /** It fails wherever it goes, as far as is known. */
  get suspected(): boolean {
    return this.failures.suspect !== null;
  }
  /** A try of it is under way, to see whether it still fails. */
  get onTrial(): boolean {
    const { suspect } = this.failures;
    if (suspect === null) return false;
    for (const p of this.placements.values()) if (p.placedAt > suspect.since) return true;
    return false;
  }

  get dirty(): boolean {
    return this.unsaved.size > 0;
  }
  get complete(): boolean {
    return this.spec.kind !== "service" && this.done.size >= this.spec.tasks;
  }
  get present(): number {
    return this.placements.size + this.unrecorded.size;
  }
  /** Something to be stored changed: of a task, or of the job as a whole. */
  touch(task: number | null = null): void {
    const part = task === null ? this.main : this.partOf(task);
    part.changed = ++this.version;
    this.unsaved.add(part);
    this.pendingKnown = null;
  }
  /** Its placements changed, whether or not that must be stored. */
  moved(): void {
    this.pendingKnown = null;
  }

  /** Tasks that wait for a place. One of which an unrecorded attempt may run waits for the end of that. */
  *pending(): Generator<number> {
    const unrecorded = this.unrecordedTasks();
    for (const t of this.done.missing(this.spec.tasks)) {
      if (!this.placements.has(t) && !unrecorded.has(t)) yield t;
    }
  }
  private unrecordedTasks(): ReadonlySet<number> {
    return new Set([...this.unrecorded].map((p) => p.task));
  }
  /** Another attempt of this task may be on a machine. */
  hasOtherAttempt(p: Placement): boolean {
    for (const other of this.unrecorded) if (other !== p && other.task === p.task) return true;
    return this.placements.get(p.task) !== p;
  }
  get pendingCount(): number {
    this.pendingKnown ??= this.countPending();
    return this.pendingKnown;
  }
  private countPending(): number {
    let placed = 0;
    for (const t of this.placements.keys()) if (!this.done.has(t)) placed++;
    for (const t of this.unrecordedTasks()) {
      if (t < this.spec.tasks && !this.done.has(t) && !this.placements.has(t)) placed++;
    }
    return this.spec.tasks - this.done.size - placed;
  }

  *everyPlacement(): Generator<Placement> {
    yield* this.placements.values();
    yield* this.unrecorded;
  }

  /**
   * It stands in one value, stored when a value might be larger, and may not fit one now: it is cut into
   * parts, which are stored together with its own value, so that at any moment either holds the tasks.
   */
  cut(size: number): void {
    this.partSize = size;
    this.recut = new Set();
    for (const n of range(Math.ceil(this.spec.tasks / size))) {
      const to = Math.min(this.spec.tasks, (n + 1) * size);
      let done = 0;
      let placed = false;
      for (let t = n * size; t < to; t++) {
        if (this.done.has(t)) done++;
        if (this.placements.has(t)) placed = true;
      }
      if (done === to - n * size && !placed) this.closed.add(n);
      else if (done > 0 || placed) {
        const part = this.part(n);
        part.attempt = Math.max(part.attempt, this.main.attempt);
        part.changed = ++this.version;
        this.unsaved.add(part);
        this.recut.add(part);
      }
    }
    this.touch();
    this.cutAt = this.version;
  }
}

function* range(n: number): Generator<number> {
  for (let i = 0; i < n; i++) yield i;
}
