/** A controller that loses the state service and the other controllers, but not its workers. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { formatResiduals, ownDependencies } from "../src/core/jobs/pipeline.js";
import type { WorkerHeartbeat } from "../src/core/model/workers.js";
import { HttpConnectionPool } from "../src/net/http-connection-pool.js";
import { encodePeerHeartbeat } from "../src/peers/codec.js";
import { sleepSeconds } from "../src/time/sleep.js";
import { encodeCommands, encodeRedirect } from "../src/wire/commands.js";
import { decodeRedirect } from "../src/wire/counterpart.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { PATH } from "../src/wire/names.js";
import { encodeWorkerHeartbeat } from "../src/wire/worker-heartbeat.js";
import { CloudStandIn } from "./support/cloud-stand-in.js";
import {
  controllerSettingsText,
  createController,
  FAST_STATE_SERVICE,
  startController,
} from "./support/controllers.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { freeAddress, freeAddresses } from "./support/ports.js";
import { StateServiceStandIn } from "./support/state-service-stand-in.js";
import { waitUntil } from "./support/waiting.js";

const MAX_CONNECTIONS = 8;
const REQUEST_TIMEOUT_MS = 2000;
/** Each look is a request to the node. */
const LOOKS = { timeoutS: 15, intervalS: 0.1 };

/** A node against stand-ins, and a way to send heartbeats to it. */
async function nodeWith(state: StateServiceStandIn, cloudAddress: string, leaseS: number) {
  const [address, peerAddress, otherAddress] = (await freeAddresses(3)) as [string, string, string];
  const settings = controllerSettingsText({
    node: { member: "n0", zone: "a", address, peerAddress },
    peers: [{ member: "n9", zone: "b", address: "", peerAddress: otherAddress }],
    services: { cloud: cloudAddress, state: state.address },
    shared: {
      workers: { report_s: 3, lease_s: leaseS, gang_wait_s: 10, gang_peer_s: 3, cancel_s: 10 },
      state: FAST_STATE_SERVICE,
    },
  });
  const node = createController(settings);
  const peer = new HttpConnectionPool(address, MAX_CONNECTIONS);
  let seq = 1;
  const report = async (name: string, change: Partial<WorkerHeartbeat> = {}) => {
    const r: WorkerHeartbeat = {
      machine: "m-1",
      address: "127.0.0.1:1",
      type: "small",
      zone: "a",
      spot: false,
      incarnation: 1,
      sequence: seq++,
      fencingToken: 7,
      interruptionNoticeS: null,
      tasks: [taskStatus(name, 0, 1)],
      ...change,
    };
    const reply = await peer.request(
      "POST",
      PATH.heartbeat,
      encode(encodeWorkerHeartbeat(r)),
      REQUEST_TIMEOUT_MS,
    );
    return { status: reply.status, body: decode(reply.body) };
  };
  await startController(node);
  return { node, peer, report, peerAddress };
}

test("cut off with its workers it keeps replicas alive without commands, and refuses users at once", {
  timeout: 60_000,
}, async () => {
  const state = new StateServiceStandIn();
  const cloud = new CloudStandIn();
  await state.start();
  await cloud.start();
  const put = (key: string, data: unknown): void => {
    state.entries.set(key, { value: data, modRevision: 1, lease: null });
  };
  put("lead", { member: "n9", epoch: 7, lease: 99 });
  put("epoch", { n: 7 });
  const job = (id: string, change: object): void => {
    const r = formatResiduals(ownDependencies(id));
    put(`p/${id}`, { j: jobSpec(id, change), at: 0, r, v: 1, n: 1, o: 0, done: "", pl: [] });
  };
  job("web", { kind: "service" });
  job("gone", { kind: "service" });
  put("x/gone", { at: 0, told: true });
  job("list", { kind: "array" });

  const { node, peer, report } = await nodeWith(state, cloud.address, 2);
  try {
    // In contact: workers are sent to the leader, whatever they run.
    assert.deepEqual(await report("web"), { status: 421, body: encodeRedirect("n9") });
    // Contact for longer than a lease of 2 s. A gap in it, two seconds here, is noticed by and by.
    await sleepSeconds(5);
    const stopped = performance.now();
    state.stop();
    await waitUntil(
      "it answers by itself",
      async () => (await report("web")).status === 200,
      LOOKS,
    );
    assert.deepEqual(await report("web"), { status: 200, body: encodeCommands(7, null, []) });
    assert.equal((await report("web", { fencingToken: 6 })).status, 200);
    assert.equal(
      (await report("web", { fencingToken: 8 })).status,
      421,
      "somebody else has taken over",
    );
    assert.equal((await report("web", { zone: "b" })).status, 421, "not of this zone");
    assert.equal((await report("list")).status, 421, "arrays start again elsewhere");
    const both = [taskStatus("web", 0, 1), taskStatus("gone", 0, 1)];
    assert.equal((await report("web", { tasks: both })).status, 421, "cancelled, must be gone");
    const began = performance.now();
    const asked = await peer.request("GET", "/api/jobs/web", null, 2000);
    assert.equal(asked.status, 503);
    assert.equal(asked.headers.get("retry-after"), "1");
    assert.ok(performance.now() - began < 1000, "refused at once");
    await waitUntil(
      "keep_ratio leases are over",
      async () => (await report("web")).status === 421,
      LOOKS,
    );
    assert.ok(performance.now() - stopped > 10_000, "but not before");
  } finally {
    peer.close();
    await node.stop();
    cloud.stop();
    state.stop();
  }
});

test("between two leaders any node answers for part of a lease, so that workers do not all come back", {
  timeout: 60_000,
}, async () => {
  const state = new StateServiceStandIn();
  await state.start();
  state.entries.set("epoch", { value: { n: 7 }, modRevision: 1, lease: null });
  state.entries.set("x/gone", { value: { at: 0, told: true }, modRevision: 1, lease: null });
  // Without machine types the node cannot take the term itself.
  const nobody = await freeAddress();
  const { node, peer, report } = await nodeWith(state, nobody, 30);
  try {
    assert.deepEqual(await report("list"), { status: 200, body: encodeCommands(7, null, []) });
    assert.equal((await report("list", { fencingToken: 8 })).status, 421, "there is a later term");
    assert.equal((await report("gone")).status, 421, "cancelled, must be gone");
    await waitUntil(
      "a third of a lease is over",
      async () => (await report("list")).status === 421,
      LOOKS,
    );
  } finally {
    peer.close();
    await node.stop();
    state.stop();
  }
});

test("while a new leader settles, the others send on so many workers a second and answer the rest", {
  timeout: 60_000,
}, async () => {
  const state = new StateServiceStandIn();
  await state.start();
  state.entries.set("epoch", { value: { n: 7 }, modRevision: 1, lease: null });
  const lead = { member: "n9", epoch: 7, lease: 1, at: Date.now() };
  state.entries.set("lead", { value: lead, modRevision: 1, lease: null });
  state.entries.set("x/gone", { value: { at: 0, told: true }, modRevision: 1, lease: null });
  const nobody = await freeAddress();
  const { node, peer, report } = await nodeWith(state, nobody, 6);
  try {
    const hundred = async () => {
      const out: Awaited<ReturnType<typeof report>>[] = [];
      for (let i = 0; i < 100; i++) out.push(await report("list"));
      return out;
    };
    const all = await hundred();
    const answered = all.filter((r) => r.status === 200);
    const sentOn = all.filter((r) => r.status === 421);
    assert.ok(sentOn.length >= 1 && sentOn.length <= 95, `${sentOn.length} sent on`);
    assert.equal(answered.length + sentOn.length, 100);
    for (const r of answered) assert.deepEqual(r.body, encodeCommands(7, null, []));
    for (const r of sentOn) assert.equal(decodeRedirect(r.body), "n9");
    assert.equal((await report("list", { fencingToken: 8 })).status, 421, "there is a later term");
    assert.equal((await report("gone")).status, 421, "cancelled, must be gone");
    // The leader counts leases as over from its own start plus the grace: no answer comes after that.
    await waitUntil(
      "two thirds of a lease are over",
      async () => Date.now() - lead.at > 4000,
      LOOKS,
    );
    const late = await hundred();
    assert.equal(late.filter((r) => r.status === 200).length, 0);
  } finally {
    peer.close();
    await node.stop();
    state.stop();
  }
});

test("a leader leaves users to the others while three are in contact, and takes them back", async () => {
  const state = new StateServiceStandIn();
  const cloud = new CloudStandIn();
  await Promise.all([state.start(), cloud.start()]);
  const { node, peer, peerAddress } = await nodeWith(state, cloud.address, 10);
  await waitUntil("holds the term", async () => state.entries.has("lead"), LOOKS);
  assert.equal(node.isHealthy(), true, "alone it serves users");
  const beat = encodePeerHeartbeat({
    reachesStateService: true,
    holdsLeadership: false,
    epoch: 1,
    zoneIndex: 1,
  });
  const others = [1, 2, 3].map(() => connect(Number(peerAddress.split(":")[1]), "127.0.0.1"));
  const beats = setInterval(() => {
    for (const o of others) if (!o.destroyed) o.write(beat);
  }, 100);
  await waitUntil("leaves users to the others", async () => !node.isHealthy(), LOOKS);
  // Whoever comes all the same is answered.
  const r = await peer.request("GET", "/api/jobs/nobody", null, 2000);
  assert.deepEqual([r.status, r.headers.get("connection")], [404, "close"]);
  others[0]!.destroy();
  await sleepSeconds(2);
  assert.equal(node.isHealthy(), false, "two are enough to go on so");
  others[1]!.destroy();
  await waitUntil("one is not enough", async () => node.isHealthy(), LOOKS);
  clearInterval(beats);
  others[2]!.destroy();
  await node.stop();
  state.stop();
  cloud.stop();
});
