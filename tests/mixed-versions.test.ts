/**
 * Rolling upgrades: processes of the version in production and of this one in one cluster, on each other's stored state.
 * Whichever leads, and whichever answers a user, the protocol's rules hold for all answers to users and workers.
 */
import assert from "node:assert/strict";
import { after, before, type TestContext, test } from "node:test";
import {
  MultiProcessCluster,
  type MultiProcessClusterOptions,
  PROGRAM,
} from "./support/multi-process-cluster.js";
import { buildProductionVersion, isProductionCommitAvailable } from "./support/production-build.js";
import { waitForProcesses } from "./support/waiting.js";

const NODES = [0, 1, 2];
/** An array with this many tasks is stored in shards by either version. */
const LARGE = 700;
const TINY = { cpus: 0.02, memoryGb: 0.02 };

let production: string | null = null;
before(() => {
  if (isProductionCommitAvailable()) production = buildProductionVersion();
});

/** Runs a scenario on three processes of the version in production, and checks the rules at its end. */
async function mixed(
  context: TestContext,
  scenario: (site: MultiProcessCluster, old: string) => Promise<void>,
  options: Partial<MultiProcessClusterOptions> = {},
): Promise<void> {
  if (production === null) {
    context.skip("the history of the repository does not hold the version in production");
    return;
  }
  const site = await MultiProcessCluster.open({
    taskMs: (job) => (job.startsWith("long") ? 1e6 : 1500),
    state: { next: { value_kb: 2, txn_ops: 8, write_rps: 300 } },
    ...options,
  });
  try {
    for (const node of NODES) site.startNode(node, production);
    for (const node of NODES) await site.awaitHealthy(node);
    await waitForProcesses(
      "a process of the version in production leads",
      () => site.leaderIndex() >= 0,
    );
    await scenario(site, production);
    assert.deepEqual(site.ruleChecker.violations, []);
  } finally {
    site.close();
  }
}

const followers = (site: MultiProcessCluster): number[] =>
  NODES.filter((node) => node !== site.leaderIndex());

/** Submits jobs of all kinds, one of them sharded, and returns the ids of those that finish soon. */
async function submitAll(site: MultiProcessCluster, node: number, name: string): Promise<string[]> {
  const ended = [`array-${name}`, `gang-${name}`, `large-${name}`];
  const service = { kind: "service" as const, tasks: 2, estimateS: 0, spread: true };
  await site.submitJob(node, `long-service-${name}`, service);
  await site.submitJob(node, `long-gang-${name}`, { kind: "gang", tasks: 2, oneZone: true });
  await site.submitJob(node, ended[0]!, { tasks: 3, zone: "b" });
  await site.submitJob(node, ended[1]!, { kind: "gang", tasks: 2 });
  await site.submitJob(node, ended[2]!, { ...TINY, tasks: LARGE });
  return ended;
}

const running = (site: MultiProcessCluster, id: string, tasks: number) =>
  waitForProcesses(`${id} runs`, () => site.ruleChecker.runningTaskCount(id) === tasks);

/** Cancels a job whose machines are unreachable for 1.2 s: it may be confirmed only once its tasks stopped. */
async function cancelUnreachable(
  site: MultiProcessCluster,
  node: number,
  id: string,
): Promise<void> {
  await running(site, id, 2);
  const unreachable = site.dropInboundTraffic(id, 1.2);
  assert.equal((await site.cancelJob(node, id)).state, "cancelled");
  await unreachable;
}

test(
  "all rules hold under a production leader with new followers, and under a new leader with a production follower",
  {
    timeout: 180_000,
  },
  (context) =>
    mixed(context, async (site, old) => {
      const leader = site.leaderIndex();
      const ended = await submitAll(site, leader, "first");
      for (const follower of followers(site)) {
        site.replaceNode(follower, PROGRAM);
        await site.awaitHealthy(follower);
      }
      assert.equal(site.leaderIndex(), leader, "the version in production still leads");
      const [one, other] = followers(site) as [number, number];
      ended.push(...(await submitAll(site, one, "second")));
      await running(site, "long-service-second", 2);
      // A cancellation that a new process confirms while one of the version in production leads.
      await cancelUnreachable(site, other, "long-gang-first");
      await site.awaitJobState("long-gang-first", "cancelled");

      // The leader restarts while all of that is in progress, on the same version.
      site.replaceNode(leader, old);
      await site.awaitOtherLeader(leader);
      await site.awaitHealthy(leader);
      ended.push(...(await submitAll(site, leader, "third")));
      await running(site, "long-service-third", 2);
      // A cancellation that a process of the version in production confirms while a new one leads.
      await cancelUnreachable(site, leader, "long-service-first");
      await site.awaitJobState("long-service-first", "cancelled");
      for (const id of ended) await site.awaitJobState(id, "done");

      // All processes are new: jobs may depend on others, whichever version accepted those.
      site.replaceNode(leader, PROGRAM);
      await site.awaitHealthy(leader);
      await site.submitJob(leader, "long-head");
      await site.submitJob(one, "after-head", { after: ["long-head"] });
      await site.submitJob(other, "after-done", { after: ["array-first", "large-third"] });
      await site.awaitJobState("after-done", "done");
      assert.equal((await site.cancelJob(one, "long-head")).state, "cancelled");
      await site.awaitJobState("after-head", "cancelled");
      assert.equal(
        site.ruleChecker.runningTaskCount("long-service-second"),
        2,
        "running replicas were not restarted",
      );
    }),
);

test(
  "the upgrade can be rolled back while jobs run, as long as no job depends on another",
  {
    timeout: 180_000,
  },
  (context) =>
    mixed(context, async (site, old) => {
      const ended = await submitAll(site, 0, "before");
      for (const node of NODES) {
        site.replaceNode(node, PROGRAM);
        await site.awaitHealthy(node);
      }
      await waitForProcesses("a new process leads", () => site.leaderIndex() >= 0);
      ended.push(...(await submitAll(site, site.leaderIndex(), "during")));
      await running(site, "long-service-during", 2);
      for (const node of NODES) {
        site.replaceNode(node, old);
        await site.awaitHealthy(node);
      }
      await waitForProcesses(
        "a process of the version in production leads",
        () => site.leaderIndex() >= 0,
      );
      ended.push(...(await submitAll(site, 1, "after")));
      for (const id of ended) await site.awaitJobState(id, "done");
      for (const name of ["before", "during", "after"]) {
        await running(site, `long-service-${name}`, 2);
        assert.equal((await site.cancelJob(2, `long-gang-${name}`)).state, "cancelled");
        await site.awaitJobState(`long-gang-${name}`, "cancelled");
      }
    }),
);

test(
  "all rules hold when all processes restart at once, in changing mixes of both versions",
  {
    timeout: 180_000,
  },
  (context) =>
    mixed(context, async (site, old) => {
      const ended = await submitAll(site, 0, "first");
      for (let round = 0; round < 3; round++) {
        for (const node of NODES) site.replaceNode(node, (node + round) % 2 === 0 ? PROGRAM : old);
        for (const node of NODES) await site.awaitHealthy(node);
        await waitForProcesses("leadership is acquired", () => site.leaderIndex() >= 0);
        ended.push(...(await submitAll(site, round, `round-${round}`)));
        const gang = `long-gang-round-${round}`;
        assert.equal((await site.cancelJob(site.leaderIndex(), gang)).state, "cancelled");
        await site.awaitJobState(gang, "cancelled");
      }
      for (const id of ended) await site.awaitJobState(id, "done");
    }),
);

const ADMISSION_ON = "[admission]\nenabled = true\nqueue_ratio = 1\n";

test(
  "admission control works on new nodes while others, and at times the leader, run the version in production",
  { timeout: 180_000 },
  (context) =>
    mixed(
      context,
      async (site, old) => {
        const flood = { class: "flood", tasks: 4, cpus: 4 };
        const acceptedJobs: string[] = [];
        const submitAt = async (node: number, name: string): Promise<number> => {
          const answer = await site.submitJobOnce(node, name, flood);
          if (answer.status <= 201) acceptedJobs.push(name);
          return answer.status;
        };
        const [one, other] = followers(site) as [number, number];
        const leader = site.leaderIndex();
        for (const follower of [one, other]) {
          site.replaceNode(follower, PROGRAM);
          await site.awaitHealthy(follower);
        }
        // The leader writes no admission windows: no submission is rejected by fair share.
        for (let jobNumber = 0; jobNumber < 12; jobNumber++)
          assert.ok((await submitAt(jobNumber % 3, `old-${jobNumber}`)) <= 201);
        assert.equal(site.stateService.entries.has("a/w"), false);
        // A new process leads, with admission control; the other version accepts all jobs, which no rule forbids.
        site.replaceNode(leader, old);
        await site.awaitOtherLeader(leader);
        await site.awaitHealthy(leader);
        let jobNumber = 0;
        await waitForProcesses("a new process rejects", async () => {
          return (await submitAt(site.leaderIndex(), `new-${jobNumber++}`)) === 429;
        });
        await waitForProcesses("the version in production accepts it", async () => {
          return (await submitAt(leader, `beside-${jobNumber++}`)) <= 201;
        });
        // The version in production leads again: the stored window is no longer in force.
        const term = site.epoch();
        site.replaceNode(one, old);
        site.replaceNode(other, old);
        await waitForProcesses(
          "a process of the version in production leads",
          () => site.epoch() > term && site.leaderIndex() >= 0,
        );
        const fresh = followers(site)[0]!;
        site.replaceNode(fresh, PROGRAM);
        await site.awaitHealthy(fresh);
        await waitForProcesses("all is admitted", async () => {
          return (await submitAt(fresh, `late-${jobNumber++}`)) <= 201;
        });
        for (const id of acceptedJobs) await site.awaitJobState(id, "done");
      },
      { operatorIni: ADMISSION_ON },
    ),
);

after(() => {
  production = null;
});
