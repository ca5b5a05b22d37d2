/**
 * Records the requests and responses of this code, as bytes on TCP connections, in exchanges with the state service,
 * the cloud, workers and users. `golden-forms.test.ts` compares them with the kept examples.
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { type ApiBackend, buildServer } from "../../src/api/server.js";
import { CloudClient } from "../../src/cloud/client.js";
import type { JobSpec, JobView } from "../../src/core/model/jobs.js";
import type { WorkerCommand } from "../../src/core/model/workers.js";
import { AdaptiveConcurrencyLimit } from "../../src/core/overload/adaptive-concurrency-limit.js";
import { HttpConnectionPool } from "../../src/net/http-connection-pool.js";
import { encodePeerHeartbeat } from "../../src/peers/codec.js";
import { KeyValueClient, type TransactionResult } from "../../src/state/key-value-client.js";
import { decode, encode } from "../../src/wire/msgpack.js";
import { decodeWorkerHeartbeat, encodeWorkerHeartbeat } from "../../src/wire/worker-heartbeat.js";
import { WorkerClient } from "../../src/workers/client.js";
import { catalog, checkin, machineList, reportForm, submissions } from "./golden-messages.js";

/** Returns the bytes of a message in hexadecimal, with the decoded message for human readers. */
export const message = (bytes: Buffer): unknown => ({
  message: bytes.length === 0 ? null : decode(bytes),
  bytes: bytes.toString("hex"),
});

type Answer = readonly [status: number, body: unknown];

/**
 * Records the requests that a client sends to a server, and the results that the client returns. The server sends the
 * given answers in order.
 */
async function asked(
  answers: readonly Answer[],
  ask: (address: string) => Promise<readonly unknown[]>,
): Promise<unknown> {
  const requests: unknown[] = [];
  const server = createServer(async (request, response) => {
    const body = Buffer.concat(await request.toArray());
    const [status, answer] = answers[requests.length]!;
    requests.push({ line: `${request.method} ${request.url}`, body: message(body) });
    response.writeHead(status).end(encode(answer));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const results = await ask(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  server.closeAllConnections();
  server.close();
  return { answers: answers, requests: requests, results: results };
}

const txnForm = (r: TransactionResult): unknown => {
  if (r.kind === "ok") return ["ok", r.revision];
  if (r.kind === "failed") return ["failed", r.keys];
  return r.kind === "refused" ? ["refused", r.status] : ["unknown"];
};

async function askState(address: string): Promise<unknown[]> {
  const store = new KeyValueClient(address, () => 0, 5000);
  const put = { op: "put", key: "lead", value: { n: 1 }, lease: 7 } as const;
  const conditions = [{ key: "epoch", modRevision: 3 }];
  const change = { op: "delete", key: "x/run-1" } as const;
  const transactions = [await store.transact(conditions, [put, change])];
  for (let i = 0; i < 3; i++) transactions.push(await store.transact([], [change]));
  const all = await store.readAll();
  const follows = [await store.watch(12, 0), await store.watch(12, 250)];
  const lease = await store.grantLease(2500.4);
  const extended = [
    await store.extendLease(7),
    await store.extendLease(7),
    await store.extendLease(7),
  ];
  await store.revokeLease(7);
  store.close();
  if (all.kind !== "ok") throw new Error("the full read of the state service failed");
  return [
    transactions.map(txnForm),
    [all.items.map((i) => [i.key, i.value, i.modRevision]), all.revision],
    follows.map((f) => (f.kind === "ok" ? [f.revision, f.events.length] : f.kind)),
    [
      lease.kind === "ok" ? lease.leaseId : null,
      extended.map(({ kind }) => (kind === "expired" ? "ended" : kind)),
    ],
  ];
}
const page = (key: string, more: boolean): unknown => ({
  items: [{ k: key, data: { n: 4 }, mark: 2 }],
  more: more,
  ledger: 9,
});
const stateAnswers: Answer[] = [
  [200, { ledger: 5 }],
  [409, { ledger: 5, failed: ["epoch"] }],
  [429, {}],
  [200, {}],
  [200, page("epoch", true)],
  [200, page("p/run-1", false)],
  [200, { ledger: 13, log: [{ remove: "p/run-1", mark: 13 }] }],
  [410, {}],
  [200, { tether: 7 }],
  [200, {}],
  [404, {}],
  [500, {}],
  [200, {}],
];

/** Results of scale-out requests under their names in the kept examples. */
const KEPT_RESULTS = { "no capacity": "no capacity", failed: "trouble" } as const;

async function askCloud(address: string): Promise<unknown[]> {
  const cloud = new CloudClient(address, 5000);
  const types = await cloud.fetchCatalog();
  const listed = await cloud.listMachines();
  const hired: unknown[] = [];
  for (let i = 0; i < 4; i++) {
    const r = await cloud.scaleOut({
      name: "hire-1",
      type: "small",
      zone: "a",
      spot: true,
      count: 3,
    });
    hired.push(r.kind === "provisioned" ? r.machines : KEPT_RESULTS[r.kind]);
  }
  const returned = [await cloud.releaseMachines(["m-1", "m-2"]), await cloud.releaseMachines([])];
  return [types?.map((t) => t.name), listed?.map((m) => m.name), hired, returned];
}
const cloudAnswers: Answer[] = [
  [200, catalog],
  [200, machineList],
  [200, { ...machineList, more: false }],
  [200, { mounts: ["m-1"] }],
  [503, { error: "no capacity" }],
  [503, { error: "down" }],
  [400, {}],
  [200, {}],
  [503, {}],
];

const place = { job: "run-1", task: 3, attempt: 2 };
const commands: WorkerCommand[] = [
  { op: "start", ...place },
  { op: "stop", ...place, graceS: 2.5 },
  { op: "forget", ...place },
];

async function askWorker(address: string): Promise<unknown[]> {
  const workers = new WorkerClient(5000, 4);
  const sent: unknown[] = [];
  for (let i = 0; i < 3; i++) {
    const r = await workers.send(address, 6, 4, i === 0 ? commands : []);
    sent.push(r.kind === "answered" ? [r.executed, r.heartbeat.machine] : ["lost", r.mayArrive]);
  }
  const shown = await workers.probe(address);
  workers.closeAllExcept(new Set());
  return [sent, shown === null ? null : reportForm(shown)];
}
const workerAnswers: Answer[] = [
  [200, checkin],
  [409, checkin],
  [400, {}],
  [200, checkin],
];

const VIEWS: Readonly<Record<string, JobView>> = {
  queued: { id: "queued", state: "queued", done: 0, running: 0 },
  running: { id: "running", state: "running", done: 2, running: 1 },
  done: { id: "done", state: "done", done: 4, running: 0 },
  cancelled: { id: "cancelled", state: "cancelled", done: 1, running: 0 },
};
const submitted: Record<string, Awaited<ReturnType<ApiBackend["submit"]>>> = {
  "run-1": { kind: "ok" },
  never: { kind: "never" },
  share: { kind: "rejected", retryAfterS: 9 },
  running: { kind: "known" },
};
/** An API backend whose answer depends on the job id, and for heartbeats on the fencing token. */
const backend: ApiBackend = {
  isHealthy: () => true,
  shedsUsers: () => false,
  readJob: async (id) => {
    if (id === "unclear") return { kind: "unavailable" };
    const job = VIEWS[id];
    return job === undefined ? { kind: "not found" } : { kind: "found", job };
  },
  checkFeasibility: (spec: JobSpec) => ({
    kind: spec.id === "misfit" ? "infeasible" : spec.id === "early" ? "unknown" : "feasible",
  }),
  submit: async (spec) => submitted[spec.id] ?? { kind: "unavailable" },
  cancel: async () => ({ kind: "ok" }),
  waitForEnd: async (id) => (id === "running" ? { ...VIEWS.cancelled!, id: id } : null),
  handleHeartbeat: (r) =>
    r.fencingToken === 6
      ? { kind: "answer", fencingToken: 7, commands: commands }
      : r.fencingToken === 5
        ? { kind: "answer", fencingToken: 7, commands: [] }
        : r.fencingToken === 4
          ? { kind: "redirect", leader: "10.0.0.2:70" }
          : r.fencingToken === 3
            ? { kind: "redirect", leader: null }
            : { kind: "unavailable" },
  redirectTarget: () => null,
};

const submission = (id: string): unknown => ({ ...(submissions.whole as object), nameId: id });
const ids = ["run-1", "never", "share", "running", "unclear", "misfit", "early"];
const USERS: readonly [line: string, body: unknown][] = [
  ...ids.map((id): [string, unknown] => ["POST /api/jobs", submission(id)]),
  ["POST /api/jobs", { nameId: "done", strides: 1 }],
  ["POST /api/jobs", { nameId: "nobody" }],
  ["POST /api/jobs", "text"],
  ["POST /api/jobs", undefined],
  ...[...Object.keys(VIEWS), "nobody", "unclear"].flatMap((id): [string, unknown][] => [
    [`GET /api/jobs/${id}`, undefined],
    [`POST /api/jobs/${id}/withdraw`, undefined],
  ]),
  ["GET /healthz", undefined],
  ["GET /elsewhere", undefined],
  ...[6, 5, 4, 3, 2].map((rein): [string, unknown] => ["POST /checkin", { ...checkin, rein }]),
  ["POST /checkin", { ...checkin, mount: "" }],
];

/** Sends each request to the API server for users and workers, and records its response. */
async function answered(): Promise<unknown[]> {
  const limit = () => new AdaptiveConcurrencyLimit(8, 8, 1);
  const app = buildServer(backend, {
    queryLimit: limit(),
    mutationLimit: limit(),
    now: () => 0,
    retryAfterS: 2,
    cancellationWaitS: 1,
    idleTimeoutS: 600,
    onRequestDone: () => {},
    onFault: (error) => {
      throw error;
    },
  });
  const peer = new HttpConnectionPool(
    (await app.listen({ host: "127.0.0.1", port: 0 })).slice(7),
    64,
  );
  const answers: unknown[] = [];
  for (const [line, body] of USERS) {
    const [method, path] = line.split(" ") as [string, string];
    const bytes = body === undefined ? null : encode(body);
    const r = await peer.request(method, path, bytes, 5000);
    const later = r.headers.get("retry-after") ?? null;
    answers.push({ line: line, body: body, status: r.status, later: later, ...form(r.body) });
  }
  peer.close();
  await app.close();
  return answers;
}
const form = (bytes: Buffer): object => message(bytes) as object;

/** Encodes peer heartbeats and a worker heartbeat. */
function written(): unknown {
  const beat = {
    reachesStateService: false,
    holdsLeadership: false,
    epoch: 2 ** 40 + 258,
    zoneIndex: 3,
  };
  const beats = [beat, { ...beat, reachesStateService: true }, { ...beat, holdsLeadership: true }];
  return {
    beats: beats.map((b) => encodePeerHeartbeat(b).toString("hex")),
    report: message(encode(encodeWorkerHeartbeat(decodeWorkerHeartbeat(checkin)!))),
  };
}

/** Records all exchanges, by the names that they have in the kept examples. */
export async function exchanges(): Promise<Record<string, unknown>> {
  return {
    "state service": await asked(stateAnswers, askState),
    cloud: await asked(cloudAnswers, askCloud),
    workers: await asked(workerAnswers, askWorker),
    "users and reports": await answered(),
    written: written(),
  };
}
