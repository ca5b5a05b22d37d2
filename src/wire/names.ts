/** The one place that knows what this deployment calls things on the wire. */
import type { JobKind, Priority } from "../core/model/jobs.js";
import type { ExitCause, TaskState } from "../core/model/workers.js";

const invert = <V extends string>(m: Record<V, string>): Record<string, V> =>
  Object.fromEntries(Object.entries(m).map(([k, v]) => [v as string, k as V]));

export const WIRE_KIND: Record<JobKind, string> = {
  array: "array",
  gang: "ensemble",
  service: "service",
};
export const KIND_FROM_WIRE = invert(WIRE_KIND);

export const WIRE_PRIORITY: Record<Priority, string> = {
  production: "production",
  high: "high",
  normal: "normal",
  low: "idle",
};
export const PRIORITY_FROM_WIRE = invert(WIRE_PRIORITY);

export const WIRE_TASK_STATE: Record<TaskState, string> = {
  fetching: "pulling",
  waiting: "waiting",
  running: "running",
  saving: "saving",
  exited: "ended",
};
export const TASK_STATE_FROM_WIRE = invert(WIRE_TASK_STATE);

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
export const EXIT_CAUSE_FROM_WIRE = invert(WIRE_EXIT_CAUSE);

export const WIRE_COMMAND = { start: "run", stop: "halt", forget: "forget" } as const;
export const COMMAND_FROM_WIRE = invert(WIRE_COMMAND);

export const PATH = {
  jobs: "/api/jobs",
  cancel: "withdraw",
  health: "/healthz",
  report: "/checkin",
  commands: "/commands",
  show: "/show",
  catalog: "/catalog",
  machines: "/machines",
  returnMachines: "/machines/return",
  kv: "/kv",
  txn: "/txn",
  leases: "/leases",
  extend: "extend",
  follow: "/follow",
} as const;
