/** A search over orders of events, by fixed seeds: `Simulation` checks the rules after each. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation } from "./support/simulation.js";

const SEEDS = Number(process.env.SEARCH_SEEDS ?? 100);
const FIRST = Number(process.env.SEARCH_FIRST ?? 1);
const STEPS_WITH_FAULTS = 700;
const STEPS_TO_FINISH = 2500;
const SHOWN_LINES = 60;

/** Plays a seed to its end, and fails with the end of its trace. */
function play(seed: number): Simulation {
  const simulation = new Simulation(seed);
  const isSound = (): boolean => simulation.violations.length === 0;
  for (let i = 0; i < STEPS_WITH_FAULTS && isSound(); i++) simulation.step();
  // What is left has room and must end.
  simulation.endFaults();
  for (let i = 0; i < STEPS_TO_FINISH && isSound(); i++) {
    if (simulation.unfinishedJobs().length === 0) break;
    simulation.step();
  }
  const end = `seed ${seed}\n${simulation.trace.slice(-SHOWN_LINES).join("\n")}\n`;
  assert.deepEqual(simulation.violations, [], end);
  assert.deepEqual(simulation.unfinishedJobs(), [], `never run or done: ${end}`);
  return simulation;
}

test(`rules hold in any order of events: ${SEEDS} seeds from ${FIRST}`, () => {
  let starts = 0;
  let terms = 0;
  let finished = 0;
  for (let seed = FIRST; seed < FIRST + SEEDS; seed++) {
    const { startCount, termCount, finishedJobCount } = play(seed);
    starts += startCount;
    terms += termCount;
    finished += finishedJobCount;
  }
  // It came about: tasks started, leaders changed, users were told.
  assert.ok(
    starts > 40 * SEEDS && terms > 2 * SEEDS && finished > 10 * SEEDS,
    `${[starts, terms, finished]}`,
  );
});
