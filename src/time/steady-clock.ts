/** The steady clock, which no change of the time of day moves. */

/** Steady time in seconds, from an arbitrary origin. */
export const steadyNowS = (): number => performance.now() / 1000;
