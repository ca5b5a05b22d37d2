/**
 * The scheduler with 4,000 machines compared to 1,000: a scheduling cycle, a takeover and the loss of a zone.
 * Time and memory are checked as ratios between the two sizes, so that a loop that is quadratic in the number of
 * machines fails on fast and on slow computers. Values and transactions are compared with the limits in the settings.
 * The measured figures are printed.
 */
import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { TestLeader } from "./support/test-leader.js";

const SMALL_SIZE = 1000;
const LARGE_SIZE = 4000;
/** Maximum growth ratio, between linear growth (4) and quadratic growth (16). */
const MAX_GROWTH = 10;
const TASKS_PER_MACHINE = 4;
const MAX_VALUE_BYTES = 8 * 1024;
const MAX_TRANSACTION_CHANGES = 32;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const machineName = (index: number): string =>
  `m-${String(index).padStart(6, "0")}${index % 2 ? "b" : "a"}`;

/** Returns the shortest of five measured durations, since other processes can only lengthen a duration. */
function minDurationMs(run: () => void): number {
  let minMs = Number.POSITIVE_INFINITY;
  for (let index = 0; index < 5; index++) {
    const startedAt = performance.now();
    run();
    minMs = Math.min(minMs, performance.now() - startedAt);
  }
  return minMs;
}

interface Measurement {
  readonly cycleMs: number;
  readonly takeoverMs: number;
  readonly heapMb: number;
  readonly leader: TestLeader;
}

function receiveAllHeartbeats(leader: TestLeader, machines: number): void {
  for (let index = 0; index < machines; index++) {
    const name = machineName(index);
    const placements = leader.scheduler.cluster.machines.get(name)?.placements.values() ?? [];
    leader.receiveHeartbeatOnly(
      name,
      [...placements].map((placement) =>
        taskStatus(placement.job.spec.id, placement.task, placement.attempt),
      ),
    );
  }
}

/** Creates a leader whose machines are all fully occupied by running tasks that are persisted. */
function leaderOfFullCluster(machines: number): TestLeader {
  const leader = new TestLeader();
  receiveAllHeartbeats(leader, machines);
  leader.flushWrites();
  const tasks = 200;
  const jobCount = (machines * TASKS_PER_MACHINE) / tasks;
  for (let index = 0; index < jobCount; index++)
    leader.submit(jobSpec(`job-${index}`, { team: "maps", tasks }));
  for (let step = 0; step < 400 && countPlacements(leader) < jobCount * tasks; step++) {
    leader.unansweredRequests.length = 0;
    receiveAllHeartbeats(leader, machines);
    leader.tick(0.5);
  }
  assert.equal(countPlacements(leader), jobCount * tasks, "every task is placed");
  return leader;
}

function countPlacements(leader: TestLeader): number {
  let count = 0;
  for (const job of leader.scheduler.cluster.jobs.values()) count += job.placements.size;
  return count;
}

function successorOf(leader: TestLeader): TestLeader {
  return new TestLeader({ replica: leader.replica, epoch: 2, now: leader.now });
}

function measureCluster(machines: number): Measurement {
  collectGarbage();
  const heapBefore = process.memoryUsage().heapUsed;
  const leader = leaderOfFullCluster(machines);
  const cycleMs = minDurationMs(() => {
    leader.unansweredRequests.length = 0;
    leader.submit(jobSpec(`probe-${leader.now}`, { team: "maps", cpus: 3 }));
    leader.tick(0.5);
  });
  leader.traceLines.length = 0;
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / 2 ** 20;
  const takeoverMs = minDurationMs(() => void successorOf(leader));
  return { cycleMs, takeoverMs, heapMb, leader };
}

test("with 4,000 machines, cycles, takeovers and memory grow less than quadratically, and writes fit the limits", (context: TestContext) => {
  const smallCluster = measureCluster(SMALL_SIZE);
  const largeCluster = measureCluster(LARGE_SIZE);
  for (const key of ["cycleMs", "takeoverMs", "heapMb"] as const) {
    const growth = largeCluster[key] / smallCluster[key];
    context.diagnostic(
      `${key}: ${smallCluster[key].toFixed(1)} at ${SMALL_SIZE}, ${largeCluster[key].toFixed(1)} at ${LARGE_SIZE}`,
    );
    assert.ok(growth < MAX_GROWTH, `${key} grows ${growth.toFixed(1)} times`);
  }
  const { largestWritten: largest } = largeCluster.leader;
  context.diagnostic(
    `largest value ${largest.bytes} bytes, largest transaction ${largest.ops} changes`,
  );
  assert.ok(largest.bytes <= MAX_VALUE_BYTES, `${largest.bytes} bytes`);
  assert.ok(largest.ops <= MAX_TRANSACTION_CHANGES, `${largest.ops} changes`);
  assert.equal(largeCluster.leader.rejectedTransactions, 0);
});

test("with 4,000 machines, no machine of a zone that is unreachable as a whole is released within its lease", (context: TestContext) => {
  const leader = leaderOfFullCluster(LARGE_SIZE);
  const machines = [...leader.scheduler.cluster.machines.keys()];
  const unreachable = machines.filter((name) => name.endsWith("b"));
  for (const name of unreachable) leader.unreachableMachines.add(name);
  leader.traceLines.length = 0;
  let maxReleases = 0;
  for (let interval = 0; interval < 6; interval++) {
    for (let step = 0; step < 6; step++) {
      leader.unansweredRequests.length = 0;
      for (const name of machines) {
        if (leader.unreachableMachines.has(name)) continue;
        const placements = [...leader.scheduler.cluster.machines.get(name)!.placements.values()];
        leader.receiveHeartbeatOnly(
          name,
          placements.map((placement) =>
            taskStatus(placement.job.spec.id, placement.task, placement.attempt),
          ),
        );
      }
      leader.tick(0.5);
    }
    const releaseLines = leader.traceLines
      .splice(0)
      .filter((line) => line.startsWith("cloud return "));
    maxReleases = Math.max(maxReleases, releaseLines.join(" ").split("m-").length - 1);
  }
  context.diagnostic(
    `${unreachable.length} machines unreachable, at most ${maxReleases} released in a heartbeat interval`,
  );
  assert.equal(
    maxReleases,
    0,
    "a partition of the zone is more likely than a fault of each of its machines",
  );
});
