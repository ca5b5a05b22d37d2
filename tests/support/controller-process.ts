/** A controller as a process of its own. */
import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";

/** What is started, and with what. */
export interface ControllerProcessOptions {
  /** Of Node.js: the program and its arguments among them. */
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string>>;
  /** Told of each line that the process logs; none are logged otherwise. */
  readonly onLogLine?: (line: Record<string, unknown>) => void;
}

/** With `SITE_LOG` set to a level, what no test reads of the log goes to the test's own output. */
export function startControllerProcess({
  arguments: args,
  environment,
  onLogLine,
}: ControllerProcessOptions): ChildProcess {
  const level = process.env.SITE_LOG ?? (onLogLine === undefined ? "error" : "info");
  const unread = process.env.SITE_LOG === undefined ? "ignore" : "inherit";
  const child = spawn(process.execPath, args, {
    env: { ...process.env, LOG_LEVEL: level, ...environment },
    stdio: ["ignore", "ignore", onLogLine === undefined ? unread : "pipe"],
  });
  if (onLogLine !== undefined && child.stderr !== null) {
    createInterface({ input: child.stderr }).on("line", (text) => {
      // What a process was writing when it was killed is no whole line.
      if (text.startsWith("{") && text.endsWith("}")) onLogLine(JSON.parse(text));
    });
  }
  return child;
}
