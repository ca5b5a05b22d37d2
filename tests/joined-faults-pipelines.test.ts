/**
 * Combinations of faults that affect pipelines, which are jobs that depend on other jobs, numbered as in
 * docs/joined-faults.md. Each test runs complete controllers against stand-ins of the services and the workers.
 */
import assert from "node:assert/strict";
import { KEY } from "../src/core/state/stored-values.js";
import { encodeJob } from "../src/wire/inverse-codecs.js";
import { clusterTest, type InProcessCluster } from "./support/in-process-cluster.js";
import { isDone, isStored, storedKeys } from "./support/job-answers.js";
import { clusterJob } from "./support/job-builders.js";
import { waitUntil } from "./support/waiting.js";

/** Submits a job of two tasks and returns the status; `follows` is sent unchanged, so it may be invalid. */
async function submitWithDependencies(
  cluster: InProcessCluster,
  node: number,
  id: string,
  follows: unknown,
): Promise<number> {
  const body = { ...encodeJob(clusterJob(id, { tasks: 2 })), follows };
  return (await cluster.submitBody(node, body)).status;
}

/**
 * Checks the starts of a pipeline in which jobs b and c depend on a, and d depends on b and c: a job starts no task
 * before all tasks of the jobs that it depends on have started.
 */
function checkStartOrder({ startedTasks }: InProcessCluster): void {
  const firstStart = (id: string) => startedTasks.findIndex((task) => task.startsWith(`${id}/`));
  const lastStart = (id: string) => startedTasks.findLastIndex((task) => task.startsWith(`${id}/`));
  for (const [dependency, dependent] of [
    ["a", "b"],
    ["a", "c"],
    ["b", "d"],
    ["c", "d"],
  ] as const) {
    assert.ok(
      lastStart(dependency) < firstStart(dependent),
      `all tasks of ${dependency} start before those of ${dependent}`,
    );
  }
}

clusterTest(
  "11: a pipeline submitted to three nodes runs in order of its dependencies, and invalid dependencies are rejected",
  { taskS: 0.3 },
  async (cluster) => {
    const submit = (node: number, id: string, follows: unknown) =>
      submitWithDependencies(cluster, node, id, follows);
    assert.equal(await submit(0, "b", ["a"]), 422, "it depends on a job that was never accepted");
    assert.equal(await submit(0, "b", ["b"]), 422, "it depends on itself");
    assert.equal(await submit(0, "b", "a"), 400);
    assert.equal(await submit(0, "b", [7]), 400);
    const manyIds = Array.from({ length: 400 }, (_, index) => `a-job-with-a-long-name-${index}`);
    assert.equal(
      await submit(0, "b", manyIds),
      422,
      "it has more dependencies than can be stored, none of them accepted",
    );
    assert.deepEqual(storedKeys(cluster, /^[pd]\//), []);

    // Each job is named as a dependency at another node immediately after it was accepted.
    assert.equal(await submit(0, "a", null), 201);
    assert.equal(await submit(1, "b", ["a", "a"]), 201);
    assert.equal(await submit(2, "c", ["a"]), 201);
    assert.equal(await submit(0, "d", ["b", "c"]), 201);
    assert.equal(
      await submit(1, "d", ["b", "nobody"]),
      200,
      "a known job is answered regardless of the dependencies in the request",
    );
    const observedStates = new Set<string>();
    await waitUntil("d is done", async () => {
      const [b, c, d] = await Promise.all(["b", "c", "d"].map((id) => cluster.queryJob(1, id)));
      if (d!.state === "running" || d!.state === "done") {
        assert.deepEqual([b!.state, c!.state].includes("queued"), false);
      }
      observedStates.add(d!.state!);
      return d!.state === "done";
    });
    assert.ok(observedStates.has("queued"));
    checkStartOrder(cluster);
    // The jobs that it depends on are already done when it is submitted.
    assert.equal(await submit(2, "late", ["d", "a"]), 201);
    await waitUntil("the late job is done", () => isDone(cluster, 0, "late"));
  },
);

clusterTest(
  "12: cancelling a pipeline's first job cancels all its jobs while the state service refuses the leader and a node restarts",
  {},
  async (cluster) => {
    await cluster.submitAndAwaitRunning("a");
    const pipeline = ["a", "b", "c", "d"];
    for (const [id, after] of [
      ["b", ["a"]],
      ["c", ["a"]],
      ["d", ["b", "c"]],
    ] as const) {
      const isAccepted = async () => (await cluster.submitJob(1, id, { after })).status <= 201;
      await waitUntil(`${id} is accepted`, isAccepted);
    }
    const leader = cluster.leaderIndex();
    const other = (leader + 1) % 3;
    const restarted = (leader + 2) % 3;
    cluster.nodes[leader]!.stateProxy.isUnavailable = true;
    const { status } = await cluster.cancelJob(other, "a");
    if (status === 200) assert.deepEqual([...cluster.machinesOf("a")], []);
    await cluster.stopNode(restarted);
    await cluster.startNode(restarted);
    const isConfirmed = async () => (await cluster.cancelJob(other, "a")).state === "cancelled";
    await waitUntil("the cancellation is confirmed", isConfirmed);
    // From now on every node reports all dependent jobs as cancelled, and none of their tasks runs or starts.
    cluster.nodes[leader]!.stateProxy.endOutage();
    for (const node of [other, restarted]) {
      for (const id of pipeline) {
        assert.equal((await cluster.queryJob(node, id)).state, "cancelled", id);
      }
    }
    const lateAnswer = await cluster.submitJob(other, "e", { after: ["d"] });
    assert.equal(lateAnswer.status, 201, "a job that depends on a cancelled job is accepted");
    assert.equal((await cluster.queryJob(other, "e")).state, "cancelled");
    await waitUntil("the final records of all jobs are stored", () =>
      [...pipeline, "e"].every((id) => isStored(cluster, KEY.finalRecord(id))),
    );
    const haveDependentsStarted = cluster.startedTasks.some((task) => /^[bcde]\//.test(task));
    assert.equal(
      haveDependentsStarted,
      false,
      "tasks of dependent jobs started (orphaned or too_early)",
    );
    for (const id of pipeline) assert.deepEqual([...cluster.machinesOf(id)], []);
  },
);
