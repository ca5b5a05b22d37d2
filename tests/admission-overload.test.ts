/** A short run of `npm run overload`: a load of five times the capacity for 30 s. */
import { type TestContext, test } from "node:test";
import { runOverload } from "./support/overload/overload-run.js";
import { assertOverloadReport } from "./support/overload/report.js";

test("three controllers at five times the capacity, with injected faults, admit fairly and decide alike", {
  timeout: 240_000,
}, async (context: TestContext) => {
  const report = await runOverload(30);
  context.diagnostic(JSON.stringify(report));
  assertOverloadReport(report);
});
