/**
 * The largest value that the state service accepts, as far as its answers tell.
 *
 * The settings give the limits now in force and those to come. If a single value is refused although it keeps
 * to them, values are planned smaller from then on, and none as large is sent again for a while.
 */

/** Values are planned to be no larger than this share of the smallest one that was refused. */
const PLANNED_SHARE_OF_REFUSED = 0.7;

/** Learns from refusals which values may be sent, and how large they are planned to be. */
export class ValueSizeLimit {
  private refusedBytes = Number.POSITIVE_INFINITY;
  private retryAt = Number.NEGATIVE_INFINITY;

  /**
   * `knownBytes`: the smaller of the limits that the settings give.
   * `retryS`: seconds after which a value as large as a refused one is tried again.
   */
  constructor(
    private readonly knownBytes: number,
    private readonly retryS: number,
  ) {}

  /** Size in bytes that planned values must fit, however the tasks in them end. */
  get plannedBytes(): number {
    return Math.min(this.knownBytes, PLANNED_SHARE_OF_REFUSED * this.refusedBytes);
  }

  /** A value that kept to the known limits was refused. */
  get isReduced(): boolean {
    return this.refusedBytes < Number.POSITIVE_INFINITY;
  }

  /** Whether a value of this size may be sent now. */
  mayWrite(bytes: number, now: number): boolean {
    return bytes < this.refusedBytes || now >= this.retryAt;
  }

  /** A value of this size was refused, alone in its transaction. */
  recordRefused(bytes: number, now: number): void {
    this.refusedBytes = Math.min(this.refusedBytes, bytes);
    this.retryAt = now + this.retryS;
  }

  /** `bytes`: the largest value of a transaction that was committed. */
  recordAccepted(bytes: number): void {
    if (bytes >= this.refusedBytes) this.refusedBytes = Number.POSITIVE_INFINITY;
  }
}
