/**
 * A node that is cut off with the workers of its own zone may keep their leases alive, without
 * commands, for a bounded time: what runs there goes on, and users see nothing of the cut.
 *
 * Whoever counts a silent machine's lease as over must add that time (`Scheduler.lapse`). So that it
 * stays bounded, a node answers by itself only after it was in contact for longer than a lease:
 * else one that loses and finds the others in turn could keep a worker going for ever.
 */
import { CLOCK_DRIFT } from "./model.js";

export class LeaseKeeper {
  private since = Number.POSITIVE_INFINITY;
  private last = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly leaseS: number,
    /** Longest time between two answers of the state service that counts as contact. */
    private readonly gapS: number,
    private readonly keepS: number,
  ) {}

  /** The state service answered, at this time. */
  contact(now: number): void {
    if (now <= this.last) return;
    if (now - this.last > this.gapS) this.since = now;
    this.last = now;
  }

  mayAnswer(now: number): boolean {
    return (
      now - this.last > this.gapS &&
      this.last - this.since > this.leaseS * (1 + 2 * CLOCK_DRIFT) + 1 &&
      now < this.last + this.keepS * (1 - 2 * CLOCK_DRIFT)
    );
  }
}
