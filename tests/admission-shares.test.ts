/** Shares against a linear-programming solver, and what windows made of them promise. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import highsModule from "highs";
import {
  type ClassUsage,
  dominantShare,
  type FairShareInput,
  fairFractions,
  limitedWindow,
  loadRatio,
  NO_RESOURCES,
  RESOURCES,
  type ResourceVector,
  UNLIMITED,
  WHOLE_SHARE,
  type WindowInput,
} from "../src/admission/index.js";
import type { Team } from "../src/core/model.js";

// Its types describe an ES module; Node.js sees the CommonJS one, whose export is the function.
const loadHighs = highsModule as unknown as typeof highsModule.default;
const highs = await loadHighs();
const NEAR = 1e-5;

/** One class a team, so that the solver's problem is a flat one. */
interface Flat {
  readonly weights: readonly number[];
  readonly demands: readonly ResourceVector[];
  readonly limits: readonly number[];
  readonly capacity: ResourceVector;
}

const amounts = (least: number, most: number) =>
  fc.record({
    cpus: fc.integer({ min: least, max: most }),
    gpus: fc.integer({ min: 0, max: most }),
    memoryGb: fc.integer({ min: 0, max: most }),
  });

const flat: fc.Arbitrary<Flat> = fc.integer({ min: 1, max: 5 }).chain((n) =>
  fc.record({
    weights: fc.array(fc.integer({ min: 1, max: 9 }), { minLength: n, maxLength: n }),
    demands: fc.array(amounts(1, 60), { minLength: n, maxLength: n }),
    limits: fc.array(fc.integer({ min: 5, max: 80 }), { minLength: n, maxLength: n }),
    capacity: amounts(10, 100).map((a) => ({ ...a, gpus: a.gpus + 10, memoryGb: a.memoryGb + 10 })),
  }),
);

const teamName = (i: number): string => `team${i}`;

function inputOf(f: Flat): FairShareInput {
  const infinite = { gpus: Number.POSITIVE_INFINITY, memoryGb: Number.POSITIVE_INFINITY };
  return {
    claimants: f.demands.map((demand, i) => ({ team: teamName(i), weight: 1, demand })),
    teamWeights: new Map(f.weights.map((w, i) => [teamName(i), w])),
    capacity: f.capacity,
    teamLimits: new Map(f.limits.map((cpus, i) => [teamName(i), { cpus, ...infinite }])),
  };
}

const dominant = (f: Flat, i: number): number =>
  Math.max(...RESOURCES.map((r) => f.demands[i]![r] / f.capacity[r]));

/** Solves one linear program; `rows` are its constraints beside capacity and limits. */
function solve(f: Flat, objective: string, rows: readonly string[], withLevel: boolean): number {
  const all = [...rows];
  for (const r of RESOURCES) {
    const used = f.demands.map((d, i) => `${d[r]} x${i}`).join(" + ");
    all.push(`${used} <= ${f.capacity[r]}`);
  }
  for (const [i, limit] of f.limits.entries()) all.push(`${f.demands[i]!.cpus} x${i} <= ${limit}`);
  const bounds = [...f.demands.keys()].map((i) => `0 <= x${i} <= 1`);
  if (withLevel) bounds.push("t >= 0");
  const lines = [...all.entries()].map(([n, row]) => ` c${n}: ${row}`);
  const text = `Maximize\n obj: ${objective}\nSubject To\n${lines.join("\n")}\nBounds\n ${bounds.join("\n ")}\nEnd`;
  const solution = highs.solve(text);
  assert.equal(solution.Status, "Optimal", text);
  return solution.ObjectiveValue;
}

/** Lexicographic max-min by a sequence of linear programs: raise the level, fix whoever cannot rise any more. */
function byLinearPrograms(f: Flat): number[] {
  const fixed = new Map<number, number>();
  while (fixed.size < f.demands.length) {
    const rows = (level: string): string[] =>
      [...f.demands.keys()].map((i) => {
        const share = `${dominant(f, i)} x${i}`;
        const held = fixed.get(i);
        return held !== undefined
          ? `${share} >= ${held - 1e-9}`
          : `${share} ${level.replace("W", `${f.weights[i]}`)}`;
      });
    const level = solve(f, "t", rows("- W t >= 0"), true);
    for (const i of f.demands.keys()) {
      if (fixed.has(i)) continue;
      const least = [...f.demands.keys()].map((k) => {
        const held = fixed.get(k) ?? f.weights[k]! * level;
        return `${dominant(f, k)} x${k} >= ${held - 1e-9}`;
      });
      const most = solve(f, `${dominant(f, i)} x${i}`, least, false);
      if (most <= f.weights[i]! * level + NEAR) fixed.set(i, f.weights[i]! * level);
    }
  }
  return [...f.demands.keys()].map((i) => fixed.get(i)!);
}

function agreesWithSolver(f: Flat, fractions: readonly number[]): void {
  const expected = byLinearPrograms(f);
  for (const [i, e] of expected.entries()) {
    const got = fractions[i]! * dominant(f, i);
    assert.ok(Math.abs(got - e) < 10 * NEAR, `team ${i}: ${got} instead of ${e}`);
  }
}

test("progressive filling gives the shares of a linear-programming solver", () => {
  fc.assert(
    fc.property(flat, (f) => agreesWithSolver(f, fairFractions(inputOf(f)))),
    { numRuns: 150, seed: 27 },
  );
});

test("the comparison with the solver fails on shares that ignore weights", () => {
  const broken = fc.property(flat, (f) => {
    const input = inputOf(f);
    const even = new Map([...input.teamWeights.keys()].map((t) => [t, 1]));
    agreesWithSolver(f, fairFractions({ ...input, teamWeights: even }));
  });
  assert.throws(() => fc.assert(broken, { numRuns: 150, seed: 27 }));
});

const TEAMS: Team[] = [
  { name: "bookings", cpus: 40, cpusMax: 0, gpus: 0, gpusMax: 0 },
  { name: "settlement", cpus: 20, cpusMax: 60, gpus: 0, gpusMax: 0 },
  { name: "guest", cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
];

const usage = (team: string, name: string, unfinished: number, refused = 0): ClassUsage => ({
  team,
  class: name,
  production: false,
  unfinished: { ...NO_RESOURCES, cpus: unfinished },
  refused: { ...NO_RESOURCES, cpus: refused },
  weight: 1,
});

const window = (
  classes: readonly ClassUsage[],
  change: Partial<WindowInput> = {},
): WindowInput => ({
  version: 1,
  epoch: 1,
  capacity: { cpus: 100, gpus: 0, memoryGb: 400 },
  growing: false,
  teams: TEAMS,
  teamWeights: new Map(),
  classes,
  queueRatio: 2,
  periods: [],
  maxBytes: 4096,
  ...change,
});

const granted = (input: WindowInput, team: string, name: string | null): number => {
  const found = limitedWindow(input).grants.find((g) => g.team === team && g.class === name);
  assert.ok(found, `${team} ${name}`);
  return found.lanes.new;
};

test("a flood of one team leaves the others what they are guaranteed", () => {
  const input = window([usage("guest", "flood", 0, 100_000), usage("bookings", "web", 0, 60)]);
  // Forty of a hundred are guaranteed; with the queue beside it, three times as much may be unfinished.
  assert.ok(granted(input, "bookings", "web") >= 0.4 * 3 * WHOLE_SHARE);
  assert.ok(granted(input, "guest", "flood") > 0);
});

test("a class that has its share unfinished is granted nothing, and something again as it drains", () => {
  const full = window([usage("guest", "flood", 5000), usage("bookings", "web", 30, 30)]);
  assert.equal(granted(full, "guest", "flood"), 0);
  const drained = window([usage("guest", "flood", 20), usage("bookings", "web", 30, 30)]);
  assert.ok(granted(drained, "guest", "flood") > 0);
});

test("with guarantees that take everything each class has a share all the same", () => {
  const teams = TEAMS.map((t) => (t.name === "bookings" ? { ...t, cpus: 1000 } : t));
  const input = window([usage("guest", "a", 0, 500), usage("bookings", "web", 0, 500)], { teams });
  assert.ok(granted(input, "guest", "a") > 0.01 * WHOLE_SHARE);
});

test("what nobody wants is lent, and is taken back by the next window", () => {
  const alone = window([usage("guest", "flood", 0, 1000)]);
  const together = window([usage("guest", "flood", 0, 1000), usage("bookings", "web", 0, 1000)]);
  assert.ok(granted(alone, "guest", "flood") > 2 * granted(together, "guest", "flood"));
});

test("a team's limit bounds its grants, and only its own while the cloud gives machines", () => {
  const classes = [usage("settlement", "night", 0, 10_000), usage("bookings", "web", 0, 10)];
  const input = window(classes, { growing: true });
  assert.ok(granted(input, "settlement", "night") <= 0.6 * 3 * WHOLE_SHARE + 1);
  assert.equal(granted(input, "bookings", "web"), UNLIMITED);
});

test("production work of a team goes before its other work within the guarantee", () => {
  const classes = [
    { ...usage("bookings", "web", 0, 30), production: true },
    usage("bookings", "report", 0, 1000),
    usage("guest", "flood", 0, 1000),
  ];
  const shared = granted(window(classes), "bookings", "web");
  assert.ok(shared >= 0.3 * 3 * WHOLE_SHARE - 3, `${shared}`);
});

test("capacity that falls by half halves what a flood is granted, with the next window", () => {
  const classes = [usage("guest", "flood", 0, 1000), usage("bookings", "web", 0, 1000)];
  const before = granted(window(classes), "guest", "flood") * 100;
  const capacity = { cpus: 50, gpus: 0, memoryGb: 200 };
  const after = granted(window(classes, { capacity }), "guest", "flood") * 50;
  assert.ok(after < 0.6 * before, `${after} of ${before}`);
});

test("more classes than a value holds share the grant for others, and the value stays within its bound", () => {
  const classes = Array.from({ length: 3000 }, (_, i) => usage("guest", `class-${i}`, 0, 1 + i));
  const { grants } = limitedWindow(window(classes));
  const bytes = JSON.stringify(grants.map((g) => [g.team, g.class, g.lanes.new, g.lanes.follower]));
  assert.ok(bytes.length <= 4096, `${bytes.length}`);
  assert.ok(
    grants.some((g) => g.class === "class-2999"),
    "those that want most are named",
  );
  assert.ok(grants.some((g) => g.team === "guest" && g.class === null && g.lanes.new > 0));
});

test("pressure counts what cannot run now: of the cluster only if it cannot grow, of a team by its limit", () => {
  const classes = [usage("bookings", "web", 300)];
  assert.equal(loadRatio(window(classes)), 3);
  assert.equal(loadRatio(window(classes, { growing: true })), 0);
  assert.equal(loadRatio(window([usage("settlement", "n", 120)], { growing: true })), 2);
});

test("grants are never negative, whole, and no sum of shares exceeds the capacity, for any load", () => {
  const load = fc.array(
    fc.record({
      team: fc.constantFrom(...TEAMS.map((t) => t.name)),
      class: fc.constantFrom("a", "b", "c", "d"),
      unfinished: fc.integer({ min: 0, max: 500 }),
      refused: fc.integer({ min: 0, max: 500 }),
    }),
    { maxLength: 8 },
  );
  const holds = fc.property(load, (entries) => {
    const unique = new Map(entries.map((e) => [`${e.team}/${e.class}`, e]));
    const classes = [...unique.values()].map((e) =>
      usage(e.team, e.class, e.unfinished, e.refused),
    );
    const { grants } = limitedWindow(window(classes, { queueRatio: 0.5 }));
    let allowed = 0;
    for (const g of grants) {
      assert.ok(Number.isSafeInteger(g.lanes.new) && g.lanes.new >= 0);
      assert.ok(g.lanes.follower >= 1, "a follower's turn comes in each window");
      const own = classes.find((c) => c.team === g.team && c.class === g.class);
      const unfinished = dominantShare(own?.unfinished ?? NO_RESOURCES, {
        cpus: 100,
        gpus: 0,
        memoryGb: 400,
      });
      if (g.lanes.new > 1) allowed += g.lanes.new + unfinished;
    }
    assert.ok(
      allowed <= 1.5 * WHOLE_SHARE * (1 + 1e-6) + grants.length,
      `${allowed / WHOLE_SHARE}`,
    );
  });
  fc.assert(holds, { numRuns: 300, seed: 28 });
});
