/**
 * Extension of worker leases during a network partition.
 *
 * A controller that is partitioned with the workers of its own zone may extend their leases, without commands, for a
 * bounded time: what runs there continues, and users notice nothing of the partition.
 *
 * Whoever declares the lease of an unreachable machine expired must allow for that time (`MachineMonitor.leaseExpiryBound`). To
 * keep it bounded, a controller extends leases only after it was in contact with the key-value store for longer than
 * one lease: otherwise one that loses and regains contact in turn could keep a worker running for ever.
 */
import { CLOCK_DRIFT } from "../model/constants.js";

/** Slack on the time in contact that earns an extension, in seconds. */
const CONTACT_MARGIN_S = 1;

/** Decides whether a partitioned node may extend worker leases. */
export class LeaseExtension {
  private contactSince = Number.POSITIVE_INFINITY;
  private lastContactAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly leaseS: number,
    /** Longest time between two answers of the key-value store that counts as contact. */
    private readonly maximumContactGapS: number,
    private readonly extensionS: number,
  ) {}

  /** The key-value store answered, at this steady time in seconds. */
  noteContact(now: number): void {
    if (now <= this.lastContactAt) return;
    if (now - this.lastContactAt > this.maximumContactGapS) this.contactSince = now;
    this.lastContactAt = now;
  }

  /** The controller is partitioned, was in contact for long enough before, and the extension is not used up. */
  mayExtendLeases(now: number): boolean {
    return (
      this.isPartitioned(now) &&
      this.lastContactAt - this.contactSince >
        this.leaseS * (1 + 2 * CLOCK_DRIFT) + CONTACT_MARGIN_S &&
      now < this.lastContactAt + this.extensionS * (1 - 2 * CLOCK_DRIFT)
    );
  }

  private isPartitioned(now: number): boolean {
    return now - this.lastContactAt > this.maximumContactGapS;
  }
}
