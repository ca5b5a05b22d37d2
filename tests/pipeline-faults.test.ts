/**
 * Pipelines while the state service refuses the leader, answers are lost, and ends race what names them. The rules
 * are `too_early` (a task starts before all that its job needs is done) and `orphaned` (a job goes on although one
 * that it needs is cancelled).
 */
import assert from "node:assert/strict";
import { sleepSeconds } from "../src/time/sleep.js";
import { encodeJob } from "../src/wire/counterpart.js";
import { clusterTest, type InProcessCluster } from "./support/in-process-cluster.js";
import { clusterJob } from "./support/job-builders.js";
import { waitUntil } from "./support/waiting.js";

const stance = async (site: InProcessCluster, node: number, id: string) =>
  (await site.queryJob(node, id)).state;

const submitAfter = (site: InProcessCluster, node: number, id: string, after: readonly string[]) =>
  waitUntil(
    `${id} is taken`,
    async () => (await site.submitJob(node, id, { after })).status <= 201,
  );

/** A cancellation is asked for again until it is confirmed; nothing of the job may be left by then. */
async function cancelled(site: InProcessCluster, node: number, id: string): Promise<void> {
  await waitUntil(
    `${id} is told`,
    async () => (await site.cancelJob(node, id)).state === "cancelled",
  );
  assert.deepEqual([...site.machinesOf(id)], []);
}

for (const [place, at] of [
  ["a middle", 1],
  ["the last", 2],
] as const) {
  clusterTest(
    `${place} job is called off while the leader alone is refused: what is before it goes on`,
    {},
    async (site) => {
      const chain = ["first", "middle", "last"];
      await site.submitAndAwaitRunning("first");
      await submitAfter(site, 1, "middle", ["first"]);
      await submitAfter(site, 2, "last", ["middle"]);
      const leader = site.leaderIndex();
      const other = (leader + 1) % 3;
      site.nodes[leader]!.stateProxy.isRefusing = true;
      await cancelled(site, other, chain[at]!);
      for (const [i, id] of chain.entries()) {
        const state = await stance(site, other, id);
        if (i >= at) assert.equal(state, "cancelled", id);
        else assert.notEqual(state, "cancelled", id);
      }
      site.nodes[leader]!.stateProxy.reopen();
      await waitUntil("the refused one agrees", async () => {
        return (await stance(site, leader, chain[at]!)) === "cancelled";
      });
      assert.equal(await stance(site, leader, "last"), "cancelled");
      assert.equal(site.machinesOf("first").size > 0, true, "the first one runs on");
      assert.equal(
        site.startedTasks.some((s) => /^(middle|last)\//.test(s)),
        false,
        "too_early or orphaned",
      );
    },
  );
}

clusterTest(
  "a follower whose answer is lost races the end of what it names: it runs once, after that",
  { taskS: 0.4 },
  async (site) => {
    const door = site.nodes[1]!.stateProxy;
    for (let round = 0; round < 4; round++) {
      const [first, follower] = [`first-${round}`, `follower-${round}`];
      await waitUntil("taken", async () => (await site.submitJob(0, first)).status <= 201);
      await sleepSeconds(0.12 * round);
      // Its write is carried out, and nobody hears so; the user asks another node.
      door.fateOf = (t) => (JSON.stringify(t).includes(follower) ? "answer lost" : "answered");
      const lost = site.submitJob(1, follower, { after: [first] }).catch(() => null);
      await waitUntil("the write is carried out", () =>
        site.stateService.entries.has(`p/${follower}`),
      );
      door.fateOf = () => "answered";
      const again = await site.submitJob(2, follower, { after: [first] });
      assert.equal(again.status, 200, "known");
      await waitUntil("it is done", async () => (await stance(site, 0, follower)) === "done");
      await lost;
      const starts = site.startedTasks.filter((s) => s.startsWith(`${follower}/`));
      assert.equal(starts.length, 4, "each task once");
      const lastOfFirst = site.startedTasks.findLastIndex((s) => s.startsWith(`${first}/`));
      assert.ok(lastOfFirst < site.startedTasks.findIndex((s) => s.startsWith(`${follower}/`)));
    }
  },
);

clusterTest(
  "a follower whose answer is lost races the cancellation of what it names: accepted, and cancelled",
  {},
  async (site) => {
    await site.submitAndAwaitRunning("first");
    const door = site.nodes[1]!.stateProxy;
    door.fateOf = (t) => (JSON.stringify(t).includes("follower") ? "answer lost" : "answered");
    const lost = site.submitJob(1, "follower", { after: ["first"] }).catch(() => null);
    await cancelled(site, 0, "first");
    door.fateOf = () => "answered";
    await waitUntil("it is taken", async () => {
      return (await site.submitJob(2, "follower", { after: ["first"] })).status <= 201;
    });
    for (const i of [0, 1, 2]) assert.equal(await stance(site, i, "follower"), "cancelled");
    await lost;
    await sleepSeconds(0.5);
    assert.equal(
      site.startedTasks.some((s) => s.startsWith("follower/")),
      false,
      "orphaned",
    );
  },
);

clusterTest(
  "what is not known to be accepted is not judged while the state service is away: 503 at once",
  {},
  async (site) => {
    await site.submitAndAwaitRunning("first");
    for (const n of site.nodes) n.stateProxy.isRefusing = true;
    const began = performance.now();
    const refused = await site.submitJob(1, "follower", { after: ["nobody"] });
    assert.equal(refused.status, 503, "never a guessed 422");
    assert.ok(refused.retryAfter !== undefined, "told when to come back");
    assert.ok(performance.now() - began < 2500, "not held back");
    for (const n of site.nodes) n.stateProxy.reopen();
    await waitUntil("a read tells that it never was", async () => {
      return (await site.submitJob(1, "follower", { after: ["nobody"] })).status === 422;
    });
    assert.equal(
      (await site.submitBody(1, { ...encodeJob(clusterJob("bad")), follows: [["first"]] })).status,
      400,
    );
  },
);
