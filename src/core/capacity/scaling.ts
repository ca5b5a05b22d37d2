/** Which machines to rent, ahead of need and for what waits, and which to give back. */
import type { Cluster } from "../cluster.js";
import { isMachineAllowed, type ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { type Machine, taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import type { ClusterSettings } from "../model/settings.js";
import { mayRelocate } from "../planning/zone-relocation.js";

/** Machines of one request at the most, by the protocol. */
const MAXIMUM_MACHINES_PER_REQUEST = 50;

export interface ScaleOutRequest {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
  readonly why: string;
}

/** The shape of a class of jobs, as last seen, and how much of it runs. */
export interface JobShape {
  readonly spec: JobSpec;
  runningTasks: number;
}

export interface ScalingContext {
  readonly cluster: Cluster;
  readonly settings: ClusterSettings;
  readonly types: readonly MachineType[];
  readonly now: number;
  /** Kinds refused for lack of capacity, and until when not to ask again. */
  readonly capacityBackoffUntil: ReadonlyMap<string, number>;
  /** Free room to keep for each class, as a ratio to what it uses. */
  readonly spareRatio: number;
  readonly maxMachines: number;
  readonly machinesByZone: ReadonlyMap<string, number>;
  /** How many machines of a kind are late now. */
  readonly lateBootsByOffer: ReadonlyMap<string, number>;
}

export function countMachinesByZone(cluster: Cluster): Map<string, number> {
  const inZone = new Map<string, number>();
  for (const m of cluster.machines.values()) {
    inZone.set(m.zone, (inZone.get(m.zone) ?? 0) + 1);
  }
  return inZone;
}

export function countLateBootsByOffer(cluster: Cluster, now: number): Map<string, number> {
  const late = new Map<string, number>();
  for (const m of cluster.machines.values()) {
    if (!isBootLate(m, now)) continue;
    const key = offerKey(m.type.name, m.zone, m.spot);
    late.set(key, (late.get(key) ?? 0) + 1);
  }
  return late;
}

export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? "spot" : "ordinary"}`;

/**
 * Usual times to boot within which a machine counts as coming. One that is later may yet come, or never:
 * others are rented meanwhile, elsewhere if there is a choice. (All that was booting counted for four
 * times the usual, and while machines came late or never nobody rented another.)
 */
const ON_TIME_BOOT_RATIO = 2;
export const isBootLate = (m: Machine, now: number): boolean =>
  m.state === "booting" && now - m.bootingSince > ON_TIME_BOOT_RATIO * m.type.bootS;

/** A machine that fell silent, or is late, offers no room, though it may come. */
function acceptsNewTasks(m: Machine, now: number): boolean {
  return (
    ((m.state === "booting" && !isBootLate(m, now)) ||
      (m.state === "up" && m.unreachableSince === null)) &&
    m.drainReason === null &&
    m.interruptionAt === null
  );
}

/** Free room for a shape on machines that are up or coming up. */
export function freeSlots(cluster: Cluster, spec: JobSpec, now: number): number {
  let n = 0;
  for (const m of cluster.machines.values()) {
    if (!acceptsNewTasks(m, now) || !isMachineAllowed(spec, m)) continue;
    n += taskSlots(spec, m.freeCpus, m.freeGpus, m.freeMemoryGb);
  }
  return n;
}

/** Machines of a kind that are late: more of them speak no louder. */
const MAXIMUM_DOUBT = 3;

/** Zones in which machines are rented. */
type ZonePredicate = (zone: string) => boolean;
const anyZone: ZonePredicate = () => true;

/** A kind of machine that the cloud may have, and the tasks of a shape that one takes. */
interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly tasksPerMachine: number;
}

/** What the shape may run on, less what the cloud refused a moment ago. */
function* offers(spec: JobSpec, ctx: ScalingContext, mayRentIn: ZonePredicate): Generator<Offer> {
  for (const type of ctx.types) {
    const perMachine = taskSlots(spec, type.cpus, type.gpus, type.memoryGb);
    if (perMachine < 1) continue;
    for (const zone of type.zones) {
      if (!mayRentIn(zone)) continue;
      for (const spot of [true, false]) {
        if (!isMachineAllowed(spec, { type, zone, spot })) continue;
        const until = ctx.capacityBackoffUntil.get(offerKey(type.name, zone, spot));
        if (until === undefined || until <= ctx.now)
          yield { type, zone, spot, tasksPerMachine: perMachine };
      }
    }
  }
}

/** Price for each task, weighted by what speaks against the kind of machine. */
function costOf(
  { type, zone, spot, tasksPerMachine: perMachine }: Offer,
  spec: JobSpec,
  want: number,
  ctx: ScalingContext,
) {
  // Work without GPUs takes GPU machines only as a last resort.
  const gpuWaste = type.gpus > 0 && spec.gpus === 0 ? 100 : 1;
  const price = spot ? type.spotPrice : type.price;
  // Another kind for as much again rather than one of which several do not come up.
  const doubt =
    1 + Math.min(MAXIMUM_DOUBT, ctx.lateBootsByOffer.get(offerKey(type.name, zone, spot)) ?? 0);
  // Zones with fewer machines first, by a little.
  const crowding = 1e-4 * (ctx.machinesByZone.get(zone) ?? 0);
  return (gpuWaste * doubt * price) / Math.min(perMachine, Math.max(want, 1)) + crowding;
}

/** The offer that serves the shape at the least price for each task, among those not refused. */
function cheapestOffer(
  spec: JobSpec,
  want: number,
  ctx: ScalingContext,
  mayRentIn: ZonePredicate,
): Offer | null {
  let best: Offer | null = null;
  let bestCost = Infinity;
  for (const offer of offers(spec, ctx, mayRentIn)) {
    const cost = costOf(offer, spec, want, ctx);
    if (cost >= bestCost) continue;
    best = offer;
    bestCost = cost;
  }
  return best;
}

/** At most one rental a call: the cloud takes few requests, and each answer changes the view. */
export function planScaleOut(
  ctx: ScalingContext,
  waiting: readonly ActiveJob[],
  shapes: Iterable<JobShape>,
): ScaleOutRequest | null {
  if (ctx.cluster.machines.size >= ctx.maxMachines) return null;
  const booting = allocateBootingCapacity(ctx.cluster, ctx.now);
  // Who comes first decides what is asked for; those behind it whom the same kind serves best join in.
  // (One request for each job took a minute to rent what was on offer.)
  let first = null as ScaleOutRequest | null;
  for (const job of waiting) {
    const need = Math.min(
      job.pendingCount,
      job.spec.kind === "gang" ? job.spec.tasks : ctx.cluster.quotaSlots(job.spec),
    );
    if (need <= 0) continue;
    const zones = job.zones.copy();
    const coming = booting(job, zones, need);
    if (coming >= need) continue;
    const r = scaleOutForJob(job, need - coming, zones, ctx);
    if (r === null) continue;
    if (first === null) first = r;
    else if (r.type === first.type && r.zone === first.zone && r.spot === first.spot) {
      first = { ...first, count: Math.min(MAXIMUM_MACHINES_PER_REQUEST, first.count + r.count) };
    }
    if (first.count >= MAXIMUM_MACHINES_PER_REQUEST) break;
  }
  if (first !== null) {
    return { ...first, count: Math.min(first.count, ctx.maxMachines - ctx.cluster.machines.size) };
  }
  for (const shape of shapes) {
    const keep = Math.max(1, Math.ceil(ctx.spareRatio * shape.runningTasks));
    const free = freeSlots(ctx.cluster, shape.spec, ctx.now);
    if (free >= keep) continue;
    const why = `spare room for ${shape.spec.class}`;
    const r = scaleOutFor(shape.spec, keep - free, why, ctx, anyZone);
    if (r !== null) return r;
  }
  return null;
}

/** Room for a waiting job, where its other tasks allow it. */
function scaleOutForJob(
  job: ActiveJob,
  want: number,
  zones: ZoneOccupancy,
  ctx: ScalingContext,
): ScaleOutRequest | null {
  const why = `${job.spec.id} waits for room`;
  const r = scaleOutFor(job.spec, want, why, ctx, (zone) => zones.capacityIn(zone) > 0);
  if (r !== null || !mayRelocate(job, ctx.now)) return r;
  // Nothing more is to be had in the zone that it is in: room for all of it in another.
  const elsewhere = (zone: string): boolean => zone !== job.zones.mainZone;
  return scaleOutFor(job.spec, job.spec.tasks, why, ctx, elsewhere);
}

function scaleOutFor(
  spec: JobSpec,
  want: number,
  why: string,
  ctx: ScalingContext,
  mayRentIn: ZonePredicate,
): ScaleOutRequest | null {
  const o = cheapestOffer(spec, want, ctx, mayRentIn);
  if (o === null) return null;
  const count = Math.min(
    Math.ceil(want / o.tasksPerMachine),
    ctx.maxMachines - ctx.cluster.machines.size,
    MAXIMUM_MACHINES_PER_REQUEST,
  );
  return count <= 0 ? null : { type: o.type.name, zone: o.zone, spot: o.spot, count, why };
}

/**
 * Room on machines that are coming up, handed out once to each asker in turn, and taken in `zones`. (A gang is placed
 * as a whole once all of it fits somewhere, so what comes up for it counts in any zone.)
 */
function allocateBootingCapacity(
  cluster: Cluster,
  now: number,
): (job: ActiveJob, zones: ZoneOccupancy, need: number) => number {
  const left = new Map<Machine, { cpus: number; gpus: number; memory: number }>();
  for (const m of cluster.machines.values()) {
    if (m.state === "booting" && !isBootLate(m, now)) {
      left.set(m, { cpus: m.type.cpus, gpus: m.type.gpus, memory: m.type.memoryGb });
    }
  }
  return ({ spec }, zones, need) => {
    const inAnyZone = spec.kind === "gang" && !spec.spread;
    let got = 0;
    for (const [m, room] of left) {
      if (got >= need) break;
      if (!isMachineAllowed(spec, m)) continue;
      const fits = Math.min(need - got, taskSlots(spec, room.cpus, room.gpus, room.memory));
      const n = inAnyZone ? fits : zones.reserveIn(m.zone, fits);
      if (n <= 0) continue;
      got += n;
      room.cpus -= n * spec.cpus;
      room.gpus -= n * spec.gpus;
      room.memory -= n * spec.memoryGb;
    }
    return got;
  };
}

/** Machines that stand idle although there is more than enough room for every class. */
export function findSurplusMachines(
  ctx: ScalingContext,
  shapes: readonly JobShape[],
  idleS: number,
): Machine[] {
  const idle = [...ctx.cluster.machines.values()].filter(
    (m) => m.state === "up" && m.placements.size === 0 && ctx.now - m.idleSince >= idleS,
  );
  if (idle.length === 0) return [];
  const free = new Map(shapes.map((s) => [s, freeSlots(ctx.cluster, s.spec, ctx.now)]));
  for (const m of idle) {
    const needed = shapes.some((s) => {
      if (!isMachineAllowed(s.spec, m)) return false;
      const here = taskSlots(s.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
      const keep = Math.max(1, Math.ceil(ctx.spareRatio * s.runningTasks));
      return here > 0 && free.get(s)! - here < keep;
    });
    if (!needed) return [m];
  }
  return [];
}
