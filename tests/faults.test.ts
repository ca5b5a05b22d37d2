/** Attribution of task failures: faulty machines are drained, broken jobs are retried with exponential backoff. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../src/core/model/jobs.js";
import { jobSpec } from "./support/job-builders.js";
import { SimulatedWorkers, type TaskOutcomeOf } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

const isBroken = (job: string): boolean => job.startsWith("broken");

function startCluster(
  smallCount: number,
  bigCount: number,
  outcomeOf: TaskOutcomeOf,
): { leader: TestLeader; workers: SimulatedWorkers } {
  const leader = new TestLeader();
  const types = new Map<string, string>();
  for (let index = 1; index <= smallCount; index++) types.set(`m${index}a`, "small");
  for (let index = 1; index <= bigCount; index++) types.set(`g${index}b`, "big");
  const workers = new SimulatedWorkers(leader, types, outcomeOf);
  workers.runFor(4);
  return { leader, workers };
}

const gangSpec = (id: string, change: Partial<JobSpec> = {}): JobSpec =>
  jobSpec(id, {
    kind: "gang",
    priority: "high",
    team: "maps",
    class: "gpu",
    cpus: 6,
    gpus: 4,
    types: ["big"],
    ...change,
  });

test("if jobs of every kind are broken and one machine is faulty, only that machine is released", () => {
  const faultyMachine = "m11a";
  const { leader, workers } = startCluster(16, 6, (job, machine) =>
    isBroken(job) || machine === faultyMachine ? "error" : 12,
  );
  for (let round = 0; round < 4; round++) {
    leader.submit(jobSpec(`brokenArray${round}`, { team: "maps", tasks: 12 }));
    leader.submit(
      jobSpec(`brokenWeb${round}`, {
        team: "maps",
        kind: "service",
        tasks: 2,
        priority: "production",
      }),
    );
    leader.submit(gangSpec(`brokenGang${round}`, { tasks: 1 + (round % 2) }));
    leader.submit(jobSpec(`sound${round}`, { team: "maps", tasks: 12 }));
    leader.submit(gangSpec(`soundGang${round}`));
    workers.runFor(10);
  }
  workers.runFor(60);
  assert.deepEqual([...new Set(workers.terminatedMachines)], [faultyMachine]);
  for (let round = 0; round < 4; round++) {
    for (const id of [`sound${round}`, `soundGang${round}`]) {
      assert.equal(leader.replica.view(id)?.state, "done", id);
    }
  }
});

test("a broken job is retried indefinitely, with exponential backoff, one task at a time", () => {
  const { leader, workers } = startCluster(8, 0, (job) => (isBroken(job) ? "error" : 10));
  leader.submit(jobSpec("broken", { team: "maps", tasks: 20 }));
  const submittedAt = leader.now;
  const countStarts = (from: number, to: number): number =>
    workers.starts.filter((start) => start.at - submittedAt >= from && start.at - submittedAt < to)
      .length;
  workers.runFor(240);
  assert.equal(countStarts(0, 2), 20, "all tasks are started once, as for any job");
  // Retries follow after 3, 6, 12, 24 and 48 s, and then once a minute.
  assert.ok(countStarts(2, 120) >= 4 && countStarts(2, 120) <= 6, `${countStarts(2, 120)}`);
  assert.ok(countStarts(120, 240) >= 1 && countStarts(120, 240) <= 3, `${countStarts(120, 240)}`);
});

test("a broken job of a single task is retried with the same backoff as a job of many tasks", () => {
  const { leader, workers } = startCluster(8, 8, () => "error");
  leader.submit(jobSpec("single", { team: "maps", class: "tiny" }));
  leader.submit(gangSpec("gang"));
  workers.runFor(60);
  for (const id of ["single", "gang"]) {
    const startCount = workers.starts.filter((start) => start.job === id).length;
    assert.ok(
      startCount >= 5 && startCount <= 8,
      `${id} was started ${startCount} times in a minute`,
    );
  }
});

test("a broken gang preempts no task, reserves no capacity and is placed after gangs that have not failed", () => {
  const { leader, workers } = startCluster(0, 4, (id) => (isBroken(id) ? "error" : 20));
  leader.submit(gangSpec("broken", { tasks: 2, oneZone: true }));
  workers.runFor(8);
  const job = leader.scheduler.cluster.jobs.get("broken")!;
  assert.notEqual(job.failures.suspicion, null);
  // Low-priority gangs occupy three of the four machines. A gang that needs two is submitted after the broken one.
  for (let index = 0; index < 3; index++)
    leader.submit(gangSpec(`low${index}`, { priority: "low" }));
  workers.runFor(2);
  leader.submit(gangSpec("sound", { tasks: 2, oneZone: true, priority: "low", estimateS: 100 }));
  workers.runFor(45, () => {
    for (const machine of leader.scheduler.cluster.machines.values()) {
      assert.notEqual(machine.reservation?.job, job, "a machine is reserved for the broken gang");
      for (const placement of machine.placements.values())
        assert.equal(placement.stop?.why.includes("broken") ?? false, false);
    }
  });
  assert.equal(leader.replica.view("sound")?.state, "done");
});

test("a job that failed only on faulty machines is restarted at once and completes", () => {
  const faultyMachines = new Set(["m1a", "m2a"]);
  const { leader, workers } = startCluster(6, 0, (_job, machine) =>
    faultyMachines.has(machine) ? "error" : 5,
  );
  leader.submit(jobSpec("array", { team: "maps", tasks: 24 }));
  leader.submit(jobSpec("single", { team: "maps", class: "tiny" }));
  workers.runFor(20);
  assert.equal(leader.replica.view("array")?.state, "done");
  assert.equal(leader.replica.view("single")?.state, "done");
});

test("all tasks of a job in crash-loop backoff are started again once one of them succeeds", () => {
  let fails = true;
  const { leader, workers } = startCluster(6, 0, () => (fails ? "error" : 5));
  leader.submit(jobSpec("unlucky", { team: "maps", tasks: 12 }));
  workers.runFor(3);
  assert.notEqual(leader.scheduler.cluster.jobs.get("unlucky")!.failures.suspicion, null);
  fails = false;
  workers.runFor(25);
  assert.equal(leader.replica.view("unlucky")?.state, "done");
});

test("a broken job that is cancelled between two retries ends and is not started again", () => {
  const { leader, workers } = startCluster(4, 0, () => "error");
  leader.submit(jobSpec("broken", { team: "maps", tasks: 8 }));
  workers.runFor(20);
  leader.cancel("broken");
  workers.runFor(3);
  assert.equal(leader.replica.finalRecords.get("broken")?.outcome, "cancelled");
  const startCount = workers.starts.length;
  workers.runFor(15);
  assert.equal(workers.starts.length, startCount);
  assert.deepEqual(workers.terminatedMachines, []);
});
