/** New machines that boot late, never, or report before the cloud lists them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  countLateBootsByOffer,
  countMachinesByZone,
  planScaleOut,
  type ScaleOutRequest,
} from "../src/core/capacity/scaling.js";
import type { ListedMachine } from "../src/core/model/machines.js";
import { decodeSettings } from "../src/wire/settings.js";
import { jobSpec, MACHINE_TYPES, settingsText, TestLeader, taskStatus } from "./support/helpers.js";

const CLUSTER = (() => {
  const decoded = decodeSettings(settingsText());
  assert.ok("settings" in decoded);
  return decoded.settings.cluster;
})();
const TASKS = [0, 1, 2, 3];

const listed = (
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

/** The cloud answers the leader's list request. */
function answerList(leader: TestLeader, machines: readonly ListedMachine[]): void {
  leader.performEffects(leader.scheduler.machineListAnswered(machines, leader.now));
}

/** The next request for machines, if the leader would send one now. */
function nextRequest({ scheduler: { cluster }, now }: TestLeader): ScaleOutRequest | null {
  return planScaleOut(
    {
      cluster,
      settings: CLUSTER,
      types: MACHINE_TYPES,
      now,
      capacityBackoffUntil: new Map(),
      spareRatio: 1,
      maxMachines: 1000,
      machinesByZone: countMachinesByZone(cluster),
      lateBootsByOffer: countLateBootsByOffer(cluster, now),
    },
    [...cluster.jobs.values()],
    [],
  );
}

test("a machine that boots late is replaced by one of another kind", () => {
  const leader = new TestLeader();
  leader.submit(jobSpec("j", { tasks: 4, team: "maps", spot: false, types: ["small"] }));
  assert.equal(nextRequest(leader)?.zone, "a");
  answerList(leader, [listed("m1a", 1)]);
  assert.equal(nextRequest(leader), null, "one is coming");
  // The expected boot time is 15 s.
  leader.tick(31);
  const request = nextRequest(leader);
  assert.deepEqual([request?.count, request?.zone], [1, "b"]);
  answerList(leader, [listed("m1a", 32), listed("m2b", 1, { zone: "b" })]);
  assert.equal(nextRequest(leader), null, "no more than one for each that is late");
});

/** Runs a cloud on which no machine ever boots; returns the names and ages of the machines that the leader releases. */
function releasesWithoutBoots(leader: TestLeader, seconds: number): [string, number][] {
  const ages = new Map<string, number>();
  const released: [string, number][] = [];
  for (let second = 0; second < seconds; second++) {
    leader.tick(1);
    if (second % 4 === 0) ages.set(`m${second}a`, 0);
    for (const [name, age] of ages) ages.set(name, age + 1);
    for (const [, list] of leader.takeTrace().matchAll(/cloud return (.*)/g)) {
      const names = list!.split(" ");
      for (const name of names) {
        released.push([name, ages.get(name)!]);
        ages.delete(name);
      }
      leader.performEffects(leader.scheduler.releaseAnswered(names, true, leader.now));
    }
    answerList(
      leader,
      [...ages].map(([name, age]) => listed(name, age)),
    );
  }
  return released;
}

test("a machine that never boots is released; where all boot slowly, the timeout is longer", () => {
  const leader = new TestLeader();
  const released = releasesWithoutBoots(leader, 400);
  const first = released[0]![1];
  assert.ok(first >= 60 && first <= 64, `the first after ${first} s`);
  const last = released.at(-1)![1];
  assert.ok(last > 120 && last <= 184, `the last after ${last} s`);
  // Machines that boot in time shorten the timeout for the others again.
  for (let index = 0; index < 20; index++) {
    leader.receiveHeartbeat(`up${index}a`, []);
  }
  answerList(leader, [listed("m999a", 70)]);
  for (let index = 0; index < 30; index++) {
    const up = Array.from({ length: index + 1 }, (_, other) => listed(`new${other}a`, 10 + index));
    answerList(leader, [listed("m999a", 70 + index), ...up]);
    leader.receiveHeartbeat(`new${index}a`, []);
  }
  assert.equal(leader.scheduler.cluster.machines.get("m999a")!.drainReason, "boot timeout");
});

test("a machine that reports before it is listed is used, and neither requested again nor released", () => {
  const leader = new TestLeader();
  leader.submit(jobSpec("j", { tasks: 4, team: "maps", types: ["small"] }));
  for (let second = 0; leader.unansweredRequests.length === 0 && second < 4; second++) {
    leader.receiveHeartbeat("m1a", []);
  }
  const running = TASKS.map((task) => taskStatus("j", task, 1));
  leader.answerRequest(running);
  assert.equal(nextRequest(leader), null);
  // The list lags: it does not contain the machine at first, and then shows it as booting.
  for (let round = 0; round < 10; round++) {
    answerList(leader, round < 5 ? [] : [listed("m1a", round)]);
    leader.receiveHeartbeat("m1a", running);
    leader.tick(3);
  }
  const machine = leader.scheduler.cluster.machines.get("m1a")!;
  assert.deepEqual([machine.state, machine.drainReason, machine.placements.size], ["up", null, 4]);
  assert.doesNotMatch(leader.takeTrace(), /cloud return/);
});
