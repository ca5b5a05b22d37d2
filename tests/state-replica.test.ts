import assert from "node:assert/strict";
import { test } from "node:test";
import { StateReplica } from "../src/core/state/state-replica.js";

test("the replica never goes back when an older answer arrives late", () => {
  const replica = new StateReplica();
  replica.reset([], 0);
  const newer = { s: "done", n: 3 };
  const older = { s: "cancelled", n: 3 };
  replica.apply([{ key: "d/a", value: newer, removed: false, modRevision: 5 }], 6);
  replica.apply([{ key: "d/a", value: older, removed: false, modRevision: 4 }], 4);
  assert.deepEqual(replica.view("a"), { id: "a", state: "done", done: 3, running: 0 });
  assert.equal(replica.view("b"), null);
  assert.equal(replica.revision, 6);
});
