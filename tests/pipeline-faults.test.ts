/**
 * Pipelines while the state service refuses the leader, answers are lost, and ends race what names them. The rules
 * are `too_early` (a task starts before all that its job needs is done) and `orphaned` (a job goes on although one
 * that it needs is cancelled).
 */
import assert from "node:assert/strict";
import { type Site, scenario, sleep, until } from "./site.js";

const stance = async (site: Site, node: number, id: string) =>
  (await site.question(node, id)).stance;

const submitAfter = (site: Site, node: number, id: string, follows: readonly string[]) =>
  until(`${id} is taken`, async () => (await site.submit(node, id, { follows })).status <= 201);

/** A cancellation is asked for again until it is confirmed; nothing of the job may be left by then. */
async function cancelled(site: Site, node: number, id: string): Promise<void> {
  await until(`${id} is told`, async () => (await site.cancel(node, id)).stance === "cancelled");
  assert.deepEqual([...site.machinesOf(id)], []);
}

for (const [place, at] of [
  ["a middle", 1],
  ["the last", 2],
] as const) {
  scenario(
    `${place} job is called off while the leader alone is refused: what is before it goes on`,
    {},
    async (site) => {
      const chain = ["first", "middle", "last"];
      await site.running("first");
      await submitAfter(site, 1, "middle", ["first"]);
      await submitAfter(site, 2, "last", ["middle"]);
      const leader = site.leader();
      const other = (leader + 1) % 3;
      site.nodes[leader]!.door.refused = true;
      await cancelled(site, other, chain[at]!);
      for (const [i, id] of chain.entries()) {
        const state = await stance(site, other, id);
        if (i >= at) assert.equal(state, "cancelled", id);
        else assert.notEqual(state, "cancelled", id);
      }
      site.nodes[leader]!.door.open();
      await until("the refused one agrees", async () => {
        return (await stance(site, leader, chain[at]!)) === "cancelled";
      });
      assert.equal(await stance(site, leader, "last"), "cancelled");
      assert.equal(site.machinesOf("first").size > 0, true, "the first one runs on");
      assert.equal(
        site.starts.some((s) => /^(middle|last)\//.test(s)),
        false,
        "too_early or orphaned",
      );
    },
  );
}

scenario(
  "a follower whose answer is lost races the end of what it names: it runs once, after that",
  { taskS: 0.4 },
  async (site) => {
    const door = site.nodes[1]!.door;
    for (let round = 0; round < 4; round++) {
      const [first, follower] = [`first-${round}`, `follower-${round}`];
      await until("taken", async () => (await site.submit(0, first)).status <= 201);
      await sleep(0.12 * round);
      // Its write is carried out, and nobody hears so; the user asks another node.
      door.fate = (t) => (JSON.stringify(t).includes(follower) ? "answer lost" : "answered");
      const lost = site.submit(1, follower, { follows: [first] }).catch(() => null);
      await until("the write is carried out", () => site.state.keys.has(`p/${follower}`));
      door.fate = () => "answered";
      const again = await site.submit(2, follower, { follows: [first] });
      assert.equal(again.status, 200, "known");
      await until("it is done", async () => (await stance(site, 0, follower)) === "done");
      await lost;
      const starts = site.starts.filter((s) => s.startsWith(`${follower}/`));
      assert.equal(starts.length, 4, "each task once");
      const lastOfFirst = site.starts.findLastIndex((s) => s.startsWith(`${first}/`));
      assert.ok(lastOfFirst < site.starts.findIndex((s) => s.startsWith(`${follower}/`)));
    }
  },
);

scenario(
  "a follower whose answer is lost races the cancellation of what it names: accepted, and cancelled",
  {},
  async (site) => {
    await site.running("first");
    const door = site.nodes[1]!.door;
    door.fate = (t) => (JSON.stringify(t).includes("follower") ? "answer lost" : "answered");
    const lost = site.submit(1, "follower", { follows: ["first"] }).catch(() => null);
    await cancelled(site, 0, "first");
    door.fate = () => "answered";
    await until("it is taken", async () => {
      return (await site.submit(2, "follower", { follows: ["first"] })).status <= 201;
    });
    for (const i of [0, 1, 2]) assert.equal(await stance(site, i, "follower"), "cancelled");
    await lost;
    await sleep(0.5);
    assert.equal(
      site.starts.some((s) => s.startsWith("follower/")),
      false,
      "orphaned",
    );
  },
);

scenario(
  "what is not known to be accepted is not judged while the state service is away: 503 at once",
  {},
  async (site) => {
    await site.running("first");
    for (const n of site.nodes) n.door.refused = true;
    const began = performance.now();
    const refused = await site.submit(1, "follower", { follows: ["nobody"] });
    assert.equal(refused.status, 503, "never a guessed 422");
    assert.ok(refused.retryAfter !== undefined, "told when to come back");
    assert.ok(performance.now() - began < 2500, "not held back");
    for (const n of site.nodes) n.door.open();
    await until("a read tells that it never was", async () => {
      return (await site.submit(1, "follower", { follows: ["nobody"] })).status === 422;
    });
    assert.equal((await site.submit(1, "bad", { follows: [["first"]] })).status, 400);
  },
);
