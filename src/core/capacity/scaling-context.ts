/** Input of scale-out planning and of the choice of an offer. */
import type { Cluster } from "../cluster.js";
import type { MachineType } from "../model/machines.js";

/** The state that scaling decisions depend on, as of the time `now`. */
export interface ScalingContext {
  readonly cluster: Cluster;
  readonly types: readonly MachineType[];
  readonly now: number;
  /** By `offerKey`: time until which an offer is not requested again after the cloud lacked capacity for it. */
  readonly capacityBackoffUntil: ReadonlyMap<string, number>;
  /** Spare capacity to keep for each class of jobs, as a multiple of the number of its placed tasks. */
  readonly spareRatio: number;
  readonly maxMachines: number;
  readonly machinesByZone: ReadonlyMap<string, number>;
  /** Number of machines that are late in booting, by `offerKey`. */
  readonly lateBootsByOffer: ReadonlyMap<string, number>;
}
