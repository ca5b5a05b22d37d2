/** Real processes on loopback: the leader is killed, or stopped and continued, while tasks run. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { jobSpec } from "./support/job-builders.js";
import { MultiProcessCluster } from "./support/multi-process-cluster.js";
import { sleepSeconds, waitForProcesses } from "./support/waiting.js";

test("no job is lost and no task runs twice when the leader is killed or paused, or all processes restart", {
  timeout: 120_000,
}, async () => {
  const site = await MultiProcessCluster.open({ taskMs: () => 1500 });
  try {
    for (let i = 0; i < 3; i++) site.startNode(i);
    const ids = Array.from({ length: 6 }, (_, i) => `run-${i}`);
    for (const [i, id] of ids.entries()) {
      // 200 if the answer to a first try was late and it was asked again.
      assert.ok((await site.submitJob(i % 3, id, { tasks: 8 })).status <= 201);
    }
    await waitForProcesses("tasks run", () => site.ruleChecker.startCount >= 8);
    const killed = site.leaderIndex();
    site.signalNode(killed, "SIGKILL");
    const leader = await site.awaitOtherLeader(killed);
    for (const id of ids) {
      await waitForProcesses(
        `${id} is done`,
        async () => (await site.queryJob(leader, id)).state === "done",
      );
    }
    assert.ok(site.ruleChecker.startCount >= 48);
    const again = await site.submitJob(leader, ids[0]!, { tasks: 1 });
    assert.deepEqual(again, { status: 200, state: "done" });
    site.ruleChecker.jobSubmitted(jobSpec("run-nobody"));
    assert.equal((await site.queryJob(leader, "run-nobody")).status, 404);

    // A leader is paused while its clocks run, and another acquires leadership. What is in its buffers when it
    // continues (due timers, heartbeats, answers) must start nothing.
    site.startNode(killed);
    await site.awaitHealthy(killed);
    const held = Array.from({ length: 4 }, (_, i) => `held-${i}`);
    for (const id of held) await site.submitJob(1, id, { tasks: 8 });
    const paused = site.leaderIndex();
    const others = [0, 1, 2].filter((i) => i !== paused);
    site.signalNode(paused, "SIGSTOP");
    await site.awaitOtherLeader(paused);
    await sleepSeconds(1.5);
    const epoch = (site.stateService.entries.get("epoch")!.value as { n: number }).n;
    site.signalNode(paused, "SIGCONT");
    for (const id of held) {
      await waitForProcesses(`${id} is done`, async () => {
        return (await site.queryJob(others[0]!, id)).state === "done";
      });
    }
    assert.ok((site.stateService.entries.get("epoch")!.value as { n: number }).n >= epoch);

    // All processes restart in the middle of an election, each at once, while requests of its predecessor are still
    // under way: after the election every node answers about every job.
    const late = Array.from({ length: 4 }, (_, i) => `late-${i}`);
    for (const id of late) await site.submitJob(0, id);
    for (let round = 0; round < 2; round++) {
      for (let i = 0; i < 3; i++) site.replaceNode(i);
      await sleepSeconds(round === 0 ? 0.7 : 0);
    }
    for (const id of [...ids, ...late]) await site.awaitJobState(id, "done");
    assert.deepEqual(site.ruleChecker.violations, []);
  } finally {
    site.close();
  }
});
