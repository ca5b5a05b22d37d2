/**
 * A node that is cut off with the workers of its own zone may keep their leases alive, without
 * commands, for a bounded time: what runs there goes on, and users see nothing of the cut.
 *
 * Whoever counts a silent machine's lease as over must add that time (`Scheduler.lapse`). So that it
 * stays bounded, a node answers by itself only after it was in contact for longer than a lease:
 * else one that loses and finds the others in turn could keep a worker going for ever.
 */
import { CLOCK_DRIFT } from "../model/constants.js";

export class LeaseExtension {
  private contactSince = Number.POSITIVE_INFINITY;
  private lastContactAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly leaseS: number,
    /** Longest time between two answers of the state service that counts as contact. */
    private readonly maximumContactGapS: number,
    private readonly extensionS: number,
  ) {}

  /** The state service answered, at this time. */
  noteContact(now: number): void {
    if (now <= this.lastContactAt) return;
    if (now - this.lastContactAt > this.maximumContactGapS) this.contactSince = now;
    this.lastContactAt = now;
  }

  mayExtendLeases(now: number): boolean {
    return (
      now - this.lastContactAt > this.maximumContactGapS &&
      this.lastContactAt - this.contactSince > this.leaseS * (1 + 2 * CLOCK_DRIFT) + 1 &&
      now < this.lastContactAt + this.extensionS * (1 - 2 * CLOCK_DRIFT)
    );
  }
}
