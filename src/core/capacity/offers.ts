/** Chooses the offer (machine type, zone, and spot or on-demand) with the lowest cost per task of a job. */
import { isMachineAllowed } from "../dispatch/placement-constraints.js";
import { taskSlots } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { MachineType } from "../model/machines.js";
import type { ScalingContext } from "./scaling-context.js";

/** Price factor of GPU machines for jobs without GPUs, which get such machines only as a last resort. */
const GPU_WASTE_FACTOR = 100;
/** Maximum number of late boots that count against an offer. */
const MAX_COUNTED_LATE_BOOTS = 3;
/** Cost added per machine already in the zone. It is small, so that it decides only between nearly equal prices. */
const ZONE_BALANCE_COST = 1e-4;

/** A combination of machine type, zone and spot flag that may be requested from the cloud. */
export interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Number of tasks of the job that fit on one machine. */
  readonly tasksPerMachine: number;
}

/** Whether machines may be requested in the zone. */
export type ZonePredicate = (zone: string) => boolean;

/** Key of an offer, independent of the job that it is considered for. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type} ${zone} ${spot ? "spot" : "ordinary"}`;

/** The offer with the lowest cost per task of the job, without those that are in backoff after a lack of capacity. */
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

/**
 * Price per task, with surcharges for GPUs that the job does not use, late boots and machines already in the zone.
 */
function costPerTask(
  { type, zone, spot, tasksPerMachine }: Offer,
  spec: JobSpec,
  missingTasks: number,
  { lateBootsByOffer, machinesByZone }: ScalingContext,
): number {
  const gpuWasteFactor = type.gpus > 0 && spec.gpus === 0 ? GPU_WASTE_FACTOR : 1;
  const price = spot ? type.spotPrice : type.price;
  // Each late boot adds the price once more. After one late boot, another offer at up to twice the price is
  // preferred.
  const lateBoots = lateBootsByOffer.get(offerKey(type.name, zone, spot)) ?? 0;
  const lateBootFactor = 1 + Math.min(MAX_COUNTED_LATE_BOOTS, lateBoots);
  const zoneBalanceCost = ZONE_BALANCE_COST * (machinesByZone.get(zone) ?? 0);
  return (
    (gpuWasteFactor * lateBootFactor * price) /
      Math.min(tasksPerMachine, Math.max(missingTasks, 1)) +
    zoneBalanceCost
  );
}
