/** Protocol bounds and tolerances used by several modules. */

/** Amounts of CPUs, GPUs or GB that differ by less are treated as equal, because floating-point sums are inexact. */
export const AMOUNT_TOLERANCE = 1e-6;

/** Maximum drift between the monotonic clocks of two machines, as a ratio; specified by the protocol. */
export const MAXIMUM_CLOCK_DRIFT_RATIO = 0.0005;

/** The users' bound on the start latency: every job, including the largest, should start within this many seconds. */
export const START_LATENCY_BOUND_S = 240;
