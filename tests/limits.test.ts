/** The state service lowers its limits: what was stored before is cut, and goes on. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { maxValueBytes } from "../src/core/state/job-values.js";
import { encodeJobRecord } from "../src/core/state/stored-values.js";
import { decodeSettings } from "../src/wire/settings.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { settingsText } from "./support/node-settings.js";
import { TestLeader } from "./support/test-leader.js";

const LOW = { next: { value_kb: 2, txn_ops: 8, write_rps: 21 } };

const read = (state: object) => {
  const base = JSON.parse(settingsText()) as { settings: { state: object } };
  const s = { ...base.settings.state, ...state };
  return decodeSettings(settingsText({ settings: { ...base.settings, state: s } }));
};

test("of the limits now and those to come the smaller holds; bad ones are named", () => {
  const s = read(LOW);
  assert.ok("settings" in s);
  const { valueKb, txnOps, stateWriteRps, stateRps } = s.settings.cluster;
  assert.deepEqual([valueKb, txnOps, stateWriteRps, stateRps], [2, 8, 21, 150]);
  const larger = read({ next: { value_kb: 64 } });
  assert.ok("settings" in larger);
  assert.equal(larger.settings.cluster.valueKb, 8);
  const bad = read({ next: { value_kb: -1 } });
  assert.ok("faults" in bad);
  assert.deepEqual(
    bad.faults.map((f) => f.split(":")[0]),
    ["settings.state.next.value_kb"],
  );
});

/** Machines and a job under way, as a leader under the former limits stored them. */
function before(tasks: number, machines: number): TestLeader {
  const h = new TestLeader();
  const all = () => {
    for (let i = 0; i < machines; i++) h.receiveHeartbeatOnly(`m-00000${i}a`, []);
    h.tick(0.5);
  };
  for (let i = 0; i < 4; i++) all();
  h.submit(jobSpec("big", { team: "maps", tasks, cpus: 0.9, memoryGb: 0.1 }));
  for (let i = 0; i < 4; i++) all();
  return h;
}
const placements = (h: TestLeader) =>
  [...h.scheduler.cluster.jobs.get("big")!.placements.values()]
    .map((p) => `${p.task}#${p.attempt} ${p.machine.name}`)
    .sort();
const successor = (old: TestLeader, epoch: number, state: object) =>
  new TestLeader({ replica: old.replica, epoch, now: old.now + 5, state: state as never });

test("a job in one large value is cut into parts in one transaction, and every task is kept", () => {
  const old = before(400, 100);
  const stored = old.replica.activeJobs.get("big")!;
  assert.equal(stored.value.shardSize, null);
  assert.ok(
    JSON.stringify(encodeJobRecord(stored.value)).length > 2048,
    "it would not fit any more",
  );
  const placed = placements(old);
  assert.equal(placed.length, 400);

  const h = successor(old, 2, LOW);
  assert.deepEqual(placements(h), placed);
  h.tick();
  assert.ok(
    h.largestWritten.bytes <= 2048 && h.largestWritten.bytes > 0,
    `${h.largestWritten.bytes} bytes`,
  );
  assert.ok(h.largestWritten.ops <= 8, `${h.largestWritten.ops} changes`);
  assert.equal(
    h.replica.shardsOf("big").size,
    Math.ceil(400 / h.replica.activeJobs.get("big")!.value.shardSize!),
  );

  // The former version, back in its place, reads what was cut; so does the next leader.
  for (const [epoch, state] of [
    [3, {}],
    [4, LOW],
  ] as const) {
    assert.deepEqual(placements(successor(h, epoch, state)), placed);
  }
  // Its tasks end in an order that makes the longest values.
  const last = successor(h, 5, LOW);
  last.epoch = 5;
  const on = new Map<string, number[]>();
  for (const p of last.scheduler.cluster.jobs.get("big")!.placements.values()) {
    on.set(p.machine.name, [...(on.get(p.machine.name) ?? []), p.task]);
  }
  for (const odd of [1, 0]) {
    for (const [name, tasks] of on) {
      const report = tasks.map((t) =>
        odd === 0 || t % 2 === 1
          ? taskStatus("big", t, 1, "exited", "done")
          : taskStatus("big", t, 1),
      );
      last.receiveHeartbeat(name, report);
    }
    for (let i = 0; i < 20; i++) last.tick();
  }
  assert.equal(last.replica.finalRecords.get("big")?.outcome, "done");
  assert.equal(last.replica.shardsOf("big").size, 0);
  assert.ok(
    last.largestWritten.bytes <= 2048 && last.largestWritten.ops <= 8,
    JSON.stringify(last.largestWritten),
  );
});

test("while the cut is not stored, the old value is the truth; a part that ends meanwhile is not lost", () => {
  const old = before(400, 100);
  const h = successor(old, 2, LOW);
  h.epoch = 2;
  h.isStoreAvailable = false;
  const first = [...h.scheduler.cluster.jobs.get("big")!.placements.values()].filter(
    (p) => p.machine.name === "m-000000a",
  );
  h.receiveHeartbeat(
    "m-000000a",
    first.map((p) => taskStatus("big", p.task, 1, "exited", "done")),
  );
  assert.deepEqual(placements(successor(h, 3, {})), placements(old));
  h.isStoreAvailable = true;
  h.tick();
  const next = successor(h, 4, LOW);
  assert.equal(next.scheduler.cluster.jobs.get("big")!.doneTasks.size, first.length);
  assert.equal(placements(next).length, 400 - first.length);
});

test("records of machines in large values are moved to small ones, each machine in some at any moment", () => {
  const old = before(1, 90);
  const names = (h: TestLeader) =>
    new Set([...h.replica.machineShards.values()].flatMap((g) => Object.keys(g.value)));
  assert.equal(names(old).size, 90);
  const h = successor(old, 2, LOW);
  h.isStoreAvailable = false;
  for (let i = 0; i < 40; i++) {
    const w = h.scheduler.nextTransaction(8, 60_000);
    if (w === null) break;
    h.commitWrite(w);
    assert.equal(names(h).size, 90, `after ${i + 1} writes`);
  }
  for (const g of h.replica.machineShards.values()) {
    assert.ok(JSON.stringify(g.value).length <= 2048, `${JSON.stringify(g.value).length} bytes`);
  }
  assert.ok(
    h.largestWritten.bytes <= 2048 && h.largestWritten.ops <= 8,
    JSON.stringify(h.largestWritten),
  );
});

/** Machines do as they are told, and every task is done as soon as it starts, until no job is left. */
function runToEnd(h: TestLeader, machines = 10, rounds = 120): void {
  const running = new Map<string, Set<string>>();
  for (let round = 0; round < rounds && h.scheduler.cluster.jobs.size > 0; round++) {
    for (const o of h.unansweredRequests.splice(0)) {
      const on = running.get(o.machine) ?? new Set();
      running.set(o.machine, on);
      for (const c of o.commands) {
        const key = `${c.job} ${c.task} ${c.attempt}`;
        if (c.op === "start") on.add(key);
        else if (c.op === "forget") on.delete(key);
      }
      const report = h.makeHeartbeat(o.machine, doneOn(on));
      const answer = { kind: "answered", executed: true, heartbeat: report } as const;
      h.performEffects(h.scheduler.commandsAnswered(o.machine, o.commands, answer, h.now));
    }
    for (const name of h.pendingProbes.splice(0)) {
      h.performEffects(
        h.scheduler.probeAnswered(name, h.makeHeartbeat(name, doneOn(running.get(name))), h.now),
      );
    }
    for (let i = 0; i < machines; i++) {
      h.receiveHeartbeatOnly(`m-00000${i}a`, doneOn(running.get(`m-00000${i}a`)));
    }
    h.tick(0.5);
  }
}

const doneOn = (on: Set<string> | undefined) =>
  [...(on ?? [])].map((k) => {
    const [job, n, attempt] = k.split(" ");
    return taskStatus(job!, Number(n), Number(attempt), "exited", "done");
  });

const ARRAY = jobSpec("array", { team: "maps", tasks: 1500, cpus: 0.02, memoryGb: 0.01 });
const GANG = jobSpec("gang", { team: "maps", kind: "gang", tasks: 100, cpus: 0.1, memoryGb: 0.1 });

test("a large array and a large gang run to their ends under the low limits", () => {
  const h = new TestLeader({ state: LOW });
  for (let i = 0; i < 10; i++) h.receiveHeartbeat(`m-00000${i}a`, []);
  h.submit(ARRAY);
  h.submit(GANG);
  runToEnd(h);
  assert.equal(h.replica.finalRecords.get("array")?.outcome, "done");
  assert.equal(h.replica.finalRecords.get("gang")?.outcome, "done");
  assert.ok(
    h.largestWritten.bytes <= 2048 && h.largestWritten.ops <= 8,
    JSON.stringify(h.largestWritten),
  );
});

test("values and transactions that are refused within the known limits are cut until they are taken", () => {
  for (const takes of [
    { bytes: 1024, ops: 8 },
    { bytes: 1200, ops: 3 },
  ]) {
    const h = new TestLeader({ state: LOW });
    for (let i = 0; i < 100; i++) h.receiveHeartbeat(`m-00000${i}a`, []);
    h.storeLimits = takes;
    h.largestWritten.bytes = 0;
    h.largestWritten.ops = 0;
    // Each machine takes one task, so that the values name many machines.
    const wide = { team: "maps", cpus: 3, memoryGb: 0.1 };
    h.submit(jobSpec("array", { ...wide, tasks: 700 }));
    h.submit(jobSpec("gang", { ...wide, kind: "gang", tasks: 100 }));
    // Too small for parts under the known limits, and too large for one value under the real ones.
    h.submit(jobSpec("middle", { ...wide, kind: "gang", tasks: 30 }));
    h.submit(jobSpec("list", { ...wide, tasks: 60 }));
    runToEnd(h, 100, 400);
    console.log(
      "DBG",
      h.rejectedTransactions,
      h.largestWritten,
      takes,
      [...h.scheduler.cluster.jobs.values()].map((j) => [
        j.spec.id,
        j.shardSize,
        j.doneTasks.size,
        j.placementCount,
        maxValueBytes(j),
      ]),
    );
    assert.ok(h.rejectedTransactions > 0, "the limits were met");
    const ends = ["array", "gang", "middle", "list"].map(
      (id) => h.replica.finalRecords.get(id)?.outcome,
    );
    assert.deepEqual(ends, ["done", "done", "done", "done"], JSON.stringify(takes));
    assert.ok(
      h.largestWritten.bytes <= takes.bytes && h.largestWritten.ops <= takes.ops,
      JSON.stringify(h.largestWritten),
    );
  }
});

test("limits below the known ones are met in a takeover, and while a job is being cut", () => {
  const old = before(400, 100);
  const h = successor(old, 2, LOW);
  h.epoch = 2;
  h.storeLimits = { bytes: 1000, ops: 8 };
  const on = new Map<string, number[]>();
  for (const p of h.scheduler.cluster.jobs.get("big")!.placements.values()) {
    on.set(p.machine.name, [...(on.get(p.machine.name) ?? []), p.task]);
  }
  const ended = (tasks: readonly number[]) =>
    tasks.map((t) => taskStatus("big", t, 1, "exited" as const, "done" as const));
  for (const [name, tasks] of on) h.receiveHeartbeatOnly(name, ended(tasks));
  for (let i = 0; i < 200; i++) h.tick(0.5);
  assert.ok(h.rejectedTransactions > 0, "the limits were met");
  assert.equal(h.replica.finalRecords.get("big")?.outcome, "done");
  assert.ok(h.largestWritten.bytes <= 1000, `${h.largestWritten.bytes} bytes`);
});
