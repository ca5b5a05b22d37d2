/** How a leader keeps its term when the state service's answers come late. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { pino } from "pino";
import type { Change } from "../src/core/state/key-value.js";
import { StateReplica } from "../src/core/state/state-replica.js";
import { Leadership } from "../src/node/leadership.js";
import type { KeyValueClient, LeaseRenewal } from "../src/state/key-value-client.js";
import type { StateWatcher } from "../src/state/state-watcher.js";

const TTL_S = 4;

/** A node that took the term; renewals are answered when the test says so. */
class Candidate {
  now = 100;
  readonly sentAt: number[] = [];
  readonly pendingRenewals: ((renewal: LeaseRenewal) => void)[] = [];
  readonly leadership: Leadership;

  constructor() {
    const records = new StateReplica();
    records.reset([], 0);
    const store = {
      grantLease: async () => ({ kind: "ok", leaseId: 7 }),
      transact: async (_: unknown, changes: readonly Change[]) => {
        const events = changes.map((c) => ({
          key: c.key,
          value: c.op === "put" ? c.value : null,
          removed: c.op === "delete",
          modRevision: 1,
        }));
        records.apply(events, 1);
        return { kind: "ok", revision: 1 };
      },
      extendLease: () => {
        this.sentAt.push(this.now);
        return new Promise((resolve) => this.pendingRenewals.push(resolve));
      },
      revokeLease: async () => {},
    };
    this.leadership = new Leadership(
      store as unknown as KeyValueClient,
      { readLatest: async () => true } as unknown as StateWatcher,
      records,
      {
        member: "n0",
        leaseS: TTL_S,
        gracePeriodS: 60,
        now: () => this.now,
        log: pino({ level: "silent" }),
        createScheduler: () => ({ takeOver: () => [] }) as never,
        performEffects: () => {},
        onLeadershipChange: () => {},
      },
    );
    this.leadership.campaign();
  }
}

test("renewals go out four times a lease, though none is answered yet", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const candidate = new Candidate();
  await nextTurn();
  assert.notEqual(candidate.leadership.current, null);
  for (let i = 0; i < 8; i++) {
    candidate.now += TTL_S / 4;
    t.mock.timers.tick((1000 * TTL_S) / 4);
    await nextTurn();
  }
  assert.deepEqual(candidate.sentAt, [101, 102, 103, 104, 105, 106, 107, 108]);
  // An answer counts from when its renewal was sent, and an older one takes nothing back.
  const { term } = candidate.leadership.current!;
  assert.equal(term.mayAct(104), false);
  candidate.pendingRenewals[5]!({ kind: "ok" });
  await nextTurn();
  assert.equal(term.mayAct(106 + 0.89 * TTL_S), true);
  candidate.pendingRenewals[0]!({ kind: "ok" });
  await nextTurn();
  assert.equal(term.mayAct(106 + 0.89 * TTL_S), true);
  assert.equal(term.mayAct(106 + 0.9 * TTL_S), false);
  candidate.pendingRenewals[1]!({ kind: "expired" });
  await nextTurn();
  assert.equal(candidate.leadership.current, null);
});
