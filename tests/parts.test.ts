/** Jobs of thousands of tasks: one value for the job and one for each part that is under way. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { needsShards, shardSizeFor } from "../src/core/state/job-shards.js";
import type { StateReplica } from "../src/core/state/state-replica.js";
import { encodeJobRecord, encodeJobShardRecord, KEY } from "../src/core/state/stored-values.js";
import { jobSpec } from "./support/job-builders.js";
import { SimulatedWorkers } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

const VALUE = 8 * 1024;

function machines(n: number): Map<string, string> {
  const out = new Map<string, string>();
  for (let i = 0; i < n; i++) out.set(`m-${String(i).padStart(6, "0")}a`, "small");
  return out;
}

/** Largest value that stands in the records, in bytes as the state service counts them. */
function largest(records: StateReplica, id: string): number {
  const job = records.activeJobs.get(id);
  const values: unknown[] = [job === undefined ? null : encodeJobRecord(job.value)];
  for (const shard of records.shardsOf(id).values()) values.push(encodeJobShardRecord(shard.value));
  return Math.max(...values.map((v) => JSON.stringify(v).length));
}

/** The next leader starts from what is stored; what the one before had in mind is gone. */
function takeOver(from: TestLeader, w: SimulatedWorkers, epoch: number): TestLeader {
  const h = new TestLeader({ replica: from.replica, epoch, now: from.now });
  h.epoch = epoch;
  w.leader = h;
  return h;
}

test("a guest's array of thousands of tasks: two takeovers, none lost, none twice, quota kept", () => {
  const tasks = 2357;
  assert.ok(needsShards(jobSpec("guest", { tasks }), VALUE));
  let h = new TestLeader();
  // 200 machines of four CPUs; team vision may use 16 CPUs, the guest has no limit.
  const w = new SimulatedWorkers(h, machines(200), () => 9);
  w.runFor(4);
  h.submit(jobSpec("guest", { team: "maps", tasks, priority: "low" }));
  h.submit(jobSpec("owned", { tasks: 400, priority: "normal" }));
  let most = 0;
  let bytes = 0;
  const watch = (): void => {
    most = Math.max(most, [...w.runningTasks].filter((t) => t.startsWith("owned/")).length);
    bytes = Math.max(bytes, largest(h.replica, "guest"));
  };
  w.runFor(10, watch);
  assert.ok(w.peakRunningTasks > 700, `${w.peakRunningTasks} at a time: all there is room for`);
  // A leader that dies between a placement and its write, and one between the write and the start.
  h.isStoreAvailable = false;
  w.runFor(1, watch);
  h = takeOver(h, w, 2);
  w.runFor(15, watch);
  const before = w.starts.length;
  h.unansweredRequests.splice(0);
  h = takeOver(h, w, 3);
  w.runFor(60, watch);
  assert.ok(w.starts.length >= before);
  assert.equal(h.replica.view("guest")?.state, "done");
  assert.deepEqual(w.duplicateStarts, []);
  assert.ok(most <= 16, `${most} of a team that may run 16`);
  assert.ok(bytes <= VALUE, `${bytes} bytes in a value`);
  const ran = new Set(w.starts.filter((s) => s.job === "guest").map((s) => s.task));
  assert.equal(ran.size, tasks);
  // Few were started a second time: those whose start or end was on its way during a takeover.
  const again = w.starts.filter((s) => s.job === "guest").length - tasks;
  assert.ok(again <= 40, `${again} started again`);
  assert.equal(h.replica.shardsOf("guest").size, 0, "the final record is all that is left");
});

test("a job of a hundred thousand tasks fits at any moment, as does its end", () => {
  const tasks = 100_000;
  const h = new TestLeader();
  const w = new SimulatedWorkers(h, machines(60), () => 6);
  w.runFor(4);
  h.submit(jobSpec("huge", { team: "maps", tasks }));
  w.runFor(30);
  assert.ok(largest(h.replica, "huge") <= VALUE);
  assert.equal(h.replica.view("huge")?.running, 240);
  h.cancel("huge");
  w.runFor(8);
  assert.equal(h.replica.finalRecords.get("huge")?.outcome, "cancelled");
  assert.equal(h.replica.shardsOf("huge").size, 0);
});

test("the most that a part can hold fits one value", () => {
  const size = shardSizeFor(VALUE);
  const h = new TestLeader();
  const w = new SimulatedWorkers(h, machines(size), () => 1000);
  w.runFor(4);
  // Each task on a machine of its own.
  h.submit(jobSpec("wide", { team: "maps", tasks: 20 * size, cpus: 4 }));
  w.runFor(6);
  assert.equal(w.runningTasks.size, size);
  assert.ok(largest(h.replica, "wide") <= VALUE, `${largest(h.replica, "wide")} bytes`);
});

test("tasks of a large array are placed at a rate, others are not kept by it", () => {
  const h = new TestLeader();
  const w = new SimulatedWorkers(h, machines(400), () => 3);
  w.runFor(4);
  h.submit(jobSpec("guest", { team: "maps", tasks: 25_000, priority: "low" }));
  const began = h.now;
  w.runFor(20);
  const guests = w.starts.filter((s) => s.job === "guest");
  // A quarter of a core: a hundred a second, after four seconds' worth at once.
  const most = Math.max(...guests.map((s) => guests.filter((x) => x.at === s.at).length));
  assert.ok(guests.length >= 2000 && guests.length <= 2500, `${guests.length} in 20 s`);
  assert.ok(most <= 450, `${most} at once`);
  h.submit(jobSpec("other", { team: "maps", tasks: 300 }));
  w.runFor(1);
  assert.equal(w.starts.filter((s) => s.job === "other").length, 300);
  assert.ok(h.now > began);
});

test("a late copy of a write cannot bring back a part that is over", () => {
  const h = new TestLeader();
  const w = new SimulatedWorkers(h, machines(40), () => 4);
  w.runFor(4);
  h.submit(jobSpec("guest", { team: "maps", tasks: 3000 }));
  w.runFor(1);
  const first = h.replica.shardsOf("guest").get(0)!;
  assert.ok(first.modRevision > 0);
  h.isStoreAvailable = false;
  w.runFor(6);
  const late = h.scheduler.nextTransaction(32, 60_000)!;
  assert.ok(late.changes.some((c) => c.key.startsWith("q/guest/")));
  h.performEffects(h.scheduler.transactionEnded(late, { kind: "refused" }, h.replica, h.now));
  h.isStoreAvailable = true;
  w.runFor(40);
  assert.equal(h.replica.shardsOf("guest").has(0), false, "part 0 is over");
  // Every write of a part names the mark of the job's own value, which has changed since.
  const own = late.preconditions.find((c) => c.key === KEY.activeJob("guest"))!;
  assert.notEqual(h.replica.activeJobs.get("guest")?.modRevision, own.modRevision);
});

test("a gang and a service of more tasks than one value holds run whole, also over a takeover", () => {
  let h = new TestLeader();
  const w = new SimulatedWorkers(h, machines(1000), () => 1000);
  w.runFor(4);
  // One task to a machine: that is 900 names.
  h.submit(jobSpec("gang", { team: "maps", kind: "gang", tasks: 500, cpus: 4 }));
  h.submit(jobSpec("web", { team: "maps", kind: "service", tasks: 400, cpus: 4 }));
  let bytes = 0;
  const watch = (): void => {
    for (const id of ["gang", "web"]) bytes = Math.max(bytes, largest(h.replica, id));
  };
  w.runFor(15, watch);
  assert.equal(w.runningTasks.size, 900);
  const attempts = new Set(w.starts.filter((s) => s.job === "gang").map((s) => s.attempt));
  assert.equal(attempts.size, 1, "its tasks find one another by their attempt");
  h = takeOver(h, w, 2);
  w.runFor(10, watch);
  assert.equal(w.runningTasks.size, 900);
  assert.equal(w.starts.length, 900, "none was started again");
  assert.ok(bytes <= VALUE, `${bytes} bytes in a value`);
});
