/** Tests that user queries in excess of a node's query limit do not keep the node from serving other requests. */
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

const JOB_VIEW: JobView = { id: "run-1", state: "queued", done: 0, running: 0 };
const FOUND_JOB: JobReadResult = { kind: "found", job: JOB_VIEW };

/** A backend that does not answer queries while `holdsQueries` is true. `answerPending` answers the pending ones. */
class BlockingQueryBackend implements ApiBackend {
  holdsQueries = true;
  isSheddingUsers = false;
  submissions = 0;
  private readonly pendingQueries: ((result: JobReadResult) => void)[] = [];

  answerPending(): void {
    for (const answer of this.pendingQueries.splice(0)) answer(FOUND_JOB);
  }

  isHealthy = () => true;
  shedsUsers = () => this.isSheddingUsers;
  readJob = () =>
    this.holdsQueries
      ? new Promise<JobReadResult>((resolve) => this.pendingQueries.push(resolve))
      : Promise.resolve(FOUND_JOB);
  checkFeasibility = () => ({ kind: "feasible" as const });
  submit = async () => {
    this.submissions++;
    return { kind: "ok" as const };
  };
  cancel = async () => ({ kind: "ok" as const });
  waitForEnd = async () => ({ ...JOB_VIEW, state: "cancelled" as const });
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

test("excess queries are rejected with staggered retry times, while submissions, cancellations and heartbeats are accepted", async () => {
  const backend = new BlockingQueryBackend();
  const server = startServer(backend);
  const query = () => server.inject({ method: "GET", url: "/api/jobs/run-1" });
  const queries = Array.from({ length: 400 }, query);
  const headers = { "content-type": "application/msgpack" };
  const post = (url: string, body: unknown) =>
    server.inject({ method: "POST", url, headers, payload: encode(body) });
  const submissions = await Promise.all(
    Array.from({ length: 8 }, (_, index) => post("/api/jobs", jobBody({ id: `run-${index}` }))),
  );
  assert.deepEqual([...new Set(submissions.map((response) => response.statusCode))], [201]);
  assert.equal(backend.submissions, 8);
  assert.equal((await post("/checkin", HEARTBEAT)).statusCode, 200);
  assert.equal((await server.inject({ method: "GET", url: "/healthz" })).statusCode, 200);
  backend.holdsQueries = false;
  assert.equal((await post("/api/jobs/run-1/withdraw", {})).statusCode, 200);
  backend.answerPending();
  const answers = await Promise.all(queries);
  const rejected = answers.filter((response) => response.statusCode === 429);
  assert.equal(answers.filter((response) => response.statusCode === 200).length, 8);
  assert.equal(rejected.length, 392);
  // The retry times are spread over several seconds.
  const retryAfterS = rejected.map((response) => Number(response.headers["retry-after"]));
  for (const seconds of [1, 2, 3]) {
    assert.ok(
      retryAfterS.filter((value) => value === seconds).length > 100,
      `more than 100 retry times of ${seconds} s`,
    );
  }
  // A leader that leaves users to other nodes still answers them, and closes the connection with the answer.
  backend.isSheddingUsers = true;
  const lastResponse = await post("/api/jobs", jobBody({ id: "run-9" }));
  assert.deepEqual([lastResponse.statusCode, lastResponse.headers.connection], [201, "close"]);
  await server.close();
});
