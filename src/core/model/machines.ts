/** Machines as the cloud describes them. */

/** A machine type in the cloud's catalog. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  /** Memory, in GB. */
  readonly memoryGb: number;
  /** Space for cached images, in GB. */
  readonly cacheGb: number;
  /** Rate at which images are pulled, in GB a second. */
  readonly fetchGbPerS: number;
  /** Price of an ordinary machine, an hour. */
  readonly price: number;
  /** Current price of a spot machine, an hour. */
  readonly spotPrice: number;
  /** Usual time from the scale-out until the worker is up, in seconds. */
  readonly bootS: number;
  /** Zones in which it is offered. */
  readonly zones: readonly string[];
}

/** A machine in the cloud's list of this cluster's machines, which lags. */
export interface ListedMachine {
  readonly name: string;
  /** Address of its worker, host:port; empty while it has none. */
  readonly address: string;
  /** Name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: "booting" | "running" | "failed";
  /** Seconds since it was requested, as of the list. */
  readonly ageS: number;
}
