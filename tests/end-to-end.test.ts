/**
 * Tests with controllers as real processes that communicate over loopback: while tasks run, the leader is killed, the
 * leader is paused and continued, and all processes restart.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { sleepSeconds } from "../src/time/sleep.js";
import { jobSpec } from "./support/job-builders.js";
import { MultiProcessCluster } from "./support/multi-process-cluster.js";
import { waitForProcesses } from "./support/waiting.js";

/** Submits six jobs, kills the leader while their tasks run, and waits until each job is done. */
async function killLeader(cluster: MultiProcessCluster): Promise<KilledLeaderResult> {
  const ids = Array.from({ length: 6 }, (_, index) => `run-${index}`);
  for (const [index, id] of ids.entries()) {
    // The status is 200 instead of 201 if the answer to the first attempt was late and the submission was repeated.
    assert.ok((await cluster.submitJob(index % 3, id, { tasks: 8 })).status <= 201);
  }
  await waitForProcesses("eight tasks have started", () => cluster.ruleChecker.startCount >= 8);
  const killed = cluster.leaderIndex();
  cluster.signalNode(killed, "SIGKILL");
  const leader = await cluster.awaitOtherLeader(killed);
  for (const id of ids) await awaitDone(cluster, leader, id);
  assert.ok(cluster.ruleChecker.startCount >= 48);
  const repeatedSubmission = await cluster.submitJob(leader, ids[0]!, { tasks: 1 });
  assert.deepEqual(repeatedSubmission, { status: 200, state: "done" });
  cluster.ruleChecker.jobSubmitted(jobSpec("run-nobody"));
  assert.equal((await cluster.queryJob(leader, "run-nobody")).status, 404);
  return { killed, ids };
}

/**
 * Suspends the leader's process until another node has acquired leadership; its clocks advance meanwhile. When the
 * process continues, its due timers and the buffered heartbeats and answers must not start any task.
 */
async function pauseLeader(cluster: MultiProcessCluster): Promise<void> {
  const jobIds = Array.from({ length: 4 }, (_, index) => `held-${index}`);
  for (const id of jobIds) await cluster.submitJob(1, id, { tasks: 8 });
  const paused = cluster.leaderIndex();
  const others = [0, 1, 2].filter((node) => node !== paused);
  cluster.signalNode(paused, "SIGSTOP");
  await cluster.awaitOtherLeader(paused);
  await sleepSeconds(1.5);
  const epoch = storedEpoch(cluster);
  cluster.signalNode(paused, "SIGCONT");
  for (const id of jobIds) await awaitDone(cluster, others[0]!, id);
  assert.ok(storedEpoch(cluster) >= epoch);
}

/**
 * Kills and restarts all processes twice, the second time during the election that follows the first. Each process
 * starts while requests of the killed one are still in flight. After the election, every node must know the state of
 * every job.
 */
async function restartAllProcesses(
  cluster: MultiProcessCluster,
  earlierIds: readonly string[],
): Promise<void> {
  const newIds = Array.from({ length: 4 }, (_, index) => `late-${index}`);
  for (const id of newIds) await cluster.submitJob(0, id);
  for (let round = 0; round < 2; round++) {
    for (let node = 0; node < 3; node++) cluster.replaceNode(node);
    await sleepSeconds(round === 0 ? 0.7 : 0);
  }
  for (const id of [...earlierIds, ...newIds]) await cluster.awaitJobState(id, "done");
}

interface KilledLeaderResult {
  readonly killed: number;
  /** Ids of the jobs that ran when the leader was killed. */
  readonly ids: readonly string[];
}

async function awaitDone(cluster: MultiProcessCluster, node: number, id: string): Promise<void> {
  await waitForProcesses(
    `${id} is done`,
    async () => (await cluster.queryJob(node, id)).state === "done",
  );
}

const storedEpoch = (cluster: MultiProcessCluster): number =>
  (cluster.stateService.entries.get("epoch")!.value as { n: number }).n;

test("no job is lost and no task runs twice when the leader is killed or paused, or all processes restart", {
  timeout: 120_000,
}, async () => {
  const cluster = await MultiProcessCluster.open({ taskMs: () => 1500 });
  try {
    for (let node = 0; node < 3; node++) cluster.startNode(node);
    const { killed, ids } = await killLeader(cluster);
    cluster.startNode(killed);
    await cluster.awaitHealthy(killed);
    await pauseLeader(cluster);
    await restartAllProcesses(cluster, ids);
    assert.deepEqual(cluster.ruleChecker.violations, []);
  } finally {
    cluster.close();
  }
});
