/** Scaling with new machines that boot late, never boot, or send heartbeats before the cloud lists them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  countLateBootsByOffer,
  countMachinesByZone,
  planScaleOut,
  type ScaleOutRequest,
} from "../src/core/capacity/scaling.js";
import type { ListedMachine } from "../src/core/model/machines.js";
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { MACHINE_TYPES } from "./support/machine-types.js";
import { TestLeader } from "./support/test-leader.js";

/** An entry of the cloud's list of machines, which is booting unless `change` sets another state. */
const listedMachine = (
  name: string,
  ageS: number,
  change: Partial<ListedMachine> = {},
): ListedMachine => ({
  name,
  address: "",
  type: "small",
  zone: "a",
  spot: false,
  state: "booting",
  ageS,
  ...change,
});

/** Passes the cloud's list of machines to the scheduler. */
function receiveMachineList(leader: TestLeader, machines: readonly ListedMachine[]): void {
  leader.performEffects(leader.scheduler.machineListAnswered(machines, leader.now));
}

/** Returns the scale-out request that the leader would send to the cloud now. */
function nextScaleOut(leader: TestLeader): ScaleOutRequest | null {
  const { cluster } = leader.scheduler;
  return planScaleOut(
    {
      cluster,
      types: MACHINE_TYPES,
      now: leader.now,
      capacityBackoffUntil: new Map(),
      spareRatio: 1,
      maxMachines: 1000,
      machinesByZone: countMachinesByZone(cluster),
      lateBootsByOffer: countLateBootsByOffer(cluster, leader.now),
    },
    [...cluster.jobs.values()],
    [],
  );
}

/** A cloud whose machines never boot. */
class StuckCloud {
  private readonly agesS = new Map<string, number>();
  /** Age of each machine at its release, in the order of the releases. */
  readonly agesAtReleaseS: number[] = [];

  constructor(private readonly leader: TestLeader) {}

  /** Advances the time by one second. If a name is given, a machine of this name begins to boot. */
  advance(newMachine: string | null): void {
    this.leader.tick(1);
    if (newMachine !== null) this.agesS.set(newMachine, 0);
    for (const [name, ageS] of this.agesS) this.agesS.set(name, ageS + 1);
    for (const [, names] of this.leader.takeTrace().matchAll(/cloud return (.*)/g)) {
      this.release(names!.split(" "));
    }
    const machines = [...this.agesS].map(([name, ageS]) => listedMachine(name, ageS));
    receiveMachineList(this.leader, machines);
  }

  private release(names: readonly string[]): void {
    const { leader } = this;
    for (const name of names) {
      this.agesAtReleaseS.push(this.agesS.get(name)!);
      this.agesS.delete(name);
    }
    leader.performEffects(leader.scheduler.releaseAnswered(names, true, leader.now));
  }
}

test("each machine that boots late is replaced by one machine in another zone", () => {
  const leader = new TestLeader();
  leader.submit(jobSpec("j", { tasks: 4, team: "maps", spot: false, types: ["small"] }));
  assert.equal(nextScaleOut(leader)?.zone, "a");
  receiveMachineList(leader, [listedMachine("m1a", 1)]);
  assert.equal(nextScaleOut(leader), null, "one machine is booting");
  // The usual boot time is 15 s, and a machine is late after twice that time.
  leader.tick(31);
  const replacement = nextScaleOut(leader);
  assert.deepEqual([replacement?.count, replacement?.zone], [1, "b"]);
  receiveMachineList(leader, [listedMachine("m1a", 32), listedMachine("m2b", 1, { zone: "b" })]);
  assert.equal(nextScaleOut(leader), null, "one replacement for each late machine");
});

// The boot timeout begins at 4 times the usual boot time of 15 s and grows to at most 12 times.
test("machines that never boot are released after a timeout, which is longer if no other machine boots in time", () => {
  const leader = new TestLeader();
  const cloud = new StuckCloud(leader);
  for (let second = 0; second < 400; second++) {
    cloud.advance(second % 4 === 0 ? `m${second}a` : null);
  }
  const firstS = cloud.agesAtReleaseS[0]!;
  assert.ok(firstS >= 60 && firstS <= 64, `the first machine was released after ${firstS} s`);
  const lastS = cloud.agesAtReleaseS.at(-1)!;
  assert.ok(lastS > 120 && lastS <= 184, `the last machine was released after ${lastS} s`);
  // Other machines boot in time, so the timeout falls to its initial value again.
  for (let index = 0; index < 20; index++) leader.receiveHeartbeat(`up${index}a`, []);
  receiveMachineList(leader, [listedMachine("m999a", 70)]);
  for (let second = 0; second < 30; second++) {
    const booted = Array.from({ length: second + 1 }, (_, index) =>
      listedMachine(`new${index}a`, 10 + second),
    );
    receiveMachineList(leader, [listedMachine("m999a", 70 + second), ...booted]);
    leader.receiveHeartbeat(`new${second}a`, []);
  }
  assert.equal(leader.scheduler.cluster.machines.get("m999a")!.drainReason, "boot timeout");
});

test("a machine that sends heartbeats before the cloud lists it runs tasks and is neither replaced nor drained", () => {
  const leader = new TestLeader();
  leader.submit(jobSpec("j", { tasks: 4, team: "maps", types: ["small"] }));
  for (let heartbeat = 0; leader.unansweredRequests.length === 0 && heartbeat < 4; heartbeat++) {
    leader.receiveHeartbeat("m1a", []);
  }
  const statuses = [0, 1, 2, 3].map((task) => taskStatus("j", task, 1));
  leader.answerRequest(statuses);
  assert.equal(nextScaleOut(leader), null);
  // The cloud's list is out of date: it omits the machine at first, then shows it as booting.
  for (let interval = 0; interval < 10; interval++) {
    receiveMachineList(leader, interval < 5 ? [] : [listedMachine("m1a", interval)]);
    leader.receiveHeartbeat("m1a", statuses);
    leader.tick(3);
  }
  const machine = leader.scheduler.cluster.machines.get("m1a")!;
  assert.deepEqual([machine.state, machine.drainReason, machine.placements.size], ["up", null, 4]);
  assert.doesNotMatch(leader.takeTrace(), /cloud return/);
});
