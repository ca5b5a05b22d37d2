/** Builds settings of a controller in the format of the settings file. */
import { decodeSettings, type NodeSettings } from "../../src/wire/settings.js";

/** Returns the text of a node's settings file; `overrides` replaces top-level fields. */
export const settingsText = (overrides: Record<string, unknown> = {}): string =>
  JSON.stringify({
    member: "n0",
    location: "a",
    serve_on: "127.0.0.1:1",
    mesh_addr: "127.0.0.1:2",
    siblings: [],
    services: { cloud: "127.0.0.1:3", state: "127.0.0.1:4" },
    unknown_field: 1,
    settings: {
      nodes: 3,
      zones: ["a", "b"],
      teams: [
        { name: "vision", cpus: 4, cpus_max: 16, gpus: 0, gpus_max: 0 },
        { name: "maps", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      ],
      objectives: [{ kind: "wait", class: "web", within_s: 1, share: 0.9 }],
      workers: { report_s: 3, lease_s: 21, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 46 },
      state: { rps: 150, write_rps: 40, value_kb: 8, txn_ops: 32 },
      cloud: { rps: 5, list_lag_s: 3 },
      resources: { cpu_share: 0.25, mem_mb: 242, sockets: 1500 },
      clock_off_ms: 25,
    },
    ...overrides,
  });

/** The part of the settings that all nodes share. */
export interface SharedSettingsText {
  readonly state: Readonly<Record<string, unknown>>;
  readonly resources: Readonly<Record<string, unknown>>;
}

/** Returns the part of `settingsText()` that all nodes share. */
export const sharedSettings = (): SharedSettingsText =>
  (JSON.parse(settingsText()) as { settings: SharedSettingsText }).settings;

/** Thrown if a test supplies invalid settings. */
export class InvalidTestSettingsError extends Error {
  constructor(faults: readonly string[]) {
    super(`invalid test settings: ${faults.join("; ")}`);
    this.name = "InvalidTestSettingsError";
  }
}

/**
 * Decodes the text of a settings file as a node does.
 * @throws InvalidTestSettingsError if the settings are invalid.
 */
export function readSettings(text: string): NodeSettings {
  const decoded = decodeSettings(text);
  if ("settings" in decoded) return decoded.settings;
  throw new InvalidTestSettingsError(decoded.faults);
}
