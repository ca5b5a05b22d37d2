import assert from "node:assert/strict";
import { test } from "node:test";
import { WriteBudget } from "../src/core/state/write-budget.js";

test("the leader may use the rate that other controllers leave, and two thirds of the limit after a refusal", () => {
  const budget = new WriteBudget(30);
  assert.ok(budget.leaderChangesPerS(0) > 25, "no other controller writes");
  // The controllers together receive ten submissions per second.
  for (let now = 0.25; now <= 10; now += 0.25) {
    budget.recordRequestChanges(2.5);
    budget.leaderChangesPerS(now);
  }
  assert.equal(budget.leaderChangesPerS(10), 12);
  for (let now = 10.25; now <= 20; now += 0.25) budget.leaderChangesPerS(now);
  assert.ok(budget.leaderChangesPerS(20) > 25);
  budget.recordRefusal(20);
  assert.equal(budget.leaderChangesPerS(24), 20);
  assert.ok(budget.leaderChangesPerS(26) > 25);
});
