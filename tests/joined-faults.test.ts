/**
 * Combinations of two faults, numbered as in docs/joined-faults.md. Each test runs complete controllers against
 * stand-ins of the state service, the cloud and the workers. The test determines the order of the faults itself, and
 * polls only for their consequences.
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

/** Waits until a job's cancellation is confirmed, then checks that none of its tasks runs and that no task starts. */
async function checkStaysCancelled(cluster: InProcessCluster, id: string): Promise<void> {
  await waitUntil(`the cancellation of ${id} is confirmed`, () =>
    isCancellationConfirmed(cluster, id, NODES),
  );
  const startsBefore = cluster.startedTasks.length;
  await sleepSeconds(0.5);
  assert.deepEqual([...cluster.machinesOf(id)], []);
  assert.equal(cluster.startedTasks.length, startsBefore, "no task starts after the confirmation");
}

// Values of cancel_s far above, slightly above, equal to and below lease_s: the outcome is the same for all of them.
for (const cancelS of [8, 3.2, 3, 1.5]) {
  clusterTest(
    `1: jobs cancelled while the state service refuses only the leader stay cancelled through an outage (cancel_s ${cancelS}, lease_s 3)`,
    { cancelS },
    async (cluster) => {
      const jobs = ["gang", "list"];
      await cluster.submitAndAwaitRunning("gang", { kind: "gang" });
      await cluster.submitAndAwaitRunning("list", { tasks: 6 });
      const leader = cluster.leaderIndex();
      const otherNodes = NODES.filter((node) => node !== leader);
      cluster.nodes[leader]!.stateProxy.isUnavailable = true;
      // From now on the leader's replica lacks the values that the others store, but workers still reach the leader.
      for (const id of jobs) {
        const { status } = await cluster.cancelJob(otherNodes[0]!, id);
        if (status === 200) assert.deepEqual([...cluster.machinesOf(id)], []);
        assert.ok(isCancellationStored(cluster, id), "the cancellation is stored");
      }
      for (const node of cluster.nodes) node.stateProxy.isUnavailable = true;
      const outageBeganMs = performance.now();
      while (performance.now() - outageBeganMs < 1000 * (cancelS + 1)) {
        for (const id of jobs) await isCancellationConfirmed(cluster, id, otherNodes);
        await sleepSeconds(0.3);
      }
      for (const node of cluster.nodes) node.stateProxy.endOutage();
      for (const id of jobs) await checkStaysCancelled(cluster, id);
    },
  );
}

clusterTest(
  "2: answers about a job never return to an earlier state, even milliseconds after acceptance, end and cancellation",
  { taskS: 0.4 },
  async (cluster) => {
    for (const id of ["ends", "called-off", "called-off-at-its-end"]) {
      const answers = new AnswerHistory(cluster, id);
      await answers.check(() => cluster.submitJob(0, id));
      await answers.checkAll(3);
      if (id === "called-off") await answers.checkAll(1, [() => cluster.cancelJob(1, id)]);
      if (id === "called-off-at-its-end") {
        await waitUntil("the job runs", () => cluster.machinesOf(id).size > 0);
        await waitUntil("the tasks of the job end", () => cluster.machinesOf(id).size === 0);
        const cancellations = [2, 0].map((node) => () => cluster.cancelJob(node, id));
        await answers.checkAll(1, cancellations);
      }
      await waitUntil("the final record is stored", async () => {
        await answers.checkAll(1);
        return isStored(cluster, KEY.finalRecord(id));
      });
      await answers.checkAll(5);
      assert.ok(answers.answerCount > 30, `only ${answers.answerCount} answers`);
      assert.equal(
        isStored(cluster, KEY.activeJob(id)) || isStored(cluster, KEY.cancellation(id)),
        false,
      );
    }
  },
);

clusterTest(
  "3: a submission or cancellation whose transaction is committed holds at every node, although the response is lost",
  {},
  async (cluster) => {
    const proxy = cluster.nodes[0]!.stateProxy;
    const answers = new AnswerHistory(cluster, "job");
    proxy.handlingOf = () => "answer lost";
    const submission = answers.check(() => cluster.submitJob(0, "job"));
    await waitUntil("the submission is committed", () => isStored(cluster, KEY.activeJob("job")));
    await answers.checkAll(2);
    await submission;
    proxy.handlingOf = () => "answered";
    await waitUntil("the job runs", () => cluster.machinesOf("job").size > 0);
    proxy.handlingOf = () => "answer lost";
    const cancellation = answers.check(() => cluster.cancelJob(0, "job"));
    await waitUntil("the cancellation is stored", () => isCancellationStored(cluster, "job"));
    await answers.checkAll(2);
    await cancellation;
    proxy.handlingOf = () => "answered";
    await waitUntil("the cancellation is confirmed", () =>
      isCancellationConfirmed(cluster, "job", NODES),
    );
  },
);

clusterTest(
  "4: transactions that are executed late, after newer transactions of the same node, change nothing",
  { taskS: 0.3 },
  async (cluster) => {
    const proxy = cluster.nodes[0]!.stateProxy;
    proxy.handlingOf = (transaction) =>
      JSON.stringify(transaction).includes('"p/late') ? "late" : "answered";
    const firstSubmission = cluster.submitJob(0, "late");
    await waitUntil("the transaction is delayed", () => proxy.delayedTransactions.length > 0);
    proxy.handlingOf = () => "answered";
    // The node repeats its transaction, and the user also submits the job to another node.
    assert.ok((await cluster.submitJob(1, "late")).status <= 201);
    assert.ok([200, 201, 503].includes((await firstSubmission).status));
    await waitUntil("the job is done", () => isDone(cluster, 2, "late"));
    const startsBefore = cluster.startedTasks.length;
    for (const execute of proxy.delayedTransactions.splice(0)) execute();
    await sleepSeconds(0.5);
    assert.equal(
      isStored(cluster, KEY.activeJob("late")),
      false,
      "a late transaction stored the finished job again",
    );
    assert.equal(cluster.startedTasks.length, startsBefore);
    for (const node of NODES) assert.equal((await cluster.queryJob(node, "late")).state, "done");
  },
);

clusterTest(
  "5: no job is lost when the leader stops and restarts at once, while the state service still names it as the leader",
  { taskS: 1.5 },
  async (cluster) => {
    for (const id of ["a", "b"]) await cluster.submitAndAwaitRunning(id);
    for (let round = 0; round < 3; round++) {
      const leader = cluster.leaderIndex();
      const epoch = storedEpoch(cluster);
      await cluster.stopNode(leader);
      await cluster.startNode(leader);
      await waitUntil(
        "a new term begins",
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
  "6: requests for a known job are answered regardless of their body, and jobs that cannot run or lack a field are not stored",
  { taskS: 0.3 },
  async (cluster) => {
    await cluster.submitJob(0, "job");
    await waitUntil("the job is done", () => isDone(cluster, 0, "job"));
    const doneAnswer = { status: 200, state: "done", retryAfter: undefined };
    const bodyWithInvalidField = { ...encodeJob(clusterJob("job")), strides: "many" };
    for (const node of NODES) {
      assert.deepEqual(await cluster.submitBody(node, bodyWithInvalidField), doneAnswer);
      assert.deepEqual(await cluster.submitJob(node, "job", { cpus: 1000 }), doneAnswer);
      assert.deepEqual(await cluster.cancelJob(node, "job"), doneAnswer);
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
  "6b: while the machine types are unknown, no job is rejected because of its size, and none is stored",
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
  "7: when all controllers have been stopped for longer than a lease, tasks start again and none runs twice",
  { taskS: 4 },
  async (cluster) => {
    await cluster.submitAndAwaitRunning("job");
    for (const node of NODES) await cluster.stopNode(node);
    await waitUntil("the leases have expired", () => cluster.machinesOf("job").size === 0);
    const startsBefore = cluster.startedTasks.length;
    for (const node of [2, 0, 1]) await cluster.startNode(node);
    await waitUntil("the job is done", () => isDone(cluster, 1, "job"));
    assert.ok(cluster.startedTasks.length > startsBefore);
  },
);

clusterTest(
  "8: jobs of one task, submitted in quick succession and a quarter of them cancelled, cause few stored changes each",
  { taskS: 0.2 },
  async (cluster) => {
    const ids = Array.from({ length: 40 }, (_, index) => `one-${index}`);
    for (const [index, id] of ids.entries()) {
      assert.ok((await cluster.submitJob(index % 3, id, { tasks: 1 })).status <= 201);
      if (index % 4 === 0) await cluster.cancelJob((index + 1) % 3, id);
      await sleepSeconds(0.05);
    }
    for (const id of ids) {
      await waitUntil(`${id} is terminal`, async () =>
        isTerminal((await cluster.queryJob(0, id)).state),
      );
    }
    const changeCountOf = (key: string) => cluster.stateService.changeCounts.get(key) ?? 0;
    for (const [index, id] of ids.entries()) {
      const jobChanges = changeCountOf(KEY.activeJob(id));
      const cancellationChanges = changeCountOf(KEY.cancellation(id));
      // A job's entry changes at submission, placement and removal, and once more if a cancellation coincides with
      // the start of its task.
      assert.ok(jobChanges <= (index % 4 === 0 ? 4 : 3), `${jobChanges} changes of p/${id}`);
      assert.equal(changeCountOf(KEY.finalRecord(id)), 1);
      assert.ok(cancellationChanges <= 2, `${cancellationChanges} changes of x/${id}`);
    }
    assert.deepEqual(storedKeys(cluster, /^[pqx]\//), []);
  },
);

clusterTest(
  "9: tasks of a worker whose heartbeats reach no controller, although commands reach it, start elsewhere and none runs twice",
  { taskS: 6 },
  async (cluster) => {
    await cluster.submitAndAwaitRunning("job", { tasks: 8 });
    const machine = [...cluster.machinesOf("job")][0]!;
    const tasksOnMachine = [...cluster.machinesByTask].filter(([, machines]) =>
      machines.has(machine),
    );
    // Counted before the fault: the response to a direct command informs the leader of the expired lease, so tasks
    // may start elsewhere before this test observes the expiry.
    const startsBefore = cluster.startedTasks.length;
    cluster.cloud.workers.get(machine)!.dropsOutbound = true;
    await waitUntil(
      "the lease of the worker expires",
      () => ![...cluster.machinesByTask.values()].some((machines) => machines.has(machine)),
    );
    await waitUntil("the job is done", () => isDone(cluster, 0, "job"));
    const restarted = cluster.startedTasks.slice(startsBefore);
    assert.ok(tasksOnMachine.some(([task]) => restarted.includes(task)));
  },
);

clusterTest(
  "10: no task is lost or started twice when every node receives old heartbeats at the start of a new term",
  { taskS: 3 },
  async (cluster) => {
    await cluster.submitAndAwaitRunning("job", { tasks: 8 });
    const workers = [...cluster.cloud.workers.values()];
    await waitUntil("all workers have sent heartbeats", () =>
      workers.every(({ sentHeartbeats }) => sentHeartbeats.length > 3),
    );
    const oldHeartbeats = workers.flatMap(({ sentHeartbeats }) => sentHeartbeats.slice(-2));
    const epoch = storedEpoch(cluster);
    await cluster.stopNode(cluster.leaderIndex());
    await waitUntil("a new term begins", () => storedEpoch(cluster) > epoch);
    for (const { controller, connection } of cluster.nodes) {
      if (controller === null) continue;
      for (const heartbeat of oldHeartbeats) {
        await connection
          .request("POST", PATH.heartbeat, heartbeat, REQUEST_TIMEOUT_MS)
          .catch(() => null);
      }
    }
    const runningNode = cluster.nodes.findIndex(({ controller }) => controller !== null);
    await waitUntil("the job is done", () => isDone(cluster, runningNode, "job"));
  },
);
