/** The queue in which submissions of several teams wait for their transaction. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FairQueue } from "../src/admission/index.js";

test("a burst of one team delays only the submissions of this team, and requeued items are served first", () => {
  const queue = new FairQueue<string>((item) => item.split("-")[0]!);
  for (let number = 0; number < 1000; number++) queue.push(`flood-${number}`);
  queue.push("web-0");
  queue.push("web-1");
  const first = [queue.shift(), queue.shift(), queue.shift()];
  assert.deepEqual(first, ["flood-0", "web-0", "flood-1"]);
  queue.requeue(["web-0", "flood-1"]);
  assert.equal(queue.peek(), "web-0");
  assert.deepEqual([queue.shift(), queue.shift(), queue.shift()], ["web-0", "flood-1", "web-1"]);
  assert.deepEqual(
    queue.removeWhere((item) => item.endsWith("-7")),
    ["flood-7"],
  );
  assert.equal(queue.size, 997);
  assert.equal(queue.removeWhere(() => true).length, 997);
  assert.deepEqual([queue.size, queue.peek(), queue.shift()], [0, undefined, undefined]);
});
