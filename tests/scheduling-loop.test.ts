/** Times of scheduling cycles, in simulated time, if cycles take long and timers fire late. */
import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { SchedulingLoop } from "../src/node/scheduling-loop.js";

const HEARTBEAT_INTERVAL_S = 3;
const POLL_INTERVAL_MS = 150;

/** A scheduling loop with a simulated clock, in which each cycle takes `cycleS` seconds. */
class SimulatedLoop {
  now = 100;
  readonly cycleStarts: number[] = [];
  isOverloaded = false;
  readonly loop: SchedulingLoop;

  constructor(private readonly cycleS: number) {
    this.loop = new SchedulingLoop({
      now: () => this.now,
      settings: { heartbeatIntervalS: HEARTBEAT_INTERVAL_S },
      onPoll: () => {},
      runCycle: () => {
        this.cycleStarts.push(this.now);
        this.now += this.cycleS;
      },
      onCycleEnd: () => {},
      onLag: (_lagS, isOverloaded) => {
        this.isOverloaded = isOverloaded;
      },
    });
  }

  /** Runs the loop for the given number of polls, with timers that fire `lagS` seconds late. */
  async runPolls(context: TestContext, polls: number, lagS: number): Promise<void> {
    const running = this.loop.run();
    for (let poll = 1; poll <= polls; poll++) {
      if (poll === polls) this.loop.stop();
      this.now += POLL_INTERVAL_MS / 1000 + lagS;
      context.mock.timers.tick(POLL_INTERVAL_MS);
      await nextTurn();
    }
    await running;
  }
}

test("the pause after a cycle is twice the cycle's duration, and eight times while the node is overloaded", async (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const cycleS = 0.3;
  const measurePauseS = async (lagS: number): Promise<number> => {
    const simulated = new SimulatedLoop(cycleS);
    await simulated.runPolls(context, 60, lagS);
    const [secondLast, last] = simulated.cycleStarts.slice(-2) as [number, number];
    return last - secondLast - cycleS;
  };
  const pauseOnTimeS = await measurePauseS(0);
  const pauseOverloadedS = await measurePauseS(0.2);
  assert.ok(pauseOnTimeS >= 0.6 && pauseOnTimeS < 0.6 + 0.2, `${pauseOnTimeS} s`);
  assert.ok(pauseOverloadedS >= 2.4 && pauseOverloadedS < 2.4 + 0.4, `${pauseOverloadedS} s`);
});

test("a node is overloaded once the lag of its timers exceeds a thirtieth of a heartbeat interval", async (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const isOverloadedAt = async (lagS: number): Promise<boolean> => {
    const simulated = new SimulatedLoop(0);
    await simulated.runPolls(context, 40, lagS);
    return simulated.isOverloaded;
  };
  assert.equal(await isOverloadedAt(0.05), false);
  assert.equal(await isOverloadedAt(0.15), true);
});

test("inputs during the pause after a cycle cause one cycle once the pause is over", async (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const simulated = new SimulatedLoop(0.5);
  simulated.loop.requestCycle();
  context.mock.timers.tick(0);
  assert.equal(simulated.cycleStarts.length, 1);
  for (let input = 0; input < 5; input++) simulated.loop.requestCycle();
  simulated.now += 0.9;
  context.mock.timers.tick(900);
  assert.equal(simulated.cycleStarts.length, 1, "the pause lasts for twice the cycle's duration");
  simulated.now += 0.2;
  context.mock.timers.tick(200);
  assert.equal(simulated.cycleStarts.length, 2);
  simulated.loop.requestCycle();
  simulated.loop.stop();
  simulated.now += 5;
  context.mock.timers.tick(5000);
  assert.equal(simulated.cycleStarts.length, 2, "a stopped loop runs no cycle");
});
