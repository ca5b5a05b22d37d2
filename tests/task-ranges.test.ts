import assert from "node:assert/strict";
import { test } from "node:test";
import { TaskRanges } from "../src/core/jobs/task-ranges.js";

test("adjacent ranges join, each task counts once, and missing tasks are listed in order", () => {
  const ranges = TaskRanges.parse("0-3,7");
  for (const task of [5, 4, 6, 5]) ranges.add(task);
  assert.equal(ranges.toString(), "0-7");
  assert.equal(ranges.size, 8);
  assert.deepEqual([...TaskRanges.parse("1-2,4").missing(6)], [0, 3, 5]);
  const many = new TaskRanges();
  for (let task = 0; task < 100_000; task += 2) many.add(task);
  for (let task = 1; task < 100_000; task += 2) many.add(task);
  assert.equal(many.toString(), "0-99999");
});
