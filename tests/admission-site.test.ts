/** Admission by a cluster of controllers in a burst, after the leader stops, and while the state service fails. */
import assert from "node:assert/strict";
import { AdmissionReplica, admissionStatus, formatStatus } from "../src/admission/index.js";
import { sleepSeconds } from "../src/time/sleep.js";
import { compareDecisionLogs } from "./support/decision-logs.js";
import type { InProcessCluster } from "./support/in-process-cluster.js";
import { clusterTest } from "./support/in-process-cluster.js";
import { waitUntil } from "./support/waiting.js";

const ENABLED = "[admission]\nenabled = true\nqueue_ratio = 1\n";
const OPTIONS = { operatorIni: ENABLED, leaseS: 6 };
/** A cluster of 16 CPUs runs four tasks of four CPUs each, and its queue holds as much work again. */
const FLOOD = { class: "flood", tasks: 4, cpus: 4 };

const admissionKeys = (cluster: InProcessCluster): string[] =>
  [...cluster.stateService.changeCounts.keys()].filter((key) => key.startsWith("a/"));

const storedWindow = (cluster: InProcessCluster) =>
  cluster.stateService.entries.get("a/w")?.value as { n: number; m: string; e: number } | undefined;

/** Submits jobs until the cluster and its queue are full and the leader limits admission. */
async function fillUntilLimited(cluster: InProcessCluster, name: string): Promise<void> {
  await waitUntil("the cloud has refused machines, and admission is limited", async () => {
    if (storedWindow(cluster)?.m === "limited") return true;
    await cluster.submitJob(
      0,
      `${name}-${cluster.stateService.entries.size}-${performance.now()}`,
      FLOOD,
    );
    return false;
  });
}

const isRejected = (answer: { status: number; retryAfter: string | undefined }): boolean => {
  if (answer.status !== 429) return false;
  const seconds = Number(answer.retryAfter);
  assert.ok(seconds >= 1 && seconds <= 30, `Retry-After ${answer.retryAfter}`);
  return true;
};

clusterTest(
  "all controllers reject a burst at once, keep accepted jobs accepted and log the same decisions",
  OPTIONS,
  async (cluster) => {
    await fillUntilLimited(cluster, "fill");
    await waitUntil("the grant of the class is used up", async () =>
      isRejected(await cluster.submitJob(1, `probe-${performance.now()}`, FLOOD)),
    );
    for (let round = 0; round < 5; round++) {
      const ids = Array.from({ length: 12 }, (_, number) => `burst-${round}-${number}`);
      const answers = await Promise.all(
        ids.flatMap((id, number) =>
          [0, 1, 2].map((node) => cluster.submitJob((node + number) % 3, id, FLOOD)),
        ),
      );
      for (const answer of answers) {
        assert.ok(answer.status <= 201 || isRejected(answer), `${answer.status}`);
      }
    }
    const accepted = [...cluster.stateService.changeCounts.keys()].filter((key) =>
      key.startsWith("p/"),
    );
    for (const [number, key] of accepted.entries()) {
      // Any controller confirms an accepted job, in any window.
      assert.equal((await cluster.submitJob(number % 3, key.slice(2), FLOOD)).status, 200);
    }
    // Queries, cancellations and invalid submissions are not subject to admission.
    assert.equal((await cluster.queryJob(1, "burst-none")).status, 404);
    assert.equal((await cluster.submitJob(1, "wrong", { ...FLOOD, team: "nobody" })).status, 422);
    assert.equal((await cluster.submitJob(1, "bad", { ...FLOOD, tasks: 0 })).status, 400);
    const cancelled = accepted[0]!.slice(2);
    await waitUntil(
      "the cancellation is accepted",
      async () => (await cluster.cancelJob(2, cancelled)).status === 200,
    );
    // The first job of another class of the team is admitted under the grant for classes without a grant of their
    // own.
    await waitUntil(
      "another class is admitted",
      async () => (await cluster.submitJob(2, "other", { class: "web", tasks: 1 })).status <= 201,
    );
    await sleepSeconds(1.5);
    assert.ok(compareDecisionLogs(cluster.admissionDecisions) > 5);
    const replica = new AdmissionReplica();
    const items = [...cluster.stateService.entries].map(([key, entry]) => ({
      key,
      value: entry.value,
      modRevision: entry.modRevision,
    }));
    replica.reset(items, 0);
    const status = admissionStatus(replica);
    assert.deepEqual([status.window, status.limited], [storedWindow(cluster)!.n, true]);
    assert.ok(status.classes.some((row) => row.class === "flood" && row.lane === "new"));
    assert.match(formatStatus(status), /^window \d+, limited, term \d+\nteam +class +lane/);
  },
);

clusterTest(
  "after the leader stops between a window and a claim, the next leader writes the next window",
  OPTIONS,
  async (cluster) => {
    await fillUntilLimited(cluster, "fill");
    const formerLeader = cluster.leaderIndex();
    const windowBefore = storedWindow(cluster)!;
    await cluster.stopNode(formerLeader);
    const remainingNodes = [0, 1, 2].filter((node) => node !== formerLeader);
    await waitUntil(
      "the new leader writes a window",
      () => (storedWindow(cluster)?.e ?? 0) > windowBefore.e,
    );
    assert.ok(storedWindow(cluster)!.n > windowBefore.n);
    assert.equal(storedWindow(cluster)!.m, "limited");
    await waitUntil("the new window limits admission", async () =>
      isRejected(await cluster.submitJob(remainingNodes[0]!, `late-${performance.now()}`, FLOOD)),
    );
    await sleepSeconds(1);
    assert.ok(
      compareDecisionLogs(remainingNodes.map((node) => cluster.admissionDecisions[node]!)) > 0,
    );
  },
);

clusterTest(
  "controllers answer 503 instead of a verdict while the state service refuses their requests",
  OPTIONS,
  async (cluster) => {
    await fillUntilLimited(cluster, "fill");
    const refusedNode = [0, 1, 2].find((node) => node !== cluster.leaderIndex())!;
    cluster.nodes[refusedNode]!.stateProxy.isUnavailable = true;
    await waitUntil(
      "the controller answers that it cannot decide",
      async () => (await cluster.submitJob(refusedNode, "alone", FLOOD)).status === 503,
    );
    for (const { stateProxy } of cluster.nodes) stateProxy.isUnavailable = true;
    await sleepSeconds(0.5);
    for (const node of [0, 1, 2]) {
      await waitUntil(
        "no controller can decide",
        async () => (await cluster.submitJob(node, "nobody", FLOOD)).status === 503,
      );
    }
    for (const { stateProxy } of cluster.nodes) stateProxy.endOutage();
    await waitUntil("the controller decides again", async () =>
      isRejected(await cluster.submitJob(refusedNode, `back-${performance.now()}`, FLOOD)),
    );
    await sleepSeconds(1);
    compareDecisionLogs(cluster.admissionDecisions);
  },
);

clusterTest(
  "a claim whose answer is lost is charged once, and its job is accepted once",
  OPTIONS,
  async (cluster) => {
    await fillUntilLimited(cluster, "fill");
    let claimCount = 0;
    for (const { stateProxy } of cluster.nodes) {
      stateProxy.handlingOf = (transaction) => {
        const isClaim = transaction.changes.some(
          ({ op, key }) => op === "put" && key.startsWith("a/t/"),
        );
        return isClaim && claimCount++ % 2 === 0 ? "answer lost" : "answered";
      };
    }
    // The class is new, so that each window admits some of its jobs.
    const ids = Array.from({ length: 8 }, (_, number) => `lost-${number}`);
    for (const [number, id] of ids.entries()) {
      await waitUntil(
        `job ${id} is accepted`,
        async () =>
          (await cluster.submitJob(number % 3, id, { class: "web", tasks: 1, cpus: 0.25 }))
            .status <= 201,
      );
    }
    assert.ok(claimCount > 0);
    for (const { stateProxy } of cluster.nodes) stateProxy.handlingOf = () => "answered";
    for (const id of ids) {
      await waitUntil(
        `job ${id} is known`,
        async () => (await cluster.submitJob(0, id)).status === 200,
      );
    }
    await sleepSeconds(1);
    compareDecisionLogs(cluster.admissionDecisions);
  },
);

clusterTest(
  "windows and claims stay within the limits of the state service after these are lowered in a burst",
  OPTIONS,
  async (cluster) => {
    await fillUntilLimited(cluster, "fill");
    cluster.stateService.limits = { valueBytes: 2048, txnOps: 8 };
    await waitUntil("the leader writes a later window", async () => {
      await Promise.all(
        [0, 1, 2].map((node) => cluster.submitJob(node, `b-${node}-${performance.now()}`, FLOOD)),
      );
      return storedWindow(cluster)!.n > 4;
    });
    await waitUntil(
      "another class is admitted",
      async () => (await cluster.submitJob(2, "web", { class: "web", tasks: 1 })).status <= 201,
    );
  },
);

clusterTest(
  "admission control stores nothing while disabled, and can be enabled and disabled in a running cluster",
  { ...OPTIONS, operatorIni: "" },
  async (cluster) => {
    for (let number = 0; number < 20; number++) {
      await waitUntil(
        `job off-${number} is accepted`,
        async () => (await cluster.submitJob(number % 3, `off-${number}`, FLOOD)).status <= 201,
      );
    }
    await sleepSeconds(1);
    assert.deepEqual(admissionKeys(cluster), []);
    // Enables admission control on the controllers one by one. Nothing is limited until it is enabled on the leader.
    for (const node of [0, 1, 2]) {
      await cluster.stopNode(node);
      await cluster.startNode(node, ENABLED);
    }
    await waitUntil("the leader limits admission", () => storedWindow(cluster)?.m === "limited");
    await waitUntil("a controller rejects a job", async () =>
      isRejected(await cluster.submitJob(0, `on-${performance.now()}`, FLOOD)),
    );
    // Disables admission control on the controllers one by one. The last window is not in force under the next epoch.
    for (const node of [0, 1, 2]) {
      await cluster.stopNode(node);
      await cluster.startNode(node, "");
    }
    for (const node of [0, 1, 2]) {
      await waitUntil(
        "the controller admits a job",
        async () => (await cluster.submitJob(node, `again-${node}`, FLOOD)).status <= 201,
      );
    }
    for (let number = 0; number < 20; number++) {
      const id = `off-${number}`;
      const { state } = await cluster.queryJob(number % 3, id);
      assert.ok(["queued", "running"].includes(state!), id);
    }
  },
);
