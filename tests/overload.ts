/** The program of `npm run overload`: runs the overload workload, prints the measurements, and checks them. */
import { Command } from "commander";
import { runOverload } from "./support/overload/overload-run.js";
import { assertOverloadReport } from "./support/overload/report.js";

const { seconds } = new Command("overload")
  .description(
    "run three controllers under a load of five times the capacity, with faults; stand-ins on loopback",
  )
  .option("--seconds <n>", "duration of the run", Number, 600)
  .parse()
  .opts<{ seconds: number }>();
const report = await runOverload(seconds);
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
assertOverloadReport(report);
