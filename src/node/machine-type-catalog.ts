/** The machine types: asked of the cloud, and kept in the state service for a start while the cloud is down. */
import type { CloudClient } from "../cloud/client.js";
import type { MachineType } from "../core/model/machines.js";
import type { ClusterSettings } from "../core/model/settings.js";
import { KEY, type StateReplica } from "../core/state/state-replica.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";

/** Worker leases after which the cloud is asked again, as prices move. */
const REFRESH_LEASES = 10;

export class MachineTypeCatalog {
  known: readonly MachineType[] = [];
  private stopped = false;

  constructor(
    private readonly cluster: ClusterSettings,
    private readonly cloud: CloudClient,
    private readonly keyValueClient: KeyValueClient,
    private readonly watcher: StateWatcher,
    private readonly replica: StateReplica,
    private readonly onChange: (types: readonly MachineType[]) => void,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** Takes what is stored, as long as the cloud has told nothing. */
  loadFromReplica(): void {
    if (this.known.length === 0 && this.replica.machineTypes !== null)
      this.known = this.replica.machineTypes;
  }

  async run(): Promise<void> {
    const { leaseS, cloudRps } = this.cluster;
    while (!this.stopped) {
      const types = await this.cloud.fetchCatalog();
      if (types === null || types.length === 0) {
        await sleepSeconds(this.known.length === 0 ? 4 / cloudRps : leaseS);
        continue;
      }
      this.known = types;
      this.onChange(types);
      await this.persist(types);
      // It must not keep a program alive that embeds a controller and has stopped it.
      const pauseMs = REFRESH_LEASES * 1000 * leaseS;
      await new Promise((r) => setTimeout(r, pauseMs).unref());
    }
  }

  private async persist(types: readonly MachineType[]): Promise<void> {
    const fixed = (t: readonly MachineType[]): string =>
      JSON.stringify(t.map((x) => ({ ...x, spotPrice: 0, price: 0 })));
    while (!this.watcher.isLoaded && !this.stopped) await sleepSeconds(0.2);
    const stored = this.replica.machineTypes;
    if (stored !== null && fixed(stored) === fixed(types)) return;
    if (JSON.stringify(types).length > this.cluster.valueKb * 1024) return;
    // Conditional, so that a copy carried out late does not put older ones in their place.
    const mark = this.replica.machineTypesModRevision;
    await this.keyValueClient.transact(
      [{ key: KEY.machineTypes, modRevision: mark }],
      [{ op: "put", key: KEY.machineTypes, value: types }],
    );
  }
}
