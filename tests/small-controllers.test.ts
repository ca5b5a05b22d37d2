/**
 * Tests of a leader with a small share of a processor core: which work it omits, and how many machines it examines.
 * The tests compare counts, which do not depend on the speed of the machine, and not durations.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Effect } from "../src/core/effects.js";
import { NodeLoad } from "../src/node/node-load.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { TestLeader } from "./support/test-leader.js";

const SMALL_CPU_SHARE = 0.076;
/** Returns a machine name that ends with the zone, a or b. */
const machineName = (index: number): string =>
  `m-${String(index).padStart(6, "0")}${index % 2 ? "b" : "a"}`;

function leaderWithMachines(
  machines: number,
  options: { cpuShare?: number; logsTasks?: boolean } = {},
) {
  const leader = new TestLeader(options);
  for (let index = 0; index < machines; index++)
    leader.receiveHeartbeatOnly(machineName(index), []);
  leader.flushWrites();
  return leader;
}

test("an overloaded leader does not step down because of heartbeats that it has not read yet", () => {
  const stepsDown = (overloaded: boolean): boolean => {
    const leader = leaderWithMachines(8);
    leader.scheduler.isOverloaded = overloaded;
    leader.takeTrace();
    // All machines have time to send heartbeats, but only one of the eight does.
    for (let second = 0; second < 14; second++) {
      leader.receiveHeartbeatOnly(machineName(0), []);
      leader.tick(1);
    }
    return /resign/.test(leader.takeTrace());
  };
  assert.equal(stepsDown(true), false);
  assert.equal(stepsDown(false), true);
});

test("log lines about single tasks are not composed if they are not written", () => {
  const messagesOf = (logsTasks: boolean): Set<string> => {
    const leader = leaderWithMachines(1, { logsTasks });
    const messages = new Set<string>();
    const performEffects = leader.performEffects.bind(leader);
    leader.performEffects = (effects: Effect[]) => {
      for (const effect of effects) if (effect.kind === "log") messages.add(effect.message);
      performEffects(effects);
    };
    leader.submit(jobSpec("j", {}));
    leader.answerRequest([taskStatus("j", 0, 1)]);
    leader.receiveHeartbeat(machineName(0), [taskStatus("j", 0, 1, "exited", "done")]);
    return messages;
  };
  const messagesWithoutTaskLines = messagesOf(false);
  for (const message of ["place", "task running", "task ended"]) {
    assert.equal(messagesWithoutTaskLines.has(message), false, message);
    assert.ok(messagesOf(true).has(message), message);
  }
  assert.ok(
    messagesWithoutTaskLines.has("all tasks done"),
    "log lines about jobs are still written",
  );
});

/** Counts the examinations of machines during `work`. Each examination reads the free CPUs of a machine. */
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

test("large arrays cause no examinations of machines while none of their tasks may be placed", () => {
  const examinationsWith = (waiting: number): number => {
    const leader = leaderWithMachines(400, { cpuShare: SMALL_CPU_SHARE });
    const tasks = 5000;
    for (let index = 0; index <= waiting; index++)
      leader.submit(jobSpec(`j-${index}`, { team: "maps", tasks }));
    leader.tick(0.5);
    // Long enough for another scheduling cycle, which places as many tasks of the first array as is permitted.
    return countExaminations(leader, () => leader.tick(1.1));
  };
  const [one, many] = [examinationsWith(1), examinationsWith(12)];
  assert.ok(
    many < 1.5 * one + 400,
    `${many} examinations with twelve waiting arrays, ${one} with one`,
  );
});

test("the number of machine examinations per heartbeat interval grows at most in proportion to the number of machines", () => {
  const examinationsOf = (machines: number): number => {
    const leader = leaderWithMachines(machines, { cpuShare: SMALL_CPU_SHARE });
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
  const [small, medium, large] = [examinationsOf(720), examinationsOf(1535), examinationsOf(4000)];
  assert.ok(small > 0);
  assert.ok(
    medium <= (1.2 * small * 1535) / 720,
    `${medium} examinations with 1,535 machines, ${small} with 720`,
  );
  assert.ok(
    large <= (1.2 * small * 4000) / 720,
    `${large} examinations with 4,000 machines, ${small} with 720`,
  );
});

test("the load report contains processor time, the share of a core, and the rate and time share of each activity", () => {
  let now = 10;
  let cpuS = 1;
  const load = new NodeLoad({
    now: () => now,
    cpuS: () => cpuS,
    memory: () => ({ heapUsed: 20 * 2 ** 20, rss: 90 * 2 ** 20 }),
    cpuShare: SMALL_CPU_SHARE,
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
      throw new Error("an activity that fails is counted too");
    }),
  );
  assert.equal(load.takeDueReport(0), null);
  now = 30;
  cpuS = 3;
  const report = load.takeDueReport(0.25);
  assert.deepEqual(
    [
      report?.intervalS,
      report?.cpu,
      report?.cpuShare,
      report?.lagMs,
      report?.heapMb,
      report?.residentMb,
    ],
    [20, 0.1, SMALL_CPU_SHARE, 250, 20, 90],
  );
  assert.deepEqual(report?.activities.heartbeats, { perSecond: 0.05, share: 0.025 });
  assert.deepEqual(report?.activities.cycles, { perSecond: 0.05, share: 0.05 });
  assert.equal(load.takeDueReport(0), null, "the counters were reset");
});
