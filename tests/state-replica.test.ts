import assert from "node:assert/strict";
import { test } from "node:test";
import { StateReplica } from "../src/core/state/state-replica.js";

test("the replica ignores changes of an older answer that arrives late", () => {
  const replica = new StateReplica();
  replica.reset([], 0);
  const newerRecord = { s: "done", n: 3 };
  const olderRecord = { s: "cancelled", n: 3 };
  replica.apply([{ key: "d/a", value: newerRecord, removed: false, modRevision: 5 }], 6);
  replica.apply([{ key: "d/a", value: olderRecord, removed: false, modRevision: 4 }], 4);
  assert.deepEqual(replica.view("a"), { id: "a", state: "done", done: 3, running: 0 });
  assert.equal(replica.view("b"), null);
  assert.equal(replica.revision, 6);
});
