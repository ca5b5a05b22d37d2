/** Jobs that wait for others: by the algebra, in the records of every node, and in the leader's hands. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { format } from "../src/algebra/expression.js";
import type { JobSpec } from "../src/core/model.js";
import {
  acceptable,
  afterDependencies,
  dependenciesOf,
  eventName,
  excluded,
  otherEnded,
} from "../src/core/pipeline.js";
import { KEY, Records } from "../src/core/records.js";
import { ready, spec, type TestLeader, task } from "./helpers.js";

const start = (job: string) => eventName("start", job);

test("the start comes after each other's done, and never once one has failed", () => {
  assert.deepEqual(afterDependencies("b", "a").map(format), ["~s:b + d:a.s:b", "~s:b + ~f:a"]);
  let b = dependenciesOf("b", ["a", "c"]);
  assert.equal(acceptable(b, start("b")), false);
  assert.equal(excluded(b, start("b")), false, "not yet, and not never");
  b = otherEnded(b, "a", "done");
  assert.equal(acceptable(b, start("b")), false);
  const done = otherEnded(b, "c", "done");
  assert.equal(acceptable(done, start("b")), true);
  const failed = otherEnded(b, "c", "failed");
  assert.equal(acceptable(failed, start("b")), false);
  assert.equal(excluded(failed, start("b")), true);
  // The same end again, and in the other order, changes nothing.
  assert.deepEqual(otherEnded(done, "a", "done"), done);
});

test("names with the algebra's own signs are events like any others", () => {
  const b = otherEnded(dependenciesOf("b+1", ["a.1", "~a"]), "a.1", "done");
  assert.equal(acceptable(b, start("b+1")), false);
  assert.equal(acceptable(otherEnded(b, "~a", "done"), start("b+1")), true);
  assert.equal(excluded(otherEnded(b, "~a", "failed"), start("b+1")), true);
});

/** Records of a node, by changes in turn. */
class Node {
  readonly records = new Records();
  private revision = 1;
  constructor() {
    this.records.reset([], 1);
  }
  put(key: string, value: unknown): void {
    this.revision++;
    const change = { key, value, removed: value === null, mark: this.revision };
    this.records.apply([change], this.revision);
  }
  submit(id: string, after: string[]): void {
    const r = dependenciesOf(id, after).map(format);
    const j = spec(id, after.length > 0 ? { after } : {});
    this.put(KEY.live(id), { j, at: 0, r, v: 1, n: 1, o: 0, done: "", pl: [] });
  }
  end(id: string, s: "done" | "cancelled"): void {
    this.put(KEY.final(id), { s, n: 1 });
    this.put(KEY.live(id), null);
  }
  states(...ids: string[]): string {
    return ids.map((id) => this.records.view(id)?.state ?? "unknown").join(" ");
  }
}

test("a cancellation goes down any chain and width with the change that stores it, on every node", () => {
  const n = new Node();
  n.submit("first", []);
  for (let i = 0; i < 1000; i++) {
    n.submit(`chain${i}`, [i === 0 ? "first" : `chain${i - 1}`]);
    n.submit(`wide${i}`, ["first"]);
  }
  n.submit("apart", []);
  assert.equal(n.states("chain999", "wide999", "apart"), "queued queued queued");
  n.put(KEY.cancel("first"), { at: 0, told: false });
  assert.equal(n.states("first", "chain999"), "queued queued", "nobody is told before it is over");
  n.end("first", "cancelled");
  assert.equal(n.states("first", "chain0", "chain999", "wide999"), "cancelled ".repeat(4).trim());
  assert.equal(n.states("apart"), "queued");
  // Submitted late, naming one that is cancelled only through others.
  n.submit("late", ["chain500", "apart"]);
  assert.equal(n.states("late"), "cancelled");
  // Their own ends are stored by and by, in any order; a node that starts then says the same.
  n.end("chain500", "cancelled");
  const items = [...n.records.live].map(([id, m]) => ({ key: `p/${id}`, ...m }));
  for (const [id, f] of n.records.finals)
    items.push({ key: `d/${id}`, value: f as never, mark: 5 });
  for (const order of [items, [...items].reverse()]) {
    const fresh = new Records();
    fresh.reset(order, 9);
    for (const id of ["chain0", "chain500", "chain999", "wide3", "late"]) {
      assert.equal(fresh.view(id)?.state, "cancelled", id);
    }
    assert.equal(fresh.view("apart")?.state, "queued");
  }
});

test("answered done, a cancellation lets those after it go on", () => {
  const n = new Node();
  n.submit("a", []);
  n.submit("b", ["a"]);
  n.end("a", "done");
  assert.equal(n.states("a", "b"), "done queued");
});

/** Submits through the leader, as the intake stores it. */
const submit = (h: TestLeader, id: string, change: Partial<JobSpec> = {}) =>
  h.submit(spec(id, change));
const machinesOf = (h: TestLeader, id: string) =>
  [...(h.scheduler.cluster.jobs.get(id)?.placements.values() ?? [])].map((p) => p.machine.name);

test("a diamond: each starts once every end before it is stored as done, never on a report alone", () => {
  const h = ready();
  submit(h, "a");
  submit(h, "b", { after: ["a"] });
  submit(h, "c", { after: ["a"] });
  submit(h, "d", { after: ["b", "c"] });
  h.answer([task("a", 0, 1)]);
  assert.deepEqual(
    ["b", "c", "d"].map((id) => machinesOf(h, id).length),
    [0, 0, 0],
  );
  // The report tells that a is done; while that is not stored, nothing after it starts.
  h.storing = false;
  h.report("m1a", [task("a", 0, 1, "exited", "done")]);
  for (let i = 0; i < 10; i++) h.tick(0.4);
  assert.deepEqual(
    ["b", "c"].map((id) => machinesOf(h, id).length),
    [0, 0],
    "too_early",
  );
  h.storing = true;
  h.store();
  h.follow("a");
  h.tick();
  assert.deepEqual(
    ["b", "c", "d"].map((id) => machinesOf(h, id).length),
    [1, 1, 0],
  );
});

test("what waits holds no part of a guarantee, rents nothing, and stops nobody", () => {
  const h = ready();
  submit(h, "a", { cpus: 4 });
  submit(h, "wide", { after: ["a"], tasks: 50, cpus: 4, priority: "production" });
  const { cluster } = h.scheduler;
  assert.equal(cluster.jobs.get("wide")!.waits, true);
  assert.deepEqual([...cluster.withinGuarantee()], ["a"]);
  assert.equal(/stop|rent/.test(h.trace()), false);
});

test("priority and urgency of the last flow up to all it needs, along the longest way", () => {
  const h = ready();
  h.submit(spec("a", { priority: "low", estimateS: 5 }));
  h.submit(spec("b", { priority: "low", estimateS: 30, after: ["a"], team: "maps" }));
  h.submit(spec("c", { priority: "low", estimateS: 10, after: ["a"] }));
  const job = (id: string) => h.scheduler.cluster.jobs.get(id)!;
  assert.deepEqual([job("a").rank, job("a").dueMs], [3, null]);
  // Submitted late, when the others are under way.
  h.submit(spec("d", { priority: "high", estimateS: 8, deadlineS: 100, after: ["b", "c"] }));
  const due = job("d").dueMs!;
  // A report interval is 3 s: d takes 8 + 3, b 30 + 3.
  assert.deepEqual(
    [job("b").dueMs, job("c").dueMs, job("a").dueMs].map((x) => due - x!),
    [11_000, 11_000, 44_000],
  );
  assert.deepEqual(
    ["a", "b", "c", "d"].map((id) => job(id).rank),
    [1, 1, 1, 1],
  );
  // Called off, it asks for nothing any more.
  h.cancel("d");
  assert.deepEqual(
    ["a", "b", "c"].map((id) => job(id).rank),
    [3, 3, 3],
  );
  assert.equal(job("a").dueMs, null);
});

test("cancelled through another: its end is stored, nothing of it ever starts, also after a takeover", () => {
  const h = ready();
  submit(h, "a");
  submit(h, "b", { after: ["a"] });
  submit(h, "c", { after: ["b"] });
  h.answer([task("a", 0, 1)]);
  h.cancel("a");
  h.answer([task("a", 0, 1, "exited", "stopped")]);
  for (const id of ["a", "b", "c"]) h.follow(id);
  h.tick();
  assert.deepEqual(
    ["a", "b", "c"].map((id) => h.records.finals.get(id)?.s),
    ["cancelled", "cancelled", "cancelled"],
  );
  assert.equal(h.scheduler.cluster.jobs.size, 0);
  assert.equal(/start [bc]/.test(h.trace()), false);
});

test("a thousand that need one: their ends are stored many at a time, and none of them starts", () => {
  const h = ready();
  submit(h, "first");
  h.answer([task("first", 0, 1)]);
  h.storing = false;
  const ids = Array.from({ length: 1000 }, (_, i) => `wide-${i}`);
  for (const [i, id] of ids.entries()) {
    submit(h, id, { after: ["first"] });
    if (i % 10 !== 0) continue;
    h.quietReport("m1a", [task("first", 0, 1)]);
    h.quietReport("m2b", []);
  }
  h.storing = true;
  h.cancel("first");
  h.answer([task("first", 0, 1, "exited", "stopped")]);
  h.follow("first");
  assert.ok(
    ids.every((id) => h.records.view(id)?.state === "cancelled"),
    "with the first one's end, on every node",
  );
  for (let i = 0; i < 10; i++) h.tick();
  assert.equal(h.scheduler.cluster.jobs.size, 0);
  assert.ok(ids.every((id) => h.records.finals.get(id)?.s === "cancelled"));
  assert.doesNotMatch(h.trace(), /start wide/);
});
