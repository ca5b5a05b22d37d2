import assert from "node:assert/strict";
import { test } from "node:test";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";

/** Seconds that the server takes for a request as long as none queues. */
const SERVICE_S = 0.1;

/**
 * Each round sends as many requests as the limit admits to a server that handles `capacity` at a time:
 * more in progress only wait longer. Returns the limit after the last round.
 */
function settle(limit: AdaptiveConcurrencyLimit, capacity: number, rounds: number): number {
  for (let round = 0; round < rounds; round++) {
    let inProgress = 0;
    while (limit.tryAcquire()) inProgress++;
    const durationS = SERVICE_S * Math.max(1, inProgress / capacity);
    for (let request = 0; request < inProgress; request++) limit.release(durationS);
  }
  return limit.currentLimit;
}

test("the limit settles where requests begin to queue, and follows the server's capacity both ways", () => {
  const limit = new AdaptiveConcurrencyLimit(2, 200, 0.05);
  const tight = settle(limit, 4, 400);
  assert.ok(tight >= 6 && tight <= 16, `settled at ${tight} for four at a time`);
  const wide = settle(limit, 40, 400);
  assert.ok(wide >= 50 && wide <= 130, `settled at ${wide} for forty at a time`);
  const tightAgain = settle(limit, 4, 800);
  assert.ok(tightAgain <= 20, `settled at ${tightAgain} when back to four`);
});
