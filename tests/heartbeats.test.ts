/** Sends worker heartbeats over real connections: each is answered, and malformed ones do not affect others. */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { after, before, beforeEach, test } from "node:test";
import { type ApiBackend, buildServer } from "../src/api/server.js";
import type { WorkerHeartbeat } from "../src/core/model/workers.js";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";
import { HttpConnectionPool } from "../src/net/http-connection-pool.js";
import { sleepSeconds } from "../src/time/sleep.js";
import { decode, encode } from "../src/wire/msgpack.js";
import { decodeWorkerHeartbeat, encodeWorkerHeartbeat } from "../src/wire/worker-heartbeat.js";
import { taskStatus } from "./support/job-builders.js";
import { waitUntil } from "./support/waiting.js";

const HEARTBEAT: WorkerHeartbeat = {
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
const wireHeartbeat = encodeWorkerHeartbeat(HEARTBEAT);
const BODY_LIMIT = 64 * 1024;

let answer: ReturnType<ApiBackend["handleHeartbeat"]>;
let leader: string | null;
let received: WorkerHeartbeat[];
let faults: Error[];

const unused = (): never => assert.fail("a heartbeat calls no other backend method");
const backend: ApiBackend = {
  isHealthy: () => true,
  shedsUsers: () => false,
  readJob: unused,
  checkFeasibility: unused,
  submit: unused,
  cancel: unused,
  waitForEnd: unused,
  handleHeartbeat: (heartbeat) => {
    received.push(heartbeat);
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
  // Longer than any wait in these tests, so that no connection is closed as idle.
  idleTimeoutS: 600,
  onRequestDone: () => {},
  onFault: (error) => faults.push(error),
});
let worker: HttpConnectionPool;

before(async () => {
  // Some answers close their connection, and the next request may open another one before the close completes.
  worker = new HttpConnectionPool((await app.listen({ host: "127.0.0.1", port: 0 })).slice(7), 4);
});
after(async () => {
  worker.close();
  await app.close();
});
beforeEach(() => {
  answer = { kind: "answer", fencingToken: 7, commands: [] };
  leader = null;
  received = [];
  faults = [];
});

const send = (sent: Buffer) => worker.request("POST", "/checkin", sent, 2000);

test("an answer carries the fencing token and the commands, also after an answer without commands", async () => {
  for (let sent = 0; sent < 2; sent++) {
    const first = await send(encode(wireHeartbeat));
    assert.equal(first.status, 200);
    assert.deepEqual(decode(first.body), { rein: 7, calls: [] });
  }
  answer = {
    kind: "answer",
    fencingToken: 7,
    commands: [{ op: "forget", job: "run-1", task: 4, attempt: 2 }],
  };
  assert.deepEqual(decode((await send(encode(wireHeartbeat))).body), {
    rein: 7,
    calls: [{ call: "forget", stride: "run-1/4", mounting: 2 }],
  });
  answer = { kind: "answer", fencingToken: 200_000, commands: [] };
  assert.deepEqual(decode((await send(encode(wireHeartbeat))).body), { rein: 200_000, calls: [] });
  assert.deepEqual(received, [HEARTBEAT, HEARTBEAT, HEARTBEAT, HEARTBEAT]);
});

/** A connection that sends raw text and collects the received text. */
class RawConnection {
  private readonly socket: Socket;
  receivedText = "";
  closed = false;

  constructor() {
    const [host, port] = worker.address.split(":") as [string, string];
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.socket.on("data", (chunk) => {
      this.receivedText += chunk.toString("latin1");
    });
    this.socket.on("error", () => {});
    this.socket.on("close", () => {
      this.closed = true;
    });
  }
  write(...pieces: (string | Buffer)[]): void {
    for (const piece of pieces) this.socket.write(piece);
  }
  /** Sends each piece in its own packet. */
  async writeSlowly(...pieces: (string | Buffer)[]): Promise<void> {
    for (const piece of pieces) {
      this.socket.write(piece);
      await sleepSeconds(0.02);
    }
  }
  async statuses(count: number): Promise<string[]> {
    const found = () =>
      [...this.receivedText.matchAll(/HTTP\/1\.1 (\d+) /g)].map((match) => match[1]!);
    await waitUntil(`${count} answers`, () => found().length >= count);
    return found();
  }
  /** Half-closes the connection: sends no more, but still receives. */
  halfClose(): void {
    this.socket.end();
  }
  destroy(): void {
    this.socket.destroy();
  }
}

const body = encode(wireHeartbeat);
const requestHead = (fields = `Content-Length: ${body.length}\r\n`): string =>
  `POST /checkin HTTP/1.1\r\nHost: x\r\n${fields}\r\n`;

test("a heartbeat that arrives in pieces is read as a whole, wherever it is split", async () => {
  const text = Buffer.concat([Buffer.from(requestHead()), body]);
  for (const offset of [5, 20, 30, requestHead().length, requestHead().length + 10]) {
    const connection = new RawConnection();
    await connection.writeSlowly(text.subarray(0, offset), text.subarray(offset));
    assert.deepEqual(await connection.statuses(1), ["200"], `split at ${offset}`);
    connection.destroy();
  }
  assert.equal(received.length, 5);
});

test("chunked heartbeats, and two heartbeats in one packet, are answered in order", async () => {
  const connection = new RawConnection();
  const size = body.length.toString(16);
  connection.write(
    requestHead("Transfer-Encoding: chunked\r\n"),
    `${size}\r\n`,
    body,
    "\r\n0\r\n\r\n",
  );
  await connection.statuses(1);
  connection.write(
    Buffer.concat([Buffer.from(requestHead()), body, Buffer.from(requestHead()), body]),
  );
  assert.deepEqual(await connection.statuses(3), ["200", "200", "200"]);
  connection.destroy();
  assert.deepEqual(received, [HEARTBEAT, HEARTBEAT, HEARTBEAT]);
});

test("a connection may alternate between heartbeats and other requests", async () => {
  const connection = new RawConnection();
  connection.write(requestHead(), body);
  await connection.statuses(1);
  connection.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  await connection.statuses(2);
  connection.write(requestHead(), body);
  assert.deepEqual(await connection.statuses(3), ["200", "200", "200"]);
  connection.destroy();
  const otherFirst = new RawConnection();
  otherFirst.write("GET /none HTTP/1.1\r\nHost: x\r\n\r\n");
  await otherFirst.statuses(1);
  otherFirst.write(requestHead(), body);
  assert.deepEqual(await otherFirst.statuses(2), ["404", "200"]);
  otherFirst.destroy();
  assert.equal(received.length, 3);
});

test("a client that expects 100-continue receives it before the answer", async () => {
  const connection = new RawConnection();
  connection.write(requestHead(`Content-Length: ${body.length}\r\nExpect: 100-continue\r\n`));
  await connection.statuses(1);
  connection.write(body);
  assert.deepEqual(await connection.statuses(2), ["100", "200"]);
  connection.destroy();
});

test("a connection that the worker half-closes is closed at once, not at its idle timeout", async () => {
  for (const firstRequest of [requestHead(), "GET /none HTTP/1.1\r\nHost: x\r\n\r\n", ""]) {
    const connection = new RawConnection();
    connection.write(firstRequest, firstRequest === requestHead() ? body : "");
    if (firstRequest !== "") await connection.statuses(1);
    connection.halfClose();
    await waitUntil("the connection is closed", () => connection.closed);
  }
  await waitUntil("no other connection is open", async () => {
    const openCount = await new Promise<number>((resolve) =>
      app.server.getConnections((_, count) => resolve(count)),
    );
    return openCount <= 1;
  });
});

test("Connection: close closes the connection after the answer, and malformed HTTP closes it with 400", async () => {
  const connection = new RawConnection();
  connection.write(requestHead(`Content-Length: ${body.length}\r\nConnection: close\r\n`), body);
  assert.deepEqual(await connection.statuses(1), ["200"]);
  await waitUntil("the connection is closed", () => connection.closed);
  const malformed = new RawConnection();
  malformed.write(requestHead("no field\r\n\0: x\r\n"), body);
  await waitUntil("the connection with malformed HTTP is closed", () => malformed.closed);
  assert.match(malformed.receivedText, /^HTTP\/1\.1 400 /);
});

test("a node that knows another leader redirects without reading the body, and keeps the connection", async () => {
  leader = "n1";
  const reply = await send(Buffer.from("no heartbeat at all"));
  assert.equal(reply.status, 421);
  assert.deepEqual(decode(reply.body), { groom: "n1" });
  assert.notEqual(reply.headers.get("connection"), "close");
  leader = null;
  answer = { kind: "redirect", leader: null };
  assert.deepEqual(decode((await send(encode(wireHeartbeat))).body), {});
  answer = { kind: "redirect", leader: "n2" };
  assert.deepEqual(decode((await send(encode(wireHeartbeat))).body), { groom: "n2" });
});

test("a node that knows no leader answers 503 with Retry-After at once", async () => {
  answer = { kind: "unavailable" };
  const reply = await send(encode(wireHeartbeat));
  assert.equal(reply.status, 503);
  assert.ok(Number(reply.headers.get("retry-after")) >= 1);
});

test("a malformed heartbeat gets 400 and is not handled; the next one is answered", async () => {
  const invalidFields: Record<string, unknown>[] = [
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
  for (const fields of invalidFields) {
    const reply = await send(encode({ ...wireHeartbeat, ...fields }));
    assert.equal(reply.status, 400, JSON.stringify(fields));
  }
  for (const malformed of [Buffer.alloc(0), Buffer.from([0xc1]), encode([1]), encode(null)]) {
    assert.equal((await send(malformed)).status, 400);
  }
  assert.equal((await send(Buffer.alloc(BODY_LIMIT + 1))).status, 400);
  assert.deepEqual(received, []);
  assert.equal((await send(encode(wireHeartbeat))).status, 200);
});

test("an internal error is answered with 503 and passed to onFault", async () => {
  answer = null as never;
  assert.equal((await send(encode(wireHeartbeat))).status, 503);
  assert.equal(faults.length, 1);
});

test("unknown fields and omitted optional fields of a heartbeat are accepted", () => {
  const { recallS, ...rest } = wireHeartbeat;
  assert.deepEqual(decodeWorkerHeartbeat({ ...rest, news: 1 }), HEARTBEAT);
  assert.equal(
    decodeWorkerHeartbeat({ ...wireHeartbeat, recallS: 12.5 })?.interruptionNoticeS,
    12.5,
  );
});
