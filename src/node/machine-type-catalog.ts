/** The machine types that the cloud offers, stored as well for a start while the cloud is down. */
// The default import, so that tests can mock the timer: a named import is bound before they do.
import timers from "node:timers/promises";
import type { CloudClient } from "../cloud/client.js";
import type { MachineType } from "../core/model/machines.js";
import type { ClusterSettings } from "../core/model/settings.js";
import type { StateReplica } from "../core/state/state-replica.js";
import { KEY } from "../core/state/stored-values.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";

/** Worker leases between two requests for the catalog, as prices move. */
const REFRESH_LEASES = 10;

/** What the catalog is read from and stored with. */
export interface MachineTypeCatalogOptions {
  readonly cluster: ClusterSettings;
  readonly cloud: CloudClient;
  readonly keyValueClient: KeyValueClient;
  readonly watcher: StateWatcher;
  readonly replica: StateReplica;
  /** The cloud returned its catalog, changed or not. */
  readonly onChange: (types: readonly MachineType[]) => void;
}

/** Keeps the machine types up to date. */
export class MachineTypeCatalog {
  /** Empty until the cloud or the state service returned some. */
  known: readonly MachineType[] = [];
  private stopped = false;

  constructor(private readonly options: MachineTypeCatalogOptions) {}

  /** Ends `run` after its current wait. */
  stop(): void {
    this.stopped = true;
  }

  /** Uses the stored types for as long as the cloud has returned none. */
  loadFromReplica(): void {
    const { machineTypes } = this.options.replica;
    if (this.known.length === 0 && machineTypes !== null) this.known = machineTypes;
  }

  /** Requests the catalog again and again until `stop`. */
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
      // The wait must not keep a program alive that embeds a controller and has stopped it.
      await timers.setTimeout(REFRESH_LEASES * 1000 * leaseS, undefined, { ref: false });
    }
  }

  private async persist(types: readonly MachineType[]): Promise<void> {
    const { cluster, keyValueClient, watcher, replica } = this.options;
    while (!watcher.isLoaded && !this.stopped) await sleepSeconds(0.2);
    const stored = replica.machineTypes;
    if (stored !== null && withoutPrices(stored) === withoutPrices(types)) return;
    if (JSON.stringify(types).length > cluster.valueKb * 1024) return;
    // Conditional, so that a copy of the request that arrives late does not overwrite newer types.
    const modRevision = replica.machineTypesModRevision;
    await keyValueClient.transact(
      [{ key: KEY.machineTypes, modRevision }],
      [{ op: "put", key: KEY.machineTypes, value: types }],
    );
  }
}

/** A text to compare types by: prices move all the time, and a change of them is not worth a write. */
function withoutPrices(types: readonly MachineType[]): string {
  return JSON.stringify(types.map((type) => ({ ...type, spotPrice: 0, price: 0 })));
}
