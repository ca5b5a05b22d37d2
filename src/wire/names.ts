/**
 * The enum values and paths of the protocol. Its field names are in the codecs of this folder. Code outside `wire/`
 * uses the terms of the model instead of the names of the protocol.
 *
 * Each `WIRE_...` maps terms of the model to their names on the wire; each `..._FROM_WIRE` maps these names back.
 */

import type { JobKind, Priority } from "../core/model/jobs.js";
import type { ExitCause, TaskState } from "../core/model/workers.js";

const invert = <Term extends string>(names: Record<Term, string>): Record<string, Term> =>
  Object.fromEntries(Object.entries(names).map(([term, name]) => [name as string, term as Term]));

/** The wire names of job kinds. */
export const WIRE_KIND: Record<JobKind, string> = {
  array: "array",
  gang: "ensemble",
  service: "service",
};

/** The inverse of `WIRE_KIND`. */
export const KIND_FROM_WIRE = invert(WIRE_KIND);

/** The wire names of job priorities. */
export const WIRE_PRIORITY: Record<Priority, string> = {
  production: "production",
  high: "high",
  normal: "normal",
  low: "idle",
};

/** The inverse of `WIRE_PRIORITY`. */
export const PRIORITY_FROM_WIRE = invert(WIRE_PRIORITY);

/** The wire names of task states. */
export const WIRE_TASK_STATE: Record<TaskState, string> = {
  "pulling image": "pulling",
  waiting: "waiting",
  running: "running",
  checkpointing: "saving",
  exited: "ended",
};

/** The inverse of `WIRE_TASK_STATE`. */
export const TASK_STATE_FROM_WIRE = invert(WIRE_TASK_STATE);

/** The wire names of the causes for which tasks exit. */
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

/** The wire names of commands to workers. */
export const WIRE_COMMAND = { start: "run", stop: "halt", forget: "forget" } as const;

/** The inverse of `WIRE_COMMAND`. */
export const COMMAND_FROM_WIRE = invert(WIRE_COMMAND);

/**
 * URL paths of the controllers, the workers, the state service and the cloud. `cancel` and `extend` are only the last
 * segments of paths that contain an id.
 */
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
