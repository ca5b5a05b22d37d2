/** The short form of `npm run overload`: five times the capacity for half a minute. */
import { type TestContext, test } from "node:test";
import { playOverload } from "./support/overload/overload-run.js";
import { assertFair } from "./support/overload/report.js";

test("three controllers under five times the capacity, with disturbances, admit fairly and alike", {
  timeout: 240_000,
}, async (context: TestContext) => {
  const report = await playOverload(30);
  context.diagnostic(JSON.stringify(report));
  assertFair(report);
});
