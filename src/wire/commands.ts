/** Commands to workers on the wire, in the answers to their heartbeats and in direct requests. */
import * as z from "zod";
import type { WorkerCommand } from "../core/model/workers.js";
import { mappedEnum, nonNegativeInteger, nonNegativeNumber } from "./fields.js";
import { COMMAND_FROM_WIRE, WIRE_COMMAND } from "./names.js";
import { formatTaskName, parseTaskName } from "./task-name.js";

/** Commands, and what a worker checks before it executes them. */
export interface CommandBatch {
  readonly fencingToken: number;
  /** The worker's incarnation that they are for; null: whichever receives them. */
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

/** The body of an answer or a request with commands; `incarnation` null: whichever receives it. */
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

/** What a worker reads, or null if the body is malformed. The simulated worker of the tests decodes with it. */
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

/** Where a worker is redirected to: the leader's member name, if it is known. */
export const encodeRedirect = (leader: string | null): Record<string, unknown> =>
  leader === null ? {} : { groom: leader };
