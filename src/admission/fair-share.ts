/**
 * Weighted max-min fairness over several resources (dominant resource fairness; Ghodsi et al., NSDI 2011), by
 * progressive filling: the dominant shares of all teams rise together, in proportion to their weights, until a
 * constraint or a demand holds a class back; the others go on. Within a team the classes share its rate.
 */
import { RESOURCES, type ResourceVector } from "./model.js";

/** A class of a team that wants resources in some proportion. */
export interface Claimant {
  readonly team: string;
  /** Of its class within the team. */
  readonly weight: number;
  /** What it would use if there were enough. All zero: it wants nothing. */
  readonly demand: ResourceVector;
}

export interface FairShareInput {
  readonly claimants: readonly Claimant[];
  readonly teamWeights: ReadonlyMap<string, number>;
  /** A resource that is not to bind is `Infinity`. */
  readonly capacity: ResourceVector;
  /** What a team may use at most; a resource without a limit is `Infinity`, a team without limits is missing. */
  readonly teamLimits: ReadonlyMap<string, ResourceVector>;
}

/** One bound on the sum of what some claimants use of a resource. */
interface Constraint {
  /** What each claimant takes of it for all of its demand; 0 where it is not concerned. */
  readonly demands: readonly number[];
  remaining: number;
}

const TOLERANCE = 1e-9;

function constraintsOf(input: FairShareInput): Constraint[] {
  const out: Constraint[] = [];
  const add = (limit: number, takes: readonly number[]): void => {
    if (Number.isFinite(limit) && takes.some((t) => t > 0))
      out.push({ demands: takes, remaining: limit });
  };
  for (const resource of RESOURCES) {
    const demands = input.claimants.map((c) => c.demand[resource]);
    add(input.capacity[resource], demands);
    for (const [team, limit] of input.teamLimits) {
      const own = input.claimants.map((c, i) => (c.team === team ? demands[i]! : 0));
      add(limit[resource], own);
    }
  }
  return out;
}

/** The share of the resource of which a claimant's whole demand takes most; resources without bound do not count. */
function dominantShareOfDemand(demand: ResourceVector, capacity: ResourceVector): number {
  let most = 0;
  for (const resource of RESOURCES) {
    if (demand[resource] <= 0) continue;
    const of = capacity[resource];
    if (Number.isFinite(of)) most = Math.max(most, of > 0 ? demand[resource] / of : 1);
  }
  return most;
}

/** By how much the fraction of each claimant's demand grows for each unit of level. */
function fillRates(input: FairShareInput, rising: readonly boolean[]): number[] {
  const inTeam = new Map<string, number>();
  for (const [i, c] of input.claimants.entries()) {
    if (rising[i]) inTeam.set(c.team, (inTeam.get(c.team) ?? 0) + c.weight);
  }
  return input.claimants.map((c, i) => {
    if (!rising[i]) return 0;
    const teamWeight = input.teamWeights.get(c.team) ?? 0;
    const dominant = dominantShareOfDemand(c.demand, input.capacity);
    // With no bounded resource in its demand, nothing but its team's limit can hold it back.
    return (teamWeight * (c.weight / inTeam.get(c.team)!)) / (dominant > 0 ? dominant : 1);
  });
}

/** How far the level can rise until a constraint or a demand is met. */
function nextFillStep(
  fractions: readonly number[],
  rate: readonly number[],
  constraints: readonly Constraint[],
  ceiling: number,
): number {
  let step = Number.POSITIVE_INFINITY;
  for (const [i, r] of rate.entries()) {
    if (r > 0) step = Math.min(step, (ceiling - fractions[i]!) / r);
  }
  for (const c of constraints) {
    const used = c.demands.reduce((sum, takes, i) => sum + takes * rate[i]!, 0);
    if (used > 0) step = Math.min(step, c.remaining / used);
  }
  return Math.max(0, step);
}

function isSaturated(i: number, constraints: readonly Constraint[]): boolean {
  return constraints.some((c) => {
    const total = c.demands.reduce((sum, t) => sum + t, 0);
    return c.demands[i]! > 0 && c.remaining <= TOLERANCE * Math.max(1, total);
  });
}

/**
 * The fraction of each claimant's demand that it is given, from the fractions in `from` up to `ceiling` (1: no more than
 * is demanded; `Infinity`: what is left over is shared out as well).
 */
export function fairFractions(
  input: FairShareInput,
  ceiling = 1,
  from: readonly number[] = input.claimants.map(() => 0),
): number[] {
  const constraints = constraintsOf(input);
  const fractions = [...from];
  for (const c of constraints) {
    c.remaining -= c.demands.reduce((sum, takes, i) => sum + takes * fractions[i]!, 0);
  }
  const wants = input.claimants.map((c) => RESOURCES.some((r) => c.demand[r] > 0));
  const rising = wants.map((w, i) => w && fractions[i]! < ceiling && !isSaturated(i, constraints));
  while (rising.some(Boolean)) {
    const rate = fillRates(input, rising);
    const step = nextFillStep(fractions, rate, constraints, ceiling);
    if (step === Number.POSITIVE_INFINITY) {
      for (const [i, r] of rate.entries()) if (r > 0) fractions[i] = Number.POSITIVE_INFINITY;
      break;
    }
    for (const [i, r] of rate.entries()) fractions[i] = fractions[i]! + r * step;
    for (const c of constraints) {
      c.remaining -= step * c.demands.reduce((sum, takes, i) => sum + takes * rate[i]!, 0);
    }
    const before = rising.filter(Boolean).length;
    for (const i of rising.keys()) {
      if (!rising[i]) continue;
      const met = fractions[i]! >= ceiling - TOLERANCE;
      if (met || rate[i] === 0 || isSaturated(i, constraints)) rising[i] = false;
    }
    // Rounding left the tightest bound a hair open: what cannot rise any further stops.
    if (rising.filter(Boolean).length === before && step <= TOLERANCE) break;
  }
  return fractions;
}
