/** New machines that come up late, never, or before anybody has heard of them. */
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
import { jobSpec, taskStatus } from "./support/job-builders.js";
import { MACHINE_TYPES } from "./support/machine-types.js";
import { settingsText } from "./support/node-settings.js";
import { TestLeader } from "./support/test-leader.js";

const CLUSTER = (() => {
  const s = decodeSettings(settingsText());
  if (!("settings" in s)) throw new Error("test settings");
  return s.settings.cluster;
})();

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

function next(h: TestLeader): ScaleOutRequest | null {
  return planScaleOut(
    {
      cluster: h.scheduler.cluster,
      settings: CLUSTER,
      types: MACHINE_TYPES,
      now: h.now,
      capacityBackoffUntil: new Map(),
      spareRatio: 1,
      maxMachines: 1000,
      machinesByZone: countMachinesByZone(h.scheduler.cluster),
      lateBootsByOffer: countLateBootsByOffer(h.scheduler.cluster, h.now),
    },
    [...h.scheduler.cluster.jobs.values()],
    [],
  );
}

test("room that is late is not waited for: another is rented, of another kind", () => {
  const h = new TestLeader();
  h.submit(jobSpec("j", { tasks: 4, team: "maps", spot: false, types: ["small"] }));
  assert.equal(next(h)?.zone, "a");
  h.performEffects(h.scheduler.machineListAnswered([listed("m1a", 1)], h.now));
  assert.equal(next(h), null, "one is coming");
  // It boots in 15 s as a rule.
  h.tick(31);
  const r = next(h);
  assert.deepEqual([r?.count, r?.zone], [1, "b"]);
  h.performEffects(
    h.scheduler.machineListAnswered([listed("m1a", 32), listed("m2b", 1, { zone: "b" })], h.now),
  );
  assert.equal(next(h), null, "no more than one for each that is late");
});

test("what never comes up goes back; where all take longer, they are given longer", () => {
  const h = new TestLeader();
  const ages = new Map<string, number>();
  const back: [string, number][] = [];
  for (let i = 0; i < 400; i++) {
    h.tick(1);
    if (i % 4 === 0) ages.set(`m${i}a`, 0);
    for (const [n, age] of ages) ages.set(n, age + 1);
    for (const [, name] of h.takeTrace().matchAll(/cloud return (.*)/g)) {
      for (const n of name!.split(" ")) {
        back.push([n, ages.get(n)!]);
        ages.delete(n);
      }
      h.performEffects(h.scheduler.releaseAnswered(name!.split(" "), true, h.now));
    }
    h.performEffects(
      h.scheduler.machineListAnswered(
        [...ages].map(([n, age]) => listed(n, age)),
        h.now,
      ),
    );
  }
  assert.ok(back[0]![1] >= 60 && back[0]![1] <= 64, `the first after ${back[0]![1]} s`);
  const last = back[back.length - 1]![1];
  assert.ok(last > 120 && last <= 184, `the last after ${last} s`);
  // One comes up in time: the others are held to that again.
  for (let i = 0; i < 20; i++) {
    h.receiveHeartbeat(`up${i}a`, []);
  }
  h.performEffects(h.scheduler.machineListAnswered([listed("m999a", 70)], h.now));
  for (let i = 0; i < 30; i++) {
    const up = Array.from({ length: i + 1 }, (_, n) => listed(`new${n}a`, 10 + i));
    h.performEffects(h.scheduler.machineListAnswered([listed("m999a", 70 + i), ...up], h.now));
    h.receiveHeartbeat(`new${i}a`, []);
  }
  assert.equal(h.scheduler.cluster.machines.get("m999a")!.drainReason, "boot timeout");
});

test("a machine that reports before it is listed is used, and neither rented again nor given up", () => {
  const h = new TestLeader();
  h.submit(jobSpec("j", { tasks: 4, team: "maps", types: ["small"] }));
  for (let i = 0; h.unansweredRequests.length === 0 && i < 4; i++) h.receiveHeartbeat("m1a", []);
  h.answerRequest([0, 1, 2, 3].map((n) => taskStatus("j", n, 1)));
  assert.equal(next(h), null);
  // The list is late: it does not show the machine, then shows it as booting.
  for (let i = 0; i < 10; i++) {
    h.performEffects(h.scheduler.machineListAnswered(i < 5 ? [] : [listed("m1a", i)], h.now));
    h.receiveHeartbeat(
      "m1a",
      [0, 1, 2, 3].map((n) => taskStatus("j", n, 1)),
    );
    h.tick(3);
  }
  const m = h.scheduler.cluster.machines.get("m1a")!;
  assert.deepEqual([m.state, m.drainReason, m.placements.size], ["up", null, 4]);
  assert.doesNotMatch(h.takeTrace(), /cloud return/);
});
