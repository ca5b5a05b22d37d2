/** Fault attribution: whether the machine or the job is at fault when tasks fail. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../src/core/model/jobs.js";
import { jobSpec } from "./support/job-builders.js";
import { SimulatedWorkers, type TaskFateOf } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

const broken = (job: string): boolean => job.startsWith("broken");

function startCluster(
  small: number,
  big: number,
  fate: TaskFateOf,
): { leader: TestLeader; workers: SimulatedWorkers } {
  const leader = new TestLeader();
  const types = new Map<string, string>();
  for (let index = 1; index <= small; index++) types.set(`m${index}a`, "small");
  for (let index = 1; index <= big; index++) types.set(`g${index}b`, "big");
  const workers = new SimulatedWorkers(leader, types, fate);
  workers.runFor(4);
  return { leader, workers };
}

const gang = (id: string, change: Partial<JobSpec> = {}): JobSpec =>
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

test("with broken jobs of every class and one faulty machine, only that machine is released", () => {
  const faulty = "m11a";
  const { leader, workers } = startCluster(16, 6, (job, machine) =>
    broken(job) || machine === faulty ? "error" : 12,
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
    leader.submit(gang(`brokenGang${round}`, { tasks: 1 + (round % 2) }));
    leader.submit(jobSpec(`sound${round}`, { team: "maps", tasks: 12 }));
    leader.submit(gang(`soundGang${round}`));
    workers.runFor(10);
  }
  workers.runFor(60);
  assert.deepEqual([...new Set(workers.terminatedMachines)], [faulty]);
  for (let round = 0; round < 4; round++) {
    for (const id of [`sound${round}`, `soundGang${round}`]) {
      assert.equal(leader.replica.view(id)?.state, "done", id);
    }
  }
});

test("a broken job is retried indefinitely, with exponential backoff, one task at a time", () => {
  const { leader, workers } = startCluster(8, 0, (job) => (broken(job) ? "error" : 10));
  leader.submit(jobSpec("broken", { team: "maps", tasks: 20 }));
  const began = leader.now;
  const tries = (from: number, to: number): number =>
    workers.starts.filter((start) => start.at - began >= from && start.at - began < to).length;
  workers.runFor(240);
  assert.equal(tries(0, 2), 20, "the first round is as any job's");
  // 3, 6, 12, 24 and 48 s apart, then every minute.
  assert.ok(tries(2, 120) >= 4 && tries(2, 120) <= 6, `${tries(2, 120)}`);
  assert.ok(tries(120, 240) >= 1 && tries(120, 240) <= 3, `${tries(120, 240)}`);
});

test("a broken job of a single task is backed off like one of many tasks", () => {
  const { leader, workers } = startCluster(8, 8, () => "error");
  leader.submit(jobSpec("single", { team: "maps", class: "tiny" }));
  leader.submit(gang("gang"));
  workers.runFor(60);
  for (const id of ["single", "gang"]) {
    const tries = workers.starts.filter((start) => start.job === id).length;
    assert.ok(tries >= 5 && tries <= 8, `${id} was tried ${tries} times in a minute`);
  }
});

test("a broken gang preempts nothing, reserves no capacity and is placed after gangs that have not failed", () => {
  const { leader, workers } = startCluster(0, 4, (id) => (broken(id) ? "error" : 20));
  leader.submit(gang("broken", { tasks: 2, oneZone: true }));
  workers.runFor(8);
  const job = leader.scheduler.cluster.jobs.get("broken")!;
  assert.notEqual(job.failures.suspicion, null);
  // Low-priority gangs fill three of four machines; a gang that needs two is submitted after the broken one.
  for (let index = 0; index < 3; index++) leader.submit(gang(`low${index}`, { priority: "low" }));
  workers.runFor(2);
  leader.submit(gang("sound", { tasks: 2, oneZone: true, priority: "low", estimateS: 100 }));
  workers.runFor(45, () => {
    for (const machine of leader.scheduler.cluster.machines.values()) {
      assert.notEqual(machine.reservation?.job, job, "capacity is reserved for the broken gang");
      for (const placement of machine.placements.values())
        assert.equal(placement.stop?.why.includes("broken") ?? false, false);
    }
  });
  assert.equal(leader.replica.view("sound")?.state, "done");
});

test("a job that failed on faulty machines only is restarted at once and completes", () => {
  const bad = new Set(["m1a", "m2a"]);
  const { leader, workers } = startCluster(6, 0, (_job, machine) =>
    bad.has(machine) ? "error" : 5,
  );
  leader.submit(jobSpec("array", { team: "maps", tasks: 24 }));
  leader.submit(jobSpec("single", { team: "maps", class: "tiny" }));
  workers.runFor(20);
  assert.equal(leader.replica.view("array")?.state, "done");
  assert.equal(leader.replica.view("single")?.state, "done");
});

test("all tasks of a job in crash-loop backoff are started again once one succeeds", () => {
  let fails = true;
  const { leader, workers } = startCluster(6, 0, () => (fails ? "error" : 5));
  leader.submit(jobSpec("unlucky", { team: "maps", tasks: 12 }));
  workers.runFor(3);
  assert.notEqual(leader.scheduler.cluster.jobs.get("unlucky")!.failures.suspicion, null);
  fails = false;
  workers.runFor(25);
  assert.equal(leader.replica.view("unlucky")?.state, "done");
});

test("a broken job can be cancelled, also between two retries", () => {
  const { leader, workers } = startCluster(4, 0, () => "error");
  leader.submit(jobSpec("broken", { team: "maps", tasks: 8 }));
  workers.runFor(20);
  leader.cancel("broken");
  workers.runFor(3);
  assert.equal(leader.replica.finalRecords.get("broken")?.outcome, "cancelled");
  const starts = workers.starts.length;
  workers.runFor(15);
  assert.equal(workers.starts.length, starts);
  assert.deepEqual(workers.terminatedMachines, []);
});
