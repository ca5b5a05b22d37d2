/** A controller that loses the state service and the other controllers, but not its workers. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { type TestContext, test } from "node:test";
import { formatResiduals, ownDependencies } from "../src/core/jobs/pipeline.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import type { WorkerHeartbeat } from "../src/core/model/workers.js";
import { KEY } from "../src/core/state/stored-values.js";
import { HttpConnectionPool } from "../src/net/http-connection-pool.js";
import { encodePeerHeartbeat } from "../src/peers/codec.js";
import { sleepSeconds } from "../src/time/sleep.js";
import { encodeCommands, encodeRedirect } from "../src/wire/commands.js";
import { decodeRedirect } from "../src/wire/inverse-codecs.js";
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
const TIMEOUT = { timeout: 60_000 };
/** Each check of a condition is a request to the node. */
const WAIT = { timeoutS: 15, intervalS: 0.1 };

const OK = 200;
const REDIRECTED = 421;

/** A worker's heartbeat with one running task of the job. */
const heartbeatOf = (
  job: string,
  sequence: number,
  change: Partial<WorkerHeartbeat>,
): WorkerHeartbeat => ({
  machine: "m-1",
  address: "127.0.0.1:1",
  type: "small",
  zone: "a",
  spot: false,
  incarnation: 1,
  sequence,
  fencingToken: 7,
  interruptionNoticeS: null,
  tasks: [taskStatus(job, 0, 1)],
  ...change,
});

/** What a node runs against. */
interface NodeEnvironment {
  readonly stateService: StateServiceStandIn;
  /** Null: there is none, so that machine types are unknown and the node cannot acquire leadership. */
  readonly cloud: CloudStandIn | null;
  readonly leaseS: number;
}

/** A node of zone a, and a way to send heartbeats to it; after the test it is stopped before its services. */
async function startNode(context: TestContext, { stateService, cloud, leaseS }: NodeEnvironment) {
  const [address, peerAddress, otherAddress] = (await freeAddresses(3)) as [string, string, string];
  const cloudAddress = cloud?.address ?? (await freeAddress());
  const settings = controllerSettingsText({
    node: { member: "n0", zone: "a", address, peerAddress },
    peers: [{ member: "n9", zone: "b", address: "", peerAddress: otherAddress }],
    services: { cloud: cloudAddress, state: stateService.address },
    shared: {
      workers: { report_s: 3, lease_s: leaseS, gang_wait_s: 10, gang_peer_s: 3, cancel_s: 10 },
      state: FAST_STATE_SERVICE,
    },
  });
  const controller = createController(settings);
  const connection = new HttpConnectionPool(address, MAX_CONNECTIONS);
  context.after(async () => {
    connection.close();
    await controller.stop();
    cloud?.stop();
    stateService.stop();
  });
  let sequence = 1;
  const sendHeartbeat = async (job: string, change: Partial<WorkerHeartbeat> = {}) => {
    const body = encode(encodeWorkerHeartbeat(heartbeatOf(job, sequence++, change)));
    const reply = await connection.request("POST", PATH.heartbeat, body, REQUEST_TIMEOUT_MS);
    return { status: reply.status, body: decode(reply.body) };
  };
  await startController(controller);
  return { controller, connection, sendHeartbeat, peerAddress };
}

async function startStateService(): Promise<StateServiceStandIn> {
  const stateService = new StateServiceStandIn();
  await stateService.start();
  return stateService;
}

async function startCloud(): Promise<CloudStandIn> {
  const cloud = new CloudStandIn();
  await cloud.start();
  return cloud;
}

function put(stateService: StateServiceStandIn, key: string, value: unknown): void {
  stateService.entries.set(key, { value, modRevision: 1, lease: null });
}

function putJob(stateService: StateServiceStandIn, id: string, change: Partial<JobSpec>): void {
  const residuals = formatResiduals(ownDependencies(id));
  const progress = { v: 1, n: 1, o: 0, done: "", pl: [] };
  put(stateService, KEY.activeJob(id), {
    j: jobSpec(id, change),
    at: 0,
    r: residuals,
    ...progress,
  });
}

/** Job `gone` is cancelled, and its cancellation may have been confirmed to users. */
function putCancellation(stateService: StateServiceStandIn): void {
  put(stateService, KEY.cancellation("gone"), { at: 0, told: true });
}

/** The other controller, n9, holds leadership with epoch 7. */
function putOtherLeader(stateService: StateServiceStandIn): void {
  put(stateService, KEY.leader, { member: "n9", epoch: 7, lease: 99 });
  put(stateService, KEY.epoch, { n: 7 });
}

test(
  "partitioned with its workers a node keeps services alive without commands, and refuses users at once",
  TIMEOUT,
  async (context) => {
    const stateService = await startStateService();
    const cloud = await startCloud();
    putOtherLeader(stateService);
    putJob(stateService, "web", { kind: "service" });
    putJob(stateService, "gone", { kind: "service" });
    putCancellation(stateService);
    putJob(stateService, "list", { kind: "array" });

    const { connection, sendHeartbeat } = await startNode(context, {
      stateService,
      cloud,
      leaseS: 2,
    });
    // While it reaches the others, workers are redirected to the leader, whatever they run.
    const redirect = { status: REDIRECTED, body: encodeRedirect("n9") };
    assert.deepEqual(await sendHeartbeat("web"), redirect);
    // In contact for longer than a lease of 2 s. A gap in it, two seconds here, is noticed late.
    await sleepSeconds(5);
    const partitionedAtMs = performance.now();
    stateService.stop();
    const statusFor = async (job: string, change: Partial<WorkerHeartbeat> = {}) =>
      (await sendHeartbeat(job, change)).status;
    await waitUntil("it answers itself", async () => (await statusFor("web")) === OK, WAIT);
    const withoutCommands = { status: OK, body: encodeCommands(7, null, []) };
    assert.deepEqual(await sendHeartbeat("web"), withoutCommands);
    assert.equal(await statusFor("web", { fencingToken: 6 }), OK);
    assert.equal(await statusFor("web", { fencingToken: 8 }), REDIRECTED, "there is a later term");
    assert.equal(await statusFor("web", { zone: "b" }), REDIRECTED, "not of this zone");
    assert.equal(await statusFor("list"), REDIRECTED, "arrays start again elsewhere");
    const tasks = [taskStatus("web", 0, 1), taskStatus("gone", 0, 1)];
    assert.equal(await statusFor("web", { tasks }), REDIRECTED, "cancelled, must be gone");
    const askedAtMs = performance.now();
    const answer = await connection.request("GET", `${PATH.jobs}/web`, null, REQUEST_TIMEOUT_MS);
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.get("retry-after"), "1");
    assert.ok(performance.now() - askedAtMs < 1000, "refused at once");
    const isExtensionOver = async () => (await statusFor("web")) === REDIRECTED;
    await waitUntil("keep_ratio leases have passed", isExtensionOver, WAIT);
    assert.ok(performance.now() - partitionedAtMs > 10_000, "but not before");
  },
);

test(
  "between two leaders any node answers for a third of a lease, so that workers do not all return at once",
  TIMEOUT,
  async (context) => {
    const stateService = await startStateService();
    put(stateService, KEY.epoch, { n: 7 });
    putCancellation(stateService);
    // Without a cloud the node cannot acquire leadership itself.
    const { sendHeartbeat } = await startNode(context, { stateService, cloud: null, leaseS: 30 });
    const withoutCommands = { status: OK, body: encodeCommands(7, null, []) };
    assert.deepEqual(await sendHeartbeat("list"), withoutCommands);
    const fromLaterTerm = await sendHeartbeat("list", { fencingToken: 8 });
    assert.equal(fromLaterTerm.status, REDIRECTED, "there is a later term");
    assert.equal((await sendHeartbeat("gone")).status, REDIRECTED, "cancelled, must be gone");
    const isRedirected = async () => (await sendHeartbeat("list")).status === REDIRECTED;
    await waitUntil("a third of a lease has passed", isRedirected, WAIT);
  },
);

test(
  "in a new leader's grace period the others redirect a limited number of workers a second and answer the rest",
  TIMEOUT,
  async (context) => {
    const stateService = await startStateService();
    put(stateService, KEY.epoch, { n: 7 });
    const leader = { member: "n9", epoch: 7, lease: 1, at: Date.now() };
    put(stateService, KEY.leader, leader);
    putCancellation(stateService);
    const { sendHeartbeat } = await startNode(context, { stateService, cloud: null, leaseS: 6 });
    const sendHundred = async () => {
      const answers: Awaited<ReturnType<typeof sendHeartbeat>>[] = [];
      for (let sent = 0; sent < 100; sent++) answers.push(await sendHeartbeat("list"));
      return answers;
    };
    const answers = await sendHundred();
    const answered = answers.filter(({ status }) => status === OK);
    const redirected = answers.filter(({ status }) => status === REDIRECTED);
    const { length } = redirected;
    assert.ok(length >= 1 && length <= 95, `${length} redirected`);
    assert.equal(answered.length + length, 100);
    for (const { body } of answered) assert.deepEqual(body, encodeCommands(7, null, []));
    for (const { body } of redirected) assert.equal(decodeRedirect(body), "n9");
    const fromLaterTerm = await sendHeartbeat("list", { fencingToken: 8 });
    assert.equal(fromLaterTerm.status, REDIRECTED, "there is a later term");
    assert.equal((await sendHeartbeat("gone")).status, REDIRECTED, "cancelled, must be gone");
    // The leader counts leases as expired from its own start plus the grace period: no answer comes after that.
    const haveTwoThirdsPassed = () => Date.now() - leader.at > 4000;
    await waitUntil("two thirds of a lease have passed", haveTwoThirdsPassed, WAIT);
    const lateAnswers = await sendHundred();
    assert.equal(lateAnswers.filter(({ status }) => status === OK).length, 0);
  },
);

test("a leader leaves users to the others while at least two are in contact, and serves them again with fewer", async (context) => {
  const stateService = await startStateService();
  const cloud = await startCloud();
  const { controller, connection, peerAddress } = await startNode(context, {
    stateService,
    cloud,
    leaseS: 10,
  });
  await waitUntil("it leads", () => stateService.entries.has(KEY.leader), WAIT);
  assert.equal(controller.isHealthy(), true, "alone it serves users");
  const heartbeat = encodePeerHeartbeat({
    reachesStateService: true,
    holdsLeadership: false,
    epoch: 1,
    zoneIndex: 1,
  });
  const peerPort = Number(peerAddress.split(":")[1]);
  const peers = [1, 2, 3].map(() => connect(peerPort, "127.0.0.1"));
  const heartbeats = setInterval(() => {
    for (const peer of peers) if (!peer.destroyed) peer.write(heartbeat);
  }, 100);
  try {
    await waitUntil("it leaves users to the others", () => !controller.isHealthy(), WAIT);
    // Users who ask it all the same are answered.
    const path = `${PATH.jobs}/nobody`;
    const answer = await connection.request("GET", path, null, REQUEST_TIMEOUT_MS);
    assert.deepEqual([answer.status, answer.headers.get("connection")], [404, "close"]);
    peers[0]!.destroy();
    await sleepSeconds(2);
    assert.equal(controller.isHealthy(), false, "two peers are enough to go on so");
    peers[1]!.destroy();
    await waitUntil("one peer is not enough", () => controller.isHealthy(), WAIT);
  } finally {
    // Before the node stops: a peer that writes to a closed connection would fail the test process.
    clearInterval(heartbeats);
    for (const peer of peers) peer.destroy();
  }
});
