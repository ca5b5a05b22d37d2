/**
 * The largest value that the state service takes, as far as its answers tell.
 *
 * The settings give the limits that hold and those to come. Should a single value be refused although it keeps
 * them, values are planned smaller from then on, and none as large is sent again for a while.
 */

/** Values are planned to be no larger than this part of the smallest one that was refused. */
const PLANNED_SHARE_OF_REFUSED = 0.7;

export class ValueSizeLimit {
  private refusedBytes = Number.POSITIVE_INFINITY;
  private retryAt = Number.NEGATIVE_INFINITY;

  /** `retryS`: seconds after which a value as large as a refused one is tried again. */
  constructor(
    private readonly knownBytes: number,
    private readonly retryS: number,
  ) {}

  /** What values are planned to fit, however the tasks in them end. */
  get plannedBytes(): number {
    return Math.min(this.knownBytes, PLANNED_SHARE_OF_REFUSED * this.refusedBytes);
  }

  /** A value was refused that kept the known limits. */
  get isReduced(): boolean {
    return this.refusedBytes < Number.POSITIVE_INFINITY;
  }

  /** May a value of this size be sent now? */
  mayWrite(bytes: number, now: number): boolean {
    return bytes < this.refusedBytes || now >= this.retryAt;
  }

  /** A value of this size was refused, and nothing else was in its transaction. */
  recordRefused(bytes: number, now: number): void {
    this.refusedBytes = Math.min(this.refusedBytes, bytes);
    this.retryAt = now + this.retryS;
  }

  /** The largest value of a transaction that was carried out. */
  recordAccepted(bytes: number): void {
    if (bytes >= this.refusedBytes) this.refusedBytes = Number.POSITIVE_INFINITY;
  }
}
