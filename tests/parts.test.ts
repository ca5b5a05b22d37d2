/** Jobs of thousands of tasks: one value for the job and one for each part that is under way. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { partSize, standsInParts } from "../src/core/parts.js";
import { KEY, type Records } from "../src/core/records.js";
import { spec, TestLeader, Workers } from "./helpers.js";

const VALUE = 8 * 1024;

function machines(n: number): Map<string, string> {
  const out = new Map<string, string>();
  for (let i = 0; i < n; i++) out.set(`m-${String(i).padStart(6, "0")}a`, "small");
  return out;
}

/** Largest value that stands in the records, in bytes as the state service counts them. */
function largest(records: Records, id: string): number {
  const values: unknown[] = [records.live.get(id)?.value ?? null];
  for (const p of records.partsOf(id).values()) values.push(p.value);
  return Math.max(...values.map((v) => JSON.stringify(v).length));
}

/** The next leader starts from what is stored; what the one before had in mind is gone. */
function takeOver(from: TestLeader, w: Workers, epoch: number): TestLeader {
  const h = new TestLeader({ records: from.records, epoch, now: from.now });
  h.epoch = epoch;
  w.leader = h;
  return h;
}

test("a guest's array of thousands of tasks: two takeovers, none lost, none twice, quota kept", () => {
  const tasks = 2357;
  assert.ok(standsInParts(spec("guest", { tasks }), VALUE));
  let h = new TestLeader();
  // 200 machines of four CPUs; team vision may use 16 CPUs, the guest has no limit.
  const w = new Workers(h, machines(200), () => 9);
  w.run(4);
  h.submit(spec("guest", { team: "maps", tasks, priority: "low" }));
  h.submit(spec("owned", { tasks: 400, priority: "normal" }));
  let most = 0;
  let bytes = 0;
  const watch = (): void => {
    most = Math.max(most, [...w.running].filter((t) => t.startsWith("owned/")).length);
    bytes = Math.max(bytes, largest(h.records, "guest"));
  };
  w.run(10, watch);
  assert.ok(w.peak > 700, `${w.peak} at a time: all there is room for`);
  // A leader that dies between a placement and its write, and one between the write and the start.
  h.storing = false;
  w.run(1, watch);
  h = takeOver(h, w, 2);
  w.run(15, watch);
  const before = w.starts.length;
  h.pending.splice(0);
  h = takeOver(h, w, 3);
  w.run(60, watch);
  assert.ok(w.starts.length >= before);
  assert.equal(h.records.view("guest")?.state, "done");
  assert.deepEqual(w.twice, []);
  assert.ok(most <= 16, `${most} of a team that may run 16`);
  assert.ok(bytes <= VALUE, `${bytes} bytes in a value`);
  const ran = new Set(w.starts.filter((s) => s.job === "guest").map((s) => s.task));
  assert.equal(ran.size, tasks);
  // Few were started a second time: those whose start or end was on its way during a takeover.
  const again = w.starts.filter((s) => s.job === "guest").length - tasks;
  assert.ok(again <= 40, `${again} started again`);
  assert.equal(h.records.partsOf("guest").size, 0, "the final record is all that is left");
});

test("a job of a hundred thousand tasks fits at any moment, as does its end", () => {
  const tasks = 100_000;
  const h = new TestLeader();
  const w = new Workers(h, machines(60), () => 6);
  w.run(4);
  h.submit(spec("huge", { team: "maps", tasks }));
  w.run(30);
  assert.ok(largest(h.records, "huge") <= VALUE);
  assert.equal(h.records.view("huge")?.running, 240);
  h.cancel("huge");
  w.run(8);
  assert.equal(h.records.finals.get("huge")?.s, "cancelled");
  assert.equal(h.records.partsOf("huge").size, 0);
});

test("the most that a part can hold fits one value", () => {
  const size = partSize(VALUE);
  const h = new TestLeader();
  const w = new Workers(h, machines(size), () => 1000);
  w.run(4);
  // Each task on a machine of its own.
  h.submit(spec("wide", { team: "maps", tasks: 20 * size, cpus: 4 }));
  w.run(6);
  assert.equal(w.running.size, size);
  assert.ok(largest(h.records, "wide") <= VALUE, `${largest(h.records, "wide")} bytes`);
});

test("tasks of a large array are placed at a rate, others are not kept by it", () => {
  const h = new TestLeader();
  const w = new Workers(h, machines(400), () => 3);
  w.run(4);
  h.submit(spec("guest", { team: "maps", tasks: 25_000, priority: "low" }));
  const began = h.now;
  w.run(20);
  const guests = w.starts.filter((s) => s.job === "guest");
  // A quarter of a core: a hundred a second, after four seconds' worth at once.
  const most = Math.max(...guests.map((s) => guests.filter((x) => x.at === s.at).length));
  assert.ok(guests.length >= 2000 && guests.length <= 2500, `${guests.length} in 20 s`);
  assert.ok(most <= 450, `${most} at once`);
  h.submit(spec("other", { team: "maps", tasks: 300 }));
  w.run(1);
  assert.equal(w.starts.filter((s) => s.job === "other").length, 300);
  assert.ok(h.now > began);
});

test("a late copy of a write cannot bring back a part that is over", () => {
  const h = new TestLeader();
  const w = new Workers(h, machines(40), () => 4);
  w.run(4);
  h.submit(spec("guest", { team: "maps", tasks: 3000 }));
  w.run(1);
  const first = h.records.partsOf("guest").get(0)!;
  assert.ok(first.mark > 0);
  h.storing = false;
  w.run(6);
  const late = h.scheduler.nextWrite(32, 60_000)!;
  assert.ok(late.changes.some((c) => c.key.startsWith("q/guest/")));
  h.take(h.scheduler.written(late, "refused", 0, h.records, h.now));
  h.storing = true;
  w.run(40);
  assert.equal(h.records.partsOf("guest").has(0), false, "part 0 is over");
  // Every write of a part names the mark of the job's own value, which has changed since.
  const own = late.conditions.find((c) => c.key === KEY.live("guest"))!;
  assert.notEqual(h.records.live.get("guest")?.mark, own.mark);
});

test("a gang and a service of more tasks than one value holds run whole, also over a takeover", () => {
  let h = new TestLeader();
  const w = new Workers(h, machines(1000), () => 1000);
  w.run(4);
  // One task to a machine: that is 900 names.
  h.submit(spec("gang", { team: "maps", kind: "gang", tasks: 500, cpus: 4 }));
  h.submit(spec("web", { team: "maps", kind: "service", tasks: 400, cpus: 4 }));
  let bytes = 0;
  const watch = (): void => {
    for (const id of ["gang", "web"]) bytes = Math.max(bytes, largest(h.records, id));
  };
  w.run(15, watch);
  assert.equal(w.running.size, 900);
  const attempts = new Set(w.starts.filter((s) => s.job === "gang").map((s) => s.attempt));
  assert.equal(attempts.size, 1, "its tasks find one another by their attempt");
  h = takeOver(h, w, 2);
  w.run(10, watch);
  assert.equal(w.running.size, 900);
  assert.equal(w.starts.length, 900, "none was started again");
  assert.ok(bytes <= VALUE, `${bytes} bytes in a value`);
});
