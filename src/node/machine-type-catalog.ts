/**
 * The machine types that the cloud offers. They are also stored in the state service, so that a node can start while
 * the cloud is unavailable.
 */
// Uses the default import because tests replace the timers on it; a named import would keep the original timers.
import timers from "node:timers/promises";
import type { CloudClient } from "../cloud/client.js";
import type { MachineType } from "../core/model/machines.js";
import type { ClusterSettings } from "../core/model/settings.js";
import type { StateReplica } from "../core/state/state-replica.js";
import { KEY } from "../core/state/stored-values.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";

/**
 * Interval between two requests for the catalog, as a multiple of the worker lease. The requests are repeated because
 * prices change.
 */
const REFRESH_LEASES = 10;

/** Dependencies and callbacks of `MachineTypeCatalog`. */
export interface MachineTypeCatalogOptions {
  readonly cluster: ClusterSettings;
  readonly cloud: CloudClient;
  readonly keyValueClient: KeyValueClient;
  readonly watcher: StateWatcher;
  readonly replica: StateReplica;
  /** Called when the cloud returned its catalog, even if it is unchanged. */
  readonly onChange: (types: readonly MachineType[]) => void;
}

/** Keeps the machine types up to date. */
export class MachineTypeCatalog {
  /** The known types; empty until the cloud or the state service has returned some. */
  known: readonly MachineType[] = [];
  private stopped = false;

  constructor(private readonly options: MachineTypeCatalogOptions) {}

  /** Ends `run` after its current wait. */
  stop(): void {
    this.stopped = true;
  }

  /** Uses the stored types until the cloud has returned any. */
  loadFromReplica(): void {
    const { machineTypes } = this.options.replica;
    if (this.known.length === 0 && machineTypes !== null) this.known = machineTypes;
  }

  /** Refreshes the catalog periodically until `stop`. */
  async run(): Promise<void> {
    const { cluster, cloud, onChange } = this.options;
    const { leaseS, cloudRps } = cluster;
    while (!this.stopped) {
      const types = await cloud.fetchCatalog();
      if (types === null || types.length === 0) {
        await sleepSeconds(this.known.length === 0 ? 4 / cloudRps : leaseS);
        continue;
      }
      this.known = types;
      onChange(types);
      await this.persist(types);
      // The timer is unreferenced, so that it does not keep an embedding program alive after it stopped the
      // controller.
      await timers.setTimeout(REFRESH_LEASES * 1000 * leaseS, undefined, { ref: false });
    }
  }

  private async persist(types: readonly MachineType[]): Promise<void> {
    const { cluster, keyValueClient, watcher, replica } = this.options;
    while (!watcher.isLoaded && !this.stopped) await sleepSeconds(0.2);
    const stored = replica.machineTypes;
    if (stored !== null && withoutPrices(stored) === withoutPrices(types)) return;
    if (JSON.stringify(types).length > cluster.valueKb * 1024) return;
    // The write is conditional, so that a delayed duplicate of the request does not overwrite newer types.
    const modRevision = replica.machineTypesModRevision;
    await keyValueClient.transact(
      [{ key: KEY.machineTypes, modRevision }],
      [{ op: "put", key: KEY.machineTypes, value: types }],
    );
  }
}

/**
 * Serializes types without prices for comparison: prices change often, and a price change does not justify a write.
 */
function withoutPrices(types: readonly MachineType[]): string {
  return JSON.stringify(types.map((type) => ({ ...type, spotPrice: 0, price: 0 })));
}
