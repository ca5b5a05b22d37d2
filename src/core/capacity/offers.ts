/** The kinds of machine that the cloud offers, and which of them serves a job at the lowest cost. */
import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import { taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import type { ScalingContext } from "./scaling-context.js";

/** Work without GPUs is put on GPU machines only as a last resort. */
const GPU_WASTE_FACTOR = 100;
/** Most machines that boot late which count against an offer. */
const MAXIMUM_DOUBT = 3;
/** Cost of a machine in the same zone: zones with fewer machines are preferred, by a little. */
const CROWDING_COST = 1e-4;

/** A type of machine in a zone that may be requested, as a spot machine or not. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Tasks of the job that fit one machine. */
  readonly tasksPerMachine: number;
}

/** The zones in which machines may be requested. */
export type ZonePredicate = (zone: string) => boolean;

/** Identifies an offer, whatever it is to serve. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? "spot" : "ordinary"}`;

/** The offer with the lowest cost for each task of the job, of those that the cloud has not refused lately. */
export function cheapestOffer(
  spec: JobSpec,
  missingTasks: number,
  scaling: ScalingContext,
  isZoneAllowed: ZonePredicate,
): Offer | null {
  let cheapest: Offer | null = null;
  let lowestCost = Number.POSITIVE_INFINITY;
  for (const offer of offersFor(spec, scaling, isZoneAllowed)) {
    const cost = costPerTask(offer, spec, missingTasks, scaling);
    if (cost >= lowestCost) continue;
    cheapest = offer;
    lowestCost = cost;
  }
  return cheapest;
}

function* offersFor(
  spec: JobSpec,
  scaling: ScalingContext,
  isZoneAllowed: ZonePredicate,
): Generator<Offer> {
  for (const type of scaling.types) {
    const tasksPerMachine = taskSlots(spec, type.cpus, type.gpus, type.memoryGb);
    if (tasksPerMachine < 1) continue;
    for (const zone of type.zones) {
      if (!isZoneAllowed(zone)) continue;
      for (const spot of [true, false]) {
        if (!isMachineAllowed(spec, { type, zone, spot })) continue;
        if (isInBackoff(type.name, zone, spot, scaling)) continue;
        yield { type, zone, spot, tasksPerMachine };
      }
    }
  }
}

function isInBackoff(
  type: string,
  zone: string,
  spot: boolean,
  { capacityBackoffUntil, now }: ScalingContext,
): boolean {
  const until = capacityBackoffUntil.get(offerKey(type, zone, spot));
  return until !== undefined && until > now;
}

/** Price for each task, weighted by what counts against the offer. */
function costPerTask(
  { type, zone, spot, tasksPerMachine }: Offer,
  spec: JobSpec,
  missingTasks: number,
  { lateBootsByOffer, machinesByZone }: ScalingContext,
): number {
  const gpuWaste = type.gpus > 0 && spec.gpus === 0 ? GPU_WASTE_FACTOR : 1;
  const price = spot ? type.spotPrice : type.price;
  // Another offer at twice the price rather than one of which machines do not boot.
  const lateBoots = lateBootsByOffer.get(offerKey(type.name, zone, spot)) ?? 0;
  const doubt = 1 + Math.min(MAXIMUM_DOUBT, lateBoots);
  const crowding = CROWDING_COST * (machinesByZone.get(zone) ?? 0);
  return (
    (gpuWaste * doubt * price) / Math.min(tasksPerMachine, Math.max(missingTasks, 1)) + crowding
  );
}
