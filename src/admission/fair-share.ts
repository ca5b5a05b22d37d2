/**
 * Weighted max-min fairness over several resources (dominant resource fairness; Ghodsi et al., NSDI 2011), computed
 * by progressive filling: the dominant shares of all teams grow together, in proportion to their weights. A claimant
 * stops growing when it reaches a constraint or its own demand; the others continue. The classes of a team share its
 * growth rate in proportion to their weights.
 */
import { RESOURCES, type ResourceVector } from "./model.js";

/** A class of jobs of one team, which demands the resources in a fixed proportion. */
export interface Claimant {
  readonly team: string;
  /** Weight of the class within the team. */
  readonly weight: number;
  /** Resources that the class would use if capacity were unlimited; all zero if it demands nothing. */
  readonly demand: ResourceVector;
}

/** Input of progressive filling: the capacity, the claimants and the limits. */
export interface FairShareInput {
  readonly claimants: readonly Claimant[];
  /** Weight of each team. A team without an entry is allocated nothing. */
  readonly teamWeights: ReadonlyMap<string, number>;
  /** Resources to distribute; `Infinity` for an unbounded resource. */
  readonly capacity: ResourceVector;
  /** Upper limit of each team; `Infinity` for a resource without a limit. A team without limits has no entry. */
  readonly teamLimits: ReadonlyMap<string, ResourceVector>;
}

/** An upper bound on the total use of one resource by a set of claimants. */
interface Constraint {
  /** Demand of each claimant for the resource; 0 for claimants to which the bound does not apply. */
  readonly demands: readonly number[];
  /** Unused part of the bound. */
  remaining: number;
}

/** Tolerance for rounding errors, as an absolute value or relative to the total demand for a resource. */
const TOLERANCE = 1e-9;

function constraintsOf(input: FairShareInput): Constraint[] {
  const constraints: Constraint[] = [];
  const addConstraint = (limit: number, demands: readonly number[]): void => {
    if (Number.isFinite(limit) && demands.some((demand) => demand > 0)) {
      constraints.push({ demands, remaining: limit });
    }
  };
  for (const resource of RESOURCES) {
    const demands = input.claimants.map((claimant) => claimant.demand[resource]);
    addConstraint(input.capacity[resource], demands);
    for (const [team, limit] of input.teamLimits) {
      const teamDemands = input.claimants.map((claimant, index) =>
        claimant.team === team ? demands[index]! : 0,
      );
      addConstraint(limit[resource], teamDemands);
    }
  }
  return constraints;
}

/**
 * Returns the largest ratio of demand to capacity over all bounded resources; 0 if none of them is demanded. The
 * ratio counts as 1 for a demanded resource without any capacity.
 */
function dominantShareOfDemand(demand: ResourceVector, capacity: ResourceVector): number {
  let maxShare = 0;
  for (const resource of RESOURCES) {
    if (demand[resource] <= 0) continue;
    const available = capacity[resource];
    if (!Number.isFinite(available)) continue;
    maxShare = Math.max(maxShare, available > 0 ? demand[resource] / available : 1);
  }
  return maxShare;
}

/**
 * Returns the growth rate of each claimant: by how much the allocated fraction of its demand grows when the fill
 * level, which is common to all teams, grows by 1.
 */
function fillRates(input: FairShareInput, isActive: readonly boolean[]): number[] {
  // Total weight of the active claimants of each team.
  const weightInTeam = new Map<string, number>();
  for (const [index, { team, weight }] of input.claimants.entries()) {
    if (isActive[index]) weightInTeam.set(team, (weightInTeam.get(team) ?? 0) + weight);
  }
  return input.claimants.map(({ team, weight, demand }, index) => {
    if (!isActive[index]) return 0;
    const teamWeight = input.teamWeights.get(team) ?? 0;
    const dominant = dominantShareOfDemand(demand, input.capacity);
    // Without demand for a bounded resource there is no dominant share, so 1 is used instead. Such a claimant stops
    // growing only at the limit of its team or at the maximum fraction.
    return (teamWeight * (weight / weightInTeam.get(team)!)) / (dominant > 0 ? dominant : 1);
  });
}

/** Returns the total use of the constraint's resource at the given fractions (or growth rates) of the demands. */
function usageOf(constraint: Constraint, fractions: readonly number[]): number {
  return constraint.demands.reduce((sum, demand, index) => sum + demand * fractions[index]!, 0);
}

/** State of one run of progressive filling. */
interface FillState {
  readonly constraints: readonly Constraint[];
  /** Fraction of its demand that each claimant has been allocated so far. */
  readonly fractions: number[];
  /** Whether each claimant still grows, that is, has not reached a bound. */
  readonly isActive: boolean[];
  /** Upper limit of every fraction. */
  readonly maxFraction: number;
}

/** Returns by how much the fill level can grow until a claimant reaches a constraint or the maximum fraction. */
function nextFillStep(state: FillState, rates: readonly number[]): number {
  let step = Number.POSITIVE_INFINITY;
  for (const [index, rate] of rates.entries()) {
    if (rate > 0) step = Math.min(step, (state.maxFraction - state.fractions[index]!) / rate);
  }
  for (const constraint of state.constraints) {
    const usage = usageOf(constraint, rates);
    if (usage > 0) step = Math.min(step, constraint.remaining / usage);
  }
  return Math.max(0, step);
}

/** Returns whether a constraint that applies to the claimant is used up. */
function isSaturated(claimant: number, constraints: readonly Constraint[]): boolean {
  return constraints.some(({ demands, remaining }) => {
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    return demands[claimant]! > 0 && remaining <= TOLERANCE * Math.max(1, total);
  });
}

/** Raises the fractions by one step of the fill level and deducts the use from the constraints. */
function applyFillStep(
  { fractions, constraints }: FillState,
  rates: readonly number[],
  step: number,
): void {
  for (const [index, rate] of rates.entries()) fractions[index] = fractions[index]! + rate * step;
  for (const constraint of constraints) constraint.remaining -= step * usageOf(constraint, rates);
}

/** Deactivates the claimants that have reached a bound or cannot grow, and returns whether there were any. */
function deactivateSaturated(state: FillState, rates: readonly number[]): boolean {
  const { fractions, isActive, constraints, maxFraction } = state;
  let hasDeactivated = false;
  for (const index of isActive.keys()) {
    if (!isActive[index]) continue;
    const isAtMaximum = fractions[index]! >= maxFraction - TOLERANCE;
    if (isAtMaximum || rates[index] === 0 || isSaturated(index, constraints)) {
      isActive[index] = false;
      hasDeactivated = true;
    }
  }
  return hasDeactivated;
}

/**
 * Returns the fraction of its demand that each claimant is allocated; `Infinity` for a claimant that nothing bounds.
 *
 * @param maxFraction - upper limit of every fraction: 1 to allocate no more than the demand, `Infinity` to distribute
 *   the surplus as well
 * @param initialFractions - fractions that have already been allocated
 */
export function fairFractions(
  input: FairShareInput,
  maxFraction = 1,
  initialFractions: readonly number[] = input.claimants.map(() => 0),
): number[] {
  const state = initialFillState(input, maxFraction, initialFractions);
  while (state.isActive.some(Boolean)) {
    const rates = fillRates(input, state.isActive);
    const step = nextFillStep(state, rates);
    if (step === Number.POSITIVE_INFINITY) {
      return state.fractions.map((fraction, index) =>
        rates[index]! > 0 ? Number.POSITIVE_INFINITY : fraction,
      );
    }
    applyFillStep(state, rates, step);
    const hasDeactivated = deactivateSaturated(state, rates);
    // Because of rounding, the tightest bound is not quite reached, but no fraction can grow any further.
    if (!hasDeactivated && step <= TOLERANCE) break;
  }
  return state.fractions;
}

function initialFillState(
  input: FairShareInput,
  maxFraction: number,
  initialFractions: readonly number[],
): FillState {
  const constraints = constraintsOf(input);
  for (const constraint of constraints)
    constraint.remaining -= usageOf(constraint, initialFractions);
  const isActive = input.claimants.map(
    ({ demand }, index) =>
      RESOURCES.some((resource) => demand[resource] > 0) &&
      initialFractions[index]! < maxFraction &&
      !isSaturated(index, constraints),
  );
  return { constraints, fractions: [...initialFractions], isActive, maxFraction };
}
