/**
 * Tracks the size of the largest value that the state service accepts.
 *
 * The settings give the size limit that applies now and the one that will apply next. If the only value of a
 * transaction is refused although it is within both, values are planned to be smaller from then on, and no value of
 * that size or more is sent until a retry interval has passed.
 */

/** Share of the planned size that a value may take in the worst case. The rest is a margin. */
export const VALUE_FILL_RATIO = 0.95;

/** Planned size of values, as a share of the smallest value that was refused. */
const PLANNED_SHARE_OF_REFUSED = 0.7;

/** Determines from refusals which values may be sent, and how large values are planned to be. */
export class ValueSizeLimit {
  private refusedBytes = Number.POSITIVE_INFINITY;
  private retryAt = Number.NEGATIVE_INFINITY;

  /**
   * `knownBytes` is the smaller of the current and the next limit in the settings. `retryS` is the time in seconds
   * after which a value as large as a refused one is tried again.
   */
  constructor(
    private readonly knownBytes: number,
    private readonly retryS: number,
  ) {}

  /** Size in bytes that a value is planned not to exceed. For a job's value: in whichever order its tasks end. */
  get plannedBytes(): number {
    return Math.min(this.knownBytes, PLANNED_SHARE_OF_REFUSED * this.refusedBytes);
  }

  /** Whether a value within the known limits was refused, and none of that size was accepted since. */
  get isReduced(): boolean {
    return this.refusedBytes < Number.POSITIVE_INFINITY;
  }

  /** Whether a value of this size may be sent now. */
  mayWrite(bytes: number, now: number): boolean {
    return bytes < this.refusedBytes || now >= this.retryAt;
  }

  /** Records that a value of this size was refused as the only value of its transaction. */
  recordRefused(bytes: number, now: number): void {
    this.refusedBytes = Math.min(this.refusedBytes, bytes);
    this.retryAt = now + this.retryS;
  }

  /** Records a committed transaction. `bytes` is the size of its largest value. */
  recordAccepted(bytes: number): void {
    if (bytes >= this.refusedBytes) this.refusedBytes = Number.POSITIVE_INFINITY;
  }
}
