/** The program behind `npm run overload`: plays the overload, prints what was measured, and checks it. */
import { Command } from "commander";
import { playOverload } from "./support/overload/overload-run.js";
import { assertFair } from "./support/overload/report.js";

const { seconds } = new Command("overload")
  .description(
    "three controllers under five times their capacity, with troubles; figures of stand-ins on loopback",
  )
  .option("--seconds <n>", "how long", Number, 600)
  .parse()
  .opts<{ seconds: number }>();
const report = await playOverload(seconds);
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
assertFair(report);
