import assert from "node:assert/strict";
import { test } from "node:test";
import { TaskRanges } from "../src/core/jobs/task-ranges.js";
import { LeadershipTerm } from "../src/core/leadership/term.js";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";
import { TokenBucket } from "../src/core/overload/token-bucket.js";
import { StateReplica } from "../src/core/state/state-replica.js";
import { WriteBudget } from "../src/core/state/write-budget.js";

test("ranges join, split and keep their count", () => {
  const r = TaskRanges.parse("0-3,7");
  for (const n of [5, 4, 6, 5]) r.add(n);
  assert.equal(r.toString(), "0-7");
  assert.equal(r.size, 8);
  assert.deepEqual([...TaskRanges.parse("1-2,4").missing(6)], [0, 3, 5]);
  const many = new TaskRanges();
  for (let n = 0; n < 100_000; n += 2) many.add(n);
  for (let n = 1; n < 100_000; n += 2) many.add(n);
  assert.equal(many.toString(), "0-99999");
});

test("the copy never goes back when an older answer arrives late", () => {
  const r = new StateReplica();
  r.reset([], 0);
  r.apply([{ key: "d/a", value: { s: "done", n: 3 }, removed: false, modRevision: 5 }], 6);
  r.apply([{ key: "d/a", value: { s: "cancelled", n: 3 }, removed: false, modRevision: 4 }], 4);
  assert.deepEqual(r.view("a"), { id: "a", state: "done", done: 3, running: 0 });
  assert.equal(r.view("b"), null);
  assert.equal(r.revision, 6);
});

test("a budget refills with time and no further than its burst", () => {
  const b = new TokenBucket(10, 5);
  assert.equal(b.tryTake(5, 0), true);
  assert.equal(b.tryTake(1, 0.05), false);
  assert.equal(b.tryTake(1, 0.1), true);
  b.takeOnCredit(4, 0.1);
  assert.equal(b.secondsUntilAvailable(1, 0.1).toFixed(2), "0.50");
  assert.equal(b.available(100), 5);
});

test("a budget that is given a new rate has its burst as well", () => {
  const b = new TokenBucket(5, 5);
  b.setRate(20, 20);
  assert.equal(b.available(10), 20);
  b.setRate(5, 5);
  assert.equal(b.available(10), 5);
});

test("the limit settles where requests begin to queue, and comes back", () => {
  // A server that does four at a time in 0.1 s each: more in progress only wait longer.
  const limit = new AdaptiveConcurrencyLimit(2, 200, 0.05);
  const settle = (capacity: number, rounds: number): number => {
    for (let i = 0; i < rounds; i++) {
      let n = 0;
      while (limit.tryAcquire()) n++;
      for (let k = 0; k < n; k++) limit.release(0.1 * Math.max(1, n / capacity));
    }
    return limit.currentLimit;
  };
  const tight = settle(4, 400);
  assert.ok(tight >= 6 && tight <= 16, `settled at ${tight} for four at a time`);
  const wide = settle(40, 400);
  assert.ok(wide >= 50 && wide <= 130, `settled at ${wide} for forty at a time`);
  const again = settle(4, 800);
  assert.ok(again <= 20, `settled at ${again} when back to four`);
});

test("the leader stops before its lease can lapse, and answers on for a bounded time", () => {
  const t = new LeadershipTerm({
    epoch: 4,
    epochModRevision: 17,
    leaseId: 9,
    leaseS: 3,
    grantSentAt: 100,
    acquiredAtMs: 0,
  });
  assert.equal(t.mayAct(102.6), true);
  assert.equal(t.mayAct(102.7), false);
  assert.equal(t.isWithinGracePeriod(122, 21), true);
  assert.equal(t.isWithinGracePeriod(124, 21), false);
  t.extendFrom(101);
  t.extendFrom(100.5);
  assert.equal(t.mayAct(103.6), true);
});

test("the leader writes what the others leave, and its own part after a refusal", () => {
  const share = new WriteBudget(30);
  assert.ok(share.leaderChangesPerS(0) > 25, "nobody else writes");
  // Ten submissions a second, at any node.
  for (let t = 0.25; t <= 10; t += 0.25) {
    share.recordRequestChanges(2.5);
    share.leaderChangesPerS(t);
  }
  assert.equal(share.leaderChangesPerS(10), 12);
  for (let t = 10.25; t <= 20; t += 0.25) share.leaderChangesPerS(t);
  assert.ok(share.leaderChangesPerS(20) > 25);
  share.recordRefusal(20);
  assert.equal(share.leaderChangesPerS(24), 20);
  assert.ok(share.leaderChangesPerS(26) > 25);
});
