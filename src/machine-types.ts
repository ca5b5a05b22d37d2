/** The machine types: asked of the cloud, and kept in the state service for a start while the cloud is down. */
import type { Cloud } from "./cloud/client.js";
import type { ClusterSettings, MachineType } from "./core/model.js";
import { KEY, type Records } from "./core/records.js";
import type { Follower } from "./state/follower.js";
import type { Store } from "./state/store.js";

const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));
/** Worker leases after which the cloud is asked again, as prices move. */
const REFRESH_LEASES = 10;

export class MachineTypes {
  known: readonly MachineType[] = [];
  private stopped = false;

  constructor(
    private readonly cluster: ClusterSettings,
    private readonly cloud: Cloud,
    private readonly store: Store,
    private readonly follower: Follower,
    private readonly records: Records,
    private readonly changed: (types: readonly MachineType[]) => void,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** Takes what is stored, as long as the cloud has told nothing. */
  takeStored(): void {
    if (this.known.length === 0 && this.records.types !== null) this.known = this.records.types;
  }

  async run(): Promise<void> {
    const { leaseS, cloudRps } = this.cluster;
    while (!this.stopped) {
      const types = await this.cloud.catalog();
      if (types === null || types.length === 0) {
        await sleep(this.known.length === 0 ? 4 / cloudRps : leaseS);
        continue;
      }
      this.known = types;
      this.changed(types);
      await this.keep(types);
      // It must not keep a program alive that embeds a controller and has stopped it.
      const pauseMs = REFRESH_LEASES * 1000 * leaseS;
      await new Promise((r) => setTimeout(r, pauseMs).unref());
    }
  }

  private async keep(types: readonly MachineType[]): Promise<void> {
    const fixed = (t: readonly MachineType[]): string =>
      JSON.stringify(t.map((x) => ({ ...x, spotPrice: 0, price: 0 })));
    while (!this.follower.loaded && !this.stopped) await sleep(0.2);
    const stored = this.records.types;
    if (stored !== null && fixed(stored) === fixed(types)) return;
    if (JSON.stringify(types).length > this.cluster.valueKb * 1024) return;
    // Conditional, so that a copy carried out late does not put older ones in their place.
    const mark = this.records.typesMark;
    await this.store.txn([{ key: KEY.types, mark }], [{ op: "put", key: KEY.types, value: types }]);
  }
}
