/** Computes weighted max-min shares with a linear-programming solver, as a reference for progressive filling. */
import assert from "node:assert/strict";
import fc from "fast-check";
import highsModule from "highs";
import { type FairShareInput, RESOURCES, type ResourceVector } from "../../src/admission/index.js";

// The package's types describe an ES module; Node.js loads the CommonJS module, whose export is the function itself.
const loadHighs = highsModule as unknown as typeof highsModule.default;
const highs = await loadHighs();
/** Largest difference at which two shares count as equal. */
const TOLERANCE = 1e-5;
/** Slack of the constraints, so that rounding does not make a program infeasible. */
const SLACK = 1e-9;

/** A fair-share problem with one class per team: the linear programs then have no hierarchy. */
export interface FlatProblem {
  readonly weights: readonly number[];
  readonly demands: readonly ResourceVector[];
  /** CPU limit of each team. */
  readonly limits: readonly number[];
  readonly capacity: ResourceVector;
}

const arbitraryResources = (min: number, max: number): fc.Arbitrary<ResourceVector> =>
  fc.record({
    cpus: fc.integer({ min, max }),
    gpus: fc.integer({ min: 0, max }),
    memoryGb: fc.integer({ min: 0, max }),
  });

/** Random problems of one to five teams. */
export const arbitraryFlatProblem: fc.Arbitrary<FlatProblem> = fc
  .integer({ min: 1, max: 5 })
  .chain((teams) => {
    const perTeam = { minLength: teams, maxLength: teams };
    return fc.record({
      weights: fc.array(fc.integer({ min: 1, max: 9 }), perTeam),
      demands: fc.array(arbitraryResources(1, 60), perTeam),
      limits: fc.array(fc.integer({ min: 5, max: 80 }), perTeam),
      capacity: arbitraryResources(10, 100).map(({ cpus, gpus, memoryGb }) => ({
        cpus,
        gpus: gpus + 10,
        memoryGb: memoryGb + 10,
      })),
    });
  });

const teamName = (team: number): string => `team${team}`;

/** Converts the problem to the input of progressive filling. */
export function fairShareInputOf(problem: FlatProblem): FairShareInput {
  const infinite = { gpus: Number.POSITIVE_INFINITY, memoryGb: Number.POSITIVE_INFINITY };
  return {
    claimants: problem.demands.map((demand, team) => ({
      team: teamName(team),
      weight: 1,
      demand,
    })),
    teamWeights: new Map(problem.weights.map((weight, team) => [teamName(team), weight])),
    capacity: problem.capacity,
    teamLimits: new Map(
      problem.limits.map((cpus, team) => [teamName(team), { cpus, ...infinite }]),
    ),
  };
}

/** Asserts that the granted fractions of the demands agree with the solver's result. */
export function assertAgreesWithSolver(problem: FlatProblem, fractions: readonly number[]): void {
  for (const [team, expected] of sharesByLinearPrograms(problem).entries()) {
    const actual = fractions[team]! * dominantShareOf(problem, team);
    const isNear = Math.abs(actual - expected) < 10 * TOLERANCE;
    assert.ok(isNear, `team ${team}: ${actual} instead of ${expected}`);
  }
}

/** Dominant share of a team's full demand. */
function dominantShareOf({ demands, capacity }: FlatProblem, team: number): number {
  return Math.max(...RESOURCES.map((resource) => demands[team]![resource] / capacity[resource]));
}

/**
 * Lexicographic max-min by a sequence of linear programs: each raises the level and fixes the teams that cannot gain.
 */
function sharesByLinearPrograms(problem: FlatProblem): number[] {
  const teams = [...problem.demands.keys()];
  const fixed = new Map<number, number>();
  while (fixed.size < teams.length) {
    const level = solve(problem, "t", levelRows(problem, fixed), true);
    for (const team of teams) {
      if (fixed.has(team)) continue;
      const shareAtLevel = problem.weights[team]! * level;
      const objective = `${dominantShareOf(problem, team)} x${team}`;
      const maxShare = solve(problem, objective, minimumRows(problem, fixed, level), false);
      if (maxShare <= shareAtLevel + TOLERANCE) fixed.set(team, shareAtLevel);
    }
  }
  return teams.map((team) => fixed.get(team)!);
}

/**
 * Constraints: fixed teams keep their share; the shares of the others are at least their weight times the level `t`.
 */
function levelRows(problem: FlatProblem, fixed: ReadonlyMap<number, number>): string[] {
  return problem.weights.map((weight, team) => {
    const share = `${dominantShareOf(problem, team)} x${team}`;
    const fixedShare = fixed.get(team);
    return fixedShare === undefined
      ? `${share} - ${weight} t >= 0`
      : `${share} >= ${fixedShare - SLACK}`;
  });
}

/** Constraints: every team keeps at least its share at this level. */
function minimumRows(
  problem: FlatProblem,
  fixed: ReadonlyMap<number, number>,
  level: number,
): string[] {
  return problem.weights.map((weight, team) => {
    const minimumShare = fixed.get(team) ?? weight * level;
    return `${dominantShareOf(problem, team)} x${team} >= ${minimumShare - SLACK}`;
  });
}

/** Solves one linear program. `rows`: its constraints in addition to capacity and limits. */
function solve(
  problem: FlatProblem,
  objective: string,
  rows: readonly string[],
  hasLevel: boolean,
): number {
  const constraints = [...rows];
  for (const resource of RESOURCES) {
    const used = problem.demands.map((demand, team) => `${demand[resource]} x${team}`).join(" + ");
    constraints.push(`${used} <= ${problem.capacity[resource]}`);
  }
  for (const [team, limit] of problem.limits.entries()) {
    constraints.push(`${problem.demands[team]!.cpus} x${team} <= ${limit}`);
  }
  const bounds = [...problem.demands.keys()].map((team) => `0 <= x${team} <= 1`);
  if (hasLevel) bounds.push("t >= 0");
  const lines = constraints.map((row, number) => ` c${number}: ${row}`);
  const program = `Maximize\n obj: ${objective}\nSubject To\n${lines.join("\n")}\nBounds\n ${bounds.join("\n ")}\nEnd`;
  const solution = highs.solve(program);
  assert.equal(solution.Status, "Optimal", program);
  return solution.ObjectiveValue;
}
