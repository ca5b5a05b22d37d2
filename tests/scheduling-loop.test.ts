/** When passes are made: in simulated time, with passes that take a while and timers that come back late. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { SchedulingLoop } from "../src/node/scheduling-loop.js";

/** A loop on a clock of its own; `passS`: what each pass takes. */
class SimulatedLoop {
  now = 100;
  readonly passes: number[] = [];
  overloaded = false;
  readonly loop: SchedulingLoop;

  constructor(readonly passS: number) {
    this.loop = new SchedulingLoop({
      now: () => this.now,
      settings: { heartbeatIntervalS: 3 },
      onPoll: () => {},
      runCycle: () => {
        this.passes.push(this.now);
        this.now += this.passS;
      },
      onCycleEnd: () => {},
      onLag: (_, overloaded) => {
        this.overloaded = overloaded;
      },
    });
  }
}

test("after a pass twice its own time is left for answers, and eight times while overloaded", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const gap = async (lateS: number): Promise<number> => {
    const simulated = new SimulatedLoop(0.3);
    void simulated.loop.run();
    for (let i = 0; i < 60; i++) {
      simulated.now += 0.15 + lateS;
      t.mock.timers.tick(150);
      await nextTurn();
    }
    simulated.loop.stop();
    const [before, last] = simulated.passes.slice(-2) as [number, number];
    return last - before - 0.3;
  };
  const [quiet, late] = [await gap(0), await gap(0.2)];
  assert.ok(quiet >= 0.6 && quiet < 0.6 + 0.2, `${quiet} s`);
  assert.ok(late >= 2.4 && late < 2.4 + 0.4, `${late} s`);
});

test("a node is overloaded once timers come back late by a thirtieth of a report interval", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const overloadedAt = async (lateS: number): Promise<boolean> => {
    const simulated = new SimulatedLoop(0);
    void simulated.loop.run();
    for (let i = 0; i < 40; i++) {
      simulated.now += 0.15 + lateS;
      t.mock.timers.tick(150);
      await nextTurn();
    }
    simulated.loop.stop();
    return simulated.overloaded;
  };
  assert.equal(await overloadedAt(0.05), false);
  assert.equal(await overloadedAt(0.15), true);
});

test("what comes in during the rest makes one pass once the rest is over", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const simulated = new SimulatedLoop(0.5);
  simulated.loop.requeue();
  t.mock.timers.tick(0);
  assert.equal(simulated.passes.length, 1);
  for (let i = 0; i < 5; i++) simulated.loop.requeue();
  simulated.now += 0.9;
  t.mock.timers.tick(900);
  assert.equal(simulated.passes.length, 1, "it rests for twice its own time");
  simulated.now += 0.2;
  t.mock.timers.tick(200);
  assert.equal(simulated.passes.length, 2);
  simulated.loop.requeue();
  simulated.loop.stop();
  simulated.now += 5;
  t.mock.timers.tick(5000);
  assert.equal(simulated.passes.length, 2, "none after it was stopped");
});
