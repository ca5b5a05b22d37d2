/**
 * Computes the next window: what each class of each team may be admitted, from its unfinished and rejected work, the
 * capacity of the cluster, and the teams' guarantees, limits and weights. Pure; only the leader computes and stores one.
 */
import type { Team } from "../core/model/settings.js";
import { dominantShare } from "./decision.js";
import { type Claimant, type FairShareInput, fairFractions } from "./fair-share.js";
import {
  type AdmissionWindow,
  addResources,
  type Grant,
  NO_RESOURCES,
  RESOURCES,
  type ResourceVector,
  scaleResources,
  UNLIMITED,
} from "./model.js";

/** Load of one class of a team. */
export interface ClassUsage {
  readonly team: string;
  readonly class: string;
  /** Any of its unfinished jobs is of production priority. */
  readonly production: boolean;
  /** What the unfinished tasks of its admitted jobs need, without jobs that are blocked on dependencies. */
  readonly unfinished: ResourceVector;
  /** What its recently rejected jobs need. */
  readonly refused: ResourceVector;
  /** Factor on its weight, by the calendar. */
  readonly weight: number;
}

/** What a window is computed from. */
export interface WindowInput {
  /** Version that the window gets. */
  readonly version: number;
  /** Epoch of the leadership under which it is stored. */
  readonly epoch: number;
  /** Capacity of the machines that are up or booting. */
  readonly capacity: ResourceVector;
  /** The cloud still grants requests for more machines: only teams' limits bind. */
  readonly growing: boolean;
  readonly teams: readonly Team[];
  /** Factors on the teams' weights, by the calendar; a team that is missing has 1. */
  readonly teamWeights: ReadonlyMap<string, number>;
  readonly classes: readonly ClassUsage[];
  /** Unfinished work that a class may have beyond its share, as a ratio to the share. */
  readonly queueRatio: number;
  /** Names of the calendar's active periods. */
  readonly periods: readonly string[];
  /** Largest size of the stored grants, in bytes. */
  readonly maxBytes: number;
}

/** Ratio of the capacity that is distributed before guarantees, so that no share is zero. */
const FLOOR_RATIO = 0.05;
/** Grant that admits one job, whatever its size. */
const ONE_JOB_GRANT = 1;
/** Weight of production work against other work of its team, within the team's guarantee. */
const PRODUCTION_WEIGHT = 1000;

const UNBOUNDED: ResourceVector = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  memoryGb: Number.POSITIVE_INFINITY,
};

/** A window that limits admission: the grants of all classes by their shares. */
export function limitedWindow(input: WindowInput): AdmissionWindow {
  const classes = namedClasses(input);
  const others = input.teams.map((team) => claimantForOthers(team.name, input.capacity));
  const fractions = entitledFractions(input, classes, others);
  const grants = classes.map((usage, index) => {
    const unfinished = dominantShare(usage.unfinished, input.capacity);
    const allowed = allowance(fractions[index]!, demandOf(usage), input);
    return grantOf(usage.team, usage.class, allowed - Math.min(allowed, unfinished));
  });
  const grantsForOthers = others.map(({ team, demand }, index) => {
    const allowed = allowance(fractions[classes.length + index]!, demand, input);
    return grantOf(team, null, Math.max(ONE_JOB_GRANT, allowed));
  });
  return {
    version: input.version,
    epoch: input.epoch,
    mode: "limited",
    capacity: input.capacity,
    grants: [...grants, ...grantsForOthers],
    periods: input.periods,
  };
}

/** A window that limits nothing. */
export function openWindow(input: Pick<WindowInput, "version" | "epoch">): AdmissionWindow {
  return { ...input, mode: "open", capacity: NO_RESOURCES, grants: [], periods: [] };
}

/**
 * The largest ratio of demand to what can be used at one time: to the cluster's capacity, if it cannot grow, and to each
 * team's limits. 1: all of it can run now.
 */
export function loadRatio(input: Omit<WindowInput, "version" | "epoch" | "maxBytes">): number {
  const limits = teamLimitsOf(input.teams);
  const demands = new Map<string, ResourceVector>();
  let total: ResourceVector = NO_RESOURCES;
  for (const usage of input.classes) {
    const demand = demandOf(usage);
    total = addResources(total, demand);
    demands.set(usage.team, addResources(demands.get(usage.team) ?? NO_RESOURCES, demand));
  }
  let most = 0;
  for (const resource of RESOURCES) {
    const capacity = input.capacity[resource];
    if (!input.growing && capacity > 0) most = Math.max(most, total[resource] / capacity);
    for (const [team, demand] of demands) {
      const limit = limits.get(team)?.[resource] ?? Number.POSITIVE_INFINITY;
      most = Math.max(most, demand[resource] / limit);
    }
  }
  return most;
}

function demandOf(usage: ClassUsage): ResourceVector {
  return addResources(usage.unfinished, usage.refused);
}

/** A maximum or guarantee of 0 means that none is set. */
function orUnbounded(bound: number): number {
  return bound > 0 ? bound : Number.POSITIVE_INFINITY;
}

function teamLimitsOf(teams: readonly Team[]): Map<string, ResourceVector> {
  return new Map(
    teams.map((team) => [
      team.name,
      {
        cpus: orUnbounded(team.cpusMax),
        gpus: orUnbounded(team.gpusMax),
        memoryGb: Number.POSITIVE_INFINITY,
      },
    ]),
  );
}

/** Weights by the dominant shares of the guarantees; a team without a guarantee has the smallest weight of all. */
function baseWeightsOf(input: WindowInput): Map<string, number> {
  const shares = input.teams.map(({ cpus, gpus }) =>
    dominantShare({ cpus, gpus, memoryGb: 0 }, input.capacity),
  );
  const guaranteed = shares.filter((share) => share > 0);
  const least = guaranteed.length > 0 ? Math.min(...guaranteed) : 1;
  return new Map(
    input.teams.map(({ name }, index) => {
      const factor = input.teamWeights.get(name) ?? 1;
      return [name, factor * Math.max(shares[index]!, least)];
    }),
  );
}

/**
 * Each team's guarantee as an upper bound on what it is given before others. A resource without a guarantee is unbounded,
 * but a team without any guarantee is given nothing in this step.
 */
function guaranteesOf(teams: readonly Team[]): Map<string, ResourceVector> {
  return new Map(
    teams.map(({ name, cpus, gpus }) => {
      const hasGuarantee = cpus > 0 || gpus > 0;
      const bounds = { ...UNBOUNDED, cpus: orUnbounded(cpus), gpus: orUnbounded(gpus) };
      return [name, hasGuarantee ? bounds : NO_RESOURCES];
    }),
  );
}

/** The smaller of two bounds, for each team and resource. */
function tighterBounds(
  left: ReadonlyMap<string, ResourceVector>,
  right: ReadonlyMap<string, ResourceVector>,
): Map<string, ResourceVector> {
  return new Map(
    [...left].map(([team, bound]) => {
      const other = right.get(team)!;
      return [
        team,
        {
          cpus: Math.min(bound.cpus, other.cpus),
          gpus: Math.min(bound.gpus, other.gpus),
          memoryGb: Math.min(bound.memoryGb, other.memoryGb),
        },
      ];
    }),
  );
}

/**
 * The fraction of its demand that each claimant is entitled to, in four steps: a floor for everyone, guarantees with
 * production first, the rest of the demand, and the surplus. `idle` claimants demand nothing yet and share in the surplus
 * only; their fractions follow those of `classes`.
 */
function entitledFractions(
  input: WindowInput,
  classes: readonly ClassUsage[],
  idle: readonly Claimant[],
): number[] {
  const base: FairShareInput = {
    claimants: classes.map((usage) => claimantOf(usage, usage.weight)),
    teamWeights: baseWeightsOf(input),
    capacity: input.growing ? UNBOUNDED : input.capacity,
    teamLimits: teamLimitsOf(input.teams),
  };
  const floor = fairFractions(floorInput(base, input.teams));
  const guaranteed = fairFractions(guaranteeInput(base, classes, input.teams), 1, floor);
  const demanded = fairFractions(base, 1, guaranteed);
  const all: FairShareInput = { ...base, claimants: [...base.claimants, ...idle] };
  return fairFractions(all, Number.POSITIVE_INFINITY, [...demanded, ...idle.map(() => 0)]);
}

function claimantOf(usage: ClassUsage, weight: number): Claimant {
  return { team: usage.team, weight, demand: demandOf(usage) };
}

/** The floor weighs all teams alike: in proportion to guarantees it would be close to nothing for a team without one. */
function floorInput(base: FairShareInput, teams: readonly Team[]): FairShareInput {
  return {
    ...base,
    teamWeights: new Map(teams.map(({ name }) => [name, 1])),
    capacity: scaleResources(base.capacity, FLOOR_RATIO),
  };
}

function guaranteeInput(
  base: FairShareInput,
  classes: readonly ClassUsage[],
  teams: readonly Team[],
): FairShareInput {
  const claimants = classes.map((usage) =>
    claimantOf(usage, usage.weight * (usage.production ? PRODUCTION_WEIGHT : 1)),
  );
  return {
    ...base,
    claimants,
    teamLimits: tighterBounds(guaranteesOf(teams), base.teamLimits),
  };
}

/** Units that a class may have unfinished, by the fraction of its demand that it is entitled to. */
function allowance(fraction: number, demand: ResourceVector, input: WindowInput): number {
  if (fraction === Number.POSITIVE_INFINITY) return UNLIMITED;
  const share = dominantShare(scaleResources(demand, fraction), input.capacity);
  return Math.min(UNLIMITED, Math.ceil((1 + input.queueRatio) * share));
}

/** Stands for a team's classes that the window does not name: they demand a little of everything. */
function claimantForOthers(team: string, capacity: ResourceVector): Claimant {
  const hasCapacity = RESOURCES.some((resource) => capacity[resource] > 0);
  const demand = hasCapacity
    ? scaleResources(capacity, FLOOR_RATIO)
    : { cpus: 1, gpus: 0, memoryGb: 0 };
  return { team, weight: 1, demand };
}

function grantOf(team: string, className: string | null, units: number): Grant {
  // Followers are admitted in each window: their predecessors were admitted, and they must not starve.
  const follower = Math.max(ONE_JOB_GRANT, units);
  return { team, class: className, lanes: { new: units, follower } };
}

/** Classes with the largest demand first; those that exceed the size of the stored value share the grant for others. */
function namedClasses(input: WindowInput): ClassUsage[] {
  const shareOf = (usage: ClassUsage): number => dominantShare(demandOf(usage), input.capacity);
  const demanding = input.classes
    .filter((usage) => RESOURCES.some((resource) => demandOf(usage)[resource] > 0))
    .sort(
      (left, right) =>
        shareOf(right) - shareOf(left) ||
        compareText(left.team, right.team) ||
        compareText(left.class, right.class),
    );
  let bytes = input.teams.reduce((sum, { name }) => sum + grantBytes(name, ""), 0);
  return demanding.filter((usage) => {
    bytes += grantBytes(usage.team, usage.class);
    return bytes <= input.maxBytes;
  });
}

/** Upper bound on the size of a stored grant. */
function grantBytes(team: string, className: string): number {
  return JSON.stringify([team, className]).length + 2 * String(UNLIMITED).length + 4;
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
