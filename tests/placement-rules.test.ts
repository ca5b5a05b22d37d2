/** Placement constraints as pure logic: every small case, compared with the rule as it is written. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  areZonesSufficient,
  isMachineAllowed,
  UNKNOWN_ZONE,
  ZoneOccupancy,
} from "../src/core/dispatch/placement-constraints.js";
import type { JobSpec } from "../src/core/model/jobs.js";
import { jobSpec } from "./support/job-builders.js";
import { placeFaults } from "./support/placement-checker.js";

const ZONES = ["a", "b", "c"];

const placeIn = (zone: string) => ({ machine: "m", type: "small", zone, spot: false });

/** Every list of so many zones. */
function lists(of: readonly string[], length: number): string[][] {
  if (length === 0) return [[]];
  return lists(of, length - 1).flatMap((rest) => of.map((zone) => [...rest, zone]));
}

function occupancyOf(job: JobSpec, zones: readonly string[]): ZoneOccupancy {
  const occupancy = new ZoneOccupancy(job);
  for (const zone of zones) occupancy.add(zone);
  return occupancy;
}

/** The rule, with each unknown zone being any of the real ones: it must hold whichever they are. */
function mayBeIn(job: JobSpec, zone: string, others: readonly string[]): boolean {
  const unknown = others.indexOf(UNKNOWN_ZONE);
  if (unknown >= 0) {
    return ZONES.every((real) => mayBeIn(job, zone, others.with(unknown, real)));
  }
  return placeFaults(job, placeIn(zone), others.map(placeIn)).length === 0;
}

for (const oneZone of [false, true]) {
  for (const spread of [false, true]) {
    test(`capacity in zones, every case of up to four tasks: oneZone ${oneZone}, spread ${spread}`, () => {
      for (const tasks of [1, 2, 3, 4, 5]) {
        const job = jobSpec("j", { tasks, oneZone, spread });
        for (let count = 0; count <= 4; count++) {
          for (const others of lists([...ZONES, UNKNOWN_ZONE], count)) {
            for (const zone of ZONES) {
              const may = mayBeIn(job, zone, others);
              const what = `${tasks} tasks, one to ${zone} beside ${others}`;
              assert.equal(occupancyOf(job, others).capacityIn(zone) > 0, may, what);
              const counted = occupancyOf(job, [...others, zone]);
              assert.equal(counted.mayStartIn(zone), may, `${what}, at its start`);
            }
          }
        }
      }
    });
  }
}

test("as many tasks may be placed as the zone limit allows, and no more", () => {
  const job = jobSpec("j", { tasks: 7, spread: true });
  const zones = occupancyOf(job, ["a"]);
  assert.equal(zones.reserveIn("a", 9), 3);
  assert.equal(zones.reserveIn("a", 1), 0);
  assert.equal(zones.reserveIn("b", 2), 2);
  assert.equal(zones.capacityIn("b"), 2);
  zones.remove("a");
  assert.equal(zones.capacityIn("a"), 1);
});

test("nothing is placed in an unknown zone if the job has zone constraints", () => {
  for (const constraint of [{ oneZone: true }, { spread: true }]) {
    const zones = new ZoneOccupancy(jobSpec("j", { tasks: 4, ...constraint }));
    assert.equal(zones.capacityIn(UNKNOWN_ZONE), 0);
    zones.add(UNKNOWN_ZONE);
    assert.equal(zones.mayStartIn(UNKNOWN_ZONE), false);
  }
  assert.ok(new ZoneOccupancy(jobSpec("j")).capacityIn(UNKNOWN_ZONE) > 0);
});

test("of tasks that must share a zone and are split over two, those in the main zone are kept", () => {
  const zones = occupancyOf(jobSpec("j", { tasks: 5, oneZone: true }), [
    "b",
    "a",
    "b",
    UNKNOWN_ZONE,
  ]);
  assert.equal(zones.isSplit, true);
  assert.equal(zones.mainZone, "b");
  assert.equal(occupancyOf(jobSpec("j", { tasks: 5 }), ["a", "b"]).isSplit, false);
});

test("machine type, zone and spot constraints decide which machines are allowed", () => {
  const machine = { type: { name: "small" }, zone: "a", spot: true };
  assert.equal(isMachineAllowed(jobSpec("j"), machine), true);
  assert.equal(isMachineAllowed(jobSpec("j", { types: ["big"] }), machine), false);
  assert.equal(isMachineAllowed(jobSpec("j", { types: [] }), machine), false);
  assert.equal(isMachineAllowed(jobSpec("j", { zone: "b" }), machine), false);
  assert.equal(isMachineAllowed(jobSpec("j", { spot: false }), machine), false);
  assert.equal(isMachineAllowed(jobSpec("j", { spot: false }), { ...machine, spot: false }), true);
  const unknown = { ...machine, zone: UNKNOWN_ZONE };
  assert.equal(isMachineAllowed(jobSpec("j", { zone: "a" }), unknown), false);
});

test("a spread job needs two zones to run all its tasks at one time", () => {
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 4, spread: true }), 1), false);
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 5, spread: true }), 2), true);
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 1, spread: true }), 1), true);
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 4 }), 1), true);
});
