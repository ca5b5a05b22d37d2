/**
 * Computes the next admission window: a grant for each class of each team, derived from its unfinished and rejected
 * work, the cluster's capacity, and the teams' guarantees, quotas and weights. The functions are pure. Only the
 * leader computes and stores windows.
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
  /** Whether any unfinished job of the class has production priority. */
  readonly production: boolean;
  /** Resources that the unfinished tasks of its admitted jobs need. Jobs blocked on dependencies are left out. */
  readonly unfinished: ResourceVector;
  /** Resources that its recently rejected jobs need. */
  readonly refused: ResourceVector;
  /** Factor that the weight calendar applies to the weight of the class. */
  readonly weight: number;
}

/** Input from which a window is computed. */
export interface WindowInput {
  /** Version of the new window. */
  readonly version: number;
  /** Leadership epoch under which the window is stored. */
  readonly epoch: number;
  /** Capacity of the machines that are up or booting. */
  readonly capacity: ResourceVector;
  /** Whether the cloud still grants requests for more machines. If so, only the teams' quotas bound the shares. */
  readonly growing: boolean;
  readonly teams: readonly Team[];
  /** Factors that the weight calendar applies to the teams' weights; 1 for a team without an entry. */
  readonly teamWeights: ReadonlyMap<string, number>;
  readonly classes: readonly ClassUsage[];
  /**
   * Admitted unfinished work that a class may have in addition to its share of the cluster's capacity, as a multiple
   * of that share.
   */
  readonly queueRatio: number;
  /** Names of the active periods of the weight calendar. */
  readonly periods: readonly string[];
  /** Largest size of the stored grants, in bytes. */
  readonly maxBytes: number;
}

/** Fraction of the capacity that is distributed before the guarantees, so that no share is zero. */
const FLOOR_RATIO = 0.05;
/** Smallest grant that admits a job. It admits one job of any size, as admission only requires an unused part. */
const ONE_JOB_GRANT = 1;
/** Factor that multiplies the weight of a class with production jobs when the team's guarantee is distributed. */
const PRODUCTION_WEIGHT_FACTOR = 1000;

const UNBOUNDED: ResourceVector = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  memoryGb: Number.POSITIVE_INFINITY,
};

/** Returns a window that limits admission. The grant of each class is derived from its fair share of the capacity. */
export function limitedWindow(input: WindowInput): AdmissionWindow {
  const classes = namedClasses(input);
  const others = input.teams.map((team) => claimantForOthers(team.name, input.capacity));
  const fractions = entitledFractions(input, classes, others);
  const grants = classes.map((usage, index) => {
    const unfinished = dominantShare(usage.unfinished, input.capacity);
    const allowed = allowedUnits(fractions[index]!, demandOf(usage), input);
    return grantOf(usage.team, usage.class, allowed - Math.min(allowed, unfinished));
  });
  const grantsForOthers = others.map(({ team, demand }, index) => {
    const allowed = allowedUnits(fractions[classes.length + index]!, demand, input);
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

/** Returns a window that does not limit admission. */
export function openWindow(input: Pick<WindowInput, "version" | "epoch">): AdmissionWindow {
  return { ...input, mode: "open", capacity: NO_RESOURCES, grants: [], periods: [] };
}

/**
 * Returns the maximum, over all resource types, of two kinds of ratios: total demand to the cluster's capacity, which
 * is left out if the cluster can still grow or does not have the resource, and each team's demand to its quota. At a
 * result of 1 or less, the whole demand can run at once.
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
  let maxRatio = 0;
  for (const resource of RESOURCES) {
    const capacity = input.capacity[resource];
    if (!input.growing && capacity > 0) maxRatio = Math.max(maxRatio, total[resource] / capacity);
    for (const [team, demand] of demands) {
      const limit = limits.get(team)?.[resource] ?? Number.POSITIVE_INFINITY;
      maxRatio = Math.max(maxRatio, demand[resource] / limit);
    }
  }
  return maxRatio;
}

function demandOf(usage: ClassUsage): ResourceVector {
  return addResources(usage.unfinished, usage.refused);
}

/** Returns the bound, or infinity for 0: a team's quota or guarantee of 0 means that none is set. */
function unboundedIfZero(bound: number): number {
  return bound > 0 ? bound : Number.POSITIVE_INFINITY;
}

function teamLimitsOf(teams: readonly Team[]): Map<string, ResourceVector> {
  return new Map(
    teams.map((team) => [
      team.name,
      {
        cpus: unboundedIfZero(team.cpusMax),
        gpus: unboundedIfZero(team.gpusMax),
        memoryGb: Number.POSITIVE_INFINITY,
      },
    ]),
  );
}

/**
 * Returns the weight of each team: the dominant share of its guarantee, times its factor from the weight calendar.
 * For a team without a guarantee, the smallest dominant share of any team's guarantee is used instead, or 1 if no
 * team has a guarantee.
 */
function baseWeightsOf(input: WindowInput): Map<string, number> {
  const shares = input.teams.map(({ cpus, gpus }) =>
    dominantShare({ cpus, gpus, memoryGb: 0 }, input.capacity),
  );
  const guaranteed = shares.filter((share) => share > 0);
  const smallest = guaranteed.length > 0 ? Math.min(...guaranteed) : 1;
  return new Map(
    input.teams.map(({ name }, index) => {
      const factor = input.teamWeights.get(name) ?? 1;
      return [name, factor * Math.max(shares[index]!, smallest)];
    }),
  );
}

/**
 * Returns each team's guarantee as an upper bound on the resources that it is allocated in the guarantee step. A
 * resource without a guarantee is unbounded, but a team without any guarantee is allocated nothing in this step.
 */
function guaranteesOf(teams: readonly Team[]): Map<string, ResourceVector> {
  return new Map(
    teams.map(({ name, cpus, gpus }) => {
      const hasGuarantee = cpus > 0 || gpus > 0;
      const bounds = { ...UNBOUNDED, cpus: unboundedIfZero(cpus), gpus: unboundedIfZero(gpus) };
      return [name, hasGuarantee ? bounds : NO_RESOURCES];
    }),
  );
}

/** Returns the smaller of the two bounds for each team and resource. */
function minimumBounds(
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
 * Returns the fraction of its demand that each claimant is entitled to. The capacity is distributed in four steps: a
 * minimum for every class, the guarantees with production work first, the remaining demand, and the surplus. The
 * claimants in `unnamed` stand for classes without demand and receive only surplus; their fractions follow those of
 * `classes`.
 */
function entitledFractions(
  input: WindowInput,
  classes: readonly ClassUsage[],
  unnamed: readonly Claimant[],
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
  const all: FairShareInput = { ...base, claimants: [...base.claimants, ...unnamed] };
  return fairFractions(all, Number.POSITIVE_INFINITY, [...demanded, ...unnamed.map(() => 0)]);
}

function claimantOf(usage: ClassUsage, weight: number): Claimant {
  return { team: usage.team, weight, demand: demandOf(usage) };
}

/**
 * Input of the first step, which distributes the minimum. All teams have the same weight, since in proportion to the
 * guarantees the minimum of a team without a guarantee would be close to zero.
 */
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
    claimantOf(usage, usage.weight * (usage.production ? PRODUCTION_WEIGHT_FACTOR : 1)),
  );
  return {
    ...base,
    claimants,
    teamLimits: minimumBounds(guaranteesOf(teams), base.teamLimits),
  };
}

/** Returns the units that a class may have unfinished, given the fraction of its demand that it is entitled to. */
function allowedUnits(fraction: number, demand: ResourceVector, input: WindowInput): number {
  if (fraction === Number.POSITIVE_INFINITY) return UNLIMITED;
  const share = dominantShare(scaleResources(demand, fraction), input.capacity);
  return Math.min(UNLIMITED, Math.ceil((1 + input.queueRatio) * share));
}

/**
 * Returns the claimant for those classes of a team that the window does not name. It demands `FLOOR_RATIO` of the
 * capacity for each resource, or one CPU if there is no capacity.
 */
function claimantForOthers(team: string, capacity: ResourceVector): Claimant {
  const hasCapacity = RESOURCES.some((resource) => capacity[resource] > 0);
  const demand = hasCapacity
    ? scaleResources(capacity, FLOOR_RATIO)
    : { cpus: 1, gpus: 0, memoryGb: 0 };
  return { team, weight: 1, demand };
}

function grantOf(team: string, className: string | null, units: number): Grant {
  // Each window admits at least one job with dependencies per grant, even if there are no units left: the jobs that
  // it depends on were admitted, so it must not starve.
  const follower = Math.max(ONE_JOB_GRANT, units);
  return { team, class: className, lanes: { new: units, follower } };
}

/**
 * Returns the classes that get a grant of their own, largest demand first. Classes whose grants do not fit into the
 * stored value share the grant for the team's other classes.
 */
function namedClasses(input: WindowInput): ClassUsage[] {
  const shareOf = (usage: ClassUsage): number => dominantShare(demandOf(usage), input.capacity);
  const demanding = input.classes
    .filter((usage) => RESOURCES.some((resource) => demandOf(usage)[resource] > 0))
    .sort(
      (left, right) =>
        shareOf(right) - shareOf(left) ||
        compareStrings(left.team, right.team) ||
        compareStrings(left.class, right.class),
    );
  let bytes = input.teams.reduce((sum, { name }) => sum + grantBytes(name, ""), 0);
  return demanding.filter((usage) => {
    bytes += grantBytes(usage.team, usage.class);
    return bytes <= input.maxBytes;
  });
}

/** Returns an upper bound on the size of a stored grant, in bytes. */
function grantBytes(team: string, className: string): number {
  return JSON.stringify([team, className]).length + 2 * String(UNLIMITED).length + 4;
}

function compareStrings(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
