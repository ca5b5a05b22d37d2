/** Jobs of thousands of tasks are stored as one value for the job and one for each shard that has active tasks. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { needsShards, shardSizeFor } from "../src/core/state/job-shards.js";
import type { StateReplica } from "../src/core/state/state-replica.js";
import { encodeJobRecord, encodeJobShardRecord, KEY } from "../src/core/state/stored-values.js";
import { jobSpec } from "./support/job-builders.js";
import { SimulatedWorkers } from "./support/simulated-workers.js";
import { TestLeader } from "./support/test-leader.js";

const VALUE_BYTES = 8 * 1024;

function machineTypes(count: number): Map<string, string> {
  const types = new Map<string, string>();
  for (let index = 0; index < count; index++)
    types.set(`m-${String(index).padStart(6, "0")}a`, "small");
  return types;
}

/** Size in bytes of the job's largest stored value, as the state service counts it. */
function largestValueBytes(replica: StateReplica, id: string): number {
  const job = replica.activeJobs.get(id);
  const values: unknown[] = [job === undefined ? null : encodeJobRecord(job.value)];
  for (const shard of replica.shardsOf(id).values()) values.push(encodeJobShardRecord(shard.value));
  return Math.max(...values.map((value) => JSON.stringify(value).length));
}

/** Starts a new leader from the stored state only: what the former leader had in memory is lost. */
function takeOver(former: TestLeader, workers: SimulatedWorkers, epoch: number): TestLeader {
  const leader = new TestLeader({ replica: former.replica, epoch, now: former.now });
  leader.epoch = epoch;
  workers.leader = leader;
  return leader;
}

test("after two takeovers, all tasks of a large array have run, none on two machines at a time, within quotas", () => {
  const tasks = 2357;
  assert.ok(needsShards(jobSpec("guest", { tasks }), VALUE_BYTES));
  let leader = new TestLeader();
  // There are 200 machines of four CPUs. Team vision, which owns "owned", may use 16 CPUs; team maps has no limit.
  const workers = new SimulatedWorkers(leader, machineTypes(200), () => 9);
  workers.runFor(4);
  leader.submit(jobSpec("guest", { team: "maps", tasks, priority: "low" }));
  leader.submit(jobSpec("owned", { tasks: 400, priority: "normal" }));
  let peakOwnedTasks = 0;
  let peakValueBytes = 0;
  const recordPeaks = (): void => {
    const ownedTasks = [...workers.runningTasks].filter((task) => task.startsWith("owned/"));
    peakOwnedTasks = Math.max(peakOwnedTasks, ownedTasks.length);
    peakValueBytes = Math.max(peakValueBytes, largestValueBytes(leader.replica, "guest"));
  };
  workers.runFor(10, recordPeaks);
  const { peakRunningTasks } = workers;
  assert.ok(
    peakRunningTasks > 700,
    `at most ${peakRunningTasks} tasks ran at a time, fewer than the capacity allows`,
  );
  // The first leader fails between a placement and its write, the second between the write and the start.
  leader.isStoreAvailable = false;
  workers.runFor(1, recordPeaks);
  leader = takeOver(leader, workers, 2);
  workers.runFor(15, recordPeaks);
  const startsBefore = workers.starts.length;
  leader.unansweredRequests.splice(0);
  leader = takeOver(leader, workers, 3);
  workers.runFor(60, recordPeaks);
  assert.ok(workers.starts.length >= startsBefore);
  assert.equal(leader.replica.view("guest")?.state, "done");
  assert.deepEqual(workers.duplicateStarts, []);
  assert.ok(peakOwnedTasks <= 16, `${peakOwnedTasks} tasks of a team that may run 16`);
  assert.ok(peakValueBytes <= VALUE_BYTES, `${peakValueBytes} bytes in a value`);
  const guestStarts = workers.starts.filter((start) => start.job === "guest");
  assert.equal(new Set(guestStarts.map((start) => start.task)).size, tasks);
  // Only tasks whose start or end was in transit during a takeover are started a second time.
  const restarts = guestStarts.length - tasks;
  assert.ok(restarts <= 40, `${restarts} tasks were started again`);
  assert.equal(leader.replica.shardsOf("guest").size, 0, "only the final record is left");
});

test("all stored values of a job of a hundred thousand tasks stay within the size limit until the job is cancelled", () => {
  const tasks = 100_000;
  const leader = new TestLeader();
  const workers = new SimulatedWorkers(leader, machineTypes(60), () => 6);
  workers.runFor(4);
  leader.submit(jobSpec("huge", { team: "maps", tasks }));
  workers.runFor(30);
  assert.ok(largestValueBytes(leader.replica, "huge") <= VALUE_BYTES);
  assert.equal(leader.replica.view("huge")?.running, 240);
  leader.cancel("huge");
  workers.runFor(8);
  assert.equal(leader.replica.finalRecords.get("huge")?.outcome, "cancelled");
  assert.equal(leader.replica.shardsOf("huge").size, 0);
});

test("a shard fits one value when each of its tasks runs on a machine of its own", () => {
  const size = shardSizeFor(VALUE_BYTES);
  const leader = new TestLeader();
  const workers = new SimulatedWorkers(leader, machineTypes(size), () => 1000);
  workers.runFor(4);
  // Each task takes a whole machine.
  leader.submit(jobSpec("wide", { team: "maps", tasks: 20 * size, cpus: 4 }));
  workers.runFor(6);
  assert.equal(workers.runningTasks.size, size);
  const bytes = largestValueBytes(leader.replica, "wide");
  assert.ok(bytes <= VALUE_BYTES, `${bytes} bytes`);
});

test("tasks of a large array are placed at a limited rate, which delays no other job", () => {
  const leader = new TestLeader();
  const workers = new SimulatedWorkers(leader, machineTypes(400), () => 3);
  workers.runFor(4);
  leader.submit(jobSpec("guest", { team: "maps", tasks: 25_000, priority: "low" }));
  const submittedAt = leader.now;
  workers.runFor(20);
  const guestStarts = workers.starts.filter((start) => start.job === "guest");
  // A quarter of a core allows a hundred placements per second, after an initial burst of as many as four seconds
  // allow.
  const startsAt = (at: number) => guestStarts.filter((start) => start.at === at).length;
  const peakStarts = Math.max(...guestStarts.map((start) => startsAt(start.at)));
  const { length } = guestStarts;
  assert.ok(length >= 2000 && length <= 2500, `${length} starts in 20 s`);
  assert.ok(peakStarts <= 450, `${peakStarts} starts at once`);
  leader.submit(jobSpec("other", { team: "maps", tasks: 300 }));
  workers.runFor(1);
  assert.equal(workers.starts.filter((start) => start.job === "other").length, 300);
  assert.ok(leader.now > submittedAt);
});

test("a delayed copy of a write cannot restore a deleted shard", () => {
  const leader = new TestLeader();
  const workers = new SimulatedWorkers(leader, machineTypes(40), () => 4);
  workers.runFor(4);
  leader.submit(jobSpec("guest", { team: "maps", tasks: 3000 }));
  workers.runFor(1);
  const firstShard = leader.replica.shardsOf("guest").get(0)!;
  assert.ok(firstShard.modRevision > 0);
  leader.isStoreAvailable = false;
  workers.runFor(6);
  const delayed = leader.scheduler.nextTransaction(32, 60_000)!;
  assert.ok(delayed.changes.some((change) => change.key.startsWith("q/guest/")));
  const refused = { kind: "refused" } as const;
  leader.performEffects(
    leader.scheduler.transactionEnded(delayed, refused, leader.replica, leader.now),
  );
  leader.isStoreAvailable = true;
  workers.runFor(40);
  assert.equal(leader.replica.shardsOf("guest").has(0), false, "all tasks of shard 0 are done");
  // Each write of a shard requires the mod revision of the job's own value, which has changed in the meantime.
  const jobKey = KEY.activeJob("guest");
  const jobPrecondition = delayed.preconditions.find(
    (precondition) => precondition.key === jobKey,
  )!;
  assert.notEqual(leader.replica.activeJobs.get("guest")?.modRevision, jobPrecondition.modRevision);
});

test("a gang and a service with more tasks than one value holds run all their tasks, also after a takeover", () => {
  let leader = new TestLeader();
  const workers = new SimulatedWorkers(leader, machineTypes(1000), () => 1000);
  workers.runFor(4);
  // Each machine runs one task, so the values name 900 machines.
  leader.submit(jobSpec("gang", { team: "maps", kind: "gang", tasks: 500, cpus: 4 }));
  leader.submit(jobSpec("web", { team: "maps", kind: "service", tasks: 400, cpus: 4 }));
  let peakValueBytes = 0;
  const recordPeak = (): void => {
    for (const id of ["gang", "web"]) {
      peakValueBytes = Math.max(peakValueBytes, largestValueBytes(leader.replica, id));
    }
  };
  workers.runFor(15, recordPeak);
  assert.equal(workers.runningTasks.size, 900);
  const gangStarts = workers.starts.filter((start) => start.job === "gang");
  const attempts = new Set(gangStarts.map((start) => start.attempt));
  assert.equal(
    attempts.size,
    1,
    "all tasks of the gang start in the same attempt, by which peers find each other",
  );
  leader = takeOver(leader, workers, 2);
  workers.runFor(10, recordPeak);
  assert.equal(workers.runningTasks.size, 900);
  assert.equal(workers.starts.length, 900, "no task was started again");
  assert.ok(peakValueBytes <= VALUE_BYTES, `${peakValueBytes} bytes in a value`);
});
