import assert from "node:assert/strict";
import { test } from "node:test";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";

/** Time that the simulated server takes for a request while no request queues, in seconds. */
const SERVICE_S = 0.1;

/**
 * Simulates rounds in which as many requests as the limit admits are sent to a server that handles `capacity`
 * requests at a time. Further requests queue and take longer. Returns the limit after the last round.
 */
function runRounds(limit: AdaptiveConcurrencyLimit, capacity: number, rounds: number): number {
  for (let round = 0; round < rounds; round++) {
    let inProgress = 0;
    while (limit.tryAcquire()) inProgress++;
    const durationS = SERVICE_S * Math.max(1, inProgress / capacity);
    for (let request = 0; request < inProgress; request++) limit.release(durationS);
  }
  return limit.currentLimit;
}

test("the limit settles where requests begin to queue, and follows a rise and a fall of the server's capacity", () => {
  const limit = new AdaptiveConcurrencyLimit(2, 200, 0.05);
  const lowCapacityLimit = runRounds(limit, 4, 400);
  assert.ok(
    lowCapacityLimit >= 6 && lowCapacityLimit <= 16,
    `limit ${lowCapacityLimit} at a capacity of four requests`,
  );
  const highCapacityLimit = runRounds(limit, 40, 400);
  assert.ok(
    highCapacityLimit >= 50 && highCapacityLimit <= 130,
    `limit ${highCapacityLimit} at a capacity of forty requests`,
  );
  const loweredCapacityLimit = runRounds(limit, 4, 800);
  assert.ok(
    loweredCapacityLimit <= 20,
    `limit ${loweredCapacityLimit} after the capacity fell to four requests`,
  );
});
