/** Faults that meet pipelines, as docs/joined-faults.md numbers them: whole controllers against the stand-ins. */
import assert from "node:assert/strict";
import { KEY } from "../src/core/state/stored-values.js";
import { encodeJob } from "../src/wire/inverse-codecs.js";
import { clusterTest, type InProcessCluster } from "./support/in-process-cluster.js";
import { isDone, isStored, storedKeys } from "./support/job-answers.js";
import { clusterJob } from "./support/job-builders.js";
import { waitUntil } from "./support/waiting.js";

/** Submits a job of two tasks with its dependencies as they are on the wire; returns the status. */
async function submitAfter(
  cluster: InProcessCluster,
  node: number,
  id: string,
  follows: unknown,
): Promise<number> {
  const body = { ...encodeJob(clusterJob(id, { tasks: 2 })), follows };
  return (await cluster.submitBody(node, body)).status;
}

/** Jobs b and c need a; d needs both. No job of it starts a task before all tasks of those it needs started. */
function checkDiamondOrder({ startedTasks }: InProcessCluster): void {
  const first = (id: string) => startedTasks.findIndex((task) => task.startsWith(`${id}/`));
  const last = (id: string) => startedTasks.findLastIndex((task) => task.startsWith(`${id}/`));
  for (const [needed, dependent] of [
    ["a", "b"],
    ["a", "c"],
    ["b", "d"],
    ["c", "d"],
  ] as const) {
    assert.ok(last(needed) < first(dependent), `${needed} before ${dependent}`);
  }
}

clusterTest(
  "11: a diamond of jobs submitted to three nodes runs in order to its end, and invalid dependencies are refused",
  { taskS: 0.3 },
  async (cluster) => {
    const submit = (node: number, id: string, follows: unknown) =>
      submitAfter(cluster, node, id, follows);
    assert.equal(await submit(0, "b", ["a"]), 422, "never accepted");
    assert.equal(await submit(0, "b", ["b"]), 422, "itself");
    assert.equal(await submit(0, "b", "a"), 400);
    assert.equal(await submit(0, "b", [7]), 400);
    const many = Array.from({ length: 400 }, (_, n) => `a-job-with-a-long-name-${n}`);
    assert.equal(await submit(0, "b", many), 422, "more than can be stored, none accepted");
    assert.deepEqual(storedKeys(cluster, /^[pd]\//), []);

    // Each is named on another node a moment after it was accepted.
    assert.equal(await submit(0, "a", null), 201);
    assert.equal(await submit(1, "b", ["a", "a"]), 201);
    assert.equal(await submit(2, "c", ["a"]), 201);
    assert.equal(await submit(0, "d", ["b", "c"]), 201);
    assert.equal(await submit(1, "d", ["b", "nobody"]), 200, "known, whatever it names by now");
    const statesOfLast = new Set<string>();
    await waitUntil("d is done", async () => {
      const [b, c, d] = await Promise.all(["b", "c", "d"].map((id) => cluster.queryJob(1, id)));
      if (d!.state === "running" || d!.state === "done") {
        assert.deepEqual([b!.state, c!.state].includes("queued"), false);
      }
      statesOfLast.add(d!.state!);
      return d!.state === "done";
    });
    assert.ok(statesOfLast.has("queued"));
    checkDiamondOrder(cluster);
    // Submitted when all that it names is done.
    assert.equal(await submit(2, "late", ["d", "a"]), 201);
    await waitUntil("it is done", () => isDone(cluster, 0, "late"));
  },
);

clusterTest(
  "12: when a pipeline's first job is cancelled while the leader is refused and a node is replaced, all of it is cancelled",
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
    const replaced = (leader + 2) % 3;
    cluster.nodes[leader]!.stateProxy.isRefusing = true;
    const { status } = await cluster.cancelJob(other, "a");
    if (status === 200) assert.deepEqual([...cluster.machinesOf("a")], []);
    await cluster.stopNode(replaced);
    await cluster.startNode(replaced);
    const isConfirmed = async () => (await cluster.cancelJob(other, "a")).state === "cancelled";
    await waitUntil("the cancellation is confirmed", isConfirmed);
    // From here on every node says so of all dependents, and no task of theirs runs or starts.
    cluster.nodes[leader]!.stateProxy.reopen();
    for (const node of [other, replaced]) {
      for (const id of pipeline) {
        assert.equal((await cluster.queryJob(node, id)).state, "cancelled", id);
      }
    }
    const late = await cluster.submitJob(other, "e", { after: ["d"] });
    assert.equal(late.status, 201, "accepted all the same");
    assert.equal((await cluster.queryJob(other, "e")).state, "cancelled");
    await waitUntil("all ends are stored", () =>
      [...pipeline, "e"].every((id) => isStored(cluster, KEY.finalRecord(id))),
    );
    const haveDependentsStarted = cluster.startedTasks.some((task) => /^[bcde]\//.test(task));
    assert.equal(haveDependentsStarted, false, "orphaned or too_early");
    for (const id of pipeline) assert.deepEqual([...cluster.machinesOf(id)], []);
  },
);
