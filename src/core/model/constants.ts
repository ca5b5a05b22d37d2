/** Bounds of the protocol and tolerances that several modules share. */

/** Amounts of CPUs, GPUs and GB that differ by less are equal: sums of decimal numbers are not exact. */
export const AMOUNT_TOLERANCE = 1e-6;

/** The steady clocks of two machines drift apart by at most this ratio (the protocol's figure). */
export const CLOCK_DRIFT = 0.0005;

/** Seconds within which every job, the largest too, is to start (the users' bound). */
export const START_BOUND_S = 240;
