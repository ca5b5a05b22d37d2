/** Starts a controller in a separate process. */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** Command line, environment and log handler of a controller process. */
export interface ControllerProcessOptions {
  /** Arguments of Node.js, which include the program and the program's own arguments. */
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string>>;
  /** Called for each line that the process logs. Without it, the log is discarded unless `SITE_LOG` is set. */
  readonly onLogLine?: (line: Record<string, unknown>) => void;
}

/**
 * Starts the process. The environment variable `SITE_LOG` sets its log level; if it is set and no handler is given,
 * the log is written to the standard error of the test.
 */
export function startControllerProcess({
  arguments: args,
  environment,
  onLogLine,
}: ControllerProcessOptions): ChildProcess {
  const logLevel = process.env.SITE_LOG ?? (onLogLine === undefined ? "error" : "info");
  const stderrWithoutHandler = process.env.SITE_LOG === undefined ? "ignore" : "inherit";
  const child = spawn(process.execPath, args, {
    env: { ...process.env, LOG_LEVEL: logLevel, ...environment },
    stdio: ["ignore", "ignore", onLogLine === undefined ? stderrWithoutHandler : "pipe"],
  });
  if (onLogLine !== undefined && child.stderr !== null) {
    createInterface({ input: child.stderr }).on("line", (lineText) => {
      // The last line is incomplete if the process was killed while it was writing.
      if (lineText.startsWith("{") && lineText.endsWith("}")) onLogLine(JSON.parse(lineText));
    });
  }
  return child;
}
