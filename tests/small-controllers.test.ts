/**
 * A leader with a small share of a core: which work it omits, and how many machines it examines. Counts, not times.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Effect } from "../src/core/effects.js";
import { NodeLoad } from "../src/node/node-load.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { TestLeader } from "./support/test-leader.js";

const SMALL_SHARE = 0.076;
/** The names end in the zone: a or b. */
const machineName = (index: number): string =>
  `m-${String(index).padStart(6, "0")}${index % 2 ? "b" : "a"}`;

function leaderWith(machines: number, options: { cpuShare?: number; logsTasks?: boolean } = {}) {
  const leader = new TestLeader(options);
  for (let index = 0; index < machines; index++)
    leader.receiveHeartbeatOnly(machineName(index), []);
  leader.flushWrites();
  return leader;
}

test("an overloaded leader does not step down because of heartbeats that it has not read yet", () => {
  const stepsDown = (overloaded: boolean): boolean => {
    const leader = leaderWith(8);
    leader.scheduler.isOverloaded = overloaded;
    leader.takeTrace();
    // Long enough for heartbeats of all machines, but only one of eight sends any.
    for (let second = 0; second < 14; second++) {
      leader.receiveHeartbeatOnly(machineName(0), []);
      leader.tick(1);
    }
    return /resign/.test(leader.takeTrace());
  };
  assert.equal(stepsDown(true), false);
  assert.equal(stepsDown(false), true);
});

test("log lines on single tasks are not composed where they are not written", () => {
  const messagesOf = (logsTasks: boolean): Set<string> => {
    const leader = leaderWith(1, { logsTasks });
    const seen = new Set<string>();
    const performEffects = leader.performEffects.bind(leader);
    leader.performEffects = (effects: Effect[]) => {
      for (const effect of effects) if (effect.kind === "log") seen.add(effect.message);
      performEffects(effects);
    };
    leader.submit(jobSpec("j", {}));
    leader.answerRequest([taskStatus("j", 0, 1)]);
    leader.receiveHeartbeat(machineName(0), [taskStatus("j", 0, 1, "exited", "done")]);
    return seen;
  };
  const withoutTaskLines = messagesOf(false);
  for (const message of ["place", "task running", "task ended"]) {
    assert.equal(withoutTaskLines.has(message), false, message);
    assert.ok(messagesOf(true).has(message), message);
  }
  assert.ok(withoutTaskLines.has("all tasks done"), "lines on jobs are still written");
});

/** How often machines are examined during `work`: every examination reads a machine's free CPUs. */
function countExaminations(leader: TestLeader, work: () => void): number {
  let examinations = 0;
  for (const machine of leader.scheduler.cluster.machines.values()) {
    const { type } = machine;
    Object.defineProperty(machine, "freeCpus", {
      configurable: true,
      get() {
        examinations++;
        return type.cpus - machine.cpusUsed;
      },
    });
  }
  work();
  return examinations;
}

test("large arrays without tasks that may be placed now cause no examinations of machines", () => {
  const examinationsWith = (waiting: number): number => {
    const leader = leaderWith(400, { cpuShare: SMALL_SHARE });
    const tasks = 5000;
    for (let index = 0; index <= waiting; index++)
      leader.submit(jobSpec(`j-${index}`, { team: "maps", tasks }));
    leader.tick(0.5);
    // Long enough for another cycle, which places as many tasks of the first array as it may.
    return countExaminations(leader, () => leader.tick(1.1));
  };
  const [one, many] = [examinationsWith(1), examinationsWith(12)];
  assert.ok(many < 1.5 * one + 400, `${many} examinations with twelve waiting, ${one} with one`);
});

test("examinations of machines in a heartbeat interval grow at most in proportion to the machines", () => {
  const examinationsOf = (machines: number): number => {
    const leader = leaderWith(machines, { cpuShare: SMALL_SHARE });
    for (let index = 0; index < 6; index++)
      leader.submit(jobSpec(`w-${index}`, { team: "maps", cpus: 5 }));
    return countExaminations(leader, () => {
      for (let step = 0; step < 10; step++) {
        for (let index = step; index < machines; index += 10)
          leader.receiveHeartbeatOnly(machineName(index), []);
        leader.tick(0.3);
      }
    });
  };
  const [small, middle, large] = [examinationsOf(720), examinationsOf(1535), examinationsOf(4000)];
  assert.ok(small > 0);
  assert.ok(middle <= (1.2 * small * 1535) / 720, `${middle} at 1,535, ${small} at 720`);
  assert.ok(large <= (1.2 * small * 4000) / 720, `${large} at 4,000, ${small} at 720`);
});

test("the load line contains processor time, the share of a core, and the rate and time share of each activity", () => {
  let now = 10;
  let cpuS = 1;
  const load = new NodeLoad({
    now: () => now,
    cpuS: () => cpuS,
    memory: () => ({ heapUsed: 20 * 2 ** 20, rss: 90 * 2 ** 20 }),
    cpuShare: SMALL_SHARE,
    reportIntervalS: 15,
  });
  const measureHeartbeats = (): string =>
    load.measure("heartbeats", () => {
      now += 0.5;
      return "answered";
    });
  assert.equal(measureHeartbeats(), "answered");
  assert.throws(() =>
    load.measure("cycles", () => {
      now += 1;
      throw new Error("a fault is counted too");
    }),
  );
  assert.equal(load.takeDueReport(0), null);
  now = 30;
  cpuS = 3;
  const line = load.takeDueReport(0.25);
  assert.deepEqual(
    [line?.intervalS, line?.cpu, line?.cpuShare, line?.lagMs, line?.heapMb, line?.residentMb],
    [20, 0.1, SMALL_SHARE, 250, 20, 90],
  );
  assert.deepEqual(line?.activities.heartbeats, { perSecond: 0.05, share: 0.025 });
  assert.deepEqual(line?.activities.cycles, { perSecond: 0.05, share: 0.05 });
  assert.equal(load.takeDueReport(0), null, "the counters were reset");
});
