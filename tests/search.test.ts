/** A search over orders of events, by fixed seeds: `World` checks the rules after each. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation } from "./support/simulation.js";

const SEEDS = Number(process.env.SEARCH_SEEDS ?? 100);
const FIRST = Number(process.env.SEARCH_FIRST ?? 1);

test(`rules hold in any order of events: ${SEEDS} seeds from ${FIRST}`, () => {
  let starts = 0;
  let terms = 0;
  let told = 0;
  for (let seed = FIRST; seed < FIRST + SEEDS; seed++) {
    const w = new Simulation(seed);
    for (let i = 0; i < 700 && w.violations.length === 0; i++) w.step();
    // What is left has room and must end.
    w.endFaults();
    for (let i = 0; i < 2500 && w.violations.length === 0 && w.unfinishedJobs().length > 0; i++)
      w.step();
    const end = () => `seed ${seed}\n${w.trace.slice(-60).join("\n")}\n`;
    assert.deepEqual(w.violations, [], end());
    assert.deepEqual(w.unfinishedJobs(), [], `never run or done: ${end()}`);
    starts += w.startCount;
    terms += w.termCount;
    told += w.reportedFinalStates.size;
  }
  // It came about: tasks started, leaders changed, users were told.
  assert.ok(
    starts > 40 * SEEDS && terms > 2 * SEEDS && told > 10 * SEEDS,
    `${[starts, terms, told]}`,
  );
});
