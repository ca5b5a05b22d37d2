/**
 * Pipelines while the state service refuses the leader's requests, while its answers are lost, and while a dependent
 * job is submitted as its dependency ends. The protocol rules are `too_early` (a task starts before all dependencies
 * of its job are done) and `orphaned` (a job continues although one of its dependencies is cancelled).
 */
import assert from "node:assert/strict";
import { sleepSeconds } from "../src/time/sleep.js";
import { encodeJob } from "../src/wire/inverse-codecs.js";
import { clusterTest, type InProcessCluster } from "./support/in-process-cluster.js";
import { clusterJob } from "./support/job-builders.js";
import { waitUntil } from "./support/waiting.js";

const jobState = async (cluster: InProcessCluster, node: number, id: string) =>
  (await cluster.queryJob(node, id)).state;

const submitDependent = (
  cluster: InProcessCluster,
  node: number,
  id: string,
  after: readonly string[],
) =>
  waitUntil(
    `${id} is accepted`,
    async () => (await cluster.submitJob(node, id, { after })).status <= 201,
  );

/** Repeats a cancellation until it is confirmed. No machine may run a task of the job by then. */
async function cancelUntilConfirmed(
  cluster: InProcessCluster,
  node: number,
  id: string,
): Promise<void> {
  await waitUntil(
    `the cancellation of ${id} is confirmed`,
    async () => (await cluster.cancelJob(node, id)).state === "cancelled",
  );
  assert.deepEqual([...cluster.machinesOf(id)], []);
}

for (const [position, cancelledIndex] of [
  ["a middle", 1],
  ["the last", 2],
] as const) {
  clusterTest(
    `${position} job of a chain can be cancelled while the state service refuses only the leader; earlier jobs continue`,
    {},
    async (cluster) => {
      const chain = ["first", "middle", "last"];
      await cluster.submitAndAwaitRunning("first");
      await submitDependent(cluster, 1, "middle", ["first"]);
      await submitDependent(cluster, 2, "last", ["middle"]);
      const leader = cluster.leaderIndex();
      const other = (leader + 1) % 3;
      cluster.nodes[leader]!.stateProxy.isUnavailable = true;
      await cancelUntilConfirmed(cluster, other, chain[cancelledIndex]!);
      for (const [index, id] of chain.entries()) {
        const state = await jobState(cluster, other, id);
        if (index >= cancelledIndex) assert.equal(state, "cancelled", id);
        else assert.notEqual(state, "cancelled", id);
      }
      cluster.nodes[leader]!.stateProxy.endOutage();
      await waitUntil("the refused leader reports the cancellation", async () => {
        return (await jobState(cluster, leader, chain[cancelledIndex]!)) === "cancelled";
      });
      assert.equal(await jobState(cluster, leader, "last"), "cancelled");
      assert.equal(cluster.machinesOf("first").size > 0, true, "the first job keeps running");
      assert.equal(
        cluster.startedTasks.some((start) => /^(middle|last)\//.test(start)),
        false,
        "too_early or orphaned",
      );
    },
  );
}

clusterTest(
  "a dependent job whose submission answer is lost while its dependency ends runs once, after the dependency",
  { taskS: 0.4 },
  async (cluster) => {
    const proxy = cluster.nodes[1]!.stateProxy;
    for (let round = 0; round < 4; round++) {
      const [first, dependent] = [`first-${round}`, `follower-${round}`];
      await waitUntil(
        "the first job is accepted",
        async () => (await cluster.submitJob(0, first)).status <= 201,
      );
      await sleepSeconds(0.12 * round);
      // The write is applied but its answer is lost, and the user repeats the submission on another node.
      proxy.handlingOf = (transaction) =>
        JSON.stringify(transaction).includes(dependent) ? "answer lost" : "answered";
      const unanswered = cluster.submitJob(1, dependent, { after: [first] }).catch(() => null);
      await waitUntil("the write is carried out", () =>
        cluster.stateService.entries.has(`p/${dependent}`),
      );
      proxy.handlingOf = () => "answered";
      const repeated = await cluster.submitJob(2, dependent, { after: [first] });
      assert.equal(repeated.status, 200, "the job is known already");
      await waitUntil(
        "the dependent job is done",
        async () => (await jobState(cluster, 0, dependent)) === "done",
      );
      await unanswered;
      const starts = cluster.startedTasks.filter((start) => start.startsWith(`${dependent}/`));
      assert.equal(starts.length, 4, "each task starts once");
      const lastOfFirst = cluster.startedTasks.findLastIndex((start) =>
        start.startsWith(`${first}/`),
      );
      assert.ok(
        lastOfFirst < cluster.startedTasks.findIndex((start) => start.startsWith(`${dependent}/`)),
      );
    }
  },
);

clusterTest(
  "a dependent job whose submission answer is lost while its dependency is cancelled is cancelled too",
  {},
  async (cluster) => {
    await cluster.submitAndAwaitRunning("first");
    const proxy = cluster.nodes[1]!.stateProxy;
    proxy.handlingOf = (transaction) =>
      JSON.stringify(transaction).includes("follower") ? "answer lost" : "answered";
    const unanswered = cluster.submitJob(1, "follower", { after: ["first"] }).catch(() => null);
    await cancelUntilConfirmed(cluster, 0, "first");
    proxy.handlingOf = () => "answered";
    await waitUntil("the dependent job is accepted", async () => {
      return (await cluster.submitJob(2, "follower", { after: ["first"] })).status <= 201;
    });
    for (const node of [0, 1, 2])
      assert.equal(await jobState(cluster, node, "follower"), "cancelled");
    await unanswered;
    await sleepSeconds(0.5);
    assert.equal(
      cluster.startedTasks.some((start) => start.startsWith("follower/")),
      false,
      "orphaned",
    );
  },
);

clusterTest(
  "a submission with an unknown dependency gets 503 at once, not 422, while the state service is unavailable",
  {},
  async (cluster) => {
    await cluster.submitAndAwaitRunning("first");
    for (const node of cluster.nodes) node.stateProxy.isUnavailable = true;
    const startedAt = performance.now();
    const refused = await cluster.submitJob(1, "follower", { after: ["nobody"] });
    assert.equal(refused.status, 503, "not 422, as the dependency may exist");
    assert.ok(refused.retryAfter !== undefined, "Retry-After is set");
    assert.ok(performance.now() - startedAt < 2500, "answered at once");
    for (const node of cluster.nodes) node.stateProxy.endOutage();
    await waitUntil("a read shows that the dependency does not exist", async () => {
      return (await cluster.submitJob(1, "follower", { after: ["nobody"] })).status === 422;
    });
    assert.equal(
      (await cluster.submitBody(1, { ...encodeJob(clusterJob("bad")), follows: [["first"]] }))
        .status,
      400,
    );
  },
);
