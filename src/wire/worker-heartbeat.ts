/** Workers' reports, and their tasks. */
import type { TaskStatus, WorkerHeartbeat } from "../core/model/workers.js";
import {
  EXIT_CAUSE_FROM_WIRE,
  TASK_STATE_FROM_WIRE,
  WIRE_EXIT_CAUSE,
  WIRE_TASK_STATE,
} from "./names.js";

/** Longest name of a machine, in bytes. */
const MAX_MACHINE_NAME_BYTES = 190;
const MIN_ADDRESS_LENGTH = 3;
/** UTF-8 takes no more bytes for a unit of a string's length. */
const MAX_UTF8_BYTES_PER_CODE_UNIT = 3;

export function parseTaskName(name: string): { job: string; task: number } | null {
  const slash = name.lastIndexOf("/");
  const task = Number(name.slice(slash + 1));
  if (slash <= 0 || !Number.isInteger(task) || task < 0) return null;
  return { job: name.slice(0, slash), task };
}

const isCount = (n: unknown): n is number => Number.isSafeInteger(n) && (n as number) >= 0;
const isFiniteAmount = (n: unknown): n is number => typeof n === "number" && n >= 0 && n < Infinity;

function isMachineName(s: unknown): s is string {
  if (typeof s !== "string" || s.length === 0) return false;
  return (
    s.length * MAX_UTF8_BYTES_PER_CODE_UNIT <= MAX_MACHINE_NAME_BYTES ||
    Buffer.byteLength(s) <= MAX_MACHINE_NAME_BYTES
  );
}

function decodeTaskStatus(t: unknown): TaskStatus | null {
  if (typeof t !== "object" || t === null) return null;
  const { stride, mounting, stance, cause, saved } = t as Record<string, unknown>;
  if (typeof stride !== "string" || typeof stance !== "string" || !isCount(mounting)) return null;
  if (!Object.hasOwn(TASK_STATE_FROM_WIRE, stance)) return null;
  const at = parseTaskName(stride);
  if (at === null) return null;
  const state = TASK_STATE_FROM_WIRE[stance]!;
  // An exit for a reason we do not know is an exit all the same.
  const why =
    typeof cause === "string" && Object.hasOwn(EXIT_CAUSE_FROM_WIRE, cause)
      ? EXIT_CAUSE_FROM_WIRE[cause]!
      : "error";
  return {
    job: at.job,
    task: at.task,
    attempt: mounting,
    state,
    cause: state === "exited" ? why : null,
    checkpointed: saved === true,
  };
}

function decodeTaskStatuses(list: unknown): TaskStatus[] | null {
  if (!Array.isArray(list)) return null;
  const tasks: TaskStatus[] = [];
  for (const x of list) {
    const t = decodeTaskStatus(x);
    if (t === null) return null;
    tasks.push(t);
  }
  return tasks;
}

/**
 * A report, or null for what is none. A schema cost three quarters of what a report costs, and reports are most of what
 * the leader does; so the fields are looked at one by one.
 */
export function decodeWorkerHeartbeat(body: unknown): WorkerHeartbeat | null {
  if (typeof body !== "object" || body === null) return null;
  const r = body as Record<string, unknown>;
  const { mount, address, breed, paddock, loaners, stint, tally, rein } = r;
  const noticeS = r.recallS ?? null;
  if (!isMachineName(mount)) return null;
  if (typeof address !== "string" || address.length < MIN_ADDRESS_LENGTH) return null;
  if (typeof breed !== "string" || typeof paddock !== "string") return null;
  if (typeof loaners !== "boolean") return null;
  if (!isCount(stint) || !isCount(tally) || !isCount(rein)) return null;
  if (noticeS !== null && !isFiniteAmount(noticeS)) return null;
  const tasks = decodeTaskStatuses(r.strides);
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
    interruptionNoticeS: noticeS,
    tasks,
  };
}

/** The other side of a report, for the worker stand-in. */
export const encodeWorkerHeartbeat = (r: WorkerHeartbeat): Record<string, unknown> => ({
  mount: r.machine,
  address: r.address,
  breed: r.type,
  paddock: r.zone,
  loaners: r.spot,
  stint: r.incarnation,
  tally: r.sequence,
  rein: r.fencingToken,
  recallS: r.interruptionNoticeS,
  strides: r.tasks.map((t) => ({
    stride: `${t.job}/${t.task}`,
    mounting: t.attempt,
    stance: WIRE_TASK_STATE[t.state],
    ...(t.cause === null ? {} : { cause: WIRE_EXIT_CAUSE[t.cause] }),
    ...(t.checkpointed ? { saved: true } : {}),
  })),
});
