/**
 * Extension of worker leases during a network partition.
 *
 * A controller that can reach the workers of its own zone but not the state service may extend their leases for a
 * bounded time, without sending commands. Their tasks keep running, and users do not notice the partition.
 *
 * A leader adds that time before it declares the lease of an unreachable machine expired
 * (`MachineMonitor.latestLeaseExpiry`). To keep the total bounded, a controller extends leases only if, before the
 * partition, it was in contact with the state service for longer than one lease. Otherwise a controller whose contact
 * is lost and regained repeatedly could extend a worker's lease without end.
 */
import { MAXIMUM_CLOCK_DRIFT_RATIO } from "../model/constants.js";

/** Seconds, on top of one lease, for which the controller must have been in contact before it may extend leases. */
const CONTACT_MARGIN_S = 1;

/** Decides whether a partitioned controller may extend worker leases. Times are monotonic, in seconds. */
export class LeaseExtension {
  private contactSince = Number.POSITIVE_INFINITY;
  private lastContactAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly leaseS: number,
    /** Longest time between two answers of the state service that still counts as continuous contact. */
    private readonly maximumContactGapS: number,
    /** Seconds after the last answer of the state service during which leases may be extended. */
    private readonly extensionS: number,
  ) {}

  /** Records that the state service answered at `now`. */
  recordContact(now: number): void {
    if (now <= this.lastContactAt) return;
    if (now - this.lastContactAt > this.maximumContactGapS) this.contactSince = now;
    this.lastContactAt = now;
  }

  /**
   * Whether the controller is partitioned, was in contact for long enough before that, and the time for extensions is
   * not over.
   */
  mayExtendLeases(now: number): boolean {
    return (
      this.isPartitioned(now) &&
      this.lastContactAt - this.contactSince >
        this.leaseS * (1 + 2 * MAXIMUM_CLOCK_DRIFT_RATIO) + CONTACT_MARGIN_S &&
      now < this.lastContactAt + this.extensionS * (1 - 2 * MAXIMUM_CLOCK_DRIFT_RATIO)
    );
  }

  private isPartitioned(now: number): boolean {
    return now - this.lastContactAt > this.maximumContactGapS;
  }
}
