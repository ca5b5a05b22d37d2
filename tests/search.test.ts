/** A search over orders of events, by fixed seeds: `World` checks the rules after each. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { World } from "./simulation.js";

const SEEDS = Number(process.env.SEARCH_SEEDS ?? 100);
const FIRST = Number(process.env.SEARCH_FIRST ?? 1);

test(`rules hold in any order of events: ${SEEDS} seeds from ${FIRST}`, () => {
  let starts = 0;
  let terms = 0;
  let told = 0;
  for (let seed = FIRST; seed < FIRST + SEEDS; seed++) {
    const w = new World(seed);
    for (let i = 0; i < 700 && w.broken.length === 0; i++) w.step();
    // What is left has room and must end.
    w.calm();
    for (let i = 0; i < 2500 && w.broken.length === 0 && w.waiting().length > 0; i++) w.step();
    const end = () => `seed ${seed}\n${w.trace.slice(-60).join("\n")}\n`;
    assert.deepEqual(w.broken, [], end());
    assert.deepEqual(w.waiting(), [], `never run or done: ${end()}`);
    starts += w.starts;
    terms += w.terms;
    told += w.told.size;
  }
  // It came about: tasks started, leaders changed, users were told.
  assert.ok(
    starts > 40 * SEEDS && terms > 2 * SEEDS && told > 10 * SEEDS,
    `${[starts, terms, told]}`,
  );
});
