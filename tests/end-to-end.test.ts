/** Real processes on loopback: the leader is killed, or stopped and continued, while tasks run. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { sleepSeconds } from "../src/time/sleep.js";
import { jobSpec } from "./support/job-builders.js";
import { MultiProcessCluster } from "./support/multi-process-cluster.js";
import { waitForProcesses } from "./support/waiting.js";

/** Submits six jobs, kills the leader while their tasks run, and expects each to complete once. */
async function leaderIsKilled(site: MultiProcessCluster): Promise<KilledLeader> {
  const ids = Array.from({ length: 6 }, (_, index) => `run-${index}`);
  for (const [index, id] of ids.entries()) {
    // 200 if the answer to the first attempt was late and the submission was repeated.
    assert.ok((await site.submitJob(index % 3, id, { tasks: 8 })).status <= 201);
  }
  await waitForProcesses("tasks run", () => site.ruleChecker.startCount >= 8);
  const killed = site.leaderIndex();
  site.signalNode(killed, "SIGKILL");
  const leader = await site.awaitOtherLeader(killed);
  for (const id of ids) await awaitDone(site, leader, id);
  assert.ok(site.ruleChecker.startCount >= 48);
  const again = await site.submitJob(leader, ids[0]!, { tasks: 1 });
  assert.deepEqual(again, { status: 200, state: "done" });
  site.ruleChecker.jobSubmitted(jobSpec("run-nobody"));
  assert.equal((await site.queryJob(leader, "run-nobody")).status, 404);
  return { killed, ids };
}

/**
 * A leader is paused while its clocks run, and another acquires leadership. What is in its buffers when it
 * continues (due timers, heartbeats, answers) must start nothing.
 */
async function leaderIsPaused(site: MultiProcessCluster): Promise<void> {
  const held = Array.from({ length: 4 }, (_, index) => `held-${index}`);
  for (const id of held) await site.submitJob(1, id, { tasks: 8 });
  const paused = site.leaderIndex();
  const others = [0, 1, 2].filter((node) => node !== paused);
  site.signalNode(paused, "SIGSTOP");
  await site.awaitOtherLeader(paused);
  await sleepSeconds(1.5);
  const epoch = storedEpoch(site);
  site.signalNode(paused, "SIGCONT");
  for (const id of held) await awaitDone(site, others[0]!, id);
  assert.ok(storedEpoch(site) >= epoch);
}

/**
 * All processes restart in the middle of an election, each at once, while requests of its predecessor are still
 * in flight: after the election every node knows the state of every job.
 */
async function allProcessesRestart(
  site: MultiProcessCluster,
  earlierIds: readonly string[],
): Promise<void> {
  const late = Array.from({ length: 4 }, (_, index) => `late-${index}`);
  for (const id of late) await site.submitJob(0, id);
  for (let round = 0; round < 2; round++) {
    for (let node = 0; node < 3; node++) site.replaceNode(node);
    await sleepSeconds(round === 0 ? 0.7 : 0);
  }
  for (const id of [...earlierIds, ...late]) await site.awaitJobState(id, "done");
}

interface KilledLeader {
  readonly killed: number;
  /** The jobs that ran meanwhile. */
  readonly ids: readonly string[];
}

async function awaitDone(site: MultiProcessCluster, node: number, id: string): Promise<void> {
  await waitForProcesses(
    `${id} is done`,
    async () => (await site.queryJob(node, id)).state === "done",
  );
}

const storedEpoch = (site: MultiProcessCluster): number =>
  (site.stateService.entries.get("epoch")!.value as { n: number }).n;

test("no job is lost and no task runs twice when the leader is killed or paused, or all processes restart", {
  timeout: 120_000,
}, async () => {
  const site = await MultiProcessCluster.open({ taskMs: () => 1500 });
  try {
    for (let node = 0; node < 3; node++) site.startNode(node);
    const { killed, ids } = await leaderIsKilled(site);
    site.startNode(killed);
    await site.awaitHealthy(killed);
    await leaderIsPaused(site);
    await allProcessesRestart(site, ids);
    assert.deepEqual(site.ruleChecker.violations, []);
  } finally {
    site.close();
  }
});
