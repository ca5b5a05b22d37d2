/** A storm of queries by users: everything else is still answered. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobReadResult } from "../src/api/outcomes.js";
import { type ApiBackend, buildServer } from "../src/api/server.js";
import type { JobView } from "../src/core/model/jobs.js";
import { AdaptiveConcurrencyLimit } from "../src/core/overload/adaptive-concurrency-limit.js";
import { encode } from "../src/wire/msgpack.js";
import { jobBody } from "./support/job-builders.js";

const HEARTBEAT = {
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

const VIEW: JobView = { id: "run-1", state: "queued", done: 0, running: 0 };
const FOUND: JobReadResult = { kind: "found", job: VIEW };

/** Its queries are answered only once the storm is over, and then the pending ones by `answerPending`. */
class StormBackend implements ApiBackend {
  isStorm = true;
  isSheddingUsers = false;
  submissions = 0;
  private readonly pending: ((result: JobReadResult) => void)[] = [];

  answerPending(): void {
    for (const answer of this.pending.splice(0)) answer(FOUND);
  }

  isHealthy = () => true;
  shedsUsers = () => this.isSheddingUsers;
  readJob = () =>
    this.isStorm
      ? new Promise<JobReadResult>((resolve) => this.pending.push(resolve))
      : Promise.resolve(FOUND);
  checkFeasibility = () => ({ kind: "feasible" as const });
  submit = async () => {
    this.submissions++;
    return { kind: "ok" as const };
  };
  cancel = async () => ({ kind: "ok" as const });
  waitForEnd = async () => ({ ...VIEW, state: "cancelled" as const });
  handleHeartbeat = () => ({ kind: "answer" as const, fencingToken: 1, commands: [] });
  redirectTarget = () => null;
}

const startServer = (backend: ApiBackend) =>
  buildServer(backend, {
    queryLimit: new AdaptiveConcurrencyLimit(8, 8, 1),
    mutationLimit: new AdaptiveConcurrencyLimit(8, 8, 1),
    now: () => 0,
    retryAfterS: 1,
    cancellationWaitS: 1,
    idleTimeoutS: 10,
    onRequestDone: () => {},
    onFault: (error) => assert.fail(error),
  });

test("a storm of queries is refused with staggered retries; submissions, cancellations and heartbeats are not", async () => {
  const backend = new StormBackend();
  const app = startServer(backend);
  const query = () => app.inject({ method: "GET", url: "/api/jobs/run-1" });
  const queries = Array.from({ length: 400 }, query);
  const headers = { "content-type": "application/msgpack" };
  const post = (url: string, body: unknown) =>
    app.inject({ method: "POST", url, headers, payload: encode(body) });
  const submissions = await Promise.all(
    Array.from({ length: 8 }, (_, index) => post("/api/jobs", jobBody({ id: `run-${index}` }))),
  );
  assert.deepEqual([...new Set(submissions.map((response) => response.statusCode))], [201]);
  assert.equal(backend.submissions, 8);
  assert.equal((await post("/checkin", HEARTBEAT)).statusCode, 200);
  assert.equal((await app.inject({ method: "GET", url: "/healthz" })).statusCode, 200);
  backend.isStorm = false;
  assert.equal((await post("/api/jobs/run-1/withdraw", {})).statusCode, 200);
  backend.answerPending();
  const answers = await Promise.all(queries);
  const refused = answers.filter((response) => response.statusCode === 429);
  assert.equal(answers.filter((response) => response.statusCode === 200).length, 8);
  assert.equal(refused.length, 392);
  // The retries are spread over several seconds.
  const retryAfterS = refused.map((response) => Number(response.headers["retry-after"]));
  for (const seconds of [1, 2, 3]) {
    assert.ok(retryAfterS.filter((value) => value === seconds).length > 100, `${seconds} s`);
  }
  // A leader that sheds users to other nodes still answers, and closes the connection with the answer.
  backend.isSheddingUsers = true;
  const last = await post("/api/jobs", jobBody({ id: "run-9" }));
  assert.deepEqual([last.statusCode, last.headers.connection], [201, "close"]);
  await app.close();
});
