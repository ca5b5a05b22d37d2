/** One trace for each rule of the protocol, with the failure that could break it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { dependenciesOf, formatResiduals } from "../src/core/jobs/pipeline.js";
import { StateReplica } from "../src/core/state/state-replica.js";
import { KEY } from "../src/core/state/stored-values.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { leaderWithTwoMachines, TestLeader } from "./support/test-leader.js";

test("ran_twice: a start without an answer is repeated where it was, not elsewhere", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest(null);
  h.tick(2);
  h.answerRequest([taskStatus("j", 0, 1)]);
  assert.equal(
    h.takeTrace(),
    `
> submit j
write p/j done= at=[["m1a",1,1,"0"]]
send m1a: start j/0#1
> no answer from m1a
send m1a: start j/0#1
> m1a answers s1 [j/0#1 running]
`,
  );
});

test("ran_twice: nothing is sent before the placement is stored", () => {
  const h = leaderWithTwoMachines();
  h.isStoreAvailable = false;
  h.submit(jobSpec("j"));
  h.receiveHeartbeat("m1a", []);
  assert.equal(h.takeTrace(), "\n> submit j\n> m1a reports s1 []\n");
  h.isStoreAvailable = true;
  h.tick();
  assert.match(h.takeTrace(), /write p\/j .*\nsend m1a: start j\/0#1/);
});

test("ran_twice: a silent machine's task starts elsewhere only after the cloud took it", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest([taskStatus("j", 0, 1)]);
  h.takeTrace();
  for (let i = 0; i < 7; i++) {
    h.receiveHeartbeat("m2b", []);
    h.tick(1);
  }
  assert.match(h.takeTrace(), /cloud return m1a/);
  h.receiveHeartbeat("m2b", []);
  h.takeTrace();
  h.performEffects(h.scheduler.releaseAnswered(["m1a"], true, h.now));
  h.tick();
  assert.equal(
    h.takeTrace(),
    `
write p/j done= at=[["m2b",1,2,"0"]]
send m2b: start j/0#2
`,
  );
});

test("ran_twice: with the cloud down too, only once the worker's lease is over", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest([taskStatus("j", 0, 1)]);
  const began = h.now;
  let moved = 0;
  for (let i = 0; i < 60 && moved === 0; i++) {
    h.now += 1;
    h.receiveHeartbeat("m2b", []);
    if (h.takeTrace().includes("start j/0#2")) moved = h.now - began;
  }
  // A former leader might have answered its reports for 21 s, and then its lease is 21 s.
  assert.ok(moved > 42 && moved < 50, `moved after ${moved} s`);
});

test("ran_twice: an end is forgotten only when stored, and not while a start is unanswered", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j", { tasks: 2, cpus: 4, memoryGb: 1 }));
  h.answerRequest(null);
  h.answerRequest([taskStatus("j", 1, 1)]);
  h.receiveHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "done")]);
  h.takeTrace();
  for (let i = 0; i < 4; i++) {
    h.now += 3;
    h.receiveHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "done")]);
    h.receiveHeartbeat("m2b", [taskStatus("j", 1, 1)]);
  }
  const t = h.takeTrace();
  assert.equal(/forget/.test(t), false);
  assert.match(t, /raise the token/);
  h.epoch = 2;
  h.performEffects(h.scheduler.fencingTokenAdvanced({ epoch: 2, modRevision: 50 }, h.now));
  assert.equal(h.takeTrace(), "\nsend m1a: fence\nsend m2b: fence\n");
  h.answerRequest([taskStatus("j", 0, 1, "exited", "done")]);
  h.receiveHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "done")]);
  assert.match(h.takeTrace(), /answer forget j\/0#1/);
});

test("quota: a placement counts until it is proven gone", () => {
  const h = leaderWithTwoMachines();
  // 16 CPUs at most for the team: 4 tasks of 4; two machines of 4 take two.
  h.submit(jobSpec("j", { tasks: 6, cpus: 4 }));
  assert.equal(h.scheduler.cluster.usageOf("vision").cpus, 8);
  h.answerRequest(null);
  h.answerRequest(null);
  h.cancel("j");
  assert.equal(h.scheduler.cluster.usageOf("vision").cpus, 8);
  h.receiveHeartbeat("m1a", [], { incarnation: 2 });
  assert.equal(h.scheduler.cluster.usageOf("vision").cpus, 4);
});

test("wrong_place: at most half of the tasks, rounded up, in one zone", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j", { tasks: 5, spread: true, kind: "service" }));
  assert.match(
    h.takeTrace(),
    /\["m1a",1,1,"0-2"\],\["m2b",1,1,"3-4"\]|\["m2b",1,1,"0-2"\],\["m1a",1,1,"3-4"\]/,
  );
});

test("wrong_place: tasks that must share a zone wait for those of an old attempt", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("g", { kind: "gang", tasks: 2, cpus: 2, oneZone: true }));
  const first = h.unansweredRequests[0]!.machine;
  h.answerRequest([taskStatus("g", 0, 1), taskStatus("g", 1, 1)]);
  h.takeTrace();
  // One ends with its mates gone, the other still saves: nothing starts, in either zone.
  h.receiveHeartbeat(first, [
    taskStatus("g", 0, 1, "exited", "peers"),
    taskStatus("g", 1, 1, "running"),
  ]);
  assert.equal(/start/.test(h.takeTrace()), false);
});

test("ran_cancelled: a start that may be under way is fenced off by a new token", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest(null);
  h.cancel("j");
  h.now += 11;
  h.receiveHeartbeat("m1a", []);
  h.receiveHeartbeat("m2b", []);
  const t = h.takeTrace();
  assert.match(t, /raise the token/);
  assert.equal(/d\/j cancelled/.test(t), false);
  h.epoch = 2;
  h.performEffects(h.scheduler.fencingTokenAdvanced({ epoch: 2, modRevision: 50 }, h.now));
  h.takeTrace();
  h.answerRequest([]);
  assert.match(h.takeTrace(), /write d\/j cancelled; remove p\/j; remove x\/j/);
});

test("ran_cancelled: tasks are stopped at once and the end is stored when they are gone", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest([taskStatus("j", 0, 1)]);
  h.takeTrace();
  h.cancel("j");
  h.answerRequest([taskStatus("j", 0, 1, "exited", "stopped")]);
  assert.equal(
    h.takeTrace(),
    `
> cancel j
send m1a: stop j/0#1
write p/j done= at=[["m1a",1,1,"0"]]
> m1a answers s1 [j/0#1 stopped]
write d/j cancelled; remove p/j; remove x/j
`,
  );
  h.receiveHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "stopped")]);
  assert.match(h.takeTrace(), /answer forget j\/0#1/);
});

test("went_back, not_done: the end is one write that a cancellation makes fail", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest([taskStatus("j", 0, 1)]);
  h.isStoreAvailable = false;
  h.receiveHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "done")]);
  const w = h.scheduler.nextTransaction(32, 60_000);
  assert.deepEqual(
    w?.preconditions.map((c) => `${c.key}=${c.modRevision === 0 ? 0 : "n"}`),
    ["epoch=n", "p/j=n", "d/j=0", "x/j=0"],
  );
  assert.deepEqual(h.replica.view("j")?.state, "running");
});

test("not_done: a result is not lost with the report that told of it", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j", { tasks: 2 }));
  h.answerRequest([taskStatus("j", 0, 1, "exited", "done"), taskStatus("j", 1, 1)]);
  h.receiveHeartbeat("m1a", [taskStatus("j", 0, 1, "exited", "done"), taskStatus("j", 1, 1)]);
  assert.match(h.takeTrace(), /answer forget j\/0#1/);
  h.receiveHeartbeat("m1a", [taskStatus("j", 1, 1, "exited", "done")]);
  assert.match(h.takeTrace(), /write d\/j done; remove p\/j/);
});

test("takeover: a placement counts until its machine is fenced, then starts again in place", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("j"));
  old.submit(jobSpec("k"));
  const h = new TestLeader({ replica: old.replica, epoch: 2, now: old.now });
  h.epoch = 2;
  assert.equal(h.takeTrace(), "\n\n");
  h.tick();
  // Workers mostly come by themselves: those without replicas get a third of their lease.
  for (let i = 0; i < 4; i++) h.tick(1.5);
  assert.equal(h.takeTrace(), "\n\n");
  h.tick(1.5);
  assert.equal(h.takeTrace(), "\nsend m1a: fence\nsend m2b: fence\n");
  h.answerRequest([taskStatus("j", 0, 1)]);
  // The start of k never arrived. Older tokens are dropped from now on, so it can be sent again.
  assert.equal(h.takeTrace(), "\n> m1a answers s1 [j/0#1 running]\nsend m1a: start k/0#1\n");
});

test("takeover: a report with an older token proves nothing", () => {
  const old = leaderWithTwoMachines();
  old.submit(jobSpec("j"));
  const h = new TestLeader({ replica: old.replica, epoch: 2, now: old.now });
  h.epoch = 2;
  h.receiveHeartbeat("m1a", [], { fencingToken: 1 });
  assert.equal(/start/.test(h.takeTrace()), false);
  assert.equal(h.scheduler.cluster.usageOf("vision").cpus, 1);
});

test("a leader that meets a higher token leaves office", () => {
  const h = leaderWithTwoMachines();
  h.receiveHeartbeat("m1a", [], { fencingToken: 9 });
  assert.match(h.takeTrace(), /resign: machine m1a has seen a higher fencing token/);
});

test("preemption never goes in circles: the stopped job cannot stop its stopper", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("low", { tasks: 2, cpus: 4, priority: "low", team: "maps" }));
  h.answerRequest([taskStatus("low", 0, 1)]);
  h.answerRequest([taskStatus("low", 1, 1)]);
  h.submit(jobSpec("web", { cpus: 4, priority: "production", kind: "service" }));
  const t = h.takeTrace();
  assert.match(t, /send m..: stop low\/.#1/);
  const victim = h.unansweredRequests[0]!;
  const n = victim.commands[0]!.task;
  h.answerRequest([taskStatus("low", n, 1, "exited", "stopped")]);
  assert.match(h.takeTrace(), new RegExp(`send ${victim.machine}: .*start web/0#1`));
  for (let i = 0; i < 5; i++) h.tick(0.5);
  assert.equal(/stop web/.test(h.takeTrace()), false);
});

test("a leader that hears hardly any worker leaves office, and gives back no machine", () => {
  const h = leaderWithTwoMachines();
  h.receiveHeartbeat("m3a", []);
  h.receiveHeartbeat("m4b", []);
  h.takeTrace();
  for (let i = 0; i < 12; i++) {
    h.receiveHeartbeat("m1a", []);
    h.tick(1);
  }
  const t = h.takeTrace();
  assert.match(t, /resign: heartbeats from 1 of 4 workers only/);
  assert.equal(/cloud return/.test(t), false);
});

test("a machine on which tasks take far longer than elsewhere is emptied and given back", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j", { tasks: 8 }));
  const on = (m: string): number[] =>
    [...h.scheduler.cluster.jobs.get("j")!.placements.values()]
      .filter((p) => p.machine.name === m)
      .map((p) => p.task);
  const fast = on("m1a");
  const slow = on("m2b");
  assert.deepEqual([fast.length, slow.length], [4, 4]);
  h.receiveHeartbeat(
    "m1a",
    fast.map((n) => taskStatus("j", n, 1)),
  );
  h.receiveHeartbeat(
    "m2b",
    slow.map((n) => taskStatus("j", n, 1)),
  );
  for (let i = 0; i < 40; i++) {
    h.tick(1);
    h.receiveHeartbeat(
      "m1a",
      i < 9
        ? fast.map((n) => taskStatus("j", n, 1))
        : fast.map((n) => taskStatus("j", n, 1, "exited", "done")),
    );
    h.receiveHeartbeat(
      "m2b",
      slow.map((n) => taskStatus("j", n, 1)),
    );
  }
  const t = h.takeTrace();
  assert.match(t, /stop j\/\d#1/);
  assert.equal(h.scheduler.cluster.machines.get("m2b")?.drainReason, "slow");
  assert.equal(h.scheduler.cluster.machines.get("m1a")?.drainReason, null);
});

test("before a GPU job was seen a replica takes a GPU machine only when nothing else comes up", () => {
  const h = new TestLeader();
  h.receiveHeartbeat("m1a", [], { type: "big" });
  h.submit(jobSpec("web", { priority: "production", kind: "service" }));
  assert.equal(/start web/.test(h.takeTrace()), false);
  for (let i = 0; i < 8; i++) {
    h.tick(1);
    h.receiveHeartbeat("m1a", [], { type: "big" });
  }
  assert.match(h.takeTrace(), /send m1a: start web\/0#1/);
});

test("a machine that answers neither of two looks is given up before its silence alone would tell", () => {
  const h = leaderWithTwoMachines();
  h.unreachableMachines.add("m1a");
  const began = h.now;
  let after = 0;
  for (let i = 0; i < 60 && after === 0; i++) {
    h.tick(0.15);
    h.receiveHeartbeat("m2b", []);
    if (h.takeTrace().includes("cloud return m1a")) after = h.now - began;
  }
  // Reports come every 3 s, give or take a quarter.
  assert.ok(after > 3.75 && after < 4.5, `given up after ${after} s`);
});

test("machines go back when there has been no job for a worker's lease, and not before", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("j"));
  h.answerRequest([taskStatus("j", 0, 1, "exited", "done")]);
  h.takeTrace();
  const began = h.now;
  let back = 0;
  for (let i = 1; i < 40 && back === 0; i++) {
    h.tick(1);
    h.receiveHeartbeat("m1a", []);
    h.receiveHeartbeat("m2b", []);
    if (h.takeTrace().includes("cloud return")) back = h.now - began;
  }
  assert.ok(back >= 20.5 && back <= 24, `gave back after ${back} s`);
});

test("a job of 100,000 tasks keeps its value small, however its tasks end", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("big", { tasks: 100_000, cpus: 0.02, memoryGb: 0.01 }));
  let largest = 0;
  for (let round = 0; round < 12; round++) {
    for (const m of ["m1a", "m2b"]) {
      const here = [...h.scheduler.cluster.machines.get(m)!.placements.values()];
      // Every other task ends, so that what is done is scattered.
      const tasks = here.map((p, i) =>
        i % 2 === round % 2
          ? taskStatus("big", p.task, p.attempt, "exited", "done")
          : taskStatus("big", p.task, p.attempt),
      );
      h.receiveHeartbeat(m, tasks);
      h.tick(0.5);
      while (h.unansweredRequests.length > 0) h.answerRequest(null);
    }
    largest = Math.max(largest, JSON.stringify(h.replica.activeJobs.get("big")?.value).length);
  }
  const done = h.replica.view("big")?.done ?? 0;
  assert.ok(done > 300, `${done} done`);
  assert.ok(largest < 8 * 1024, `value of ${largest} bytes`);
});

test("a successor gives up a task of an earlier session although the records name the next one too", () => {
  // The former leader saw the new session and placed another job under it; what it knew of the first job's end
  // was not stored when it ended.
  const records = new StateReplica();
  const stored = (id: string, session: number) => ({
    j: jobSpec(id),
    at: 0,
    r: formatResiduals(dependenciesOf(id, [])),
    v: 2,
    n: 2,
    o: 1,
    done: "",
    pl: [[1, session, ["m1a", "0"]]],
  });
  const items = [
    { key: KEY.activeJob("early"), value: stored("early", 1), modRevision: 5 },
    { key: KEY.activeJob("late"), value: stored("late", 2), modRevision: 6 },
    { key: KEY.machineShard(1), value: { m1a: ["m1a:9000", "small", "a", false] }, modRevision: 7 },
  ];
  records.reset(items, 10);
  const h = new TestLeader({ replica: records, epoch: 2 });
  h.epoch = 2;
  h.receiveHeartbeat("m1a", [taskStatus("late", 0, 1)], { incarnation: 2 });
  for (let i = 0; i < 4; i++)
    h.receiveHeartbeat("m1a", [taskStatus("late", 0, 1)], { incarnation: 2 });
  const early = h.scheduler.cluster.jobs.get("early")!;
  const [placement] = [...early.placements.values()];
  assert.deepEqual([placement?.incarnation, placement?.attempt], [2, 2], "it is placed again");
});
