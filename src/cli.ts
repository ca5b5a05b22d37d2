/** The command-line interface: reads the settings, and runs a controller or one of the subcommands. */
import { readFileSync } from "node:fs";
import { Command, InvalidArgumentError } from "commander";
import { pino } from "pino";
import { AdmissionReplica, admissionStatus, formatStatus } from "./admission/index.js";
import { configurationReport } from "./config/configuration-report.js";
import { decodeOperatorSettings, type OperatorSettings } from "./config/operator.js";
import { ReplicaLoad } from "./core/state/replica-load.js";
import { Controller } from "./node/controller.js";
import { nodeTiming } from "./node/node-timing.js";
import { readAllKeys } from "./state/full-read.js";
import { KeyValueClient } from "./state/key-value-client.js";
import { steadyNowS } from "./time/steady-clock.js";
import { decodeSettings, type NodeSettings } from "./wire/settings.js";

const VERSION = "0.1.0";
/** Exit code if the settings or arguments are invalid, or if the state service does not answer. */
const EXIT_BAD_SETTINGS = 2;
/** Timeout of requests to the state service. */
const STATE_TIMEOUT_MS = 5000;
/** Failed requests to the state service in a row after which a subcommand gives up, and the delay after each. */
const MAXIMUM_STATE_FAILURES = 3;
const STATE_RETRY_DELAY_S = 1;

/** Options of the program and of all subcommands. */
interface Flags {
  readonly config?: string;
  readonly operator?: string;
}

/** Both configuration files, decoded. */
interface Configuration {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  /** Unknown keys in the operators' file, which are ignored. */
  readonly unknown: readonly string[];
}

function existingFile(path: string): string {
  try {
    readFileSync(path);
    return path;
  } catch (error) {
    throw new InvalidArgumentError((error as Error).message);
  }
}

/** Reads both files, or prints one line per fault and exits if they are invalid. */
function loadConfiguration(flags: Flags): Configuration {
  if (flags.config === undefined) exitWithErrors(["--config: missing"]);
  const decoded = decodeSettings(readFileSync(flags.config, "utf8"));
  const { operator, faults, unknown } = decodeOperatorSettings(
    flags.operator === undefined ? "" : readFileSync(flags.operator, "utf8"),
  );
  if ("faults" in decoded) exitWithErrors([...decoded.faults, ...faults]);
  if (operator === null) exitWithErrors(faults);
  return { settings: decoded.settings, operator, unknown };
}

function exitWithErrors(lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}

async function runController(flags: Flags): Promise<void> {
  const { settings, operator, unknown } = loadConfiguration(flags);
  const log = pino(
    { level: process.env.LOG_LEVEL ?? "info", base: { member: settings.member } },
    pino.destination({ fd: 2, sync: true }),
  );
  process.on("unhandledRejection", (error) =>
    log.error({ err: error }, "unhandled promise rejection"),
  );
  for (const key of unknown) log.warn({ key }, "unknown operator setting");
  await new Controller(settings, operator, log).start();
}

function checkConfiguration(flags: Flags): void {
  const { settings, operator, unknown } = loadConfiguration(flags);
  for (const key of unknown) process.stderr.write(`${key}: unknown, ignored\n`);
  process.stdout.write(`${JSON.stringify(configurationReport(settings, operator), null, 2)}\n`);
}

async function printAdmissionStatus(flags: Flags, asJson: boolean): Promise<void> {
  const { settings, operator } = loadConfiguration(flags);
  const address = settings.stateServiceAddress;
  const { minimumReadIntervalS } = nodeTiming(settings.cluster, operator);
  const client = new KeyValueClient(address, steadyNowS, STATE_TIMEOUT_MS);
  const load = new ReplicaLoad();
  const stored = await readAllKeys({
    readPage: (lastKey) => client.readPage(lastKey),
    onPage: (items) => load.add(items),
    now: steadyNowS,
    pagesPerS: 1 / minimumReadIntervalS,
    retryDelayS: STATE_RETRY_DELAY_S,
    mayContinue: (failuresInRow) => failuresInRow < MAXIMUM_STATE_FAILURES,
  });
  client.close();
  if (stored.kind === "failed") exitWithErrors([`${address}: the state service does not answer`]);
  const replica = new AdmissionReplica();
  replica.reset(load.otherItems, stored.revision);
  const status = admissionStatus(replica);
  process.stdout.write(asJson ? `${JSON.stringify(status, null, 2)}\n` : formatStatus(status));
}

const program = new Command("peatsaddle")
  .description("A cluster scheduler whose job dependencies are expressions over events")
  .version(VERSION)
  .option("--config <file>", "settings file provided by the platform (JSON)", existingFile)
  .option("--operator <file>", "settings file of the operators (INI)", existingFile)
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_SETTINGS))
  .action(runController);

program
  .command("check")
  .description("validate both files and print the effective settings")
  .action((_: unknown, command: Command) => checkConfiguration(command.optsWithGlobals<Flags>()));

program
  .command("admission")
  .description("print the current admission window, with the amounts used and refused in it")
  .option("--json", "print as JSON")
  .action((subcommandOptions: { json?: boolean }, command: Command) =>
    printAdmissionStatus(command.optsWithGlobals<Flags>(), subcommandOptions.json ?? false),
  );

/** Runs the program with the command-line arguments of this process. */
export async function runProgram(): Promise<void> {
  await program.parseAsync();
}
