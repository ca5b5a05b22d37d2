/** Which machines to rent, ahead of need and for what waits, and which to give back. */
import type { Cluster } from "./cluster.js";
import type { LiveJob } from "./live-job.js";
import { type Machine, slots } from "./machine.js";
import type { ClusterSettings, JobSpec, MachineType } from "./model.js";
import { machineAllowed, type ZoneOccupancy } from "./placement-rules.js";
import { mayMove } from "./zone-moves.js";

/** Machines of one request at the most, by the protocol. */
const MOST = 50;

export interface Rental {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
  readonly why: string;
}

/** The shape of a class of jobs, as last seen, and how much of it runs. */
export interface Shape {
  readonly spec: JobSpec;
  running: number;
}

export interface RentContext {
  readonly cluster: Cluster;
  readonly settings: ClusterSettings;
  readonly types: readonly MachineType[];
  readonly now: number;
  /** Kinds refused for lack of capacity, and until when not to ask again. */
  readonly refused: ReadonlyMap<string, number>;
  /** Free room to keep for each class, as a ratio to what it uses. */
  readonly spare: number;
  readonly maxMachines: number;
  readonly inZone: ReadonlyMap<string, number>;
  /** How many machines of a kind are late now. */
  readonly late: ReadonlyMap<string, number>;
}

export function machinesInZones(cluster: Cluster): Map<string, number> {
  const inZone = new Map<string, number>();
  for (const m of cluster.machines.values()) {
    inZone.set(m.zone, (inZone.get(m.zone) ?? 0) + 1);
  }
  return inZone;
}

export function lateOfKinds(cluster: Cluster, now: number): Map<string, number> {
  const late = new Map<string, number>();
  for (const m of cluster.machines.values()) {
    if (!isLate(m, now)) continue;
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
const COMING = 2;
export const isLate = (m: Machine, now: number): boolean =>
  m.state === "booting" && now - m.bootingSince > COMING * m.type.bootS;

/** A machine that fell silent, or is late, offers no room, though it may come. */
function willTake(m: Machine, now: number): boolean {
  return (
    ((m.state === "booting" && !isLate(m, now)) || (m.state === "up" && m.deafSince === null)) &&
    m.drain === null &&
    m.takenAt === null
  );
}

/** Free room for a shape on machines that are up or coming up. */
export function freeSlots(cluster: Cluster, spec: JobSpec, now: number): number {
  let n = 0;
  for (const m of cluster.machines.values()) {
    if (!willTake(m, now) || !machineAllowed(spec, m)) continue;
    n += slots(spec, m.freeCpus, m.freeGpus, m.freeMemory);
  }
  return n;
}

/** Machines of a kind that are late: more of them speak no louder. */
const DOUBT = 3;

/** Zones in which machines are rented. */
type ZoneFilter = (zone: string) => boolean;
const anyZone: ZoneFilter = () => true;

/** A kind of machine that the cloud may have, and the tasks of a shape that one takes. */
interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly perMachine: number;
}

/** What the shape may run on, less what the cloud refused a moment ago. */
function* offers(spec: JobSpec, ctx: RentContext, mayRentIn: ZoneFilter): Generator<Offer> {
  for (const type of ctx.types) {
    const perMachine = slots(spec, type.cpus, type.gpus, type.memoryGb);
    if (perMachine < 1) continue;
    for (const zone of type.zones) {
      if (!mayRentIn(zone)) continue;
      for (const spot of [true, false]) {
        if (!machineAllowed(spec, { type, zone, spot })) continue;
        const until = ctx.refused.get(offerKey(type.name, zone, spot));
        if (until === undefined || until <= ctx.now) yield { type, zone, spot, perMachine };
      }
    }
  }
}

/** Price for each task, weighted by what speaks against the kind of machine. */
function costOf(
  { type, zone, spot, perMachine }: Offer,
  spec: JobSpec,
  want: number,
  ctx: RentContext,
) {
  // Work without GPUs takes GPU machines only as a last resort.
  const gpuWaste = type.gpus > 0 && spec.gpus === 0 ? 100 : 1;
  const price = spot ? type.spotPrice : type.price;
  // Another kind for as much again rather than one of which several do not come up.
  const doubt = 1 + Math.min(DOUBT, ctx.late.get(offerKey(type.name, zone, spot)) ?? 0);
  // Zones with fewer machines first, by a little.
  const crowding = 1e-4 * (ctx.inZone.get(zone) ?? 0);
  return (gpuWaste * doubt * price) / Math.min(perMachine, Math.max(want, 1)) + crowding;
}

/** The offer that serves the shape at the least price for each task, among those not refused. */
function cheapestOffer(
  spec: JobSpec,
  want: number,
  ctx: RentContext,
  mayRentIn: ZoneFilter,
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
export function wanted(
  ctx: RentContext,
  waiting: readonly LiveJob[],
  shapes: Iterable<Shape>,
): Rental | null {
  if (ctx.cluster.machines.size >= ctx.maxMachines) return null;
  const booting = bootingRoom(ctx.cluster, ctx.now);
  // Who comes first decides what is asked for; those behind it whom the same kind serves best join in.
  // (One request for each job took a minute to rent what was on offer.)
  let first = null as Rental | null;
  for (const job of waiting) {
    const need = Math.min(
      job.pendingCount,
      job.spec.kind === "gang" ? job.spec.tasks : ctx.cluster.quotaSlots(job.spec),
    );
    if (need <= 0) continue;
    const zones = job.zones.copy();
    const coming = booting(job, zones, need);
    if (coming >= need) continue;
    const r = rentalFor(job, need - coming, zones, ctx);
    if (r === null) continue;
    if (first === null) first = r;
    else if (r.type === first.type && r.zone === first.zone && r.spot === first.spot) {
      first = { ...first, count: Math.min(MOST, first.count + r.count) };
    }
    if (first.count >= MOST) break;
  }
  if (first !== null) {
    return { ...first, count: Math.min(first.count, ctx.maxMachines - ctx.cluster.machines.size) };
  }
  for (const shape of shapes) {
    const keep = Math.max(1, Math.ceil(ctx.spare * shape.running));
    const free = freeSlots(ctx.cluster, shape.spec, ctx.now);
    if (free >= keep) continue;
    const why = `spare room for ${shape.spec.class}`;
    const r = rental(shape.spec, keep - free, why, ctx, anyZone);
    if (r !== null) return r;
  }
  return null;
}

/** Room for a waiting job, where its other tasks allow it. */
function rentalFor(
  job: LiveJob,
  want: number,
  zones: ZoneOccupancy,
  ctx: RentContext,
): Rental | null {
  const why = `${job.spec.id} waits for room`;
  const r = rental(job.spec, want, why, ctx, (zone) => zones.roomIn(zone) > 0);
  if (r !== null || !mayMove(job, ctx.now)) return r;
  // Nothing more is to be had in the zone that it is in: room for all of it in another.
  const elsewhere = (zone: string): boolean => zone !== job.zones.mainZone;
  return rental(job.spec, job.spec.tasks, why, ctx, elsewhere);
}

function rental(
  spec: JobSpec,
  want: number,
  why: string,
  ctx: RentContext,
  mayRentIn: ZoneFilter,
): Rental | null {
  const o = cheapestOffer(spec, want, ctx, mayRentIn);
  if (o === null) return null;
  const count = Math.min(
    Math.ceil(want / o.perMachine),
    ctx.maxMachines - ctx.cluster.machines.size,
    MOST,
  );
  return count <= 0 ? null : { type: o.type.name, zone: o.zone, spot: o.spot, count, why };
}

/**
 * Room on machines that are coming up, handed out once to each asker in turn, and taken in `zones`. (A gang is placed
 * as a whole once all of it fits somewhere, so what comes up for it counts in any zone.)
 */
function bootingRoom(
  cluster: Cluster,
  now: number,
): (job: LiveJob, zones: ZoneOccupancy, need: number) => number {
  const left = new Map<Machine, { cpus: number; gpus: number; memory: number }>();
  for (const m of cluster.machines.values()) {
    if (m.state === "booting" && !isLate(m, now)) {
      left.set(m, { cpus: m.type.cpus, gpus: m.type.gpus, memory: m.type.memoryGb });
    }
  }
  return ({ spec }, zones, need) => {
    const inAnyZone = spec.kind === "gang" && !spec.spread;
    let got = 0;
    for (const [m, room] of left) {
      if (got >= need) break;
      if (!machineAllowed(spec, m)) continue;
      const fits = Math.min(need - got, slots(spec, room.cpus, room.gpus, room.memory));
      const n = inAnyZone ? fits : zones.takeRoom(m.zone, fits);
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
export function surplus(ctx: RentContext, shapes: readonly Shape[], idleS: number): Machine[] {
  const idle = [...ctx.cluster.machines.values()].filter(
    (m) => m.state === "up" && m.placements.size === 0 && ctx.now - m.idleSince >= idleS,
  );
  if (idle.length === 0) return [];
  const free = new Map(shapes.map((s) => [s, freeSlots(ctx.cluster, s.spec, ctx.now)]));
  for (const m of idle) {
    const needed = shapes.some((s) => {
      if (!machineAllowed(s.spec, m)) return false;
      const here = slots(s.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
      const keep = Math.max(1, Math.ceil(ctx.spare * s.running));
      return here > 0 && free.get(s)! - here < keep;
    });
    if (!needed) return [m];
  }
  return [];
}
