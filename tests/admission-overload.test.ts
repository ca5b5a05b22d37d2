/** A short run of `npm run overload`: a load of five times the capacity for 30 s. */
import { type TestContext, test } from "node:test";
import { playOverload } from "./support/overload/overload-run.js";
import { assertFair } from "./support/overload/report.js";

test("three controllers at five times the capacity, with injected faults, admit fairly and decide alike", {
  timeout: 240_000,
}, async (context: TestContext) => {
  const report = await playOverload(30);
  context.diagnostic(JSON.stringify(report));
  assertFair(report);
});
