/** Admission by whole controllers that meet a burst, lose their leader, the state service or each other. */
import assert from "node:assert/strict";
import { AdmissionReplica, admissionStatus, formatStatus } from "../src/admission/index.js";
import { compareDecisionLogs } from "./support/decision-logs.js";
import type { InProcessCluster } from "./support/in-process-cluster.js";
import { clusterTest, sleepSeconds, waitUntil } from "./support/in-process-cluster.js";

const ON = "[admission]\nenabled = true\nqueue_ratio = 1\n";
const FIGURES = { operatorIni: ON, leaseS: 6 };
/** Sixteen CPUs run four tasks of four; as much again may wait. */
const FLOOD = { herd: "flood", strides: 4, cpus: 4 };

const admissionKeys = (site: InProcessCluster): string[] =>
  [...site.stateService.changeCounts.keys()].filter((key) => key.startsWith("a/"));

const window = (site: InProcessCluster) =>
  site.stateService.entries.get("a/w")?.value as { n: number; m: string; e: number } | undefined;

/** Fills the cluster and its queue until the leader limits admission. */
async function overload(site: InProcessCluster, name: string): Promise<void> {
  await waitUntil("the cloud has refused machines, and admission is limited", async () => {
    if (window(site)?.m === "limited") return true;
    await site.submitJob(
      0,
      `${name}-${site.stateService.entries.size}-${performance.now()}`,
      FLOOD,
    );
    return false;
  });
}

const refusedAs429 = (answer: { status: number; retryAfter: string | undefined }): boolean => {
  if (answer.status !== 429) return false;
  const seconds = Number(answer.retryAfter);
  assert.ok(seconds >= 1 && seconds <= 30, `Retry-After ${answer.retryAfter}`);
  return true;
};

clusterTest(
  "a burst at all nodes: refused at once, accepted jobs stay accepted, one log",
  FIGURES,
  async (site) => {
    await overload(site, "fill");
    await waitUntil("the class has nothing left", async () =>
      refusedAs429(await site.submitJob(1, `probe-${performance.now()}`, FLOOD)),
    );
    for (let round = 0; round < 5; round++) {
      const ids = Array.from({ length: 12 }, (_, n) => `burst-${round}-${n}`);
      const answers = await Promise.all(
        ids.flatMap((id, n) => [0, 1, 2].map((i) => site.submitJob((i + n) % 3, id, FLOOD))),
      );
      for (const a of answers) assert.ok(a.status <= 201 || refusedAs429(a), `${a.status}`);
    }
    const accepted = [...site.stateService.changeCounts.keys()].filter((key) =>
      key.startsWith("p/"),
    );
    for (const [n, key] of accepted.entries()) {
      // At any node, in any window.
      assert.equal((await site.submitJob(n % 3, key.slice(2), FLOOD)).status, 200);
    }
    // Asking, cancelling and what is wrong are never subject to admission.
    assert.equal((await site.queryJob(1, "burst-none")).status, 404);
    assert.equal((await site.submitJob(1, "wrong", { ...FLOOD, outfit: "nobody" })).status, 422);
    assert.equal((await site.submitJob(1, "bad", { ...FLOOD, strides: 0 })).status, 400);
    const one = accepted[0]!.slice(2);
    await waitUntil(
      "a cancellation goes through",
      async () => (await site.cancelJob(2, one)).status === 200,
    );
    // Another class of the team comes in: its first job is within what others may use.
    await waitUntil(
      "another class is admitted",
      async () => (await site.submitJob(2, "other", { herd: "web", strides: 1 })).status <= 201,
    );
    await sleepSeconds(1.5);
    assert.ok(compareDecisionLogs(site.admissionDecisions) > 5);
    const replica = new AdmissionReplica();
    const items = [...site.stateService.entries].map(([key, e]) => ({
      key,
      value: e.value,
      modRevision: e.modRevision,
    }));
    replica.reset(items, 0);
    const status = admissionStatus(replica);
    assert.deepEqual([status.window, status.limited], [window(site)!.n, true]);
    assert.ok(status.classes.some((c) => c.class === "flood" && c.lane === "new"));
    assert.match(formatStatus(status), /^window \d+, limited, term \d+\nteam +class +lane/);
  },
);

clusterTest(
  "the leader ends between a window and a claim: its successor writes the next one",
  FIGURES,
  async (site) => {
    await overload(site, "fill");
    const old = site.leaderIndex();
    const before = window(site)!;
    await site.stopNode(old);
    const others = [0, 1, 2].filter((i) => i !== old);
    await waitUntil("a window of the new term", () => (window(site)?.e ?? 0) > before.e);
    assert.ok(window(site)!.n > before.n);
    assert.equal(window(site)!.m, "limited");
    await waitUntil("it binds", async () =>
      refusedAs429(await site.submitJob(others[0]!, `late-${performance.now()}`, FLOOD)),
    );
    await sleepSeconds(1);
    assert.ok(compareDecisionLogs(others.map((i) => site.admissionDecisions[i]!)) > 0);
  },
);

clusterTest(
  "the state service refuses one node alone, then all: 503, never a verdict",
  FIGURES,
  async (site) => {
    await overload(site, "fill");
    const alone = [0, 1, 2].find((i) => i !== site.leaderIndex())!;
    site.nodes[alone]!.stateProxy.isRefusing = true;
    await waitUntil(
      "it says that it cannot know",
      async () => (await site.submitJob(alone, "alone", FLOOD)).status === 503,
    );
    for (const n of site.nodes) n.stateProxy.isRefusing = true;
    await sleepSeconds(0.5);
    for (const i of [0, 1, 2]) {
      await waitUntil(
        "nobody can know",
        async () => (await site.submitJob(i, "nobody", FLOOD)).status === 503,
      );
    }
    for (const n of site.nodes) n.stateProxy.reopen();
    await waitUntil("verdicts are back", async () =>
      refusedAs429(await site.submitJob(alone, `back-${performance.now()}`, FLOOD)),
    );
    await sleepSeconds(1);
    compareDecisionLogs(site.admissionDecisions);
  },
);

clusterTest(
  "answers to claims are lost: each job is charged once and accepted once",
  FIGURES,
  async (site) => {
    await overload(site, "fill");
    let lost = 0;
    for (const n of site.nodes) {
      n.stateProxy.fateOf = (txn) => {
        const claim = JSON.stringify(txn).includes('"write":"a/t/');
        return claim && lost++ % 2 === 0 ? "answer lost" : "answered";
      };
    }
    // The class is new, so that some are admitted in each window.
    const ids = Array.from({ length: 8 }, (_, n) => `lost-${n}`);
    for (const [n, id] of ids.entries()) {
      await waitUntil(
        `${id} is accepted`,
        async () =>
          (await site.submitJob(n % 3, id, { herd: "web", strides: 1, cpus: 0.25 })).status <= 201,
      );
    }
    assert.ok(lost > 0);
    for (const n of site.nodes) n.stateProxy.fateOf = () => "answered";
    for (const id of ids) {
      await waitUntil(`${id} is known`, async () => (await site.submitJob(0, id)).status === 200);
    }
    await sleepSeconds(1);
    compareDecisionLogs(site.admissionDecisions);
  },
);

clusterTest(
  "limits of the state service fall in a burst: windows and claims stay within them",
  FIGURES,
  async (site) => {
    await overload(site, "fill");
    site.stateService.limits = { valueBytes: 2048, txnOps: 8 };
    await waitUntil("a later window", async () => {
      await Promise.all(
        [0, 1, 2].map((i) => site.submitJob(i, `b-${i}-${performance.now()}`, FLOOD)),
      );
      return window(site)!.n > 4;
    });
    await waitUntil(
      "another class is admitted",
      async () => (await site.submitJob(2, "web", { herd: "web", strides: 1 })).status <= 201,
    );
  },
);

clusterTest(
  "switched off there is no new key; on and off while serving",
  { ...FIGURES, operatorIni: "" },
  async (site) => {
    for (let n = 0; n < 20; n++) {
      await waitUntil(
        `${n} is taken`,
        async () => (await site.submitJob(n % 3, `off-${n}`, FLOOD)).status <= 201,
      );
    }
    await sleepSeconds(1);
    assert.deepEqual(admissionKeys(site), []);
    // One after the other is switched on; as long as the leader has it off, nothing is limited.
    for (const i of [0, 1, 2]) {
      await site.stopNode(i);
      await site.startNode(i, ON);
    }
    await waitUntil("the leader limits admission", () => window(site)?.m === "limited");
    await waitUntil("a node refuses", async () =>
      refusedAs429(await site.submitJob(0, `on-${performance.now()}`, FLOOD)),
    );
    // Off again, one by one: the last window binds nobody once another term began.
    for (const i of [0, 1, 2]) {
      await site.stopNode(i);
      await site.startNode(i, "");
    }
    for (const i of [0, 1, 2]) {
      await waitUntil(
        "all is admitted",
        async () => (await site.submitJob(i, `again-${i}`, FLOOD)).status <= 201,
      );
    }
    for (let n = 0; n < 20; n++) {
      const id = `off-${n}`;
      assert.ok(["queued", "running"].includes((await site.queryJob(n % 3, id)).state!), id);
    }
  },
);
