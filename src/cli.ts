/** The command line: reads the settings and runs one controller, or one of the subcommands. */
import { readFileSync } from "node:fs";
import { Command, InvalidArgumentError } from "commander";
import { pino } from "pino";
import { AdmissionReplica, admissionStatus, formatStatus } from "./admission/index.js";
import { decodeOperatorSettings, type OperatorSettings } from "./config/operator.js";
import { Controller } from "./node/controller.js";
import { KeyValueClient } from "./state/key-value-client.js";
import { decodeSettings, type NodeSettings } from "./wire/settings.js";

const VERSION = "0.1.0";
const EXIT_BAD_SETTINGS = 2;

interface Flags {
  config?: string;
  operator?: string;
}

const existingFile = (path: string): string => {
  try {
    readFileSync(path);
    return path;
  } catch (e) {
    throw new InvalidArgumentError((e as Error).message);
  }
};

/** Both files, or the end of the program with one line a fault. */
function loadConfiguration(flags: Flags): {
  settings: NodeSettings;
  operator: OperatorSettings;
  unknown: string[];
} {
  if (flags.config === undefined) exitWithErrors(["--config: missing"]);
  const read = decodeSettings(readFileSync(flags.config, "utf8"));
  const ini = decodeOperatorSettings(
    flags.operator === undefined ? "" : readFileSync(flags.operator, "utf8"),
  );
  const faults = [...("faults" in read ? read.faults : []), ...ini.faults];
  if ("faults" in read || ini.operator === null) exitWithErrors(faults);
  return { settings: read.settings, operator: ini.operator, unknown: ini.unknown };
}

function exitWithErrors(lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}

const program = new Command("peatsaddle")
  .description("A cluster scheduler whose job dependencies are expressions over events")
  .version(VERSION)
  .option("--config <file>", "settings handed over by the platform (JSON)", existingFile)
  .option("--operator <file>", "operators' own settings (INI)", existingFile)
  .exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : EXIT_BAD_SETTINGS))
  .action(async (flags: Flags) => {
    const { settings, operator, unknown } = loadConfiguration(flags);
    const log = pino(
      { level: process.env.LOG_LEVEL ?? "info", base: { member: settings.member } },
      pino.destination({ fd: 2, sync: true }),
    );
    process.on("unhandledRejection", (error) => log.error({ err: error }, "unhandled fault"));
    for (const key of unknown) log.warn({ key }, "unknown operator setting");
    await new Controller(settings, operator, log).start();
  });

program
  .command("check")
  .description("validate both files and print what would be in force")
  .action((_: unknown, command: Command) => {
    const { settings, operator, unknown } = loadConfiguration(command.optsWithGlobals<Flags>());
    for (const key of unknown) process.stderr.write(`${key}: unknown, ignored\n`);
    process.stdout.write(`${JSON.stringify({ settings, operator }, null, 2)}\n`);
  });

/** Longest wait for an answer of the state service. */
const STATE_TIMEOUT_MS = 5000;

program
  .command("admission")
  .description("print the admission window that is in force, and what was used and refused of it")
  .option("--json", "as JSON")
  .action(async (own: { json?: boolean }, command: Command) => {
    const { settings } = loadConfiguration(command.optsWithGlobals<Flags>());
    const store = new KeyValueClient(
      settings.stateServiceAddress,
      () => performance.now() / 1000,
      STATE_TIMEOUT_MS,
    );
    const all = await store.readAll();
    store.close();
    if (all === null)
      exitWithErrors([`${settings.stateServiceAddress}: the state service gives no answer`]);
    const replica = new AdmissionReplica();
    replica.reset(all.items, all.revision);
    const status = admissionStatus(replica);
    process.stdout.write(own.json ? `${JSON.stringify(status, null, 2)}\n` : formatStatus(status));
  });

/** Runs what the arguments of this process ask for. */
export async function runProgram(): Promise<void> {
  await program.parseAsync();
}
