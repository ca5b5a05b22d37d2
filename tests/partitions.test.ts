/**
 * Tests how a controller that does not lead answers worker heartbeats: while it is partitioned from the state service
 * and from the other controllers but not from its workers, while there is no leader, and while a new leader starts.
 * Also tests when a leader leaves users to the other controllers.
 */
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
import { findUnusedAddress, findUnusedAddresses } from "./support/ports.js";
import { StateServiceStandIn } from "./support/state-service-stand-in.js";
import { waitUntil } from "./support/waiting.js";

const MAX_CONNECTIONS = 8;
const REQUEST_TIMEOUT_MS = 2000;
const TIMEOUT = { timeout: 60_000 };
/** Conditions are polled less often than by default, because most checks send a request to the node. */
const WAIT = { timeoutS: 15, intervalS: 0.1 };

const OK = 200;
const REDIRECTED = 421;

/** Returns the heartbeat of a worker that runs one task of the job. */
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

/** Services that a node uses, and the lease of its workers. */
interface NodeEnvironment {
  readonly stateService: StateServiceStandIn;
  /** Null if there is no cloud: the machine types are then unknown, and the node cannot acquire leadership. */
  readonly cloud: CloudStandIn | null;
  readonly leaseS: number;
}

/**
 * Starts a node of zone a, and returns it with a function that sends heartbeats to it. After the test, the node is
 * stopped before its services.
 */
async function startNode(context: TestContext, { stateService, cloud, leaseS }: NodeEnvironment) {
  const [address, peerAddress, otherAddress] = (await findUnusedAddresses(3)) as [
    string,
    string,
    string,
  ];
  const cloudAddress = cloud?.address ?? (await findUnusedAddress());
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

/** Stores a cancellation of job `gone` that may have been confirmed to users. */
function putCancellation(stateService: StateServiceStandIn): void {
  put(stateService, KEY.cancellation("gone"), { at: 0, told: true });
}

/** Stores that the other controller, n9, holds leadership with epoch 7. */
function putOtherLeader(stateService: StateServiceStandIn): void {
  put(stateService, KEY.leader, { member: "n9", epoch: 7, lease: 99 });
  put(stateService, KEY.epoch, { n: 7 });
}

test(
  "a partitioned node extends the leases of service tasks without sending commands, and refuses users at once",
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
    // While the node reaches the state service, it redirects workers to the leader, whatever tasks they run.
    const redirect = { status: REDIRECTED, body: encodeRedirect("n9") };
    assert.deepEqual(await sendHeartbeat("web"), redirect);
    // Leases are extended only if the contact with the state service lasted longer than a lease, which is 2 s here.
    // A gap in the contact is noticed once it lasts two seconds with these settings.
    await sleepSeconds(5);
    const partitionedAtMs = performance.now();
    stateService.stop();
    const statusFor = async (job: string, change: Partial<WorkerHeartbeat> = {}) =>
      (await sendHeartbeat(job, change)).status;
    await waitUntil("the node answers workers", async () => (await statusFor("web")) === OK, WAIT);
    const withoutCommands = { status: OK, body: encodeCommands(7, null, []) };
    assert.deepEqual(await sendHeartbeat("web"), withoutCommands);
    assert.equal(await statusFor("web", { fencingToken: 6 }), OK);
    assert.equal(await statusFor("web", { fencingToken: 8 }), REDIRECTED, "token of a later term");
    assert.equal(
      await statusFor("web", { zone: "b" }),
      REDIRECTED,
      "the worker is in another zone",
    );
    assert.equal(await statusFor("list"), REDIRECTED, "array tasks may restart elsewhere");
    const tasks = [taskStatus("web", 0, 1), taskStatus("gone", 0, 1)];
    assert.equal(await statusFor("web", { tasks }), REDIRECTED, "cancelled tasks must end");
    const requestedAtMs = performance.now();
    const answer = await connection.request("GET", `${PATH.jobs}/web`, null, REQUEST_TIMEOUT_MS);
    assert.equal(answer.status, 503);
    assert.equal(answer.headers.get("retry-after"), "1");
    assert.ok(performance.now() - requestedAtMs < 1000, "users are refused at once");
    const isExtensionOver = async () => (await statusFor("web")) === REDIRECTED;
    await waitUntil("keep_ratio leases have passed", isExtensionOver, WAIT);
    assert.ok(performance.now() - partitionedAtMs > 10_000, "leases are extended for 10 s");
  },
);

// Without these answers, all workers retry every second over new connections, and this load keeps the nodes from
// acquiring leadership.
test(
  "while there is no leader, any node answers worker heartbeats for a third of a lease",
  TIMEOUT,
  async (context) => {
    const stateService = await startStateService();
    put(stateService, KEY.epoch, { n: 7 });
    putCancellation(stateService);
    // Without a cloud, the node cannot acquire leadership itself.
    const { sendHeartbeat } = await startNode(context, { stateService, cloud: null, leaseS: 30 });
    const withoutCommands = { status: OK, body: encodeCommands(7, null, []) };
    assert.deepEqual(await sendHeartbeat("list"), withoutCommands);
    const fromLaterTerm = await sendHeartbeat("list", { fencingToken: 8 });
    assert.equal(fromLaterTerm.status, REDIRECTED, "token of a later term");
    assert.equal((await sendHeartbeat("gone")).status, REDIRECTED, "cancelled tasks must end");
    const isRedirected = async () => (await sendHeartbeat("list")).status === REDIRECTED;
    await waitUntil("a third of a lease has passed", isRedirected, WAIT);
  },
);

// Without this limit, all workers connect to the new leader at once, and their leases expire before it has answered
// them.
test(
  "during a new leader's grace period, other nodes redirect a limited number of workers per second and answer the rest",
  TIMEOUT,
  async (context) => {
    const stateService = await startStateService();
    put(stateService, KEY.epoch, { n: 7 });
    const leader = { member: "n9", epoch: 7, lease: 1, at: Date.now() };
    put(stateService, KEY.leader, leader);
    putCancellation(stateService);
    const { sendHeartbeat } = await startNode(context, { stateService, cloud: null, leaseS: 6 });
    const sendHundredHeartbeats = async () => {
      const answers: Awaited<ReturnType<typeof sendHeartbeat>>[] = [];
      for (let sent = 0; sent < 100; sent++) answers.push(await sendHeartbeat("list"));
      return answers;
    };
    const answers = await sendHundredHeartbeats();
    const answered = answers.filter(({ status }) => status === OK);
    const redirected = answers.filter(({ status }) => status === REDIRECTED);
    const { length } = redirected;
    assert.ok(length >= 1 && length <= 95, `${length} redirected`);
    assert.equal(answered.length + length, 100);
    for (const { body } of answered) assert.deepEqual(body, encodeCommands(7, null, []));
    for (const { body } of redirected) assert.equal(decodeRedirect(body), "n9");
    const fromLaterTerm = await sendHeartbeat("list", { fencingToken: 8 });
    assert.equal(fromLaterTerm.status, REDIRECTED, "token of a later term");
    assert.equal((await sendHeartbeat("gone")).status, REDIRECTED, "cancelled tasks must end");
    // The leader assumes that no lease was extended later than its own start plus the grace period, so other nodes
    // must not answer heartbeats after that.
    const haveTwoThirdsPassed = () => Date.now() - leader.at > 4000;
    await waitUntil("two thirds of a lease have passed", haveTwoThirdsPassed, WAIT);
    const lateAnswers = await sendHundredHeartbeats();
    assert.equal(lateAnswers.filter(({ status }) => status === OK).length, 0);
  },
);

test("a leader leaves users to the other nodes until fewer than two of them are in contact, and then serves users again", async (context) => {
  const stateService = await startStateService();
  const cloud = await startCloud();
  const { controller, connection, peerAddress } = await startNode(context, {
    stateService,
    cloud,
    leaseS: 10,
  });
  await waitUntil("the node leads", () => stateService.entries.has(KEY.leader), WAIT);
  assert.equal(controller.isHealthy(), true, "a leader without peers in contact serves users");
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
    await waitUntil(
      "the leader leaves users to the other nodes",
      () => !controller.isHealthy(),
      WAIT,
    );
    // Requests of users that still arrive at the leader are answered.
    const path = `${PATH.jobs}/nobody`;
    const answer = await connection.request("GET", path, null, REQUEST_TIMEOUT_MS);
    assert.deepEqual([answer.status, answer.headers.get("connection")], [404, "close"]);
    peers[0]!.destroy();
    await sleepSeconds(2);
    assert.equal(
      controller.isHealthy(),
      false,
      "with two peers in contact, the leader continues to leave users to them",
    );
    peers[1]!.destroy();
    await waitUntil(
      "with one peer in contact, the leader serves users",
      () => controller.isHealthy(),
      WAIT,
    );
  } finally {
    // The peers stop before the node: a write to a closed connection would fail the test process.
    clearInterval(heartbeats);
    for (const peer of peers) peer.destroy();
  }
});
