/** Builds the settings of controllers, and creates and starts controllers in the test process. */
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
  /** Address on which the controller serves users and workers. */
  readonly address: string;
  /** Address on which the controller accepts connections of the other controllers. */
  readonly peerAddress: string;
}

/** The input for the settings of one controller. */
export interface ControllerSettings {
  readonly node: ControllerNode;
  readonly peers: readonly ControllerNode[];
  /** Addresses of the cloud provider and of the state service. */
  readonly services: { readonly cloud: string; readonly state: string };
  /** Top-level fields that replace those of the settings that all controllers share. */
  readonly shared: Readonly<Record<string, unknown>>;
}

/** Limits of the state service that are high enough not to slow a test down. */
export const FAST_STATE_SERVICE = { rps: 1000, write_rps: 500, value_kb: 8, txn_ops: 32 };

/** Returns the text of a controller's settings file. */
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
 * Returns a controller that is not started yet.
 * @throws InvalidTestSettingsError if the settings or the operators' settings (INI) are invalid.
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

/** Starts the controller and returns once it is healthy, which means that it serves users. */
export async function startController(controller: Controller): Promise<void> {
  await controller.start();
  await waitUntil("the controller is healthy", () => controller.isHealthy());
}
