/** Tests lowered limits of the state service: stored values above the new limits are split, and nothing is lost. */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { TaskStatus } from "../src/core/model/workers.js";
import { encodeJobRecord } from "../src/core/state/stored-values.js";
import { decodeSettings } from "../src/wire/settings.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { settingsText } from "./support/node-settings.js";
import { TestLeader } from "./support/test-leader.js";

/** State settings that announce lower limits. */
const LOW_LIMITS = { next: { value_kb: 2, txn_ops: 8, write_rps: 21 } };
const LOW_VALUE_BYTES = 2048;
const LOW_TXN_OPS = 8;
/** Number of machines, and number of tasks of one job, that a leader stores under the original limits. */
const MACHINES = 100;
const TASKS = 400;

const machineName = (index: number): string => `m-00000${index}a`;

const decodeWithState = (state: object) => {
  const base = JSON.parse(settingsText()) as { settings: { state: object } };
  const changed = { ...base.settings.state, ...state };
  return decodeSettings(settingsText({ settings: { ...base.settings, state: changed } }));
};

const LOW_STORE_LIMITS = { bytes: LOW_VALUE_BYTES, ops: LOW_TXN_OPS };

/** Whether everything that the leader wrote is within these limits. */
function isWithin(leader: TestLeader, limits: { bytes: number; ops: number }): boolean {
  const { bytes, ops } = leader.largestWritten;
  return bytes <= limits.bytes && ops <= limits.ops;
}

test("the smaller of the current and the announced limit applies, and invalid limits are named in the faults", () => {
  const low = decodeWithState(LOW_LIMITS);
  assert.ok("settings" in low);
  const { valueKb, txnOps, stateWriteRps, stateRps } = low.settings.cluster;
  assert.deepEqual([valueKb, txnOps, stateWriteRps, stateRps], [2, 8, 21, 150]);
  const larger = decodeWithState({ next: { value_kb: 64 } });
  assert.ok("settings" in larger);
  assert.equal(larger.settings.cluster.valueKb, 8);
  const invalid = decodeWithState({ next: { value_kb: -1 } });
  assert.ok("faults" in invalid);
  assert.deepEqual(
    invalid.faults.map((fault) => fault.split(":")[0]),
    ["settings.state.next.value_kb"],
  );
});

/** Creates a leader under the original limits, which has stored the machines and an active job. */
function leaderUnderOriginalLimits(tasks: number, machines: number): TestLeader {
  const leader = new TestLeader();
  const heartbeatRound = () => {
    for (let index = 0; index < machines; index++)
      leader.receiveHeartbeatOnly(machineName(index), []);
    leader.tick(0.5);
  };
  for (let round = 0; round < 4; round++) heartbeatRound();
  leader.submit(jobSpec("big", { team: "maps", tasks, cpus: 0.9, memoryGb: 0.1 }));
  for (let round = 0; round < 4; round++) heartbeatRound();
  return leader;
}

const placementsOfBig = (leader: TestLeader) => [
  ...leader.scheduler.cluster.jobs.get("big")!.placements.values(),
];

const placementTexts = (leader: TestLeader) =>
  placementsOfBig(leader)
    .map(({ task, attempt, machine }) => `${task}#${attempt} ${machine.name}`)
    .sort();

function tasksByMachine(leader: TestLeader): Map<string, number[]> {
  const tasks = new Map<string, number[]>();
  for (const { machine, task } of placementsOfBig(leader)) {
    tasks.set(machine.name, [...(tasks.get(machine.name) ?? []), task]);
  }
  return tasks;
}

const takeOver = (former: TestLeader, epoch: number, state: object) =>
  new TestLeader({ replica: former.replica, epoch, now: former.now + 5, state: state as never });

test("a job in one oversized value is resharded in one transaction, and every placement is kept", () => {
  const former = leaderUnderOriginalLimits(TASKS, MACHINES);
  const stored = former.replica.activeJobs.get("big")!;
  assert.equal(stored.value.shardSize, null);
  assert.ok(
    JSON.stringify(encodeJobRecord(stored.value)).length > LOW_VALUE_BYTES,
    "the stored value exceeds the new limit",
  );
  const placed = placementTexts(former);
  assert.equal(placed.length, TASKS);

  const leader = takeOver(former, 2, LOW_LIMITS);
  assert.deepEqual(placementTexts(leader), placed);
  leader.tick();
  const { bytes, ops } = leader.largestWritten;
  assert.ok(bytes <= LOW_VALUE_BYTES && bytes > 0, `${bytes} bytes`);
  assert.ok(ops <= LOW_TXN_OPS, `${ops} changes`);
  const { shardSize } = leader.replica.activeJobs.get("big")!.value;
  assert.equal(leader.replica.shardsOf("big").size, Math.ceil(TASKS / shardSize!));

  // Leaders with the original limits and with the low limits both load the placements from the shards.
  for (const [epoch, state] of [
    [3, {}],
    [4, LOW_LIMITS],
  ] as const) {
    assert.deepEqual(placementTexts(takeOver(leader, epoch, state)), placed);
  }
  const lastLeader = takeOver(leader, 5, LOW_LIMITS);
  lastLeader.epoch = 5;
  endEveryOtherTaskFirst(lastLeader);
  assert.equal(lastLeader.replica.finalRecords.get("big")?.outcome, "done");
  assert.equal(lastLeader.replica.shardsOf("big").size, 0);
  assert.ok(isWithin(lastLeader, LOW_STORE_LIMITS), JSON.stringify(lastLeader.largestWritten));
});

/** Ends the tasks in the order that makes the longest values: every other task first, so that no ranges form. */
function endEveryOtherTaskFirst(leader: TestLeader): void {
  const tasks = tasksByMachine(leader);
  for (const areAllDone of [false, true]) {
    for (const [machine, tasksThere] of tasks) {
      const statuses = tasksThere.map((task) =>
        areAllDone || task % 2 === 1
          ? taskStatus("big", task, 1, "exited", "done")
          : taskStatus("big", task, 1),
      );
      leader.receiveHeartbeat(machine, statuses);
    }
    for (let tick = 0; tick < 20; tick++) leader.tick();
  }
}

test("until resharding is stored the old value remains valid, and a task that ends meanwhile is not lost", () => {
  const former = leaderUnderOriginalLimits(TASKS, MACHINES);
  const leader = takeOver(former, 2, LOW_LIMITS);
  leader.epoch = 2;
  leader.isStoreAvailable = false;
  const ended = placementsOfBig(leader).filter(({ machine }) => machine.name === machineName(0));
  leader.receiveHeartbeat(
    machineName(0),
    ended.map(({ task }) => taskStatus("big", task, 1, "exited", "done")),
  );
  assert.deepEqual(placementTexts(takeOver(leader, 3, {})), placementTexts(former));
  leader.isStoreAvailable = true;
  leader.tick();
  const nextLeader = takeOver(leader, 4, LOW_LIMITS);
  assert.equal(nextLeader.scheduler.cluster.jobs.get("big")!.doneTasks.size, ended.length);
  assert.equal(placementTexts(nextLeader).length, TASKS - ended.length);
});

test("oversized shards of machine records are split, and every write leaves each machine in a shard", () => {
  const former = leaderUnderOriginalLimits(1, 90);
  const storedMachines = (owner: TestLeader) =>
    new Set([...owner.replica.machineShards.values()].flatMap(({ value }) => Object.keys(value)));
  assert.equal(storedMachines(former).size, 90);
  const leader = takeOver(former, 2, LOW_LIMITS);
  leader.isStoreAvailable = false;
  for (let writes = 1; writes <= 40; writes++) {
    const transaction = leader.scheduler.nextTransaction(LOW_TXN_OPS, 60_000);
    if (transaction === null) break;
    leader.commitWrite(transaction);
    assert.equal(storedMachines(leader).size, 90, `after ${writes} writes`);
  }
  for (const { value } of leader.replica.machineShards.values()) {
    const bytes = JSON.stringify(value).length;
    assert.ok(bytes <= LOW_VALUE_BYTES, `${bytes} bytes`);
  }
  assert.ok(isWithin(leader, LOW_STORE_LIMITS), JSON.stringify(leader.largestWritten));
});

/** Workers that execute their commands at once and report each task as done as soon as it starts. */
class InstantWorkers {
  /** Tasks on each machine, each as `job task attempt`. */
  private readonly tasks = new Map<string, Set<string>>();

  constructor(
    private readonly leader: TestLeader,
    private readonly machines: number,
  ) {}

  /** Runs until no job is left, for at most `rounds` rounds. */
  runToEnd(rounds: number): void {
    const { leader } = this;
    for (let round = 0; round < rounds && leader.scheduler.cluster.jobs.size > 0; round++) {
      this.answerCommands();
      this.answerProbes();
      for (let index = 0; index < this.machines; index++) {
        leader.receiveHeartbeatOnly(machineName(index), this.statusesOf(machineName(index)));
      }
      leader.tick(0.5);
    }
  }

  private answerCommands(): void {
    const { leader } = this;
    for (const { machine, commands } of leader.unansweredRequests.splice(0)) {
      const tasksOnMachine = this.tasks.get(machine) ?? new Set();
      this.tasks.set(machine, tasksOnMachine);
      for (const { op, job, task, attempt } of commands) {
        if (op === "start") tasksOnMachine.add(`${job} ${task} ${attempt}`);
        else if (op === "forget") tasksOnMachine.delete(`${job} ${task} ${attempt}`);
      }
      const heartbeat = leader.makeHeartbeat(machine, this.statusesOf(machine));
      const answer = { kind: "answered", executed: true, heartbeat } as const;
      leader.performEffects(
        leader.scheduler.commandsAnswered(machine, commands, answer, leader.now),
      );
    }
  }

  private answerProbes(): void {
    const { leader } = this;
    for (const machine of leader.pendingProbes.splice(0)) {
      const heartbeat = leader.makeHeartbeat(machine, this.statusesOf(machine));
      leader.performEffects(leader.scheduler.probeAnswered(machine, heartbeat, leader.now));
    }
  }

  private statusesOf(machine: string): TaskStatus[] {
    return [...(this.tasks.get(machine) ?? [])].map((text) => {
      const [job, task, attempt] = text.split(" ");
      return taskStatus(job!, Number(task), Number(attempt), "exited", "done");
    });
  }
}

const ARRAY = jobSpec("array", { team: "maps", tasks: 1500, cpus: 0.02, memoryGb: 0.01 });
const GANG = jobSpec("gang", { team: "maps", kind: "gang", tasks: 100, cpus: 0.1, memoryGb: 0.1 });

test("a large array and a large gang run to completion under the low limits", () => {
  const leader = new TestLeader({ state: LOW_LIMITS });
  for (let index = 0; index < 10; index++) leader.receiveHeartbeat(machineName(index), []);
  leader.submit(ARRAY);
  leader.submit(GANG);
  new InstantWorkers(leader, 10).runToEnd(120);
  assert.equal(leader.replica.finalRecords.get("array")?.outcome, "done");
  assert.equal(leader.replica.finalRecords.get("gang")?.outcome, "done");
  assert.ok(isWithin(leader, LOW_STORE_LIMITS), JSON.stringify(leader.largestWritten));
});

test("values and transactions that are refused within the configured limits shrink until they are accepted", () => {
  for (const storeLimits of [
    { bytes: 1024, ops: 8 },
    { bytes: 1200, ops: 3 },
  ]) {
    const leader = new TestLeader({ state: LOW_LIMITS });
    for (let index = 0; index < MACHINES; index++) leader.receiveHeartbeat(machineName(index), []);
    leader.storeLimits = storeLimits;
    leader.largestWritten.bytes = 0;
    leader.largestWritten.ops = 0;
    // Each machine takes one task, so that the values name many machines.
    const oneTaskPerMachine = { team: "maps", cpus: 3, memoryGb: 0.1 };
    leader.submit(jobSpec("array", { ...oneTaskPerMachine, tasks: 700 }));
    leader.submit(jobSpec("gang", { ...oneTaskPerMachine, kind: "gang", tasks: 100 }));
    // Too small to be sharded under the configured limits, and too large for one value under the actual ones.
    leader.submit(jobSpec("middle", { ...oneTaskPerMachine, kind: "gang", tasks: 30 }));
    leader.submit(jobSpec("list", { ...oneTaskPerMachine, tasks: 60 }));
    new InstantWorkers(leader, MACHINES).runToEnd(400);
    assert.ok(
      leader.rejectedTransactions > 0,
      "the state service refused at least one transaction",
    );
    const outcomes = ["array", "gang", "middle", "list"].map(
      (id) => leader.replica.finalRecords.get(id)?.outcome,
    );
    assert.deepEqual(outcomes, ["done", "done", "done", "done"], JSON.stringify(storeLimits));
    assert.ok(isWithin(leader, storeLimits), JSON.stringify(leader.largestWritten));
  }
});

test("actual limits below the configured ones are respected in a takeover and while a job is being resharded", () => {
  const former = leaderUnderOriginalLimits(TASKS, MACHINES);
  const leader = takeOver(former, 2, LOW_LIMITS);
  leader.epoch = 2;
  leader.storeLimits = { bytes: 1000, ops: LOW_TXN_OPS };
  for (const [machine, tasks] of tasksByMachine(leader)) {
    const statuses = tasks.map((task) => taskStatus("big", task, 1, "exited", "done"));
    leader.receiveHeartbeatOnly(machine, statuses);
  }
  for (let tick = 0; tick < 200; tick++) leader.tick(0.5);
  assert.ok(leader.rejectedTransactions > 0, "the state service refused at least one transaction");
  assert.equal(leader.replica.finalRecords.get("big")?.outcome, "done");
  const { bytes } = leader.largestWritten;
  assert.ok(bytes <= 1000, `${bytes} bytes`);
});
