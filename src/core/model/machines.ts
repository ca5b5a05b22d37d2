/** Machine types and machines as described by the cloud. */

/** A machine type in the cloud's catalog. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  /** Memory, in GB. */
  readonly memoryGb: number;
  /** Size of the image cache, in GB. */
  readonly cacheGb: number;
  /** Rate at which images are pulled, in GB per second. */
  readonly fetchGbPerS: number;
  /** Price of an on-demand machine, per hour. */
  readonly price: number;
  /** Current price of a spot machine, per hour. */
  readonly spotPrice: number;
  /** Typical time from the scale-out request until the worker is up, in seconds. */
  readonly bootS: number;
  /** Zones in which the type is offered. */
  readonly zones: readonly string[];
}

/** An entry of the cloud's list of this cluster's machines. The list lags behind the actual state. */
export interface ListedMachine {
  readonly name: string;
  /** Address of the machine's worker, host:port; empty until it has one. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: "booting" | "running" | "failed";
  /** Seconds from the request of the machine until the cloud made the list. */
  readonly ageS: number;
}
