/** Protocol bounds and tolerances used by several modules. */

/** Amounts of CPUs, GPUs or GB that differ by less are treated as equal, because floating-point sums are inexact. */
export const AMOUNT_TOLERANCE = 1e-6;

/** Maximum drift between the monotonic clocks of two machines, as a ratio; specified by the protocol. */
export const MAXIMUM_CLOCK_DRIFT_RATIO = 0.0005;

/** The users' bound on the start latency: every job, including the largest, should start within this many seconds. */
export const START_LATENCY_BOUND_S = 240;

/** Size limit of a worker's heartbeat in its JSON form; specified by the protocol. */
const MAXIMUM_HEARTBEAT_BYTES = 64 * 1024;

/** Upper bound of the size of a heartbeat without its tasks, in its JSON form. */
const HEARTBEAT_OVERHEAD_BYTES = 1024;

/** Upper bound of the size of a task in a heartbeat, in its JSON form, for job ids as the protocol specifies them. */
const HEARTBEAT_BYTES_PER_TASK = 98;

/** Most tasks on one machine, running or exited, that its worker can list in a heartbeat. */
export const MAXIMUM_TASKS_PER_MACHINE = Math.floor(
  (MAXIMUM_HEARTBEAT_BYTES - HEARTBEAT_OVERHEAD_BYTES) / HEARTBEAT_BYTES_PER_TASK,
);
