/** Who is to blame when tasks fail: the machine they were on, or the job they belong to. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../src/core/model/jobs.js";
import { jobSpec, SimulatedWorkers, type TaskFateOf, TestLeader } from "./support/helpers.js";

const broken = (job: string): boolean => job.startsWith("broken");

function fleet(
  small: number,
  big: number,
  fate: TaskFateOf,
): { h: TestLeader; w: SimulatedWorkers } {
  const h = new TestLeader();
  const types = new Map<string, string>();
  for (let i = 1; i <= small; i++) types.set(`m${i}a`, "small");
  for (let i = 1; i <= big; i++) types.set(`g${i}b`, "big");
  const w = new SimulatedWorkers(h, types, fate);
  w.runFor(4);
  return { h, w };
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

test("broken jobs of every class beside one faulty machine: only that machine goes", () => {
  const faulty = "m11a";
  const { h, w } = fleet(16, 6, (job, machine) =>
    broken(job) || machine === faulty ? "error" : 12,
  );
  for (let i = 0; i < 4; i++) {
    h.submit(jobSpec(`brokenArray${i}`, { team: "maps", tasks: 12 }));
    h.submit(
      jobSpec(`brokenWeb${i}`, { team: "maps", kind: "service", tasks: 2, priority: "production" }),
    );
    h.submit(gang(`brokenGang${i}`, { tasks: 1 + (i % 2) }));
    h.submit(jobSpec(`sound${i}`, { team: "maps", tasks: 12 }));
    h.submit(gang(`soundGang${i}`));
    w.runFor(10);
  }
  w.runFor(60);
  assert.deepEqual([...new Set(w.terminatedMachines)], [faulty]);
  for (let i = 0; i < 4; i++) {
    for (const id of [`sound${i}`, `soundGang${i}`]) {
      assert.equal(h.replica.view(id)?.state, "done", id);
    }
  }
});

test("a broken job is tried for ever, at a falling rate, one task at a time", () => {
  const { h, w } = fleet(8, 0, (job) => (broken(job) ? "error" : 10));
  h.submit(jobSpec("broken", { team: "maps", tasks: 20 }));
  const began = h.now;
  const tries = (from: number, to: number): number =>
    w.starts.filter((s) => s.at - began >= from && s.at - began < to).length;
  w.runFor(240);
  assert.equal(tries(0, 2), 20, "the first round is as any job's");
  // 3, 6, 12, 24 and 48 s apart, then every minute.
  assert.ok(tries(2, 120) >= 4 && tries(2, 120) <= 6, `${tries(2, 120)}`);
  assert.ok(tries(120, 240) >= 1 && tries(120, 240) <= 3, `${tries(120, 240)}`);
});

test("a broken job of one task is found out like one of many", () => {
  const { h, w } = fleet(8, 8, () => "error");
  h.submit(jobSpec("single", { team: "maps", class: "tiny" }));
  h.submit(gang("gang"));
  w.runFor(60);
  for (const id of ["single", "gang"]) {
    const tries = w.starts.filter((s) => s.job === id).length;
    assert.ok(tries >= 5 && tries <= 8, `${id} was tried ${tries} times in a minute`);
  }
});

test("a broken gang stops nobody, holds no room and goes behind those that have not failed", () => {
  const { h, w } = fleet(0, 4, (job) => (broken(job) ? "error" : 20));
  h.submit(gang("broken", { tasks: 2, oneZone: true }));
  w.runFor(8);
  const job = h.scheduler.cluster.jobs.get("broken")!;
  assert.notEqual(job.failures.suspicion, null);
  // Low work fills three of four machines; a gang that needs two comes after the broken one.
  for (let i = 0; i < 3; i++) h.submit(gang(`low${i}`, { priority: "low" }));
  w.runFor(2);
  h.submit(gang("sound", { tasks: 2, oneZone: true, priority: "low", estimateS: 100 }));
  w.runFor(45, () => {
    for (const m of h.scheduler.cluster.machines.values()) {
      assert.notEqual(m.reservation?.job, job, "room is held for the broken gang");
      for (const p of m.placements.values())
        assert.equal(p.stop?.why.includes("broken") ?? false, false);
    }
  });
  assert.equal(h.replica.view("sound")?.state, "done");
});

test("a job that only had bad luck with machines starts again at once and ends", () => {
  const bad = new Set(["m1a", "m2a"]);
  const { h, w } = fleet(6, 0, (_job, machine) => (bad.has(machine) ? "error" : 5));
  h.submit(jobSpec("array", { team: "maps", tasks: 24 }));
  h.submit(jobSpec("single", { team: "maps", class: "tiny" }));
  w.runFor(20);
  assert.equal(h.replica.view("array")?.state, "done");
  assert.equal(h.replica.view("single")?.state, "done");
});

test("a job taken for broken by bad luck has all its tasks again as soon as one fares well", () => {
  let fails = true;
  const { h, w } = fleet(6, 0, () => (fails ? "error" : 5));
  h.submit(jobSpec("unlucky", { team: "maps", tasks: 12 }));
  w.runFor(3);
  assert.notEqual(h.scheduler.cluster.jobs.get("unlucky")!.failures.suspicion, null);
  fails = false;
  w.runFor(25);
  assert.equal(h.replica.view("unlucky")?.state, "done");
});

test("a broken job is cancelled like any other, also between two tries", () => {
  const { h, w } = fleet(4, 0, () => "error");
  h.submit(jobSpec("broken", { team: "maps", tasks: 8 }));
  w.runFor(20);
  h.cancel("broken");
  w.runFor(3);
  assert.equal(h.replica.finalRecords.get("broken")?.s, "cancelled");
  const starts = w.starts.length;
  w.runFor(15);
  assert.equal(w.starts.length, starts);
  assert.deepEqual(w.terminatedMachines, []);
});
