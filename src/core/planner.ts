/**
 * Placement: which waiting task goes to which machine, and who makes room for whom.
 * Works on the holder's view, which may be stale: a placement counts once it is stored, and
 * workers refuse what does not fit them.
 */
import type { Bucket } from "./bucket.js";
import { type Cluster, type LiveJob, type Machine, Placement, slots } from "./cluster.js";
import type { ClusterSettings, JobSpec } from "./model.js";
import type { Part } from "./parts.js";

const EPSILON = 1e-6;

export interface PlanContext {
  readonly cluster: Cluster;
  readonly settings: ClusterSettings;
  readonly now: number;
  /** Time of day in milliseconds, for deadlines. */
  readonly wallMs: number;
  /** Largest value that a pipeline may grow to while tasks are still being placed. */
  readonly valueBytes: number;
  readonly field: Field;
  /** How many tasks of large arrays may be placed. */
  readonly bulk: Bucket;
  readonly log: (message: string, fields: Record<string, unknown>) => void;
}

/**
 * What one pass looks up again and again, found once: with many hundred machines and jobs a look
 * at every machine for every job is more than a node can do.
 */
export interface Field {
  /** Machines that take work now, by type. */
  readonly usable: ReadonlyMap<string, readonly Machine[]>;
  /** Those with anything free as the pass begins. */
  readonly open: readonly Machine[];
  /** Every kind of machine there is: type, zone and whether it is a spot machine. */
  readonly kinds: readonly Machine[];
  /** Open machines that hold an image. */
  readonly holding: ReadonlyMap<string, readonly Machine[]>;
  /** How many usable GPU machines, free or not, hold an image. */
  readonly onGpus: ReadonlyMap<string, number>;
}

export function survey(cluster: Cluster, settings: ClusterSettings, now: number): Field {
  const usableNow = new Map<string, Machine[]>();
  const open: Machine[] = [];
  const kinds = new Map<string, Machine>();
  const holding = new Map<string, Machine[]>();
  const onGpus = new Map<string, number>();
  for (const m of cluster.machines.values()) {
    const kind = `${m.type.name} ${m.zone} ${m.spot}`;
    if (!kinds.has(kind)) kinds.set(kind, m);
    if (!usable(m, null, settings, now)) continue;
    const ofType = usableNow.get(m.type.name);
    if (ofType === undefined) usableNow.set(m.type.name, [m]);
    else ofType.push(m);
    m.weakest = -1;
    for (const p of m.placements.values()) {
      if (p.stop === null && p.job.hold > m.weakest) m.weakest = p.job.hold;
    }
    if (m.type.gpus > 0) {
      for (const [image, i] of m.images) {
        if (i.ready) onGpus.set(image, (onGpus.get(image) ?? 0) + 1);
      }
    }
    if (m.freeCpus < EPSILON || m.freeMemory < EPSILON) continue;
    open.push(m);
    for (const [image, i] of m.images) {
      if (!i.ready) continue;
      const list = holding.get(image);
      if (list === undefined) holding.set(image, [m]);
      else list.push(m);
    }
  }
  return { usable: usableNow, open, kinds: [...kinds.values()], holding, onGpus };
}

/** Part of a lease after which a machine whose own reports do not arrive takes no new work. */
const MUTE = 0.75;

/** A machine takes new work while its reports come in time. */
export function usable(
  m: Machine,
  job: LiveJob | null,
  settings: ClusterSettings,
  now: number,
): boolean {
  return (
    m.state === "up" &&
    m.fenced &&
    m.stored &&
    m.drain === null &&
    m.takenAt === null &&
    m.deafSince === null &&
    now - m.lastHeard < 1.5 * settings.reportS &&
    // (Reports go to other nodes while a new holder settles, but not for so long.)
    now - m.reportedAt < MUTE * settings.leaseS &&
    now >= m.refusedUntil &&
    openTo(m, job)
  );
}

/**
 * Room that is made or held for another is not open to a job; but what was made for a gang is open to a
 * gang before it in line, else two that each have half of what they need keep it from each other.
 */
function openTo(m: Machine, job: LiveJob | null): boolean {
  const r = m.reservedFor;
  if (r === null || job === null || r.job === job) return true;
  return !r.held && r.job.spec.kind === "gang" && job.spec.kind === "gang" && r.job.line > job.line;
}

export function typeAllowed(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

/** Seconds until the image would be there. */
export function imageWait(m: Machine, spec: JobSpec): number {
  const held = m.images.get(spec.image);
  if (held?.ready) return 0;
  let others = 0;
  for (const i of m.images.values()) if (!i.ready) others += i.gb;
  const own = spec.imageGb / m.type.fetchGbPerS;
  return held === undefined ? own + others / m.type.fetchGbPerS : own / 2;
}

/** GPU machines that other work must leave usable, and what a GPU job takes of one. */
export interface GpuCare {
  readonly specs: readonly JobSpec[];
  readonly kept: ReadonlySet<Machine>;
}

/** The GPU job that could start on the machine now, and could not with this task on it. */
function blocks(m: Machine, spec: JobSpec, care: GpuCare): boolean {
  if (m.type.gpus <= 0 || spec.gpus > 0) return false;
  // Before any GPU job was seen, its size is not known: any task may be in its way. (Replicas that
  // came first, at a cold start, kept a GPU machine from its jobs for a whole day.)
  if (care.specs.length === 0) return true;
  return care.specs.some(
    (g) =>
      typeAllowed(g, m.type.name, m.zone, m.spot) &&
      slots(g, m.freeCpus, m.freeGpus, m.freeMemory) >
        slots(g, m.freeCpus - spec.cpus, m.freeGpus, m.freeMemory - spec.memoryGb),
  );
}

/**
 * Free GPU machines that are kept so: half as many as GPU work occupies, and two at least, and as
 * many as waiting GPU tasks need (arrays took each as it came free, and gangs waited for minutes
 * beside a quarter of all GPUs). Those
 * that hold the images GPU jobs use come first, because fetching takes them longer than anything.
 */
export function careForGpus(cluster: Cluster, specs: readonly JobSpec[]): GpuCare {
  const images = new Set<string>();
  let busy = 0;
  let waiting = 0;
  for (const j of cluster.jobs.values()) {
    if (j.spec.gpus <= 0 || j.waits) continue;
    images.add(j.spec.image);
    if (!j.cancelled && !j.complete && j.suspect === null) waiting += j.pendingCount;
  }
  const free: { m: Machine; held: number }[] = [];
  for (const m of cluster.machines.values()) {
    if (m.type.gpus <= 0 || m.state !== "up" || m.drain !== null || m.takenAt !== null) continue;
    if (m.gpusUsed > 0) busy++;
    const fits = specs.some(
      (g) =>
        typeAllowed(g, m.type.name, m.zone, m.spot) &&
        slots(g, m.freeCpus, m.freeGpus, m.freeMemory) > 0,
    );
    if (!fits) continue;
    let held = 0;
    for (const [name, i] of m.images) if (i.ready && images.has(name)) held += i.gb;
    free.push({ m, held });
  }
  free.sort((a, b) => b.held - a.held || (a.m.name < b.m.name ? -1 : 1));
  const keep = Math.max(2, Math.ceil(busy / 2), waiting);
  return { specs, kept: new Set(free.slice(0, keep).map((f) => f.m)) };
}

/** Lower is better; in seconds of waiting, more or less. */
function score(m: Machine, spec: JobSpec, care: GpuCare): number {
  let s = imageWait(m, spec);
  // Work without GPUs should leave GPUs usable: what blocks one costs as much as a boot.
  if (blocks(m, spec, care)) s += m.type.bootS * 2;
  if (spec.kind === "service") {
    // Replicas apart from one another, so that a machine's end takes few.
    for (const p of m.placements.values()) if (p.job.spec.kind === "service") s += 0.2;
  } else {
    // Others where little is left, and off the machines that replicas need.
    s += 0.5 * (m.freeCpus / Math.max(m.type.cpus, 1));
    // What cannot save loses all when a spot machine is taken: it leaves those to what can. (Of the jobs
    // that ended late, half had a task on one that was taken.)
    if (m.spot) s += spec.checkpointS > 0 ? -1 : 1;
  }
  return s;
}

interface Candidate {
  readonly machine: Machine;
  readonly fits: number;
  readonly score: number;
}

/** Tasks that may still start in each zone when at most half may be in one. */
function spreadRoom(job: LiveJob): (zone: string) => number {
  if (!job.spec.spread) return () => Number.MAX_SAFE_INTEGER;
  const limit = Math.ceil(job.spec.tasks / 2);
  const inZone = new Map<string, number>();
  for (const p of job.everyPlacement()) {
    inZone.set(p.machine.zone, (inZone.get(p.machine.zone) ?? 0) + 1);
  }
  return (zone) => limit - (inZone.get(zone) ?? 0);
}

/** Zone that a job's tasks must share, if any is on a machine now. */
function boundZone(job: LiveJob): string | null {
  if (!job.spec.oneZone) return null;
  for (const p of job.everyPlacement()) return p.machine.zone;
  return null;
}

/** It has waited so long that any place will do. */
const desperate = (job: LiveJob, ctx: PlanContext): boolean =>
  job.waitingSince !== null && ctx.now - job.waitingSince > 2 * ctx.settings.reportS;

function candidates(job: LiveJob, ctx: PlanContext, care: GpuCare): Candidate[] {
  const out: Candidate[] = [];
  const zone = boundZone(job);
  for (const m of ctx.field.open) {
    let fits = slots(job.spec, m.freeCpus, m.freeGpus, m.freeMemory);
    if (fits === 0 || !openTo(m, job)) continue;
    if (zone !== null && m.zone !== zone) continue;
    if (!typeAllowed(job.spec, m.type.name, m.zone, m.spot)) continue;
    if (job.avoids(m.name, ctx.now)) continue;
    // A replica stays for long. It takes a GPU away only when there was time to make room elsewhere.
    if (
      fits > 0 &&
      job.spec.kind === "service" &&
      !desperate(job, ctx) &&
      blocks(m, job.spec, care)
    )
      continue;
    if (fits > 0 && job.spec.gpus === 0 && job.spec.priority !== "production" && care.kept.has(m)) {
      // What is left beside the GPU job that this machine is kept for.
      for (const g of care.specs) {
        if (slots(g, m.freeCpus, m.freeGpus, m.freeMemory) < 1) continue;
        const beside = slots(job.spec, m.freeCpus - g.cpus, Infinity, m.freeMemory - g.memoryGb);
        fits = Math.min(fits, beside);
      }
    }
    if (fits > 0) out.push({ machine: m, fits, score: score(m, job.spec, care) });
  }
  return out.sort((a, b) => a.score - b.score || (a.machine.name < b.machine.name ? -1 : 1));
}

function place(job: LiveJob, tasks: number[], on: Candidate[], ctx: PlanContext): number {
  const room = spreadRoom(job);
  const before = job.version;
  const together = job.main.attempt;
  /** Versions of the job that hold these placements, by the part they stand in. */
  const versions = new Map<Part, number>();
  let next = 0;
  for (const c of on) {
    let n = Math.min(c.fits, tasks.length - next);
    for (; n > 0 && room(c.machine.zone) > placedIn(job, c.machine.zone, before); n--) {
      const task = tasks[next]!;
      const part = job.partOf(task);
      if (next === 0 && (part === job.main || job.spec.kind === "gang")) {
        job.main.attempt++;
        job.touch();
        versions.set(job.main, job.version);
      }
      if (!versions.has(part)) {
        job.touch(task);
        versions.set(part, job.version);
      }
      const attempt = job.attemptFor(task, together);
      const version = versions.get(part)!;
      const { session } = c.machine;
      const p = new Placement(job, task, attempt, c.machine, session, version, ctx.now);
      next++;
      ctx.cluster.add(p);
      if (!c.machine.images.has(job.spec.image)) {
        c.machine.images.set(job.spec.image, { at: ctx.now, gb: job.spec.imageGb, ready: false });
      }
      ctx.log("place", {
        task: `${job.spec.id}/${p.task}`,
        attempt,
        machine: c.machine.name,
        type: c.machine.type.name,
        zone: c.machine.zone,
        class: job.spec.class,
        waitedS: Math.round((ctx.wallMs - job.countsFrom) / 100) / 10,
        imageS: Math.round(c.score * 10) / 10,
      });
    }
    if (next >= tasks.length) break;
  }
  return next;
}

/** `spreadRoom` counted what was there before this pass; this counts what the pass added. */
function placedIn(job: LiveJob, zone: string, before: number): number {
  if (!job.spec.spread) return 0;
  let n = 0;
  for (const p of job.placements.values()) if (p.version > before && p.machine.zone === zone) n++;
  return n;
}

function take(pending: Iterable<number>, limit: number): number[] {
  const out: number[] = [];
  for (const t of pending) {
    if (out.length >= limit) break;
    out.push(t);
  }
  return out;
}

/** A gang goes out whole and only when nothing of an earlier attempt is left. */
function placeGang(job: LiveJob, ctx: PlanContext, care: GpuCare): "placed" | "image" | "room" {
  if (job.present > 0) return "room";
  if (ctx.cluster.quotaSlots(job.spec) < job.spec.tasks) return "room";
  const all = candidates(job, ctx, care);
  const tasks = take(job.pending(), job.spec.tasks);
  const groups = job.spec.oneZone
    ? [...new Set(all.map((c) => c.machine.zone))].map((z) =>
        all.filter((c) => c.machine.zone === z),
      )
    : [all];
  let best: Candidate[] | null = null;
  let bestScore = Infinity;
  for (const group of groups) {
    let left = tasks.length;
    let worst = 0;
    const perZone = new Map<string, number>();
    const limit = job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.MAX_SAFE_INTEGER;
    for (const c of group) {
      if (left <= 0) break;
      const used = perZone.get(c.machine.zone) ?? 0;
      const n = Math.min(left, c.fits, limit - used);
      if (n <= 0) continue;
      perZone.set(c.machine.zone, used + n);
      left -= n;
      worst = Math.max(worst, c.score);
    }
    if (left <= 0 && worst < bestScore) {
      best = group;
      bestScore = worst;
    }
  }
  if (best === null) return "room";
  if (waitsForImage(job, bestScore, ctx)) return "image";
  const fetches = new Map(best.map((c) => [c.machine, imageWait(c.machine, job.spec)]));
  place(job, tasks, best, ctx);
  holdBack(job, fetches, ctx);
  return "placed";
}

/**
 * A gang task that has its image waits for the others no longer than `gang_wait_s`, and then all start
 * anew. Where some machines fetch for a good part of that, those that need not are started when the first of
 * the others is ready. (A gang of four lost 85 s: one had its image, three fetched for 70 s, 45 are allowed.)
 */
function holdBack(job: LiveJob, fetches: ReadonlyMap<Machine, number>, ctx: PlanContext): void {
  let longest = 0;
  for (const p of job.placements.values()) {
    longest = Math.max(longest, fetches.get(p.machine) ?? 0);
  }
  if (longest < ctx.settings.gangWaitS / 2) return;
  for (const p of job.placements.values()) {
    if ((fetches.get(p.machine) ?? 0) < longest / 2) p.heldS = 2 * longest;
  }
}

/**
 * Where many machines hold the image of a GPU gang, some come free every few seconds. It lets others go
 * first for a small part of the time that fetching would take, the less the more machines it needs.
 * (Five of six GPU tasks fetched images that a third of all GPU machines held.)
 */
function waitsForImage(job: LiveJob, fetchS: number, ctx: PlanContext): boolean {
  const { gpus, tasks, image } = job.spec;
  const holding = ctx.field.onGpus.get(image) ?? 0;
  if (gpus <= 0 || holding < HOLDING * tasks) return false;
  if (tooLateByFetching(job, fetchS, ctx)) return true;
  const waited = job.waitingSince === null ? 0 : ctx.now - job.waitingSince;
  return holding >= MANY * tasks && waited < fetchS / (4 * tasks);
}
/** Machines for each task that hold an image, if one of them may come free in time for an aim. */
const HOLDING = 4;

/**
 * Fetching takes longer than what is left until the next aim on its start, and less than until the one
 * after it: only a machine that holds the image can meet the next one. (On days with the guarantee at 30 s most
 * that missed it had been placed within five, and fetched for 30 and more.)
 */
function tooLateByFetching(job: LiveJob, fetchS: number, ctx: PlanContext): boolean {
  const { spec } = job;
  const age = (ctx.wallMs - job.countsFrom) / 1000;
  const within = job.hold < 20;
  const left: number[] = [];
  for (const o of ctx.settings.objectives) {
    if (o.withinS === null || o.withinS <= age) continue;
    const start = o.kind === "wait" && o.class === spec.class;
    if (start || (o.kind === "guarantee" && within)) left.push(o.withinS - age);
  }
  left.sort((a, b) => a - b);
  const [next, after = BEGIN_S / 2 - age] = left;
  if (next === undefined || fetchS <= next) return false;
  return after > 1.4 * fetchS + ctx.settings.reportS;
}
/** So many machines, for each task, hold an image if it is worth waiting for one of them. */
const MANY = 8;

/** Usable machines of the types of which a whole machine takes a task. */
function* fitted(spec: JobSpec, ctx: PlanContext): Generator<Machine> {
  for (const machines of ctx.field.usable.values()) {
    const { cpus, gpus, memoryGb } = machines[0]!.type;
    if (slots(spec, cpus, gpus, memoryGb) >= 1) yield* machines;
  }
}

/**
 * A gang of many machines would never find them free at one moment while smaller jobs take each as
 * it comes free. So what is free in one zone is held for it, and what waits behind it in this pass takes
 * the rest. The next pass begins anew: a gang that comes first in line does not find it held. One gang
 * gathers room in a zone at a time: two between them kept a third of it idle.
 */
function holdRoom(job: LiveJob, ctx: PlanContext, taken: Set<string>): void {
  const { spec } = job;
  const before = job.heldZone;
  job.heldZone = null;
  if (taken.has("") || taken.size >= ctx.settings.zones.length) return;
  if (
    spec.tasks < 2 ||
    job.suspect !== null ||
    job.present > 0 ||
    ctx.cluster.quotaSlots(spec) < spec.tasks
  )
    return;
  const zones = new Map<string, { free: number; all: number; held: number }>();
  const fitting: Machine[] = [];
  for (const m of fitted(spec, ctx)) {
    if (!openTo(m, job)) continue;
    const whole = slots(spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
    if (!typeAllowed(spec, m.type.name, m.zone, m.spot) || job.avoids(m.name, ctx.now)) continue;
    const zone = spec.oneZone ? m.zone : "";
    if (taken.has(zone)) continue;
    const z = zones.get(zone) ?? { free: 0, all: 0, held: 0 };
    zones.set(zone, z);
    z.all += whole;
    const free = slots(spec, m.freeCpus, m.freeGpus, m.freeMemory);
    z.free += free;
    const made = m.reservedFor?.job === job;
    if (made) z.held += whole;
    if (free > 0 || made) fitting.push(m);
  }
  let zone: string | null = null;
  let best = -1;
  for (const [name, z] of zones) {
    if (z.all < spec.tasks) continue;
    const worth = z.free + z.held + (name === before ? spec.tasks / 4 : 0);
    if (worth > best) {
      best = worth;
      zone = name;
    }
  }
  if (zone === null) return;
  job.heldZone = zone;
  let need = spec.tasks;
  fitting.sort((a, b) => imageWait(a, spec) - imageWait(b, spec) || (a.name < b.name ? -1 : 1));
  for (const m of fitting) {
    if (spec.oneZone && m.zone !== zone) continue;
    if (need <= 0) break;
    need -= slots(spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
    if (m.reservedFor === null || m.reservedFor.job !== job) {
      m.reservedFor = { job, until: ctx.now + ctx.settings.reportS, held: true };
    }
  }
  if (need > 0) taken.add(zone);
}

function placeTasks(job: LiveJob, ctx: PlanContext, care: GpuCare): void {
  const quota = ctx.cluster.quotaSlots(job.spec);
  if (quota <= 0 || job.pendingCount === 0 || job.onTrial) return;
  const on = candidates(job, ctx, care);
  if (on.length === 0) return;
  const most = job.partSize === null ? fitting(job, on, quota, ctx) : inParts(job, on, ctx);
  // One task shows as well as all of them whether the job still fails.
  const limit = Math.min(quota, most.tasks, job.suspect === null ? quota : 1);
  const tasks = take(job.pending(), limit);
  if (tasks.length === 0) return;
  const placed = place(job, tasks, on.slice(0, most.machines), ctx);
  if (job.partSize !== null) ctx.bulk.force(placed, ctx.now);
}

/** A pipeline in one value of bounded length: no more is placed than it can hold at the worst. */
function fitting(job: LiveJob, on: readonly Candidate[], quota: number, ctx: PlanContext) {
  let room = 0.95 * ctx.valueBytes - job.worstBytes();
  let tasks = 0;
  let machines = 0;
  for (const c of on) {
    room -= c.machine.name.length + 12;
    const fit = Math.min(c.fits, Math.floor(room / (2 * job.taskBytes)));
    if (fit < 1) break;
    room -= fit * 2 * job.taskBytes;
    tasks += fit;
    machines++;
    if (tasks >= quota) break;
  }
  return { tasks, machines };
}

/**
 * In parts: any number of tasks fits. But each part is a write, so no more are begun than go into
 * one transaction beside those of others; and each task's start, report and end takes time, so there are
 * so many a second. (A guest's 25,000 tasks of six seconds went out at 450 a second: reports of all
 * machines were late, 28 were taken for dead, and gangs within a guarantee waited for two minutes.)
 */
function inParts(job: LiveJob, on: readonly Candidate[], ctx: PlanContext) {
  let parts = Math.floor(ctx.settings.txnOps / 4);
  for (const part of job.unsaved) if (part.startsWait) parts--;
  let fits = 0;
  for (const c of on) fits += c.fits;
  const rate =
    job.spec.priority === "production"
      ? Number.MAX_SAFE_INTEGER
      : Math.floor(ctx.bulk.available(ctx.now));
  const tasks = Math.max(0, Math.min(fits, rate, parts * job.partSize!));
  return { tasks, machines: on.length };
}

/**
 * How strongly a job holds its place, the strongest first: production, then what is within its
 * team's guarantee, then the rest, each by priority. Only the stronger preempts, so two jobs can
 * never stop each other in turn.
 */
export function holdOf(job: LiveJob, within: ReadonlySet<string>): number {
  if (job.spec.priority === "production") return 0;
  return (within.has(job.spec.id) ? 10 : 20) + job.rank;
}

/** May this placement be stopped to make room for the job? */
function mayPreempt(
  job: LiveJob,
  p: Placement,
  ctx: PlanContext,
  within: ReadonlySet<string>,
): boolean {
  if (p.stop !== null) return false;
  if (job.hold >= p.job.hold) return false;
  // CPUs are to be had elsewhere, GPUs are not. (Low work within its guarantee stopped gangs for two
  // of their CPUs, one of them eighteen times in half a minute, each time with its image fetched anew.)
  const takesGpus = p.job.spec.gpus > 0 && job.spec.gpus === 0;
  if (takesGpus && job.hold > 0 && patience(job, ctx) < 0.25) return false;
  if (p.job.rank > job.rank) return true;
  // To give a team its guarantee, what another team runs beyond its own may be stopped; but a gang that
  // waits in line stops none that went before it. (Each was placed again and stopped again, fifty times.)
  if (!job.inTime && !job.neglected) return false;
  return within.has(job.spec.id) && !within.has(p.job.spec.id) && p.job.spec.team !== job.spec.team;
}

/**
 * Work lost if the placement is stopped now, in task seconds times CPUs: of a gang, by all its tasks;
 * of one that fetches its image, the fetch.
 */
function loss(p: Placement, now: number): number {
  const { cpus, saveS, checkpointS, kind, tasks } = p.job.spec;
  const running = p.state === "running";
  const spent = now - (running ? p.runningSince : p.placedAt);
  const lost = running && checkpointS > 0 ? saveS : spent;
  return (1 + lost) * Math.max(cpus, 0.1) * (kind === "gang" ? tasks : 1);
}

export interface Eviction {
  readonly placement: Placement;
  readonly forJob: string;
}

/** The cheapest set of tasks whose end lets one task of the job in, and where. */
export function makeRoom(
  job: LiveJob,
  ctx: PlanContext,
  within: ReadonlySet<string>,
  care: GpuCare,
): { machine: Machine; victims: Placement[] } | null {
  if (ctx.cluster.quotaSlots(job.spec) <= 0) return null;
  const room = spreadRoom(job);
  const zone = boundZone(job) ?? (job.heldZone || null);
  let best: { machine: Machine; victims: Placement[] } | null = null;
  let bestCost = Infinity;
  for (const m of fitted(job.spec, ctx)) {
    if (m.weakest <= job.hold) continue;
    // Room is being made or held there already; the caller has counted it.
    if (m.reservedFor !== null || room(m.zone) <= 0) continue;
    if (zone !== null && m.zone !== zone) continue;
    if (!typeAllowed(job.spec, m.type.name, m.zone, m.spot)) continue;
    if (job.avoids(m.name, ctx.now)) continue;
    let cpus = m.freeCpus;
    let gpus = m.freeGpus;
    let memory = m.freeMemory;
    // What is being stopped already will be free without stopping more.
    for (const p of m.placements.values()) {
      if (p.stop === null) continue;
      cpus += p.job.spec.cpus;
      gpus += p.job.spec.gpus;
      memory += p.job.spec.memoryGb;
    }
    const victims: Placement[] = [];
    if (job.spec.kind === "service" && !desperate(job, ctx)) {
      // With all that may be stopped gone, would a replica here keep a GPU job out?
      const empty =
        care.specs.length === 0 ||
        care.specs.some(
          (g) =>
            typeAllowed(g, m.type.name, m.zone, m.spot) &&
            slots(g, m.type.cpus - job.spec.cpus, m.type.gpus, m.type.memoryGb) <
              slots(g, m.type.cpus, m.type.gpus, m.type.memoryGb),
        );
      if (empty && m.type.gpus > 0) continue;
    }
    let cost = imageWait(m, job.spec);
    if (cost >= bestCost) continue;
    const stoppable = [...m.placements.values()].filter((p) => mayPreempt(job, p, ctx, within));
    let most = cpus;
    let mostGpus = gpus;
    let mostMemory = memory;
    for (const p of stoppable) {
      most += p.job.spec.cpus;
      mostGpus += p.job.spec.gpus;
      mostMemory += p.job.spec.memoryGb;
    }
    if (slots(job.spec, most, mostGpus, mostMemory) < 1) continue;
    const order = stoppable.sort(
      (a, b) => b.job.rank - a.job.rank || loss(a, ctx.now) - loss(b, ctx.now),
    );
    for (const p of order) {
      if (slots(job.spec, cpus, gpus, memory) >= 1) break;
      cpus += p.job.spec.cpus;
      gpus += p.job.spec.gpus;
      memory += p.job.spec.memoryGb;
      victims.push(p);
      cost += loss(p, ctx.now);
    }
    if (slots(job.spec, cpus, gpus, memory) < 1) continue;
    if (cost < bestCost) {
      best = { machine: m, victims };
      bestCost = cost;
    }
  }
  return best;
}

/** Waiting jobs, the most urgent first. */
export function order(ctx: PlanContext, within: ReadonlySet<string>): LiveJob[] {
  const waiting: LiveJob[] = [];
  for (const job of ctx.cluster.jobs.values()) {
    if (job.cancelled || job.complete || ctx.now < job.backoffUntil) continue;
    // What waits for other jobs stands in no line, holds no part of anything and drives no rental.
    if (job.waits) continue;
    if (job.pendingCount > 0) waiting.push(job);
    else job.waitingSince = null;
  }
  const urgency = new Map<LiveJob, Urgency>();
  for (const j of waiting) urgency.set(j, urgencyOf(j, ctx, within));
  const starving = neglected(waiting, ctx);
  const promises = ctx.settings.objectives.filter((o) => o.kind === "guarantee");
  const promisedS = Math.max(...promises.map((o) => o.withinS ?? Infinity));
  for (const j of waiting) {
    const kept = promises.length === 0 || ctx.wallMs - j.countsFrom <= 1000 * promisedS;
    j.inTime = j.spec.kind !== "gang" || kept;
  }
  const line = (j: LiveJob): number => {
    // What fails wherever it goes never goes before what has not failed.
    if (j.suspect !== null) return SUSPECT_LINE;
    if (starving.has(j)) return Math.min(1, j.hold);
    // Gangs within a guarantee go first while that can still be kept. (In a burst those that were
    // late already went on before all others, in order of arrival, and everybody was late.)
    return j.inTime || j.hold < 10 ? j.hold : 20 + j.rank;
  };
  return waiting.sort((a, b) => {
    const [ua, ub] = [urgency.get(a)!, urgency.get(b)!];
    return (
      line(a) - line(b) ||
      ua.late - ub.late ||
      (starving.has(a) && starving.has(b) ? 0 : area(a) - area(b)) ||
      ua.at - ub.at ||
      a.submittedAt - b.submittedAt ||
      (a.spec.id < b.spec.id ? -1 : 1)
    );
  });
}

/** Behind every other place in line. */
const SUSPECT_LINE = 40;

/** The users' bound: every job, the largest too, is to begin within four minutes. */
export const BEGIN_S = 240;

/** Part of the users' bound that a job has waited. */
const patience = (j: LiveJob, ctx: PlanContext): number =>
  (ctx.wallMs - j.countsFrom) / (1000 * BEGIN_S);

/**
 * Of each class, the largest job that has waited for half of that bound without a start. It goes
 * before all but production, one of a class at a time, and after each the others come first for as long
 * as leaves it two thirds of all there is. (Without that, every job went largest first once a burst
 * had lasted for two minutes; with half, the middle one of the largest began after 289 s.)
 */
function neglected(waiting: readonly LiveJob[], ctx: PlanContext): Set<LiveJob> {
  const worst = new Map<string, LiveJob[]>();
  for (const j of waiting) {
    if (j.suspect !== null || j.done.size > 0 || j.present > 0) continue;
    if (patience(j, ctx) < 0.5) continue;
    if (ctx.now < (ctx.cluster.othersFirst.get(j.spec.class) ?? 0)) continue;
    const of = worst.get(j.spec.class);
    if (of === undefined) worst.set(j.spec.class, [j]);
    else of.push(j);
  }
  const out = new Set<LiveJob>();
  for (const jobs of worst.values()) {
    // Whoever is past the bound comes after those that still can begin within it.
    const past = (j: LiveJob): number => (patience(j, ctx) >= 1 ? 1 : 0);
    jobs.sort(
      (a, b) => past(a) - past(b) || b.spec.tasks - a.spec.tasks || a.submittedAt - b.submittedAt,
    );
    out.add(jobs[0]!);
  }
  for (const j of waiting) j.neglected = out.has(j);
  return out;
}

/** A neglected job has started: a third of the room of its class is for others. */
function owedToOthers(job: LiveJob, ctx: PlanContext): void {
  if (!job.neglected) return;
  job.neglected = false;
  let room = 0;
  for (const m of fitted(job.spec, ctx)) {
    if (!typeAllowed(job.spec, m.type.name, m.zone, m.spot)) continue;
    room += slots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
  }
  const forS = (1.5 * job.spec.tasks * Math.max(1, job.spec.estimateS)) / Math.max(1, room);
  ctx.cluster.othersFirst.set(job.spec.class, ctx.now + Math.min(forS, BEGIN_S / 4));
}

/** What a gang takes up: machines for how long. An aim counts a small one as much as a large one. */
const area = (j: LiveJob): number =>
  j.spec.kind === "gang" ? j.spec.tasks * Math.max(1, j.spec.estimateS) : 0;

interface Urgency {
  /** The latest time of day (ms) at which a start still meets some aim. */
  readonly at: number;
  /** 0: in time; of gangs, 1: only for an aim on its end; 2: for none any more. */
  readonly late: number;
}

/**
 * Aims that the settings state for the job and that a start now still meets. What can meet none any
 * more comes last: an hour's backlog served in order of arrival makes everybody late, while those who
 * are late already lose little by waiting on.
 */
function urgencyOf(job: LiveJob, ctx: PlanContext, within: ReadonlySet<string>): Urgency {
  const { spec } = job;
  let best = Infinity;
  let startAim = false;
  const imageS = fetchS(job, ctx);
  const consider = (afterS: number, start: boolean): void => {
    by(job.countsFrom + 1000 * (afterS - imageS), start);
  };
  const by = (at: number, start: boolean): void => {
    if (at < ctx.wallMs) return;
    if (start) startAim = true;
    best = Math.min(best, at);
  };
  // A job of which some tasks have started has its start aim behind it.
  const begun = job.done.size > 0 || job.placements.size > 0;
  // Its own deadline, counted from the submission, or what those that wait for it leave of theirs.
  if (job.dueMs !== null) by(job.dueMs - 1000 * (spec.estimateS + imageS), false);
  for (const o of ctx.settings.objectives) {
    if (o.withinS === null) continue;
    if (o.kind === "finished" && o.class === spec.class) {
      consider(o.withinS - spec.estimateS, false);
    } else if (begun) continue;
    else if (o.kind === "wait" && o.class === spec.class) consider(o.withinS, true);
    else if (o.kind === "guarantee" && within.has(spec.id)) consider(o.withinS, true);
  }
  const late = best === Infinity ? 2 : spec.kind === "gang" && !startAim ? 1 : 0;
  return { at: best, late };
}

/** Seconds that the job's image takes where it could run, or none if a machine free now holds it. */
function fetchS(job: LiveJob, ctx: PlanContext): number {
  let rate = 0;
  for (const m of ctx.field.kinds) {
    if (!typeAllowed(job.spec, m.type.name, m.zone, m.spot)) continue;
    if (slots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb) < 1) continue;
    rate = Math.max(rate, m.type.fetchGbPerS);
  }
  for (const m of ctx.field.holding.get(job.spec.image) ?? []) {
    if (!typeAllowed(job.spec, m.type.name, m.zone, m.spot)) continue;
    if (slots(job.spec, m.freeCpus, m.freeGpus, m.freeMemory) > 0) return 0;
  }
  return rate > 0 ? job.spec.imageGb / rate : 0;
}

/** One pass over all that waits. Returns the jobs that still have tasks waiting for room. */
export function plan(
  ctx: PlanContext,
  within: ReadonlySet<string>,
  care: GpuCare,
  mayStart: (job: LiveJob) => boolean,
): LiveJob[] {
  const left: LiveJob[] = [];
  const taken = new Set<string>();
  const line = order(ctx, within);
  line.forEach((job, i) => {
    job.line = i;
  });
  for (const job of line) {
    if (!mayStart(job)) continue;
    const before = job.present;
    let forImage = false;
    if (job.spec.kind === "gang") {
      const outcome = placeGang(job, ctx, care);
      forImage = outcome === "image";
      // What is free is left to others while it only waits for its image.
      if (outcome !== "room" || job.waitingSince === null) job.heldZone = null;
      else holdRoom(job, ctx, taken);
    } else placeTasks(job, ctx, care);
    if (job.present > before) owedToOthers(job, ctx);
    if (job.pendingCount > 0) {
      job.waitingSince ??= ctx.now;
      // Nothing is stopped, held or rented for a job that fails wherever it goes, or has room.
      if (job.suspect === null && !forImage) left.push(job);
    } else job.waitingSince = null;
  }
  return left;
}
