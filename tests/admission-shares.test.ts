/** Fair shares compared with a linear-programming solver, and the guarantees of windows computed from them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type ClassUsage,
  dominantShare,
  fairFractions,
  limitedWindow,
  loadRatio,
  NO_RESOURCES,
  type ResourceVector,
  UNLIMITED,
  WHOLE_SHARE,
  type WindowInput,
} from "../src/admission/index.js";
import type { Team } from "../src/core/model/settings.js";
import {
  arbitraryFlatProblem,
  assertAgreesWithSolver,
  fairShareInputOf,
} from "./support/fair-share-solver.js";

test("progressive filling and a linear-programming solver compute the same shares", () => {
  const property = fc.property(arbitraryFlatProblem, (problem) =>
    assertAgreesWithSolver(problem, fairFractions(fairShareInputOf(problem))),
  );
  fc.assert(property, { numRuns: 150, seed: 27 });
});

test("the comparison with the solver detects shares that ignore the weights of teams", () => {
  const brokenProperty = fc.property(arbitraryFlatProblem, (problem) => {
    const input = fairShareInputOf(problem);
    const equalWeights = new Map([...input.teamWeights.keys()].map((team) => [team, 1]));
    const fractions = fairFractions({ ...input, teamWeights: equalWeights });
    assertAgreesWithSolver(problem, fractions);
  });
  assert.throws(() => fc.assert(brokenProperty, { numRuns: 150, seed: 27 }));
});

const TEAMS: Team[] = [
  { name: "bookings", cpus: 40, cpusMax: 0, gpus: 0, gpusMax: 0 },
  { name: "settlement", cpus: 20, cpusMax: 60, gpus: 0, gpusMax: 0 },
  { name: "guest", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
];

const CAPACITY: ResourceVector = { cpus: 100, gpus: 0, memoryGb: 400 };

/** A class whose unfinished and rejected jobs need the given numbers of CPUs. */
const usage = (team: string, name: string, unfinished: number, refused = 0): ClassUsage => ({
  team,
  class: name,
  production: false,
  unfinished: { ...NO_RESOURCES, cpus: unfinished },
  refused: { ...NO_RESOURCES, cpus: refused },
  weight: 1,
});

const windowInput = (
  classes: readonly ClassUsage[],
  change: Partial<WindowInput> = {},
): WindowInput => ({
  version: 1,
  epoch: 1,
  capacity: CAPACITY,
  growing: false,
  teams: TEAMS,
  teamWeights: new Map(),
  classes,
  queueRatio: 2,
  periods: [],
  maxBytes: 4096,
  ...change,
});

const grantedUnits = (input: WindowInput, team: string, name: string | null): number => {
  const found = limitedWindow(input).grants.find(
    (grant) => grant.team === team && grant.class === name,
  );
  assert.ok(found, `${team} ${name}`);
  return found.lanes.new;
};

test("the other teams keep their guarantees during a flood of one team's jobs", () => {
  const input = windowInput([usage("guest", "flood", 0, 100_000), usage("bookings", "web", 0, 60)]);
  // Forty of a hundred CPUs are guaranteed. With a queue ratio of 2, three times as much work may be unfinished.
  assert.ok(grantedUnits(input, "bookings", "web") >= 0.4 * 3 * WHOLE_SHARE);
  assert.ok(grantedUnits(input, "guest", "flood") > 0);
});

test("a class whose unfinished work is its whole share gets no grant until part of the work completes", () => {
  const fullInput = windowInput([usage("guest", "flood", 5000), usage("bookings", "web", 30, 30)]);
  assert.equal(grantedUnits(fullInput, "guest", "flood"), 0);
  const drainedInput = windowInput([usage("guest", "flood", 20), usage("bookings", "web", 30, 30)]);
  assert.ok(grantedUnits(drainedInput, "guest", "flood") > 0);
});

test("each class has a share even if the guarantees of the teams exceed the capacity", () => {
  const teams = TEAMS.map((team) => (team.name === "bookings" ? { ...team, cpus: 1000 } : team));
  const input = windowInput([usage("guest", "a", 0, 500), usage("bookings", "web", 0, 500)], {
    teams,
  });
  assert.ok(grantedUnits(input, "guest", "a") > 0.01 * WHOLE_SHARE);
});

test("an unused share goes to other teams, and returns to its team with the next window", () => {
  const aloneInput = windowInput([usage("guest", "flood", 0, 1000)]);
  const sharedInput = windowInput([
    usage("guest", "flood", 0, 1000),
    usage("bookings", "web", 0, 1000),
  ]);
  assert.ok(
    grantedUnits(aloneInput, "guest", "flood") > 2 * grantedUnits(sharedInput, "guest", "flood"),
  );
});

test("a team's limit bounds its own grants, and no other limit applies while the cluster can grow", () => {
  const classes = [usage("settlement", "night", 0, 10_000), usage("bookings", "web", 0, 10)];
  const input = windowInput(classes, { growing: true });
  assert.ok(grantedUnits(input, "settlement", "night") <= 0.6 * 3 * WHOLE_SHARE + 1);
  assert.equal(grantedUnits(input, "bookings", "web"), UNLIMITED);
});

test("within a team's guarantee, production work has precedence over the other work of the team", () => {
  const classes = [
    { ...usage("bookings", "web", 0, 30), production: true },
    usage("bookings", "report", 0, 1000),
    usage("guest", "flood", 0, 1000),
  ];
  const shared = grantedUnits(windowInput(classes), "bookings", "web");
  assert.ok(shared >= 0.3 * 3 * WHOLE_SHARE - 3, `${shared}`);
});

test("when the capacity falls by half, the grant of a flooding class falls by half with the next window", () => {
  const classes = [usage("guest", "flood", 0, 1000), usage("bookings", "web", 0, 1000)];
  const before = grantedUnits(windowInput(classes), "guest", "flood") * 100;
  const capacity = { cpus: 50, gpus: 0, memoryGb: 200 };
  const after = grantedUnits(windowInput(classes, { capacity }), "guest", "flood") * 50;
  assert.ok(after < 0.6 * before, `${after} of ${before}`);
});

test("classes that do not fit the window's value share one grant, and the value stays within its size limit", () => {
  const classes = Array.from({ length: 3000 }, (_, index) =>
    usage("guest", `class-${index}`, 0, 1 + index),
  );
  const { grants } = limitedWindow(windowInput(classes));
  const bytes = JSON.stringify(
    grants.map(({ team, class: className, lanes }) => [team, className, lanes.new, lanes.follower]),
  );
  assert.ok(bytes.length <= 4096, `${bytes.length}`);
  assert.ok(
    grants.some((grant) => grant.class === "class-2999"),
    "the classes with the largest demand are named",
  );
  assert.ok(
    grants.some((grant) => grant.team === "guest" && grant.class === null && grant.lanes.new > 0),
  );
});

test("the load ratio relates unfinished work to the capacity if the cluster cannot grow, and to team limits", () => {
  const classes = [usage("bookings", "web", 300)];
  assert.equal(loadRatio(windowInput(classes)), 3);
  assert.equal(loadRatio(windowInput(classes, { growing: true })), 0);
  assert.equal(loadRatio(windowInput([usage("settlement", "n", 120)], { growing: true })), 2);
});

test("for any load, grants are non-negative integers and do not add up to more than the capacity and the queue", () => {
  const load = fc.array(
    fc.record({
      team: fc.constantFrom(...TEAMS.map((team) => team.name)),
      class: fc.constantFrom("a", "b", "c", "d"),
      unfinished: fc.integer({ min: 0, max: 500 }),
      refused: fc.integer({ min: 0, max: 500 }),
    }),
    { maxLength: 8 },
  );
  const property = fc.property(load, (entries) => {
    const unique = new Map(entries.map((entry) => [`${entry.team}/${entry.class}`, entry]));
    const classes = [...unique.values()].map((entry) =>
      usage(entry.team, entry.class, entry.unfinished, entry.refused),
    );
    const { grants } = limitedWindow(windowInput(classes, { queueRatio: 0.5 }));
    let allowedUnits = 0;
    for (const { team, class: className, lanes } of grants) {
      assert.ok(Number.isSafeInteger(lanes.new) && lanes.new >= 0);
      assert.ok(lanes.follower >= 1, "followers are admitted in each window");
      const classUsage = classes.find((entry) => entry.team === team && entry.class === className);
      const unfinished = dominantShare(classUsage?.unfinished ?? NO_RESOURCES, CAPACITY);
      if (lanes.new > 1) allowedUnits += lanes.new + unfinished;
    }
    assert.ok(
      allowedUnits <= 1.5 * WHOLE_SHARE * (1 + 1e-6) + grants.length,
      `${allowedUnits / WHOLE_SHARE}`,
    );
  });
  fc.assert(property, { numRuns: 300, seed: 28 });
});
