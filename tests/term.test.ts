/** The lease duration of a leadership term, and the time until which its leader may act. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LeadershipTerm, termLeaseS } from "../src/core/leadership/term.js";

const termGrantedAt100 = (leaseS: number): LeadershipTerm =>
  new LeadershipTerm({
    epoch: 1,
    epochModRevision: 1,
    leaseId: 7,
    leaseS,
    grantSentAt: 100,
    acquiredAtMs: 0,
  });

test("the lease has the configured duration on a large share of a core, and a longer one on a small share", () => {
  assert.equal(termLeaseS(1.5, 0.255), 1.5);
  assert.equal(termLeaseS(3, 0.128), 3);
  assert.ok(termLeaseS(1.5, 0.076) >= 0.3 / 0.076);
  assert.equal(termLeaseS(0.1, 1), 0.5);
});

test("the lease is a whole number of milliseconds for any share of a core", () => {
  for (let percent = 1; percent <= 100; percent++) {
    const leaseMs = 1000 * termLeaseS(1.5, percent / 100);
    assert.ok(Math.abs(leaseMs - Math.round(leaseMs)) < 1e-6, `${leaseMs}`);
  }
});

test("the leader stops acting, by its own clock, before a lease of any duration expires", () => {
  for (const leaseS of [0.5, 1.5, 3.948]) {
    const term = termGrantedAt100(leaseS);
    assert.ok(term.mayAct(100 + 0.89 * leaseS));
    assert.ok(!term.mayAct(100 + 0.9 * leaseS));
    term.extendFrom(101);
    assert.ok(term.mayAct(101 + 0.89 * leaseS));
    assert.ok(!term.mayAct(101 + 0.9 * leaseS));
  }
});

test("the grace period is bounded, and a late answer to an older renewal does not shorten the lease", () => {
  const term = termGrantedAt100(3);
  assert.equal(term.mayAct(102.6), true);
  assert.equal(term.mayAct(102.7), false);
  assert.equal(term.isWithinGracePeriod(122, 21), true);
  assert.equal(term.isWithinGracePeriod(124, 21), false);
  term.extendFrom(101);
  term.extendFrom(100.5);
  assert.equal(term.mayAct(103.6), true);
});
