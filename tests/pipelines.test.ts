/** Jobs that wait for others: by the algebra, in the records of every node, and in the leader's hands. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { formatExpression } from "../src/algebra/expression.js";
import {
  afterDependencies,
  dependenciesOf,
  eventName,
  isEventAcceptable,
  isEventExcluded,
  residuateByOutcome,
} from "../src/core/jobs/pipeline.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import { StateReplica } from "../src/core/state/state-replica.js";
import { encodeFinalRecord, encodeJobRecord, KEY } from "../src/core/state/stored-values.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { leaderWithTwoMachines, type TestLeader } from "./support/test-leader.js";

const start = (job: string) => eventName("start", job);

test("the start comes after each other's done, and never once one has failed", () => {
  assert.deepEqual(afterDependencies("b", "a").map(formatExpression), [
    "~s:b + d:a.s:b",
    "~s:b + ~f:a",
  ]);
  let b = dependenciesOf("b", ["a", "c"]);
  assert.equal(isEventAcceptable(b, start("b")), false);
  assert.equal(isEventExcluded(b, start("b")), false, "not yet, and not never");
  b = residuateByOutcome(b, "a", "done");
  assert.equal(isEventAcceptable(b, start("b")), false);
  const done = residuateByOutcome(b, "c", "done");
  assert.equal(isEventAcceptable(done, start("b")), true);
  const failed = residuateByOutcome(b, "c", "failed");
  assert.equal(isEventAcceptable(failed, start("b")), false);
  assert.equal(isEventExcluded(failed, start("b")), true);
  // The same end again, and in the other order, changes nothing.
  assert.deepEqual(residuateByOutcome(done, "a", "done"), done);
});

test("names with the algebra's own signs are events like any others", () => {
  const b = residuateByOutcome(dependenciesOf("b+1", ["a.1", "~a"]), "a.1", "done");
  assert.equal(isEventAcceptable(b, start("b+1")), false);
  assert.equal(isEventAcceptable(residuateByOutcome(b, "~a", "done"), start("b+1")), true);
  assert.equal(isEventExcluded(residuateByOutcome(b, "~a", "failed"), start("b+1")), true);
});

/** Records of a node, by changes in turn. */
class Node {
  readonly records = new StateReplica();
  private revision = 1;
  constructor() {
    this.records.reset([], 1);
  }
  put(key: string, value: unknown): void {
    this.revision++;
    const change = { key, value, removed: value === null, modRevision: this.revision };
    this.records.apply([change], this.revision);
  }
  submit(id: string, after: string[]): void {
    const r = dependenciesOf(id, after).map(formatExpression);
    const j = jobSpec(id, after.length > 0 ? { after } : {});
    this.put(KEY.activeJob(id), { j, at: 0, r, v: 1, n: 1, o: 0, done: "", pl: [] });
  }
  end(id: string, s: "done" | "cancelled"): void {
    this.put(KEY.finalRecord(id), { s, n: 1 });
    this.put(KEY.activeJob(id), null);
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
  n.put(KEY.cancellation("first"), { at: 0, told: false });
  assert.equal(n.states("first", "chain999"), "queued queued", "nobody is told before it is over");
  n.end("first", "cancelled");
  assert.equal(n.states("first", "chain0", "chain999", "wide999"), "cancelled ".repeat(4).trim());
  assert.equal(n.states("apart"), "queued");
  // Submitted late, naming one that is cancelled only through others.
  n.submit("late", ["chain500", "apart"]);
  assert.equal(n.states("late"), "cancelled");
  // Their own ends are stored by and by, in any order; a node that starts then says the same.
  n.end("chain500", "cancelled");
  const items = [...n.records.activeJobs].map(([id, { value, modRevision }]) => ({
    key: `p/${id}`,
    value: encodeJobRecord(value) as unknown,
    modRevision,
  }));
  for (const [id, f] of n.records.finalRecords)
    items.push({ key: `d/${id}`, value: encodeFinalRecord(f), modRevision: 5 });
  for (const order of [items, [...items].reverse()]) {
    const fresh = new StateReplica();
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
  h.submit(jobSpec(id, change));
const machinesOf = (h: TestLeader, id: string) =>
  [...(h.scheduler.cluster.jobs.get(id)?.placements.values() ?? [])].map((p) => p.machine.name);

test("a diamond: each starts once every end before it is stored as done, never on a report alone", () => {
  const h = leaderWithTwoMachines();
  submit(h, "a");
  submit(h, "b", { after: ["a"] });
  submit(h, "c", { after: ["a"] });
  submit(h, "d", { after: ["b", "c"] });
  h.answerRequest([taskStatus("a", 0, 1)]);
  assert.deepEqual(
    ["b", "c", "d"].map((id) => machinesOf(h, id).length),
    [0, 0, 0],
  );
  // The report tells that a is done; while that is not stored, nothing after it starts.
  h.isStoreAvailable = false;
  h.receiveHeartbeat("m1a", [taskStatus("a", 0, 1, "exited", "done")]);
  for (let i = 0; i < 10; i++) h.tick(0.4);
  assert.deepEqual(
    ["b", "c"].map((id) => machinesOf(h, id).length),
    [0, 0],
    "too_early",
  );
  h.isStoreAvailable = true;
  h.flushWrites();
  h.notifyJobChanged("a");
  h.tick();
  assert.deepEqual(
    ["b", "c", "d"].map((id) => machinesOf(h, id).length),
    [1, 1, 0],
  );
});

test("what waits holds no part of a guarantee, rents nothing, and stops nobody", () => {
  const h = leaderWithTwoMachines();
  submit(h, "a", { cpus: 4 });
  submit(h, "wide", { after: ["a"], tasks: 50, cpus: 4, priority: "production" });
  const { cluster } = h.scheduler;
  assert.equal(cluster.jobs.get("wide")!.isBlockedOnDependencies, true);
  assert.deepEqual([...cluster.jobsWithinGuarantee()], ["a"]);
  assert.equal(/stop|rent/.test(h.takeTrace()), false);
});

test("priority and urgency of the last flow up to all it needs, along the longest way", () => {
  const h = leaderWithTwoMachines();
  h.submit(jobSpec("a", { priority: "low", estimateS: 5 }));
  h.submit(jobSpec("b", { priority: "low", estimateS: 30, after: ["a"], team: "maps" }));
  h.submit(jobSpec("c", { priority: "low", estimateS: 10, after: ["a"] }));
  const job = (id: string) => h.scheduler.cluster.jobs.get(id)!;
  assert.deepEqual([job("a").effectiveRank, job("a").effectiveDeadlineMs], [3, null]);
  // Submitted late, when the others are under way.
  h.submit(jobSpec("d", { priority: "high", estimateS: 8, deadlineS: 100, after: ["b", "c"] }));
  const due = job("d").effectiveDeadlineMs!;
  // A report interval is 3 s: d takes 8 + 3, b 30 + 3.
  assert.deepEqual(
    [job("b").effectiveDeadlineMs, job("c").effectiveDeadlineMs, job("a").effectiveDeadlineMs].map(
      (x) => due - x!,
    ),
    [11_000, 11_000, 44_000],
  );
  assert.deepEqual(
    ["a", "b", "c", "d"].map((id) => job(id).effectiveRank),
    [1, 1, 1, 1],
  );
  // Called off, it asks for nothing any more.
  h.cancel("d");
  assert.deepEqual(
    ["a", "b", "c"].map((id) => job(id).effectiveRank),
    [3, 3, 3],
  );
  assert.equal(job("a").effectiveDeadlineMs, null);
});

test("cancelled through another: its end is stored, nothing of it ever starts, also after a takeover", () => {
  const h = leaderWithTwoMachines();
  submit(h, "a");
  submit(h, "b", { after: ["a"] });
  submit(h, "c", { after: ["b"] });
  h.answerRequest([taskStatus("a", 0, 1)]);
  h.cancel("a");
  h.answerRequest([taskStatus("a", 0, 1, "exited", "stopped")]);
  for (const id of ["a", "b", "c"]) h.notifyJobChanged(id);
  h.tick();
  assert.deepEqual(
    ["a", "b", "c"].map((id) => h.replica.finalRecords.get(id)?.outcome),
    ["cancelled", "cancelled", "cancelled"],
  );
  assert.equal(h.scheduler.cluster.jobs.size, 0);
  assert.equal(/start [bc]/.test(h.takeTrace()), false);
});

test("a thousand that need one: their ends are stored many at a time, and none of them starts", () => {
  const h = leaderWithTwoMachines();
  submit(h, "first");
  h.answerRequest([taskStatus("first", 0, 1)]);
  h.isStoreAvailable = false;
  const ids = Array.from({ length: 1000 }, (_, i) => `wide-${i}`);
  for (const [i, id] of ids.entries()) {
    submit(h, id, { after: ["first"] });
    if (i % 10 !== 0) continue;
    h.receiveHeartbeatOnly("m1a", [taskStatus("first", 0, 1)]);
    h.receiveHeartbeatOnly("m2b", []);
  }
  h.isStoreAvailable = true;
  h.cancel("first");
  h.answerRequest([taskStatus("first", 0, 1, "exited", "stopped")]);
  h.notifyJobChanged("first");
  assert.ok(
    ids.every((id) => h.replica.view(id)?.state === "cancelled"),
    "with the first one's end, on every node",
  );
  for (let i = 0; i < 10; i++) h.tick();
  assert.equal(h.scheduler.cluster.jobs.size, 0);
  assert.ok(ids.every((id) => h.replica.finalRecords.get(id)?.outcome === "cancelled"));
  assert.doesNotMatch(h.takeTrace(), /start wide/);
});
