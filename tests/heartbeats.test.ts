/** Workers' reports over real connections: what each answer is, and that bad ones end nothing else. */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, beforeEach, test } from "node:test";
import { type ApiBackend, buildServer } from "../src/api/server.js";
import type { WorkerHeartbeat } from "../src/core/model/workers.js";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";
import { HttpConnectionPool } from "../src/net/http-connection-pool.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { decodeWorkerHeartbeat, encodeWorkerHeartbeat } from "../src/wire/worker-heartbeat.js";
import { taskStatus } from "./support/helpers.js";
import { sleepSeconds, waitUntil } from "./support/in-process-cluster.js";

const REPORT: WorkerHeartbeat = {
  machine: "m-1",
  address: "10.0.0.1:9000",
  type: "small",
  zone: "a",
  spot: false,
  incarnation: 1,
  sequence: 3,
  fencingToken: 2,
  interruptionNoticeS: null,
  tasks: [taskStatus("run-1", 3, 1), taskStatus("run-1", 4, 2, "exited", "done")],
};
const wire = encodeWorkerHeartbeat(REPORT);
const BODY_LIMIT = 64 * 1024;

let answer: ReturnType<ApiBackend["handleHeartbeat"]>;
let leader: string | null;
let heard: WorkerHeartbeat[];
let faults: Error[];

const unused = (): never => assert.fail("reports ask for nothing else");
const backend: ApiBackend = {
  isHealthy: () => true,
  shedsUsers: () => false,
  readJob: unused,
  checkFeasibility: unused,
  submit: unused,
  cancel: unused,
  waitForEnd: unused,
  handleHeartbeat: (r) => {
    heard.push(r);
    return answer;
  },
  redirectTarget: () => leader,
};
const app = buildServer(backend, {
  queryLimit: new AdaptiveConcurrencyLimit(8, 8, 1),
  mutationLimit: new AdaptiveConcurrencyLimit(8, 8, 1),
  now: () => 0,
  retryAfterS: 1,
  cancellationWaitS: 1,
  // Longer than any wait here: nothing is closed for being idle.
  idleTimeoutS: 600,
  onRequestDone: () => {},
  onFault: (e) => faults.push(e),
});
let worker: HttpConnectionPool;

before(async () => {
  // Some answers close their connection: the next one may be open before that is over.
  worker = new HttpConnectionPool((await app.listen({ host: "127.0.0.1", port: 0 })).slice(7), 4);
});
after(async () => {
  worker.close();
  await app.close();
});
beforeEach(() => {
  answer = { kind: "answer", token: 7, commands: [] };
  leader = null;
  heard = [];
  faults = [];
});

const send = (body: Buffer) => worker.request("POST", "/checkin", body, 2000);

test("an answer carries the token and the commands, also after one without commands", async () => {
  for (let i = 0; i < 2; i++) {
    const quiet = await send(encode(wire));
    assert.equal(quiet.status, 200);
    assert.deepEqual(decode(quiet.body), { rein: 7, calls: [] });
  }
  answer = {
    kind: "answer",
    token: 7,
    commands: [{ op: "forget", job: "run-1", task: 4, attempt: 2 }],
  };
  assert.deepEqual(decode((await send(encode(wire))).body), {
    rein: 7,
    calls: [{ call: "forget", stride: "run-1/4", mounting: 2 }],
  });
  answer = { kind: "answer", token: 200_000, commands: [] };
  assert.deepEqual(decode((await send(encode(wire))).body), { rein: 200_000, calls: [] });
  assert.deepEqual(heard, [REPORT, REPORT, REPORT, REPORT]);
});

/** A connection of its own, on which raw text is sent; what comes back is collected. */
class RawConnection {
  private readonly socket: Socket;
  received = "";
  closed = false;

  constructor() {
    const [host, port] = worker.address.split(":") as [string, string];
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.socket.on("data", (chunk) => {
      this.received += chunk.toString("latin1");
    });
    this.socket.on("error", () => {});
    this.socket.on("close", () => {
      this.closed = true;
    });
  }
  write(...pieces: (string | Buffer)[]): void {
    for (const piece of pieces) this.socket.write(piece);
  }
  /** Each piece in a packet of its own. */
  async writeSlowly(...pieces: (string | Buffer)[]): Promise<void> {
    for (const piece of pieces) {
      this.socket.write(piece);
      await sleepSeconds(0.02);
    }
  }
  async statuses(count: number): Promise<string[]> {
    const found = () => [...this.received.matchAll(/HTTP\/1\.1 (\d+) /g)].map((m) => m[1]!);
    await waitUntil(`${count} answers`, () => found().length >= count);
    return found();
  }
  /** Sends no more, and waits for the other side to do the same. */
  finish(): void {
    this.socket.end();
  }
  end(): void {
    this.socket.destroy();
  }
}

const body = encode(wire);
const headOf = (fields = `Content-Length: ${body.length}\r\n`): string =>
  `POST /checkin HTTP/1.1\r\nHost: x\r\n${fields}\r\n`;

test("a report that comes in pieces is read as a whole, wherever it is cut", async () => {
  const text = Buffer.concat([Buffer.from(headOf()), body]);
  for (const at of [5, 20, 30, headOf().length, headOf().length + 10]) {
    const raw = new RawConnection();
    await raw.writeSlowly(text.subarray(0, at), text.subarray(at));
    assert.deepEqual(await raw.statuses(1), ["200"], `cut at ${at}`);
    raw.end();
  }
  assert.equal(heard.length, 5);
});

test("reports in chunks, and two in one packet, are answered in turn", async () => {
  const raw = new RawConnection();
  const size = body.length.toString(16);
  raw.write(headOf("Transfer-Encoding: chunked\r\n"), `${size}\r\n`, body, "\r\n0\r\n\r\n");
  await raw.statuses(1);
  raw.write(Buffer.concat([Buffer.from(headOf()), body, Buffer.from(headOf()), body]));
  assert.deepEqual(await raw.statuses(3), ["200", "200", "200"]);
  raw.end();
  assert.deepEqual(heard, [REPORT, REPORT, REPORT]);
});

test("a connection that turns to other requests goes to the HTTP server, and back again", async () => {
  const raw = new RawConnection();
  raw.write(headOf(), body);
  await raw.statuses(1);
  raw.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  await raw.statuses(2);
  raw.write(headOf(), body);
  assert.deepEqual(await raw.statuses(3), ["200", "200", "200"]);
  raw.end();
  const first = new RawConnection();
  first.write("GET /none HTTP/1.1\r\nHost: x\r\n\r\n");
  await first.statuses(1);
  first.write(headOf(), body);
  assert.deepEqual(await first.statuses(2), ["404", "200"]);
  first.end();
  assert.equal(heard.length, 3);
});

test("who waits to be told to go on is told so", async () => {
  const raw = new RawConnection();
  raw.write(headOf(`Content-Length: ${body.length}\r\nExpect: 100-continue\r\n`));
  await raw.statuses(1);
  raw.write(body);
  assert.deepEqual(await raw.statuses(2), ["100", "200"]);
  raw.end();
});

test("a connection that its worker ends is ended here too, and not only when it idles out", async () => {
  for (const begins of [headOf(), "GET /none HTTP/1.1\r\nHost: x\r\n\r\n", ""]) {
    const raw = new RawConnection();
    raw.write(begins, begins === headOf() ? body : "");
    if (begins !== "") await raw.statuses(1);
    raw.finish();
    await waitUntil("it is closed", () => raw.closed);
  }
  await waitUntil("no connection is left", async () => {
    const left = await new Promise<number>((resolve) =>
      app.server.getConnections((_, n) => resolve(n)),
    );
    return left <= 1;
  });
});

test("a connection that is to be closed is closed with its answer, and one of no HTTP too", async () => {
  const raw = new RawConnection();
  raw.write(headOf(`Content-Length: ${body.length}\r\nConnection: close\r\n`), body);
  assert.deepEqual(await raw.statuses(1), ["200"]);
  await waitUntil("it is closed", () => raw.closed);
  const bad = new RawConnection();
  bad.write(headOf("no field\r\n\0: x\r\n"), body);
  await waitUntil("it is closed too", () => bad.closed);
  assert.match(bad.received, /^HTTP\/1\.1 400 /);
});

test("a node that is certain of another leader sends on without reading, and keeps the connection", async () => {
  leader = "n1";
  const reply = await send(Buffer.from("no report at all"));
  assert.equal(reply.status, 421);
  assert.deepEqual(decode(reply.body), { groom: "n1" });
  assert.notEqual(reply.headers.get("connection"), "close");
  leader = null;
  answer = { kind: "elsewhere", leader: null };
  assert.deepEqual(decode((await send(encode(wire))).body), {});
  answer = { kind: "elsewhere", leader: "n2" };
  assert.deepEqual(decode((await send(encode(wire))).body), { groom: "n2" });
});

test("who cannot tell refuses at once with Retry-After", async () => {
  answer = { kind: "unavailable" };
  const reply = await send(encode(wire));
  assert.equal(reply.status, 503);
  assert.ok(Number(reply.headers.get("retry-after")) >= 1);
});

test("what is no report gets 400 and reaches nobody; the next one is answered", async () => {
  const bad: Record<string, unknown>[] = [
    { mount: "" },
    { mount: "m".repeat(191) },
    { mount: "\u20ac".repeat(64) },
    { address: "x" },
    { breed: 1 },
    { paddock: null },
    { loaners: "no" },
    { stint: -1 },
    { tally: 1.5 },
    { rein: 2 ** 53 },
    { recallS: -1 },
    { recallS: Number.POSITIVE_INFINITY },
    { strides: {} },
    { strides: [{ stride: "run-1", mounting: 1, stance: "running" }] },
    { strides: [{ stride: "run-1/0", mounting: 1, stance: "asleep" }] },
    { strides: [null] },
  ];
  for (const change of bad) {
    const reply = await send(encode({ ...wire, ...change }));
    assert.equal(reply.status, 400, JSON.stringify(change));
  }
  for (const body of [Buffer.alloc(0), Buffer.from([0xc1]), encode([1]), encode(null)]) {
    assert.equal((await send(body)).status, 400);
  }
  assert.equal((await send(Buffer.alloc(BODY_LIMIT + 1))).status, 400);
  assert.deepEqual(heard, []);
  assert.equal((await send(encode(wire))).status, 200);
});

test("a fault of our own is answered with 503 and told", async () => {
  answer = null as never;
  assert.equal((await send(encode(wire))).status, 503);
  assert.equal(faults.length, 1);
});

test("fields that are not known or may be left out are no fault", () => {
  const { recallS, ...rest } = wire;
  assert.deepEqual(decodeWorkerHeartbeat({ ...rest, news: 1 }), REPORT);
  assert.equal(decodeWorkerHeartbeat({ ...wire, recallS: 12.5 })?.interruptionNoticeS, 12.5);
});
