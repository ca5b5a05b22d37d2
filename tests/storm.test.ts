/** Users ask far more often than they did: what else comes in is still answered. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ApiBackend, buildServer } from "../src/api/server.js";
import type { JobView } from "../src/core/model/jobs.js";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";
import { encode } from "../src/wire/msgpack.js";
import { jobBody } from "./support/helpers.js";

const REPORT = {
  mount: "m-1",
  address: "127.0.0.1:9",
  breed: "small",
  paddock: "a",
  loaners: false,
  stint: 1,
  tally: 1,
  rein: 1,
  recallS: null,
  strides: [],
};

test("a storm of questions is refused in turns; submissions, cancellations and reports are not", async () => {
  const asked: ((v: JobView | null) => void)[] = [];
  let stored = 0;
  let storm = true;
  let leaves = false;
  const view: JobView = { id: "run-1", state: "queued", done: 0, running: 0 };
  const backend: ApiBackend = {
    isHealthy: () => true,
    shedsUsers: () => leaves,
    readJob: () => (storm ? new Promise((r) => asked.push(r)) : Promise.resolve(view)),
    checkFeasibility: () => "fits",
    submit: async () => {
      stored++;
      return "ok";
    },
    cancel: async () => "ok",
    waitForEnd: async () => ({ ...view, state: "cancelled" }),
    handleHeartbeat: () => ({ kind: "answer", token: 1, commands: [] }),
    redirectTarget: () => null,
  };
  const app = buildServer(backend, {
    queryLimit: new AdaptiveConcurrencyLimit(8, 8, 1),
    mutationLimit: new AdaptiveConcurrencyLimit(8, 8, 1),
    now: () => 0,
    retryAfterS: 1,
    cancellationWaitS: 1,
    idleTimeoutS: 10,
    onRequestDone: () => {},
    onFault: (e) => assert.fail(e),
  });
  const ask = () => app.inject({ method: "GET", url: "/api/jobs/run-1" });
  const questions = Array.from({ length: 400 }, ask);
  const headers = { "content-type": "application/msgpack" };
  const post = (url: string, body: unknown) =>
    app.inject({ method: "POST", url, headers, payload: encode(body) });
  const submissions = await Promise.all(
    Array.from({ length: 8 }, (_, i) => post("/api/jobs", jobBody({ nameId: `run-${i}` }))),
  );
  assert.deepEqual([...new Set(submissions.map((r) => r.statusCode))], [201]);
  assert.equal(stored, 8);
  assert.equal((await post("/checkin", REPORT)).statusCode, 200);
  assert.equal((await app.inject({ method: "GET", url: "/healthz" })).statusCode, 200);
  storm = false;
  assert.equal((await post("/api/jobs/run-1/withdraw", {})).statusCode, 200);
  for (const r of asked.splice(0)) r(view);
  const answers = await Promise.all(questions);
  const refused = answers.filter((r) => r.statusCode === 429);
  assert.equal(answers.filter((r) => r.statusCode === 200).length, 8);
  assert.equal(refused.length, 392);
  // They come back over several seconds, each told when.
  const after = refused.map((r) => Number(r.headers["retry-after"]));
  for (const s of [1, 2, 3]) assert.ok(after.filter((x) => x === s).length > 100, `${s} s`);
  // A leader that leaves users to others still answers, and closes the connection with it.
  leaves = true;
  const last = await post("/api/jobs", jobBody({ nameId: "run-9" }));
  assert.deepEqual([last.statusCode, last.headers.connection], [201, "close"]);
  await app.close();
});
