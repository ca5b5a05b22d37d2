/** The length of the term's lease, and the moment until which its leader may act. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LeadershipTerm, termLeaseS } from "../src/core/leadership/term.js";

test("on a small share of a core the term's lease is longer, and as wanted on a larger one", () => {
  assert.equal(termLeaseS(1.5, 0.255), 1.5);
  assert.equal(termLeaseS(3, 0.128), 3);
  assert.ok(termLeaseS(1.5, 0.076) >= 0.3 / 0.076);
  assert.equal(termLeaseS(0.1, 1), 0.5);
});

test("the state service is asked for whole milliseconds, whatever the share", () => {
  for (let percent = 1; percent <= 100; percent++) {
    const ms = 1000 * termLeaseS(1.5, percent / 100);
    assert.ok(Math.abs(ms - Math.round(ms)) < 1e-6, `${ms}`);
  }
});

test("the leader stops by its own clock before its lease lapses, however long it is", () => {
  for (const leaseS of [0.5, 1.5, 3.948]) {
    const term = new LeadershipTerm({
      epoch: 1,
      epochModRevision: 1,
      leaseId: 7,
      leaseS,
      grantSentAt: 100,
      acquiredAtMs: 0,
    });
    assert.ok(term.mayAct(100 + 0.89 * leaseS));
    assert.ok(!term.mayAct(100 + 0.9 * leaseS));
    term.extendFrom(101);
    assert.ok(term.mayAct(101 + 0.89 * leaseS));
    assert.ok(!term.mayAct(101 + 0.9 * leaseS));
  }
});
