/**
 * Two faults at a time, as docs/joined-faults.md numbers them: whole controllers against the stand-ins.
 * The order of events is set by the tests; only what follows from it is waited for.
 */
import assert from "node:assert/strict";
import { KEY } from "../src/core/state/stored-values.js";
import { sleepSeconds } from "../src/time/sleep.js";
import { encodeJob } from "../src/wire/inverse-codecs.js";
import { PATH } from "../src/wire/names.js";
import { clusterTest, type InProcessCluster } from "./support/in-process-cluster.js";
import {
  AnswerHistory,
  isCancellationConfirmed,
  isDone,
  isStored,
  isTerminal,
  storedEpoch,
  storedKeys,
} from "./support/job-answers.js";
import { clusterJob } from "./support/job-builders.js";
import { waitUntil } from "./support/waiting.js";

const NODES = [0, 1, 2];
const REQUEST_TIMEOUT_MS = 2000;

const isCancellationStored = (cluster: InProcessCluster, id: string): boolean =>
  isStored(cluster, KEY.cancellation(id)) || isStored(cluster, KEY.finalRecord(id));

/** The job is cancelled for users of every node, no task of it runs, and nothing starts afterwards. */
async function checkStaysCancelled(cluster: InProcessCluster, id: string): Promise<void> {
  await waitUntil(`${id} is confirmed`, () => isCancellationConfirmed(cluster, id, NODES));
  const startsBefore = cluster.startedTasks.length;
  await sleepSeconds(0.5);
  assert.deepEqual([...cluster.machinesOf(id)], []);
  assert.equal(cluster.startedTasks.length, startsBefore, "nothing starts after that");
}

// cancel_s far above, barely above, equal to and below lease_s: nothing rests on their relation.
for (const cancelS of [8, 3.2, 3, 1.5]) {
  clusterTest(
    `1: cancelled elsewhere while the state service refuses the leader alone, then an outage (cancel_s ${cancelS}, lease_s 3)`,
    { cancelS },
    async (cluster) => {
      const jobs = ["gang", "list"];
      await cluster.submitAndAwaitRunning("gang", { kind: "gang" });
      await cluster.submitAndAwaitRunning("list", { tasks: 6 });
      const leader = cluster.leaderIndex();
      const others = NODES.filter((node) => node !== leader);
      cluster.nodes[leader]!.stateProxy.isRefusing = true;
      // The leader's replica lacks what the others store from now on; its workers stay with it.
      for (const id of jobs) {
        const { status } = await cluster.cancelJob(others[0]!, id);
        if (status === 200) assert.deepEqual([...cluster.machinesOf(id)], []);
        assert.ok(isCancellationStored(cluster, id), "stored");
      }
      for (const node of cluster.nodes) node.stateProxy.isRefusing = true;
      const outageBeganMs = performance.now();
      while (performance.now() - outageBeganMs < 1000 * (cancelS + 1)) {
        for (const id of jobs) await isCancellationConfirmed(cluster, id, others);
        await sleepSeconds(0.3);
      }
      for (const node of cluster.nodes) node.stateProxy.reopen();
      for (const id of jobs) await checkStaysCancelled(cluster, id);
    },
  );
}

clusterTest(
  "2: answers never go back for users who ask within milliseconds of acceptance, end and cancellation",
  { taskS: 0.4 },
  async (cluster) => {
    for (const id of ["ends", "called-off", "called-off-at-its-end"]) {
      const answers = new AnswerHistory(cluster, id);
      await answers.check(() => cluster.submitJob(0, id));
      await answers.checkAll(3);
      if (id === "called-off") await answers.checkAll(1, [() => cluster.cancelJob(1, id)]);
      if (id === "called-off-at-its-end") {
        await waitUntil("it runs", () => cluster.machinesOf(id).size > 0);
        await waitUntil("its tasks end", () => cluster.machinesOf(id).size === 0);
        const cancellations = [2, 0].map((node) => () => cluster.cancelJob(node, id));
        await answers.checkAll(1, cancellations);
      }
      await waitUntil("its end is stored", async () => {
        await answers.checkAll(1);
        return isStored(cluster, KEY.finalRecord(id));
      });
      await answers.checkAll(5);
      assert.ok(answers.answered > 30, `${answers.answered} answers`);
      assert.equal(
        isStored(cluster, KEY.activeJob(id)) || isStored(cluster, KEY.cancellation(id)),
        false,
      );
    }
  },
);

clusterTest(
  "3: a transaction whose answer alone is lost holds for users of every node",
  {},
  async (cluster) => {
    const proxy = cluster.nodes[0]!.stateProxy;
    const answers = new AnswerHistory(cluster, "job");
    proxy.fateOf = () => "answer lost";
    const submitted = answers.check(() => cluster.submitJob(0, "job"));
    await waitUntil("it is committed", () => isStored(cluster, KEY.activeJob("job")));
    await answers.checkAll(2);
    await submitted;
    proxy.fateOf = () => "answered";
    await waitUntil("it runs", () => cluster.machinesOf("job").size > 0);
    proxy.fateOf = () => "answer lost";
    const cancelled = answers.check(() => cluster.cancelJob(0, "job"));
    await waitUntil("it is stored", () => isCancellationStored(cluster, "job"));
    await answers.checkAll(2);
    await cancelled;
    proxy.fateOf = () => "answered";
    await waitUntil("it is confirmed", () => isCancellationConfirmed(cluster, "job", NODES));
  },
);

clusterTest(
  "4: transactions that are carried out late, after newer ones of the same node, change nothing",
  { taskS: 0.3 },
  async (cluster) => {
    const proxy = cluster.nodes[0]!.stateProxy;
    proxy.fateOf = (transaction) =>
      JSON.stringify(transaction).includes('"p/late') ? "late" : "answered";
    const first = cluster.submitJob(0, "late");
    await waitUntil("it is delayed", () => proxy.delayedTransactions.length > 0);
    proxy.fateOf = () => "answered";
    // The node sends the same again, and the user submits to another node.
    assert.ok((await cluster.submitJob(1, "late")).status <= 201);
    assert.ok([200, 201, 503].includes((await first).status));
    await waitUntil("it is done", () => isDone(cluster, 2, "late"));
    const starts = cluster.startedTasks.length;
    for (const carryOut of proxy.delayedTransactions.splice(0)) carryOut();
    await sleepSeconds(0.5);
    assert.equal(isStored(cluster, KEY.activeJob("late")), false, "a late copy brought it back");
    assert.equal(cluster.startedTasks.length, starts);
    for (const node of NODES) assert.equal((await cluster.queryJob(node, "late")).state, "done");
  },
);

clusterTest(
  "5: a leader that ends and is back at once, while the store still names it, loses no job",
  { taskS: 1.5 },
  async (cluster) => {
    for (const id of ["a", "b"]) await cluster.submitAndAwaitRunning(id);
    for (let round = 0; round < 3; round++) {
      const leader = cluster.leaderIndex();
      const epoch = storedEpoch(cluster);
      await cluster.stopNode(leader);
      await cluster.startNode(leader);
      await waitUntil(
        "a new term",
        () => storedEpoch(cluster) > epoch && cluster.leaderIndex() >= 0,
      );
    }
    for (const id of ["a", "b"]) {
      for (const node of NODES) {
        await waitUntil(`${id} is done`, async () => {
          const { status, state } = await cluster.queryJob(node, id);
          assert.notEqual(status, 404);
          return state === "done";
        });
      }
    }
  },
);

clusterTest(
  "6: a known job is answered whatever the request's body, and nothing is stored of jobs that can't run or lack a field",
  { taskS: 0.3 },
  async (cluster) => {
    await cluster.submitJob(0, "job");
    await waitUntil("it is done", () => isDone(cluster, 0, "job"));
    const known = { status: 200, state: "done", retryAfter: undefined };
    const otherBody = { ...encodeJob(clusterJob("job")), strides: "many" };
    for (const node of NODES) {
      assert.deepEqual(await cluster.submitBody(node, otherBody), known);
      assert.deepEqual(await cluster.submitJob(node, "job", { cpus: 1000 }), known);
      assert.deepEqual(await cluster.cancelJob(node, "job"), known);
      assert.equal((await cluster.submitJob(node, "wide", { cpus: 1000 })).status, 422);
      for (const field of ["outfit", "strides", "cpus", "tack", "rank"]) {
        const body = { ...encodeJob(clusterJob(`lacks-${field}`)), [field]: undefined };
        assert.equal((await cluster.submitBody(node, body)).status, 400);
      }
      assert.equal((await cluster.cancelJob(node, "nobody")).status, 404);
    }
    assert.deepEqual(storedKeys(cluster, /wide|lacks|nobody/), []);
  },
);

clusterTest(
  "6b: while the machine types are unknown, no job is judged by its size",
  { isCatalogUnavailable: true, workers: 0 },
  async (cluster) => {
    const lacksRank = { ...encodeJob(clusterJob("lacks")), rank: undefined };
    for (const node of NODES) {
      assert.equal((await cluster.submitJob(node, "wide", { cpus: 1000 })).status, 503);
      assert.equal((await cluster.submitBody(node, lacksRank)).status, 400);
      assert.equal((await cluster.submitJob(node, "stranger", { team: "nobody" })).status, 422);
    }
    assert.deepEqual(storedKeys(cluster, /^p/), []);
  },
);

clusterTest(
  "7: after all controllers were away for longer than a lease, tasks start again and none runs twice",
  { taskS: 4 },
  async (cluster) => {
    await cluster.submitAndAwaitRunning("job");
    for (const node of NODES) await cluster.stopNode(node);
    await waitUntil("the leases expired", () => cluster.machinesOf("job").size === 0);
    const startsBefore = cluster.startedTasks.length;
    for (const node of [2, 0, 1]) await cluster.startNode(node);
    await waitUntil("it is done", () => isDone(cluster, 1, "job"));
    assert.ok(cluster.startedTasks.length > startsBefore);
  },
);

clusterTest(
  "8: one-task jobs, four a second and a quarter cancelled, cost few changes each",
  { taskS: 0.2 },
  async (cluster) => {
    const ids = Array.from({ length: 40 }, (_, n) => `one-${n}`);
    for (const [n, id] of ids.entries()) {
      assert.ok((await cluster.submitJob(n % 3, id, { tasks: 1 })).status <= 201);
      if (n % 4 === 0) await cluster.cancelJob((n + 1) % 3, id);
      await sleepSeconds(0.05);
    }
    for (const id of ids) {
      await waitUntil(`${id} is terminal`, async () =>
        isTerminal((await cluster.queryJob(0, id)).state),
      );
    }
    const changesOf = (key: string) => cluster.stateService.changeCounts.get(key) ?? 0;
    for (const [n, id] of ids.entries()) {
      const ofJob = changesOf(KEY.activeJob(id));
      const ofCancellation = changesOf(KEY.cancellation(id));
      // Submission, placement and removal; one more where a cancellation meets the start.
      assert.ok(ofJob <= (n % 4 === 0 ? 4 : 3), `${ofJob} of p/${id}`);
      assert.equal(changesOf(KEY.finalRecord(id)), 1);
      assert.ok(ofCancellation <= 2, `${ofCancellation} of x/${id}`);
    }
    assert.deepEqual(storedKeys(cluster, /^[pqx]\//), []);
  },
);

clusterTest(
  "9: tasks of a worker that reaches no controller, though commands reach it, start elsewhere and none runs twice",
  { taskS: 6 },
  async (cluster) => {
    await cluster.submitAndAwaitRunning("job", { tasks: 8 });
    const machine = [...cluster.machinesOf("job")][0]!;
    const tasksThere = [...cluster.machinesByTask].filter(([, where]) => where.has(machine));
    // Counted before the fault: a direct answer tells the leader of the expired lease, and the tasks may start
    // elsewhere before the expiry is seen here.
    const startsBefore = cluster.startedTasks.length;
    cluster.cloud.workers.get(machine)!.dropsOutbound = true;
    await waitUntil(
      "its lease expired",
      () => ![...cluster.machinesByTask.values()].some((machines) => machines.has(machine)),
    );
    await waitUntil("all is done", () => isDone(cluster, 0, "job"));
    const restarted = cluster.startedTasks.slice(startsBefore);
    assert.ok(tasksThere.some(([task]) => restarted.includes(task)));
  },
);

clusterTest(
  "10: old heartbeats that reach every node just as a new leader begins lose no task and start none twice",
  { taskS: 3 },
  async (cluster) => {
    await cluster.submitAndAwaitRunning("job", { tasks: 8 });
    const workers = [...cluster.cloud.workers.values()];
    await waitUntil("all have sent heartbeats", () =>
      workers.every(({ sentHeartbeats }) => sentHeartbeats.length > 3),
    );
    const oldHeartbeats = workers.flatMap(({ sentHeartbeats }) => sentHeartbeats.slice(-2));
    const epoch = storedEpoch(cluster);
    await cluster.stopNode(cluster.leaderIndex());
    await waitUntil("a new term", () => storedEpoch(cluster) > epoch);
    for (const { controller, connection } of cluster.nodes) {
      if (controller === null) continue;
      for (const heartbeat of oldHeartbeats) {
        await connection
          .request("POST", PATH.heartbeat, heartbeat, REQUEST_TIMEOUT_MS)
          .catch(() => null);
      }
    }
    const running = cluster.nodes.findIndex(({ controller }) => controller !== null);
    await waitUntil("it is done", () => isDone(cluster, running, "job"));
  },
);
