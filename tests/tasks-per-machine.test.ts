/** Tests that a machine gets no more tasks than its worker can list in a heartbeat, whose size the protocol limits. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TaskStatus } from "../src/core/model/workers.js";
import { encodeWorkerHeartbeat } from "../src/wire/worker-heartbeat.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { SimulatedWorkers } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

/** The protocol's limit on the body of a request, in its JSON form. */
const MAXIMUM_BODY_BYTES = 64 * 1024;
/** An id in the form that the protocol gives to all of them. */
const JOB_ID = "run-000412";
const TASK_S = 5;
/** So many tasks that their list alone exceeds the limit, although all fit on the machine. */
const TASKS = 2000;
const smallTasks = jobSpec(JOB_ID, { team: "maps", tasks: TASKS, cpus: 0.001, memoryGb: 0.001 });

/** Size of a heartbeat in which all tasks on the machine have ended in the way that takes the most bytes to report. */
function largestHeartbeatBytes(leader: TestLeader, machine: string): number {
  const { placements, exitedTasks } = leader.scheduler.cluster.machines.get(machine)!;
  const exited = (job: string, task: number, attempt: number): TaskStatus => ({
    ...taskStatus(job, task, attempt, "exited", "peers"),
    checkpointed: true,
  });
  const tasks = [
    ...[...placements.values()].map(({ job, task, attempt }) => exited(job.spec.id, task, attempt)),
    ...[...exitedTasks.values()].map(({ job, task, attempt }) => exited(job, task, attempt)),
  ];
  return JSON.stringify(encodeWorkerHeartbeat(leader.makeHeartbeat(machine, tasks))).length;
}

// A machine got 900 tasks at a time, and its worker's heartbeats would have exceeded the 64 KiB of the protocol.
test("an array of very small tasks runs, and no heartbeat of its worker exceeds the limit", () => {
  const leader = new TestLeader({ logsTasks: false });
  const workers = new SimulatedWorkers(leader, new Map([["s1a", "small"]]), () => TASK_S);
  workers.runFor(4);
  leader.submit(smallTasks);
  let largestBytes = 0;
  workers.runFor(40, () => {
    largestBytes = Math.max(largestBytes, largestHeartbeatBytes(leader, "s1a"));
  });
  assert.ok(largestBytes <= MAXIMUM_BODY_BYTES, `a heartbeat of ${largestBytes} bytes`);
  assert.equal(leader.replica.finalRecords.get(JOB_ID)?.outcome, "done");
});

// Left waiting: tasks beyond the limit must not count as placeable where they are not, or no machine is requested.
test("left waiting: tasks that a worker could not list go to another machine", () => {
  const leader = new TestLeader({ logsTasks: false });
  const types = new Map(["s1a", "s2a", "s3a", "s4a"].map((name) => [name, "small"]));
  const workers = new SimulatedWorkers(leader, types, () => Infinity);
  workers.runFor(4);
  leader.submit(smallTasks);
  workers.runFor(20);
  assert.equal(workers.runningTasks.size, TASKS);
});
