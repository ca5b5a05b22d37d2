/**
 * The fencing tokens of a leadership term.
 *
 * A worker drops messages with a lower token than the highest one it has seen. Each term therefore has tokens that
 * are higher than those of all earlier terms. It has many of them, so that the leader can raise the token of a single
 * worker, and so fence off starts that it sent to that worker before, without a write and without affecting other
 * workers. The stored epoch is the highest token that the term may use.
 *
 * Earlier versions store epochs that increase by one, and use the epoch itself as the only token of the term.
 */

/** Number of fencing tokens that a term reserves when it begins, and each time it has used them up. */
export const TOKENS_PER_EPOCH = 1000;

/** Returns the epoch that follows a stored one; all its tokens are higher than the stored epoch. */
export function nextEpoch(epoch: number): number {
  const block = Math.floor(epoch / TOKENS_PER_EPOCH) + 1;
  return (block + 1) * TOKENS_PER_EPOCH - 1;
}

/** Returns the lowest fencing token that was reserved with a stored epoch. */
export function firstFencingToken(epoch: number): number {
  const isBlockEnd = (epoch + 1) % TOKENS_PER_EPOCH === 0;
  return isBlockEnd ? epoch + 1 - TOKENS_PER_EPOCH : epoch;
}
