/**
 * Weighted max-min fairness over several resources (dominant resource fairness; Ghodsi et al., NSDI 2011), by
 * progressive filling: the dominant shares of all teams rise together, in proportion to their weights, until a
 * constraint or its own demand stops a claimant; the others continue. Within a team the classes share its rate.
 */
import { RESOURCES, type ResourceVector } from "./model.js";

/** A class of a team that demands resources in a fixed proportion. */
export interface Claimant {
  readonly team: string;
  /** Weight of its class within the team. */
  readonly weight: number;
  /** What it would use if there were enough; all zero: it demands nothing. */
  readonly demand: ResourceVector;
}

/** What progressive filling distributes, to whom, and within which limits. */
export interface FairShareInput {
  readonly claimants: readonly Claimant[];
  /** Weight of each team; a team that is missing is given nothing. */
  readonly teamWeights: ReadonlyMap<string, number>;
  /** What is distributed; `Infinity`: the resource is unbounded. */
  readonly capacity: ResourceVector;
  /** What a team may use at most; `Infinity`: no limit on the resource. A team without limits is missing. */
  readonly teamLimits: ReadonlyMap<string, ResourceVector>;
}

/** An upper bound on what a set of claimants uses of one resource in total. */
interface Constraint {
  /** Demand of each claimant for the resource; 0 if the bound does not apply to it. */
  readonly demands: readonly number[];
  /** What is still unused of the bound. */
  remaining: number;
}

const TOLERANCE = 1e-9;

function constraintsOf(input: FairShareInput): Constraint[] {
  const constraints: Constraint[] = [];
  const add = (limit: number, demands: readonly number[]): void => {
    if (Number.isFinite(limit) && demands.some((demand) => demand > 0)) {
      constraints.push({ demands, remaining: limit });
    }
  };
  for (const resource of RESOURCES) {
    const demands = input.claimants.map((claimant) => claimant.demand[resource]);
    add(input.capacity[resource], demands);
    for (const [team, limit] of input.teamLimits) {
      const demandsOfTeam = input.claimants.map((claimant, index) =>
        claimant.team === team ? demands[index]! : 0,
      );
      add(limit[resource], demandsOfTeam);
    }
  }
  return constraints;
}

/** The largest share that the demand is of any bounded resource. */
function dominantShareOfDemand(demand: ResourceVector, capacity: ResourceVector): number {
  let most = 0;
  for (const resource of RESOURCES) {
    if (demand[resource] <= 0) continue;
    const available = capacity[resource];
    if (!Number.isFinite(available)) continue;
    most = Math.max(most, available > 0 ? demand[resource] / available : 1);
  }
  return most;
}

/** Growth of each claimant's fraction per unit by which the common level rises. */
function fillRates(input: FairShareInput, isRising: readonly boolean[]): number[] {
  const weightInTeam = new Map<string, number>();
  for (const [index, { team, weight }] of input.claimants.entries()) {
    if (isRising[index]) weightInTeam.set(team, (weightInTeam.get(team) ?? 0) + weight);
  }
  return input.claimants.map(({ team, weight, demand }, index) => {
    if (!isRising[index]) return 0;
    const teamWeight = input.teamWeights.get(team) ?? 0;
    const dominant = dominantShareOfDemand(demand, input.capacity);
    // Without a bounded resource in its demand, only its team's limit can stop it.
    return (teamWeight * (weight / weightInTeam.get(team)!)) / (dominant > 0 ? dominant : 1);
  });
}

/** What all claimants use of a constraint's resource at these fractions (or rates) of their demands. */
function usageOf(constraint: Constraint, fractions: readonly number[]): number {
  return constraint.demands.reduce((sum, demand, index) => sum + demand * fractions[index]!, 0);
}

/** Progress of one filling. */
interface FillState {
  readonly constraints: readonly Constraint[];
  /** Of each claimant's demand, what it is given so far. */
  readonly fractions: number[];
  /** Claimants that no bound has stopped yet. */
  readonly isRising: boolean[];
  /** Largest fraction. */
  readonly ceiling: number;
}

/** How far the level can rise until a constraint or a demand is met. */
function nextFillStep(state: FillState, rates: readonly number[]): number {
  let step = Number.POSITIVE_INFINITY;
  for (const [index, rate] of rates.entries()) {
    if (rate > 0) step = Math.min(step, (state.ceiling - state.fractions[index]!) / rate);
  }
  for (const constraint of state.constraints) {
    const usage = usageOf(constraint, rates);
    if (usage > 0) step = Math.min(step, constraint.remaining / usage);
  }
  return Math.max(0, step);
}

/** Is a constraint that applies to the claimant used up? */
function isSaturated(claimant: number, constraints: readonly Constraint[]): boolean {
  return constraints.some(({ demands, remaining }) => {
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    return demands[claimant]! > 0 && remaining <= TOLERANCE * Math.max(1, total);
  });
}

/** Raises all fractions by one step of the level, and reduces what remains of the constraints. */
function raise(
  { fractions, constraints }: FillState,
  rates: readonly number[],
  step: number,
): void {
  for (const [index, rate] of rates.entries()) fractions[index] = fractions[index]! + rate * step;
  for (const constraint of constraints) constraint.remaining -= step * usageOf(constraint, rates);
}

/** Stops the claimants that have reached a bound; returns whether there were any. */
function stopSaturated(state: FillState, rates: readonly number[]): boolean {
  const { fractions, isRising, constraints, ceiling } = state;
  let hasStopped = false;
  for (const index of isRising.keys()) {
    if (!isRising[index]) continue;
    const isMet = fractions[index]! >= ceiling - TOLERANCE;
    if (isMet || rates[index] === 0 || isSaturated(index, constraints)) {
      isRising[index] = false;
      hasStopped = true;
    }
  }
  return hasStopped;
}

/**
 * The fraction of its demand that each claimant is given.
 *
 * @param ceiling - largest fraction; 1: no more than is demanded, `Infinity`: the surplus is distributed as well
 * @param from - fractions that are given already
 */
export function fairFractions(
  input: FairShareInput,
  ceiling = 1,
  from: readonly number[] = input.claimants.map(() => 0),
): number[] {
  const state = startFilling(input, ceiling, from);
  while (state.isRising.some(Boolean)) {
    const rates = fillRates(input, state.isRising);
    const step = nextFillStep(state, rates);
    if (step === Number.POSITIVE_INFINITY) {
      return state.fractions.map((fraction, index) =>
        rates[index]! > 0 ? Number.POSITIVE_INFINITY : fraction,
      );
    }
    raise(state, rates, step);
    const hasStopped = stopSaturated(state, rates);
    // Rounding left the tightest bound slightly open: nothing can rise any further.
    if (!hasStopped && step <= TOLERANCE) break;
  }
  return state.fractions;
}

function startFilling(input: FairShareInput, ceiling: number, from: readonly number[]): FillState {
  const constraints = constraintsOf(input);
  for (const constraint of constraints) constraint.remaining -= usageOf(constraint, from);
  const isRising = input.claimants.map(
    ({ demand }, index) =>
      RESOURCES.some((resource) => demand[resource] > 0) &&
      from[index]! < ceiling &&
      !isSaturated(index, constraints),
  );
  return { constraints, fractions: [...from], isRising, ceiling };
}
