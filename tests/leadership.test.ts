/** Tests that a leader keeps its leadership when the state service answers the renewals of its lease late. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { pino } from "pino";
import type { Change } from "../src/core/state/key-value.js";
import { StateReplica } from "../src/core/state/state-replica.js";
import { Leadership } from "../src/node/leadership.js";
import type { KeyValueClient, LeaseRenewal } from "../src/state/key-value-client.js";
import type { StateWatcher } from "../src/state/state-watcher.js";

const LEASE_S = 4;
const RENEWAL_INTERVAL_S = LEASE_S / 4;

/** A controller that has acquired leadership. A test answers the renewals of its lease with `pendingRenewals`. */
class TestCandidate {
  now = 100;
  /** Times at which renewals were sent, in seconds. */
  readonly renewalsSentAt: number[] = [];
  readonly pendingRenewals: ((renewal: LeaseRenewal) => void)[] = [];
  readonly leadership: Leadership;

  constructor() {
    const replica = new StateReplica();
    replica.reset([], 0);
    const client = {
      grantLease: async () => ({ kind: "ok", leaseId: 7 }),
      transact: async (_preconditions: unknown, changes: readonly Change[]) => {
        const events = changes.map((change) => ({
          key: change.key,
          value: change.op === "put" ? change.value : null,
          removed: change.op === "delete",
          modRevision: 1,
        }));
        replica.apply(events, 1);
        return { kind: "ok", revision: 1 };
      },
      extendLease: () => {
        this.renewalsSentAt.push(this.now);
        return new Promise((resolve) => this.pendingRenewals.push(resolve));
      },
      revokeLease: async () => {},
    };
    this.leadership = new Leadership(
      client as unknown as KeyValueClient,
      { readLatest: async () => true } as unknown as StateWatcher,
      replica,
      {
        member: "n0",
        leaseS: LEASE_S,
        leaseExtensionS: 60,
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

test("lease renewals are sent four times per lease, even if unanswered, and each answer counts from the time of its renewal", async (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const candidate = new TestCandidate();
  await nextTurn();
  assert.notEqual(candidate.leadership.current, null);
  for (let renewal = 0; renewal < 8; renewal++) {
    candidate.now += RENEWAL_INTERVAL_S;
    context.mock.timers.tick(1000 * RENEWAL_INTERVAL_S);
    await nextTurn();
  }
  assert.deepEqual(candidate.renewalsSentAt, [101, 102, 103, 104, 105, 106, 107, 108]);
  const answerRenewal = async (renewal: number, result: LeaseRenewal): Promise<void> => {
    candidate.pendingRenewals[renewal]!(result);
    await nextTurn();
  };
  // An answer extends the term from the time at which its renewal was sent. The answer to an older renewal does not
  // shorten the term.
  const { term } = candidate.leadership.current!;
  assert.equal(term.mayAct(104), false);
  await answerRenewal(5, { kind: "ok" });
  assert.equal(term.mayAct(106 + 0.89 * LEASE_S), true);
  await answerRenewal(0, { kind: "ok" });
  assert.equal(term.mayAct(106 + 0.89 * LEASE_S), true);
  assert.equal(term.mayAct(106 + 0.9 * LEASE_S), false);
  await answerRenewal(1, { kind: "expired" });
  assert.equal(candidate.leadership.current, null);
});
