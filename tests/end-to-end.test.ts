/** Real processes on loopback: the leader is killed or stands still while tasks run. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { spec } from "./helpers.js";
import { eventually, ProcessSite } from "./process-site.js";
import { sleep } from "./site.js";

test("killing the leader loses no job and runs nothing twice", { timeout: 120_000 }, async () => {
  const site = await ProcessSite.open({ taskMs: () => 1500 });
  try {
    for (let i = 0; i < 3; i++) site.start(i);
    const ids = Array.from({ length: 6 }, (_, i) => `run-${i}`);
    for (const [i, id] of ids.entries()) {
      // 200 if the answer to a first try was late and it was asked again.
      assert.ok((await site.submit(i % 3, id, { strides: 8 })).status <= 201);
    }
    await eventually("tasks run", () => site.rules.starts >= 8);
    const killed = site.leader();
    site.signal(killed, "SIGKILL");
    const leader = await site.otherLeader(killed);
    for (const id of ids) {
      await eventually(
        `${id} is done`,
        async () => (await site.query(leader, id)).state === "done",
      );
    }
    assert.ok(site.rules.starts >= 48);
    const again = await site.submit(leader, ids[0]!, { strides: 1 });
    assert.deepEqual(again, { status: 200, state: "done" });
    site.rules.submitted(spec("run-nobody"));
    assert.equal((await site.query(leader, "run-nobody")).status, 404);

    // A leader stands still while its clocks run, and another takes the term. What it had in its buffers
    // when it wakes (due timers, reports, answers) must start nothing.
    site.start(killed);
    await site.healthy(killed);
    const held = Array.from({ length: 4 }, (_, i) => `held-${i}`);
    for (const id of held) await site.submit(1, id, { strides: 8 });
    const still = site.leader();
    const others = [0, 1, 2].filter((i) => i !== still);
    site.signal(still, "SIGSTOP");
    await site.otherLeader(still);
    await sleep(1.5);
    const epoch = (site.state.keys.get("epoch")!.data as { n: number }).n;
    site.signal(still, "SIGCONT");
    for (const id of held) {
      await eventually(`${id} is done`, async () => {
        return (await site.query(others[0]!, id)).state === "done";
      });
    }
    assert.ok((site.state.keys.get("epoch")!.data as { n: number }).n >= epoch);

    // Everything restarts in the middle of an election, each process back at once, with its former
    // self's requests still under way: once it is over, every node answers about every job.
    const late = Array.from({ length: 4 }, (_, i) => `late-${i}`);
    for (const id of late) await site.submit(0, id);
    for (let round = 0; round < 2; round++) {
      for (let i = 0; i < 3; i++) site.replace(i);
      await sleep(round === 0 ? 0.7 : 0);
    }
    for (const id of [...ids, ...late]) await site.becomes(id, "done");
    assert.deepEqual(site.rules.faults, []);
  } finally {
    site.close();
  }
});
