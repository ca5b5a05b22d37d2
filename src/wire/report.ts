/** Workers' reports, and their tasks. */
import type { Report, TaskReport } from "../core/model.js";
import { CAUSE, CAUSE_IN, TASK_STATE, TASK_STATE_IN } from "./names.js";

/** Longest name of a machine, in bytes. */
const NAME_BYTES = 190;
const SHORTEST_ADDRESS = 3;
/** UTF-8 takes no more bytes for a unit of a string's length. */
const BYTES_A_UNIT = 3;

export function splitTask(name: string): { job: string; task: number } | null {
  const slash = name.lastIndexOf("/");
  const task = Number(name.slice(slash + 1));
  if (slash <= 0 || !Number.isInteger(task) || task < 0) return null;
  return { job: name.slice(0, slash), task };
}

const isCount = (n: unknown): n is number => Number.isSafeInteger(n) && (n as number) >= 0;
const isAmount = (n: unknown): n is number => typeof n === "number" && n >= 0 && n < Infinity;

function isName(s: unknown): s is string {
  if (typeof s !== "string" || s.length === 0) return false;
  return s.length * BYTES_A_UNIT <= NAME_BYTES || Buffer.byteLength(s) <= NAME_BYTES;
}

function taskIn(t: unknown): TaskReport | null {
  if (typeof t !== "object" || t === null) return null;
  const { stride, mounting, stance, cause, saved } = t as Record<string, unknown>;
  if (typeof stride !== "string" || typeof stance !== "string" || !isCount(mounting)) return null;
  if (!Object.hasOwn(TASK_STATE_IN, stance)) return null;
  const at = splitTask(stride);
  if (at === null) return null;
  const state = TASK_STATE_IN[stance]!;
  // An exit for a reason we do not know is an exit all the same.
  const why =
    typeof cause === "string" && Object.hasOwn(CAUSE_IN, cause) ? CAUSE_IN[cause]! : "error";
  return {
    job: at.job,
    task: at.task,
    attempt: mounting,
    state,
    cause: state === "exited" ? why : null,
    saved: saved === true,
  };
}

function tasksIn(list: unknown): TaskReport[] | null {
  if (!Array.isArray(list)) return null;
  const tasks: TaskReport[] = [];
  for (const x of list) {
    const t = taskIn(x);
    if (t === null) return null;
    tasks.push(t);
  }
  return tasks;
}

/**
 * A report, or null for what is none. A schema cost three quarters of what a report costs, and reports are most of what
 * the leader does; so the fields are looked at one by one.
 */
export function decodeReport(body: unknown): Report | null {
  if (typeof body !== "object" || body === null) return null;
  const r = body as Record<string, unknown>;
  const { mount, address, breed, paddock, loaners, stint, tally, rein } = r;
  const noticeS = r.recallS ?? null;
  if (!isName(mount)) return null;
  if (typeof address !== "string" || address.length < SHORTEST_ADDRESS) return null;
  if (typeof breed !== "string" || typeof paddock !== "string") return null;
  if (typeof loaners !== "boolean") return null;
  if (!isCount(stint) || !isCount(tally) || !isCount(rein)) return null;
  if (noticeS !== null && !isAmount(noticeS)) return null;
  const tasks = tasksIn(r.strides);
  if (tasks === null) return null;
  return {
    machine: mount,
    address,
    type: breed,
    zone: paddock,
    spot: loaners,
    session: stint,
    seq: tally,
    token: rein,
    noticeS,
    tasks,
  };
}

/** The other side of a report, for the worker stand-in. */
export const encodeReport = (r: Report): Record<string, unknown> => ({
  mount: r.machine,
  address: r.address,
  breed: r.type,
  paddock: r.zone,
  loaners: r.spot,
  stint: r.session,
  tally: r.seq,
  rein: r.token,
  recallS: r.noticeS,
  strides: r.tasks.map((t) => ({
    stride: `${t.job}/${t.task}`,
    mounting: t.attempt,
    stance: TASK_STATE[t.state],
    ...(t.cause === null ? {} : { cause: CAUSE[t.cause] }),
    ...(t.saved ? { saved: true } : {}),
  })),
});
