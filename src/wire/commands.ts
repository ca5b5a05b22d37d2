/** Codecs of commands to workers, sent in the replies to their heartbeats and in direct requests. */
import * as z from "zod";
import type { WorkerCommand } from "../core/model/workers.js";
import { mappedEnum, nonNegativeInteger, nonNegativeNumber } from "./fields.js";
import { COMMAND_FROM_WIRE, WIRE_COMMAND } from "./names.js";
import { formatTaskName, parseTaskName } from "./task-name.js";

/** Commands, with the fencing token and incarnation that a worker checks before it executes them. */
export interface CommandBatch {
  readonly fencingToken: number;
  /** The incarnation of the worker that the commands are for, or null for any incarnation. */
  readonly incarnation: number | null;
  readonly commands: readonly WorkerCommand[];
}

function encodeCommand(command: WorkerCommand): Record<string, unknown> {
  const encoded = {
    call: WIRE_COMMAND[command.op],
    stride: formatTaskName(command),
    mounting: command.attempt,
  };
  return command.op === "stop" ? { ...encoded, easeS: command.graceS } : encoded;
}

/** Encodes a reply or a request with commands; `incarnation` is null for any incarnation of the worker. */
export const encodeCommands = (
  fencingToken: number,
  incarnation: number | null,
  commands: readonly WorkerCommand[],
): Record<string, unknown> => ({
  rein: fencingToken,
  ...(incarnation === null ? {} : { stint: incarnation }),
  calls: commands.map(encodeCommand),
});

const commandSchema = z.object({
  call: mappedEnum(COMMAND_FROM_WIRE),
  stride: z.string(),
  mounting: nonNegativeInteger,
  easeS: nonNegativeNumber.nullish(),
});

const commandsSchema = z.object({
  rein: nonNegativeInteger,
  stint: nonNegativeInteger.nullish(),
  calls: z.array(commandSchema),
});

function toCommand(command: z.infer<typeof commandSchema>): WorkerCommand | null {
  const taskName = parseTaskName(command.stride);
  if (taskName === null) return null;
  const task = { ...taskName, attempt: command.mounting };
  return command.call === "stop"
    ? { op: "stop", ...task, graceS: command.easeS ?? 0 }
    : { op: command.call, ...task };
}

/** Decodes commands as a worker does; null if the body is malformed. Used by the simulated workers of the tests. */
export function decodeCommands(body: unknown): CommandBatch | null {
  const parsed = commandsSchema.safeParse(body);
  if (!parsed.success) return null;
  const { rein, stint, calls } = parsed.data;
  const commands: WorkerCommand[] = [];
  for (const call of calls) {
    const command = toCommand(call);
    if (command === null) return null;
    commands.push(command);
  }
  return { fencingToken: rein, incarnation: stint ?? null, commands };
}

/** Encodes a redirect of a worker: the leader's member name, or an empty map if it is not known. */
export const encodeRedirect = (leader: string | null): Record<string, unknown> =>
  leader === null ? {} : { groom: leader };
