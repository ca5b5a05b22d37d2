/** Jobs that depend on others: their residuals, their states on every node, and how the leader schedules them. */
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

const startEvent = (job: string) => eventName("start", job);

test("a job may start only after all its dependencies are done, and never after one has failed", () => {
  assert.deepEqual(afterDependencies("b", "a").map(formatExpression), [
    "~s:b + d:a.s:b",
    "~s:b + ~f:a",
  ]);
  let residuals = dependenciesOf("b", ["a", "c"]);
  assert.equal(isEventAcceptable(residuals, startEvent("b")), false);
  assert.equal(
    isEventExcluded(residuals, startEvent("b")),
    false,
    "not acceptable yet, but not excluded either",
  );
  residuals = residuateByOutcome(residuals, "a", "done");
  assert.equal(isEventAcceptable(residuals, startEvent("b")), false);
  const done = residuateByOutcome(residuals, "c", "done");
  assert.equal(isEventAcceptable(done, startEvent("b")), true);
  const failed = residuateByOutcome(residuals, "c", "failed");
  assert.equal(isEventAcceptable(failed, startEvent("b")), false);
  assert.equal(isEventExcluded(failed, startEvent("b")), true);
  // Applying an outcome a second time, after another one, changes nothing.
  assert.deepEqual(residuateByOutcome(done, "a", "done"), done);
});

test("job names that contain operators of the algebra are treated as plain names", () => {
  const residuals = residuateByOutcome(dependenciesOf("b+1", ["a.1", "~a"]), "a.1", "done");
  assert.equal(isEventAcceptable(residuals, startEvent("b+1")), false);
  assert.equal(
    isEventAcceptable(residuateByOutcome(residuals, "~a", "done"), startEvent("b+1")),
    true,
  );
  assert.equal(
    isEventExcluded(residuateByOutcome(residuals, "~a", "failed"), startEvent("b+1")),
    true,
  );
});

/** A node's replica of the stored state, to which changes are applied one at a time. */
class NodeReplica {
  readonly replica = new StateReplica();
  private revision = 1;
  constructor() {
    this.replica.reset([], 1);
  }
  put(key: string, value: unknown): void {
    this.revision++;
    const change = { key, value, removed: value === null, modRevision: this.revision };
    this.replica.apply([change], this.revision);
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
    return ids.map((id) => this.replica.view(id)?.state ?? "unknown").join(" ");
  }
}

test("the stored end of a cancelled job cancels all direct and indirect dependents at once, on every node", () => {
  const node = new NodeReplica();
  node.submit("first", []);
  for (let index = 0; index < 1000; index++) {
    node.submit(`chain${index}`, [index === 0 ? "first" : `chain${index - 1}`]);
    node.submit(`wide${index}`, ["first"]);
  }
  node.submit("apart", []);
  assert.equal(node.states("chain999", "wide999", "apart"), "queued queued queued");
  node.put(KEY.cancellation("first"), { at: 0, told: false });
  assert.equal(
    node.states("first", "chain999"),
    "queued queued",
    "no job is reported as cancelled before the first one has ended",
  );
  node.end("first", "cancelled");
  assert.equal(
    node.states("first", "chain0", "chain999", "wide999"),
    "cancelled ".repeat(4).trim(),
  );
  assert.equal(node.states("apart"), "queued");
  // A job that is submitted later depends on a job that was cancelled only through its own dependencies.
  node.submit("late", ["chain500", "apart"]);
  assert.equal(node.states("late"), "cancelled");
  // The ends of the dependents are stored later, in any order. A node that starts meanwhile derives the same states.
  node.end("chain500", "cancelled");
  const items = [...node.replica.activeJobs].map(([id, { value, modRevision }]) => ({
    key: `p/${id}`,
    value: encodeJobRecord(value) as unknown,
    modRevision,
  }));
  for (const [id, record] of node.replica.finalRecords)
    items.push({ key: `d/${id}`, value: encodeFinalRecord(record), modRevision: 5 });
  for (const order of [items, [...items].reverse()]) {
    const fresh = new StateReplica();
    fresh.reset(order, 9);
    for (const id of ["chain0", "chain500", "chain999", "wide3", "late"]) {
      assert.equal(fresh.view(id)?.state, "cancelled", id);
    }
    assert.equal(fresh.view("apart")?.state, "queued");
  }
});

test("a job that ends as done does not cancel its dependents", () => {
  const node = new NodeReplica();
  node.submit("a", []);
  node.submit("b", ["a"]);
  node.end("a", "done");
  assert.equal(node.states("a", "b"), "done queued");
});

/** Stores a submission as the API does, and notifies the leader. */
const submit = (leader: TestLeader, id: string, change: Partial<JobSpec> = {}) =>
  leader.submit(jobSpec(id, change));
const machinesOf = (leader: TestLeader, id: string) =>
  [...(leader.scheduler.cluster.jobs.get(id)?.placements.values() ?? [])].map(
    (placement) => placement.machine.name,
  );

test("in a diamond of dependencies a job starts only once all its dependencies are stored as done", () => {
  const leader = leaderWithTwoMachines();
  submit(leader, "a");
  submit(leader, "b", { after: ["a"] });
  submit(leader, "c", { after: ["a"] });
  submit(leader, "d", { after: ["b", "c"] });
  leader.answerRequest([taskStatus("a", 0, 1)]);
  assert.deepEqual(
    ["b", "c", "d"].map((id) => machinesOf(leader, id).length),
    [0, 0, 0],
  );
  // A heartbeat reports that a is done. Until this is stored, no dependent job starts.
  leader.isStoreAvailable = false;
  leader.receiveHeartbeat("m1a", [taskStatus("a", 0, 1, "exited", "done")]);
  for (let index = 0; index < 10; index++) leader.tick(0.4);
  assert.deepEqual(
    ["b", "c"].map((id) => machinesOf(leader, id).length),
    [0, 0],
    "too_early",
  );
  leader.isStoreAvailable = true;
  leader.flushWrites();
  leader.notifyJobChanged("a");
  leader.tick();
  assert.deepEqual(
    ["b", "c", "d"].map((id) => machinesOf(leader, id).length),
    [1, 1, 0],
  );
});

test("a job that waits for dependencies uses no guarantee, and causes no scale-out and no preemption", () => {
  const leader = leaderWithTwoMachines();
  submit(leader, "a", { cpus: 4 });
  submit(leader, "wide", { after: ["a"], tasks: 50, cpus: 4, priority: "production" });
  const { cluster } = leader.scheduler;
  assert.equal(cluster.jobs.get("wide")!.isBlockedOnDependencies, true);
  assert.deepEqual([...cluster.jobsWithinGuarantee()], ["a"]);
  assert.equal(/stop|rent/.test(leader.takeTrace()), false);
});

test("a job's priority and deadline propagate to all its dependencies, along the longest path", () => {
  const leader = leaderWithTwoMachines();
  leader.submit(jobSpec("a", { priority: "low", estimateS: 5 }));
  leader.submit(jobSpec("b", { priority: "low", estimateS: 30, after: ["a"], team: "maps" }));
  leader.submit(jobSpec("c", { priority: "low", estimateS: 10, after: ["a"] }));
  const job = (id: string) => leader.scheduler.cluster.jobs.get(id)!;
  assert.deepEqual([job("a").effectiveRank, job("a").effectiveDeadlineMs], [3, null]);
  // d is submitted after the others.
  leader.submit(
    jobSpec("d", { priority: "high", estimateS: 8, deadlineS: 100, after: ["b", "c"] }),
  );
  const deadline = job("d").effectiveDeadlineMs!;
  // Each job takes its estimate and a heartbeat interval of 3 s: d takes 8 + 3 s, and b takes 30 + 3 s.
  assert.deepEqual(
    [job("b").effectiveDeadlineMs, job("c").effectiveDeadlineMs, job("a").effectiveDeadlineMs].map(
      (deadlineMs) => deadline - deadlineMs!,
    ),
    [11_000, 11_000, 44_000],
  );
  assert.deepEqual(
    ["a", "b", "c", "d"].map((id) => job(id).effectiveRank),
    [1, 1, 1, 1],
  );
  // After its cancellation, d no longer affects its dependencies.
  leader.cancel("d");
  assert.deepEqual(
    ["a", "b", "c"].map((id) => job(id).effectiveRank),
    [3, 3, 3],
  );
  assert.equal(job("a").effectiveDeadlineMs, null);
});

test("the end of a job that is cancelled through its dependency is stored, and none of its tasks starts", () => {
  const leader = leaderWithTwoMachines();
  submit(leader, "a");
  submit(leader, "b", { after: ["a"] });
  submit(leader, "c", { after: ["b"] });
  leader.answerRequest([taskStatus("a", 0, 1)]);
  leader.cancel("a");
  leader.answerRequest([taskStatus("a", 0, 1, "exited", "stopped")]);
  for (const id of ["a", "b", "c"]) leader.notifyJobChanged(id);
  leader.tick();
  assert.deepEqual(
    ["a", "b", "c"].map((id) => leader.replica.finalRecords.get(id)?.outcome),
    ["cancelled", "cancelled", "cancelled"],
  );
  assert.equal(leader.scheduler.cluster.jobs.size, 0);
  assert.equal(/start [bc]/.test(leader.takeTrace()), false);
});

test("the ends of 1000 jobs with one cancelled dependency are stored in batches, and none of them starts", () => {
  const leader = leaderWithTwoMachines();
  submit(leader, "first");
  leader.answerRequest([taskStatus("first", 0, 1)]);
  leader.isStoreAvailable = false;
  const ids = Array.from({ length: 1000 }, (_, index) => `wide-${index}`);
  for (const [index, id] of ids.entries()) {
    submit(leader, id, { after: ["first"] });
    if (index % 10 !== 0) continue;
    leader.receiveHeartbeatOnly("m1a", [taskStatus("first", 0, 1)]);
    leader.receiveHeartbeatOnly("m2b", []);
  }
  leader.isStoreAvailable = true;
  leader.cancel("first");
  leader.answerRequest([taskStatus("first", 0, 1, "exited", "stopped")]);
  leader.notifyJobChanged("first");
  assert.ok(
    ids.every((id) => leader.replica.view(id)?.state === "cancelled"),
    "cancelled as soon as the end of the first job is stored",
  );
  for (let index = 0; index < 10; index++) leader.tick();
  assert.equal(leader.scheduler.cluster.jobs.size, 0);
  assert.ok(ids.every((id) => leader.replica.finalRecords.get(id)?.outcome === "cancelled"));
  assert.doesNotMatch(leader.takeTrace(), /start wide/);
});
