/** Controllers of a test: their settings, and how they are made ready to start. */
import { type Logger, pino } from "pino";
import { decodeOperatorSettings } from "../../src/config/operator.js";
import { Controller } from "../../src/node/controller.js";
import {
  InvalidTestSettingsError,
  readSettings,
  settingsText,
  sharedSettings,
} from "./node-settings.js";
import { waitUntil } from "./waiting.js";

/** A controller's name, zone and addresses. */
export interface ControllerNode {
  readonly member: string;
  readonly zone: string;
  /** Where users and workers reach it. */
  readonly address: string;
  /** Where the other controllers reach it. */
  readonly peerAddress: string;
}

/** What the settings of one controller are made of. */
export interface ControllerSettings {
  readonly node: ControllerNode;
  readonly peers: readonly ControllerNode[];
  /** Addresses of the services. */
  readonly services: { readonly cloud: string; readonly state: string };
  /** Replaces whole fields of the settings that all controllers share. */
  readonly shared: Readonly<Record<string, unknown>>;
}

/** The state service's limits for tests that don't wait for its rates. */
export const FAST_STATE_SERVICE = { rps: 1000, write_rps: 500, value_kb: 8, txn_ops: 32 };

/** The text of a controller's settings. */
export const controllerSettingsText = ({
  node,
  peers,
  services,
  shared,
}: ControllerSettings): string =>
  settingsText({
    member: node.member,
    location: node.zone,
    serve_on: node.address,
    mesh_addr: node.peerAddress,
    siblings: peers.map(({ member, zone, peerAddress }) => ({
      member,
      location: zone,
      addr: peerAddress,
    })),
    services,
    settings: { ...sharedSettings(), ...shared },
  });

/**
 * A controller that is not started yet.
 * @throws InvalidTestSettingsError if it would refuse its settings or the operators' (INI).
 */
export function createController(
  settings: string,
  operatorIni = "",
  logger: Logger = pino({ level: "silent" }),
): Controller {
  const { operator, faults } = decodeOperatorSettings(operatorIni);
  if (operator === null) throw new InvalidTestSettingsError(faults);
  return new Controller(readSettings(settings), operator, logger);
}

/** Starts it, and returns once it serves users. */
export async function startController(controller: Controller): Promise<void> {
  await controller.start();
  await waitUntil("the controller is healthy", () => controller.isHealthy());
}
