/** Compares the placement constraints with the definition of the protocol rule in every small case. */
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
import { placementViolations } from "./support/placement-checker.js";

const ZONES = ["a", "b", "c"];

const machineIn = (zone: string) => ({ machine: "m", type: "small", zone, spot: false });

/** All lists of `length` zones. */
function zoneLists(zones: readonly string[], length: number): string[][] {
  if (length === 0) return [[]];
  return zoneLists(zones, length - 1).flatMap((rest) => zones.map((zone) => [...rest, zone]));
}

function occupancyOf(job: JobSpec, zones: readonly string[]): ZoneOccupancy {
  const occupancy = new ZoneOccupancy(job);
  for (const zone of zones) occupancy.add(zone);
  return occupancy;
}

/**
 * Whether the rule allows a task in `zone` beside the others. Each unknown zone may be any of the real ones, and the
 * rule must hold for all of them.
 */
function isAllowedIn(job: JobSpec, zone: string, others: readonly string[]): boolean {
  const unknown = others.indexOf(UNKNOWN_ZONE);
  if (unknown >= 0) {
    return ZONES.every((real) => isAllowedIn(job, zone, others.with(unknown, real)));
  }
  return placementViolations(job, machineIn(zone), others.map(machineIn)).length === 0;
}

for (const oneZone of [false, true]) {
  for (const spread of [false, true]) {
    test(`zone capacity agrees with the rule beside up to four tasks: oneZone ${oneZone}, spread ${spread}`, () => {
      for (const tasks of [1, 2, 3, 4, 5]) {
        const job = jobSpec("j", { tasks, oneZone, spread });
        for (let count = 0; count <= 4; count++) {
          for (const others of zoneLists([...ZONES, UNKNOWN_ZONE], count)) {
            for (const zone of ZONES) {
              const isAllowed = isAllowedIn(job, zone, others);
              const situation = `${tasks} tasks, one placed in ${zone} beside others in ${others}`;
              assert.equal(occupancyOf(job, others).capacityIn(zone) > 0, isAllowed, situation);
              const counted = occupancyOf(job, [...others, zone]);
              assert.equal(counted.mayStartIn(zone), isAllowed, `${situation}, when it starts`);
            }
          }
        }
      }
    });
  }
}

test("tasks of a spread job are placed in a zone up to its limit and no further", () => {
  const job = jobSpec("j", { tasks: 7, spread: true });
  const zones = occupancyOf(job, ["a"]);
  assert.equal(zones.reserveIn("a", 9), 3);
  assert.equal(zones.reserveIn("a", 1), 0);
  assert.equal(zones.reserveIn("b", 2), 2);
  assert.equal(zones.capacityIn("b"), 2);
  zones.remove("a");
  assert.equal(zones.capacityIn("a"), 1);
});

test("no task of a job with zone constraints is placed in an unknown zone", () => {
  for (const constraint of [{ oneZone: true }, { spread: true }]) {
    const zones = new ZoneOccupancy(jobSpec("j", { tasks: 4, ...constraint }));
    assert.equal(zones.capacityIn(UNKNOWN_ZONE), 0);
    zones.add(UNKNOWN_ZONE);
    assert.equal(zones.mayStartIn(UNKNOWN_ZONE), false);
  }
  assert.ok(new ZoneOccupancy(jobSpec("j")).capacityIn(UNKNOWN_ZONE) > 0);
});

test("the main zone of a one-zone job that is split over two zones is the zone with the most tasks", () => {
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

test("a spread job needs two zones to run all its tasks at the same time", () => {
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 4, spread: true }), 1), false);
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 5, spread: true }), 2), true);
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 1, spread: true }), 1), true);
  assert.equal(areZonesSufficient(jobSpec("j", { tasks: 4 }), 1), true);
});
