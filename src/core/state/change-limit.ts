/**
 * The number of changes in a transaction that the state service accepts. The settings state a limit, but the service may
 * turn out to accept less: after a refusal the limit is halved, and then raised by one with each accepted transaction.
 */
export class ChangeLimit {
  private limit: number;

  /** `configuredLimit`: the limit in the settings, which is never exceeded. */
  constructor(private readonly configuredLimit: number) {
    this.limit = configuredLimit;
  }

  /** Maximum number of changes in a transaction; at least one. */
  get current(): number {
    return this.limit;
  }

  /**
   * Halves the limit after a transaction with this number of changes was refused as too large. Returns false if it had
   * a single change, so that only a smaller value can be accepted.
   */
  reduceBelow(changes: number): boolean {
    if (changes <= 1) return false;
    this.limit = changes >> 1;
    return true;
  }

  /** Raises the limit by one, after a transaction was accepted or no transaction fits the limit. */
  raise(): void {
    this.limit = Math.min(this.configuredLimit, this.limit + 1);
  }
}
