/**
 * What this deployment calls values and paths on the wire; the names of fields stand in the codecs beside this module.
 * Outside of `wire/` only the field's terms are used.
 *
 * Each `WIRE_...` maps a term to its name on the wire, each `..._FROM_WIRE` a name to its term.
 */

import type { JobKind, Priority } from "../core/model/jobs.js";
import type { ExitCause, TaskState } from "../core/model/workers.js";

const invert = <Term extends string>(names: Record<Term, string>): Record<string, Term> =>
  Object.fromEntries(Object.entries(names).map(([term, name]) => [name as string, term as Term]));

/** Kinds of jobs. */
export const WIRE_KIND: Record<JobKind, string> = {
  array: "array",
  gang: "ensemble",
  service: "service",
};

/** The inverse of `WIRE_KIND`. */
export const KIND_FROM_WIRE = invert(WIRE_KIND);

/** Priorities of jobs. */
export const WIRE_PRIORITY: Record<Priority, string> = {
  production: "production",
  high: "high",
  normal: "normal",
  low: "idle",
};

/** The inverse of `WIRE_PRIORITY`. */
export const PRIORITY_FROM_WIRE = invert(WIRE_PRIORITY);

/** States of tasks. */
export const WIRE_TASK_STATE: Record<TaskState, string> = {
  "pulling image": "pulling",
  waiting: "waiting",
  running: "running",
  checkpointing: "saving",
  exited: "ended",
};

/** The inverse of `WIRE_TASK_STATE`. */
export const TASK_STATE_FROM_WIRE = invert(WIRE_TASK_STATE);

/** Why tasks exited. */
export const WIRE_EXIT_CAUSE: Record<ExitCause, string> = {
  done: "done",
  stopped: "halted",
  peers: "mates_gone",
  alone: "alone",
  error: "error",
  no_room: "no_room",
  busy: "in_use",
  unknown: "no_such",
};

/** The inverse of `WIRE_EXIT_CAUSE`. */
export const EXIT_CAUSE_FROM_WIRE = invert(WIRE_EXIT_CAUSE);

/** Commands to workers. */
export const WIRE_COMMAND = { start: "run", stop: "halt", forget: "forget" } as const;

/** The inverse of `WIRE_COMMAND`. */
export const COMMAND_FROM_WIRE = invert(WIRE_COMMAND);

/** Paths of all services, and the last segments of some. */
export const PATH = {
  jobs: "/api/jobs",
  cancel: "withdraw",
  health: "/healthz",
  heartbeat: "/checkin",
  commands: "/commands",
  probe: "/show",
  catalog: "/catalog",
  machines: "/machines",
  releaseMachines: "/machines/return",
  keyValues: "/kv",
  transactions: "/txn",
  leases: "/leases",
  extend: "extend",
  watch: "/follow",
} as const;
