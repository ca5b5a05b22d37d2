/** The one place that knows what this deployment calls things on the wire. */
import type { ExitCause, Kind, Priority, TaskState } from "../core/model.js";

const inverse = <V extends string>(m: Record<V, string>): Record<string, V> =>
  Object.fromEntries(Object.entries(m).map(([k, v]) => [v as string, k as V]));

export const KIND: Record<Kind, string> = { array: "array", gang: "ensemble", service: "service" };
export const KIND_IN = inverse(KIND);

export const PRIORITY: Record<Priority, string> = {
  production: "production",
  high: "high",
  normal: "normal",
  low: "idle",
};
export const PRIORITY_IN = inverse(PRIORITY);

export const TASK_STATE: Record<TaskState, string> = {
  fetching: "pulling",
  waiting: "waiting",
  running: "running",
  saving: "saving",
  exited: "ended",
};
export const TASK_STATE_IN = inverse(TASK_STATE);

export const CAUSE: Record<ExitCause, string> = {
  done: "done",
  stopped: "halted",
  peers: "mates_gone",
  alone: "alone",
  error: "error",
  no_room: "no_room",
  busy: "in_use",
  unknown: "no_such",
};
export const CAUSE_IN = inverse(CAUSE);

export const OP = { start: "run", stop: "halt", forget: "forget" } as const;
export const OP_IN = inverse(OP);

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
