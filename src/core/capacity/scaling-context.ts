/** What the planning of the pool's growth and the choice of an offer are given. */
import type { Cluster } from "../cluster.js";
import type { MachineType } from "../model/machines.js";

/** What scaling depends on, as of one moment. */
export interface ScalingContext {
  readonly cluster: Cluster;
  readonly types: readonly MachineType[];
  readonly now: number;
  /** By `offerKey`: until when an offer that was refused for lack of capacity is not requested. */
  readonly capacityBackoffUntil: ReadonlyMap<string, number>;
  /** Spare capacity to keep for each class of jobs, as a ratio to what it uses. */
  readonly spareRatio: number;
  readonly maxMachines: number;
  readonly machinesByZone: ReadonlyMap<string, number>;
  /** By `offerKey`. */
  readonly lateBootsByOffer: ReadonlyMap<string, number>;
}
