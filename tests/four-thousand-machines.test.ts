/**
 * The core with 4,000 machines, against the same with 1,000: a normal pass, a takeover and the loss of a zone. Time and
 * memory are held as ratios between the two sizes, so that a loop that is quadratic in machines fails on any machine;
 * values and transactions are held against the settings' limits. The measured figures are printed.
 */
import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { TestLeader } from "./support/test-leader.js";

const SMALL = 1000;
const LARGE = 4000;
/** Between linear (4) and quadratic (16) growth. */
const MOST_GROWTH = 10;
const TASKS_A_MACHINE = 4;
const VALUE_BYTES = 8 * 1024;
const TXN_OPS = 32;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const nameOf = (i: number): string => `m-${String(i).padStart(6, "0")}${i % 2 ? "b" : "a"}`;

/** The least of some measurements: what other processes take from this one only adds. */
function leastMs(run: () => void): number {
  let least = Number.POSITIVE_INFINITY;
  for (let i = 0; i < 5; i++) {
    const began = performance.now();
    run();
    least = Math.min(least, performance.now() - began);
  }
  return least;
}

interface Measured {
  readonly passMs: number;
  readonly takeoverMs: number;
  readonly heapMb: number;
  readonly leader: TestLeader;
}

function reportAll(leader: TestLeader, machines: number): void {
  for (let i = 0; i < machines; i++) {
    const name = nameOf(i);
    const on = leader.scheduler.cluster.machines.get(name)?.placements.values() ?? [];
    leader.receiveHeartbeatOnly(
      name,
      [...on].map((p) => taskStatus(p.job.spec.id, p.task, p.attempt)),
    );
  }
}

/** Each machine full of tasks that are stored and run. */
function fullSite(machines: number): TestLeader {
  const leader = new TestLeader();
  reportAll(leader, machines);
  leader.flushWrites();
  const tasks = 200;
  const jobs = (machines * TASKS_A_MACHINE) / tasks;
  for (let i = 0; i < jobs; i++) leader.submit(jobSpec(`job-${i}`, { team: "maps", tasks }));
  for (let i = 0; i < 400 && placed(leader) < jobs * tasks; i++) {
    leader.unansweredRequests.length = 0;
    reportAll(leader, machines);
    leader.tick(0.5);
  }
  assert.equal(placed(leader), jobs * tasks, "every task has its place");
  return leader;
}

function placed(leader: TestLeader): number {
  let n = 0;
  for (const job of leader.scheduler.cluster.jobs.values()) n += job.placements.size;
  return n;
}

function successorOf(leader: TestLeader): TestLeader {
  return new TestLeader({ replica: leader.replica, epoch: 2, now: leader.now });
}

function measure(machines: number): Measured {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const leader = fullSite(machines);
  const passMs = leastMs(() => {
    leader.unansweredRequests.length = 0;
    leader.submit(jobSpec(`probe-${leader.now}`, { team: "maps", cpus: 3 }));
    leader.tick(0.5);
  });
  leader.traceLines.length = 0;
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - before) / 2 ** 20;
  const takeoverMs = leastMs(() => void successorOf(leader));
  return { passMs, takeoverMs, heapMb, leader };
}

test("4,000 machines: growth of a pass, a takeover and memory; sizes of what is stored", (t: TestContext) => {
  const small = measure(SMALL);
  const large = measure(LARGE);
  for (const key of ["passMs", "takeoverMs", "heapMb"] as const) {
    const growth = large[key] / small[key];
    t.diagnostic(
      `${key}: ${small[key].toFixed(1)} at ${SMALL}, ${large[key].toFixed(1)} at ${LARGE}`,
    );
    assert.ok(growth < MOST_GROWTH, `${key} grows ${growth.toFixed(1)} times`);
  }
  const { largestWritten: most } = large.leader;
  t.diagnostic(`largest value ${most.bytes} bytes, largest transaction ${most.ops} changes`);
  assert.ok(most.bytes <= VALUE_BYTES, `${most.bytes} bytes`);
  assert.ok(most.ops <= TXN_OPS, `${most.ops} changes`);
  assert.equal(large.leader.rejectedTransactions, 0);
});

test("4,000 machines: a zone that falls silent as a whole is not given up within its lease", (t: TestContext) => {
  const leader = fullSite(LARGE);
  const machines = [...leader.scheduler.cluster.machines.keys()];
  const silent = machines.filter((m) => m.endsWith("b"));
  for (const m of silent) leader.unreachableMachines.add(m);
  leader.traceLines.length = 0;
  let most = 0;
  for (let interval = 0; interval < 6; interval++) {
    for (let step = 0; step < 6; step++) {
      leader.unansweredRequests.length = 0;
      for (const m of machines) {
        if (leader.unreachableMachines.has(m)) continue;
        const on = [...leader.scheduler.cluster.machines.get(m)!.placements.values()];
        leader.receiveHeartbeatOnly(
          m,
          on.map((p) => taskStatus(p.job.spec.id, p.task, p.attempt)),
        );
      }
      leader.tick(0.5);
    }
    const given = leader.traceLines.splice(0).filter((line) => line.startsWith("cloud return "));
    most = Math.max(most, given.join(" ").split("m-").length - 1);
  }
  t.diagnostic(`${silent.length} silent, at most ${most} given up in a report interval`);
  assert.equal(most, 0, "its silence as a whole says nothing against any of its machines yet");
});
