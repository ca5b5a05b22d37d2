/**
 * Tests that the limit on the commands in one message to a worker delays commands but loses none: a command that is
 * left out of a message is sent in a later one.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { MAXIMUM_COMMANDS_PER_MESSAGE } from "../src/core/dispatch/due-commands.js";
import { taskKey } from "../src/core/dispatch/placement.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import type { TaskStatus, WorkerCommand } from "../src/core/model/workers.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { TestLeader } from "./support/test-leader.js";

const TASKS_PER_JOB = 300;
const JOBS = ["first", "second"];
const TASKS = JOBS.length * TASKS_PER_JOB;
/** Messages that a worker needs for all tasks of both jobs. */
const MESSAGES_FOR_ALL_TASKS = Math.ceil(TASKS / MAXIMUM_COMMANDS_PER_MESSAGE);

/** An array of so many small tasks that the tasks of two of them fit on one machine. */
const manySmallTasks = (id: string, overrides: Partial<JobSpec> = {}): JobSpec =>
  jobSpec(id, { team: "maps", tasks: TASKS_PER_JOB, cpus: 0.005, memoryGb: 0.01, ...overrides });

/** Executes commands as a worker does, and counts the stops that it gets. */
class WorkerTasks {
  readonly running = new Map<string, TaskStatus>();
  stopCount = 0;

  execute(commands: readonly WorkerCommand[]): void {
    for (const { op, job, task, attempt } of commands) {
      const key = taskKey(job, task, attempt);
      if (op === "start") this.running.set(key, taskStatus(job, task, attempt));
      else this.running.delete(key);
      if (op === "stop") this.stopCount++;
    }
  }

  get statuses(): TaskStatus[] {
    return [...this.running.values()];
  }
}

/** Answers the oldest direct request after the worker has executed it. Returns the number of commands in it. */
function answerNextRequest(leader: TestLeader, worker: WorkerTasks): number {
  const commands = leader.unansweredRequests[0]?.commands ?? [];
  worker.execute(commands);
  leader.answerRequest(worker.statuses);
  return commands.length;
}

/** A leader with one machine, to which the starts of all tasks of both jobs become due at the same time. */
function leaderWithDueStarts(): { readonly leader: TestLeader; readonly worker: WorkerTasks } {
  const leader = new TestLeader({ logsTasks: false });
  const worker = new WorkerTasks();
  leader.receiveHeartbeat("m1a", []);
  leader.submit(manySmallTasks("probe", { tasks: 1 }));
  for (const id of JOBS) leader.submit(manySmallTasks(id));
  assert.equal(leader.unansweredRequests.length, 1);
  return { leader, worker };
}

function startAllTasks(leader: TestLeader, worker: WorkerTasks): void {
  for (let message = 0; message <= MESSAGES_FOR_ALL_TASKS; message++) {
    answerNextRequest(leader, worker);
  }
  assert.equal(worker.running.size, TASKS + 1);
}

// Left waiting: of 600 tasks whose machine had died, 200 were recorded as started on another one, but the commands
// beyond the limit of a request were dropped. These tasks never ran, and their job could not be cancelled either.
test("left waiting: all tasks start when more of them are due on a machine than one request can carry", () => {
  const { leader, worker } = leaderWithDueStarts();
  const sizes: number[] = [];
  while (leader.unansweredRequests.length > 0) sizes.push(answerNextRequest(leader, worker));
  assert.equal(worker.running.size, TASKS + 1);
  assert.ok(Math.max(...sizes) <= MAXIMUM_COMMANDS_PER_MESSAGE, `sizes: ${sizes}`);
  const started = JOBS.map((id) => leader.scheduler.cluster.jobs.get(id)!.placements.size);
  assert.deepEqual(started, [TASKS_PER_JOB, TASKS_PER_JOB]);
});

// Left waiting: the starts beyond the limit of a request counted as in flight, so nothing found out that the worker
// had never received them.
test("left waiting: starts beyond the limit of a lost request are sent once the worker answers again", () => {
  const { leader, worker } = leaderWithDueStarts();
  answerNextRequest(leader, worker);
  leader.answerRequest(null);
  for (let round = 0; round < 3 * MESSAGES_FOR_ALL_TASKS; round++) {
    leader.tick(2);
    if (leader.unansweredRequests.length > 0) answerNextRequest(leader, worker);
    leader.receiveHeartbeatOnly("m1a", worker.statuses);
  }
  assert.equal(worker.running.size, TASKS + 1);
});

// Ran cancelled: a stop beyond the limit of a request must be sent in the next one, like a start.
test("ran_cancelled: each task of cancelled jobs gets one stop, in as few requests as the limit allows", () => {
  const { leader, worker } = leaderWithDueStarts();
  startAllTasks(leader, worker);
  leader.tick(2);
  for (const id of JOBS) leader.cancel(id);
  let requests = 0;
  while (leader.unansweredRequests.length > 0) {
    assert.ok(answerNextRequest(leader, worker) <= MAXIMUM_COMMANDS_PER_MESSAGE);
    requests++;
  }
  assert.equal(worker.stopCount, TASKS);
  assert.ok(requests <= MESSAGES_FOR_ALL_TASKS + 1, `${requests} requests`);
});

// Ran cancelled: the response to a heartbeat had no limit, though it may be 64 KiB at most, and the list of orphaned
// tasks was emptied when they were taken, whether or not their stops fitted into a message.
test("the response to a heartbeat is limited too, and the remaining orphaned tasks are stopped directly", () => {
  const leader = new TestLeader({ logsTasks: false });
  const worker = new WorkerTasks();
  leader.receiveHeartbeat("m1a", []);
  worker.execute(
    Array.from({ length: TASKS }, (_, task) => ({ op: "start", job: "ended", task, attempt: 1 })),
  );
  const heartbeat = leader.makeHeartbeat("m1a", worker.statuses);
  const { commands, effects } = leader.scheduler.handleHeartbeat(heartbeat, leader.now);
  assert.equal(commands.length, MAXIMUM_COMMANDS_PER_MESSAGE);
  leader.performEffects(effects);
  worker.execute(commands);
  while (leader.unansweredRequests.length > 0) answerNextRequest(leader, worker);
  assert.equal(worker.running.size, 0);
  assert.equal(worker.stopCount, TASKS);
});
