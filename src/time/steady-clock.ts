/** The monotonic clock, which changes of the system time do not affect. */

/** Monotonic time in seconds since an arbitrary origin. */
export const steadyNowS = (): number => performance.now() / 1000;
