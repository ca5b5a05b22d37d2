/** The term holder's view of machines, jobs and what may be where. Bookkeeping only. */
import type { Expression } from "../algebra/expression.js";
import type { JobSpec, MachineType, Team } from "./model.js";
import { residuals, written } from "./pipeline.js";
import { Ranges } from "./ranges.js";
import type { StoredJob, StoredPlacements } from "./records.js";

/**
 * Where a placement stands. `loaded`: read from the state after a takeover, nothing known of it.
 * `planned`: no start was sent under this token. `sent`: a start is out or unanswered. The others
 * are what the worker reported.
 */
export type PlacementState =
  | "loaded"
  | "planned"
  | "sent"
  | "fetching"
  | "waiting"
  | "running"
  | "saving";

export interface Stop {
  readonly why: string;
  readonly graceS: number;
  sentAt: number;
}

export class Placement {
  state: PlacementState = "planned";
  /** Direct start commands on the wire. */
  inFlight = 0;
  stop: Stop | null = null;
  sentAt = Number.NEGATIVE_INFINITY;
  readonly placedAt: number;
  runningSince = 0;
  /** Its start was seen under this holder, so that its run time is known. */
  timed = false;

  constructor(
    readonly job: LiveJob,
    readonly task: number,
    readonly attempt: number,
    readonly machine: Machine,
    readonly session: number,
    /** The job's version that must be stored before a start is sent. */
    readonly version: number,
    now: number,
  ) {
    this.placedAt = now;
  }

  get key(): string {
    return taskKey(this.job.spec.id, this.task, this.attempt);
  }
}

export const taskKey = (job: string, task: number, attempt: number): string =>
  `${job}/${task}#${attempt}`;

export interface EndedTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  /** Job version that must be stored before the worker may forget it. */
  readonly version: number;
}

export class Machine {
  address = "";
  session = 0;
  seq = -1;
  /** The worker has answered under the present token, so older commands are dropped there. */
  fenced = false;
  /** It has seen a token of this holder: what a former one answers is dropped there. */
  ours = false;
  /** `booting` until its worker is heard, `gone` once proven. */
  state: "booting" | "up" | "returning" | "gone" = "booting";
  /** Last time a message from the worker arrived. */
  lastHeard = Number.NEGATIVE_INFINITY;
  /** Latest time at which any holder can have renewed the worker's lease. */
  lastRenewed = Number.NEGATIVE_INFINITY;
  /** Time at which the cloud takes it, when told. */
  takenAt: number | null = null;
  bootingSince = 0;
  /** A direct request is outstanding. */
  busy = false;
  directAfter = Number.NEGATIVE_INFINITY;
  idleSince: number;
  /** Direct requests since it was last heard that got no answer. */
  unanswered = 0;
  /**
   * Since when direct requests get no answer, whatever is heard of it. Its reports may arrive while
   * neither answers nor commands reach it.
   */
  deafSince: number | null = null;
  stored = false;
  readonly placements = new Map<string, Placement>();
  readonly ended = new Map<string, EndedTask>();
  /** Starts sent without an answer, by the token they carried: they may still arrive. */
  readonly doubts = new Map<string, number>();
  /** Images it holds or fetches, with the time of last use and size. */
  readonly images = new Map<string, { at: number; gb: number; ready: boolean }>();
  /** Jobs of which a task failed here, and when, until it is known who was at fault. */
  readonly failures = new Map<LiveJob, number>();
  /** Tasks that took far longer here than others of their job. */
  readonly slowTasks = new Set<string>();
  /** Not used for new work; it is returned once empty. */
  drain: string | null = null;
  refusedUntil = Number.NEGATIVE_INFINITY;
  /** The weakest hold of any task on it, as of the last pass: who is no stronger finds nothing here. */
  weakest = -1;
  /** Room being made for a job by stopping others, or, in this pass, held for one. */
  reservedFor: { job: LiveJob; until: number; held: boolean } | null = null;
  cpusUsed = 0;
  gpusUsed = 0;
  memoryUsed = 0;

  constructor(
    readonly name: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
    now: number,
  ) {
    this.idleSince = now;
    this.bootingSince = now;
  }

  get freeCpus(): number {
    return this.type.cpus - this.cpusUsed;
  }
  get freeGpus(): number {
    return this.type.gpus - this.gpusUsed;
  }
  get freeMemory(): number {
    return this.type.memoryGb - this.memoryUsed;
  }
}

const EPSILON = 1e-6;
/** How many tasks of this shape fit into these amounts. */
export function slots(spec: JobSpec, cpus: number, gpus: number, memory: number): number {
  let n = Number.MAX_SAFE_INTEGER;
  if (spec.cpus > 0) n = Math.min(n, Math.floor((cpus + EPSILON) / spec.cpus));
  if (spec.gpus > 0) n = Math.min(n, Math.floor((gpus + EPSILON) / spec.gpus));
  if (spec.memoryGb > 0) n = Math.min(n, Math.floor((memory + EPSILON) / spec.memoryGb));
  return Math.max(0, n);
}

export class LiveJob {
  readonly spec: JobSpec;
  readonly submittedAt: number;
  /** Residuals as stored; parsed only when an event residuates them, so that a takeover is quick. */
  private residualsText: readonly string[];
  private parsed: Expression[] | null = null;
  version: number;
  savedVersion: number;
  mark: number;
  nextAttempt: number;
  owner: number;
  readonly done: Ranges;
  readonly placements = new Map<number, Placement>();
  /** Attempts on machines that our records did not hold: they count, and are stopped. */
  readonly strays = new Set<Placement>();
  cancelled = false;
  started = false;
  backoffUntil = Number.NEGATIVE_INFINITY;
  /** Machines on which a task of it failed, and until when it keeps off them. */
  private readonly avoided = new Map<string, number>();
  /** Machines on which a task of it ever failed; a few are enough to know. */
  readonly failedOn = new Set<string>();
  /** The longest that a task of it ran before it failed, in seconds. */
  failedAfterS = 0;
  /** It fails wherever it goes, as far as is known: since when, and tries that have failed since. */
  suspect: { readonly since: number; tries: number } | null = null;
  /** Run times of tasks that completed, in seconds. */
  readonly runTimes: number[] = [];
  /** How strongly it holds its place, the strongest first, as of the last pass. */
  hold = 0;
  /** No search for tasks to stop before then: the last one found none. */
  roomAfter = Number.NEGATIVE_INFINITY;
  /** Its team's guarantee can still be kept, if it is a gang. */
  inTime = true;
  /** It goes first because it has waited for too long. */
  neglected = false;
  /** Its place in line as of the last pass. */
  line = Number.MAX_SAFE_INTEGER;
  /** Zone in which room is held for a gang until all its tasks fit; "" if any zone will do. */
  heldZone: string | null = null;
  /** Time at which tasks of it first waited for room. */
  waitingSince: number | null = null;
  /** The newest version that holds a placement: until it is stored, starts wait for it. */
  placedVersion = 0;
  /** Tasks that wait for a place, until something changes. */
  private pendingKnown: number | null = null;

  constructor(stored: StoredJob, mark: number) {
    this.spec = stored.j;
    this.submittedAt = stored.at;
    this.residualsText = stored.r;
    this.version = stored.v;
    this.savedVersion = stored.v;
    this.mark = mark;
    this.nextAttempt = stored.n;
    this.owner = stored.o;
    this.done = Ranges.parse(stored.done);
    this.started = stored.o > 0;
  }

  get dependencies(): readonly Expression[] {
    this.parsed ??= residuals(this.residualsText);
    return this.parsed;
  }
  set dependencies(next: Expression[]) {
    this.parsed = next;
    this.residualsText = written(next);
  }

  avoid(machine: string, until: number): void {
    this.avoided.set(machine, until);
  }
  /** A task of it failed there a while ago. */
  avoids(machine: string, now: number): boolean {
    const until = this.avoided.get(machine);
    if (until === undefined) return false;
    if (now < until) return true;
    this.avoided.delete(machine);
    return false;
  }
  /** A try of it is under way, to see whether it still fails. */
  get onTrial(): boolean {
    if (this.suspect === null) return false;
    for (const p of this.placements.values()) if (p.placedAt > this.suspect.since) return true;
    return false;
  }

  get dirty(): boolean {
    return this.version > this.savedVersion;
  }
  get complete(): boolean {
    return this.spec.kind !== "service" && this.done.size >= this.spec.tasks;
  }
  get present(): number {
    return this.placements.size + this.strays.size;
  }
  touch(): void {
    this.version++;
    this.pendingKnown = null;
  }
  /** Its placements changed, whether or not that must be stored. */
  moved(): void {
    this.pendingKnown = null;
  }

  *pending(): Generator<number> {
    for (const t of this.done.missing(this.spec.tasks)) if (!this.placements.has(t)) yield t;
  }
  get pendingCount(): number {
    this.pendingKnown ??= this.countPending();
    return this.pendingKnown;
  }
  private countPending(): number {
    let placed = 0;
    for (const t of this.placements.keys()) if (!this.done.has(t)) placed++;
    return this.spec.tasks - this.done.size - placed;
  }

  *everyPlacement(): Generator<Placement> {
    yield* this.placements.values();
    yield* this.strays;
  }

  /** The most bytes that a number of this job and what separates it take in a value. */
  get taskBytes(): number {
    return String(this.spec.tasks).length + 1;
  }

  /**
   * The most bytes that the stored value may come to as tasks end in any order: then each task in
   * flight may stand by itself, among those placed and between those done.
   */
  worstBytes(): number {
    this.fixedBytes ??=
      400 + JSON.stringify(this.spec).length + JSON.stringify(this.residualsText).length;
    const machines = new Set<string>();
    const starts = new Set<string>();
    for (const p of this.placements.values()) {
      machines.add(`${p.machine.name} ${p.attempt}`);
      starts.add(`${p.attempt} ${p.session}`);
    }
    let names = 0;
    for (const m of machines) names += m.length + 6;
    return (
      this.fixedBytes +
      names +
      24 * starts.size +
      2 * this.taskBytes * (this.placements.size + this.done.spanCount)
    );
  }
  private fixedBytes: number | null = null;

  toStored(): StoredJob {
    const starts = new Map<string, { at: [number, number]; on: Map<string, number[]> }>();
    for (const p of this.placements.values()) {
      const key = `${p.attempt} ${p.session}`;
      let s = starts.get(key);
      if (s === undefined) {
        s = { at: [p.attempt, p.session], on: new Map() };
        starts.set(key, s);
      }
      const tasks = s.on.get(p.machine.name);
      if (tasks === undefined) s.on.set(p.machine.name, [p.task]);
      else tasks.push(p.task);
    }
    const pl: StoredPlacements[] = [];
    for (const s of starts.values()) {
      const on = [...s.on].flatMap(([name, tasks]) => [name, Ranges.of(tasks).toString()]);
      pl.push([...s.at, on]);
    }
    return {
      j: this.spec,
      at: this.submittedAt,
      r: this.residualsText,
      v: this.version,
      n: this.nextAttempt,
      o: this.owner,
      done: this.done.toString(),
      pl,
    };
  }
}

export interface Usage {
  cpus: number;
  gpus: number;
}

export class Cluster {
  readonly jobs = new Map<string, LiveJob>();
  readonly machines = new Map<string, Machine>();
  readonly usage = new Map<string, Usage>();
  readonly teams = new Map<string, Team>();
  /** Classes of which a neglected job has just gone first, and until when the others do. */
  readonly othersFirst = new Map<string, number>();

  constructor(teams: readonly Team[]) {
    for (const t of teams) this.teams.set(t.name, t);
  }

  usageOf(team: string): Usage {
    let u = this.usage.get(team);
    if (u === undefined) {
      u = { cpus: 0, gpus: 0 };
      this.usage.set(team, u);
    }
    return u;
  }

  /** How many more tasks of this shape the team's limit allows; a limit of 0 is none. */
  quotaSlots(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    if (team === undefined) return 0;
    const u = this.usageOf(spec.team);
    let n = Number.MAX_SAFE_INTEGER;
    if (team.cpusMax > 0 && spec.cpus > 0)
      n = Math.min(n, Math.floor((team.cpusMax - u.cpus + EPSILON) / spec.cpus));
    if (team.gpusMax > 0 && spec.gpus > 0)
      n = Math.min(n, Math.floor((team.gpusMax - u.gpus + EPSILON) / spec.gpus));
    return Math.max(0, n);
  }

  /** Books a placement on its machine and against its team, where it counts until released. */
  add(p: Placement, stray = false): void {
    if (stray) p.job.strays.add(p);
    else p.job.placements.set(p.task, p);
    if (p.version > p.job.placedVersion) p.job.placedVersion = p.version;
    p.job.moved();
    p.machine.placements.set(p.key, p);
    const { cpus, gpus, memoryGb } = p.job.spec;
    p.machine.cpusUsed += cpus;
    p.machine.gpusUsed += gpus;
    p.machine.memoryUsed += memoryGb;
    const u = this.usageOf(p.job.spec.team);
    u.cpus += cpus;
    u.gpus += gpus;
  }

  /** The attempt is proven gone. */
  release(p: Placement, now: number): void {
    if (!p.machine.placements.delete(p.key)) return;
    if (p.job.placements.get(p.task) === p) p.job.placements.delete(p.task);
    p.job.strays.delete(p);
    const { cpus, gpus, memoryGb } = p.job.spec;
    p.machine.cpusUsed -= cpus;
    p.machine.gpusUsed -= gpus;
    p.machine.memoryUsed -= memoryGb;
    if (p.machine.placements.size === 0) p.machine.idleSince = now;
    const u = this.usageOf(p.job.spec.team);
    u.cpus -= cpus;
    u.gpus -= gpus;
    p.job.touch();
  }

  /**
   * Jobs within their team's guarantee: those that fit it together with the team's earlier
   * unfinished jobs. A guarantee of 0 promises nothing of that resource, and so cannot be
   * exceeded in it, as long as the team is guaranteed anything at all.
   */
  withinGuarantee(): Set<string> {
    const out = new Set<string>();
    const sums = new Map<string, Usage>();
    const byAge = [...this.jobs.values()].sort((a, b) => a.submittedAt - b.submittedAt);
    for (const job of byAge) {
      if (job.cancelled || job.complete) continue;
      const team = this.teams.get(job.spec.team);
      if (team === undefined || (team.cpus <= 0 && team.gpus <= 0)) continue;
      const sum = sums.get(team.name) ?? { cpus: 0, gpus: 0 };
      sums.set(team.name, sum);
      sum.cpus += job.spec.cpus * job.spec.tasks;
      sum.gpus += job.spec.gpus * job.spec.tasks;
      const fits =
        (team.cpus <= 0 || sum.cpus <= team.cpus + EPSILON) &&
        (team.gpus <= 0 || sum.gpus <= team.gpus + EPSILON);
      if (fits) out.add(job.spec.id);
    }
    return out;
  }
}
