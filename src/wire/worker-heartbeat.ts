/**
 * Codecs of worker heartbeats.
 *
 * Most requests to a leader are heartbeats. They are validated field by field, because validation with a zod schema
 * took three quarters of the total time for answering a heartbeat.
 */
import type { ExitCause, TaskStatus, WorkerHeartbeat } from "../core/model/workers.js";
import { isObject } from "./fields.js";
import {
  EXIT_CAUSE_FROM_WIRE,
  TASK_STATE_FROM_WIRE,
  WIRE_EXIT_CAUSE,
  WIRE_TASK_STATE,
} from "./names.js";
import { formatTaskName, parseTaskName } from "./task-name.js";

const MAX_MACHINE_NAME_BYTES = 190;
const MIN_ADDRESS_LENGTH = 3;
const MAX_UTF8_BYTES_PER_CODE_UNIT = 3;

const isNonNegativeInteger = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

const isNonNegativeFinite = (value: unknown): value is number =>
  typeof value === "number" && value >= 0 && value < Infinity;

function isMachineName(value: unknown): value is string {
  if (typeof value !== "string" || value.length === 0) return false;
  return (
    value.length * MAX_UTF8_BYTES_PER_CODE_UNIT <= MAX_MACHINE_NAME_BYTES ||
    Buffer.byteLength(value) <= MAX_MACHINE_NAME_BYTES
  );
}

function decodeTaskStatus(entry: unknown): TaskStatus | null {
  if (!isObject(entry)) return null;
  const { stride, mounting, stance, cause, saved } = entry;
  if (typeof stride !== "string" || typeof stance !== "string" || !isNonNegativeInteger(mounting))
    return null;
  if (!Object.hasOwn(TASK_STATE_FROM_WIRE, stance)) return null;
  const taskName = parseTaskName(stride);
  if (taskName === null) return null;
  const state = TASK_STATE_FROM_WIRE[stance]!;
  return {
    job: taskName.job,
    task: taskName.task,
    attempt: mounting,
    state,
    cause: state === "exited" ? decodeExitCause(cause) : null,
    checkpointed: saved === true,
  };
}

/** An unknown cause is decoded as `error`, so that the exit itself is not lost. */
const decodeExitCause = (cause: unknown): ExitCause =>
  typeof cause === "string" && Object.hasOwn(EXIT_CAUSE_FROM_WIRE, cause)
    ? EXIT_CAUSE_FROM_WIRE[cause]!
    : "error";

/** Repeats the loop of `decodeList`, because this runs for every heartbeat and a direct call can be inlined. */
function decodeTaskStatuses(list: unknown): TaskStatus[] | null {
  if (!Array.isArray(list)) return null;
  const statuses: TaskStatus[] = [];
  for (const entry of list) {
    const status = decodeTaskStatus(entry);
    if (status === null) return null;
    statuses.push(status);
  }
  return statuses;
}

/** Decodes a heartbeat; null if the body is malformed. */
export function decodeWorkerHeartbeat(body: unknown): WorkerHeartbeat | null {
  if (!isObject(body)) return null;
  const { mount, address, breed, paddock, loaners, stint, tally, rein } = body;
  const interruptionNoticeS = body.recallS ?? null;
  if (!isMachineName(mount)) return null;
  if (typeof address !== "string" || address.length < MIN_ADDRESS_LENGTH) return null;
  if (typeof breed !== "string" || typeof paddock !== "string") return null;
  if (typeof loaners !== "boolean") return null;
  if (!isNonNegativeInteger(stint) || !isNonNegativeInteger(tally) || !isNonNegativeInteger(rein))
    return null;
  if (interruptionNoticeS !== null && !isNonNegativeFinite(interruptionNoticeS)) return null;
  const tasks = decodeTaskStatuses(body.strides);
  if (tasks === null) return null;
  return {
    machine: mount,
    address,
    type: breed,
    zone: paddock,
    spot: loaners,
    incarnation: stint,
    sequence: tally,
    fencingToken: rein,
    interruptionNoticeS,
    tasks,
  };
}

const encodeTaskStatus = (status: TaskStatus): Record<string, unknown> => ({
  stride: formatTaskName(status),
  mounting: status.attempt,
  stance: WIRE_TASK_STATE[status.state],
  ...(status.cause === null ? {} : { cause: WIRE_EXIT_CAUSE[status.cause] }),
  ...(status.checkpointed ? { saved: true } : {}),
});

/** Encodes a heartbeat, as workers do. Used by the simulated workers of the tests. */
export const encodeWorkerHeartbeat = (heartbeat: WorkerHeartbeat): Record<string, unknown> => ({
  mount: heartbeat.machine,
  address: heartbeat.address,
  breed: heartbeat.type,
  paddock: heartbeat.zone,
  loaners: heartbeat.spot,
  stint: heartbeat.incarnation,
  tally: heartbeat.sequence,
  rein: heartbeat.fencingToken,
  recallS: heartbeat.interruptionNoticeS,
  strides: heartbeat.tasks.map(encodeTaskStatus),
});
