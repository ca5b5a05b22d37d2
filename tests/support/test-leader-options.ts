/** What a test leader starts with. */
import { StateReplica } from "../../src/core/state/state-replica.js";
import type { NodeSettings } from "../../src/wire/settings.js";
import { readSettings, settingsText, sharedSettings } from "./node-settings.js";

/** What a test leader may start with; without options it is the first leader of an empty cluster. */
export interface TestLeaderOptions {
  /** The stored state that it takes over. */
  readonly replica?: StateReplica;
  readonly epoch?: number;
  /** Simulated seconds. */
  readonly now?: number;
  readonly gracePeriodS?: number;
  /** The grace period, if not given. */
  readonly leaseExtensionS?: number;
  readonly controllersPerZone?: ReadonlyMap<string, number>;
  /** Limits of the state service, as the settings give them. */
  readonly state?: Readonly<Record<string, unknown>>;
  /** Part of a core that the node has. */
  readonly cpuShare?: number;
  /** Lines on single tasks are logged; they are unless said. */
  readonly logsTasks?: boolean;
}

/** The stored state of a cluster that never ran. */
export function emptyReplica(): StateReplica {
  const replica = new StateReplica();
  replica.reset([], 0);
  return replica;
}

/** Settings of the tests, with what the options change in them. */
export function settingsFor({ state, cpuShare }: TestLeaderOptions): NodeSettings {
  const shared = sharedSettings();
  const resources = cpuShare === undefined ? {} : { cpu_share: cpuShare };
  const settings = {
    ...shared,
    state: { ...shared.state, ...state },
    resources: { ...shared.resources, ...resources },
  };
  return readSettings(settingsText({ settings }));
}
