/**
 * The next window: what each class of each team may be admitted, from what is unfinished, what was refused, what the
 * cluster has, guarantees, limits and weights. Pure; only the leader computes one, and stores it.
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

/** What the leader knows of one class of a team. */
export interface ClassUsage {
  readonly team: string;
  readonly class: string;
  readonly production: boolean;
  /** Of admitted jobs that are not over and wait for no other: all their tasks that are not done. */
  readonly unfinished: ResourceVector;
  /** Of jobs that were refused lately. */
  readonly refused: ResourceVector;
  /** Factor on its weight, by the calendar. */
  readonly weight: number;
}

export interface WindowInput {
  readonly version: number;
  readonly epoch: number;
  /** Of the machines that are up or coming up. */
  readonly capacity: ResourceVector;
  /** The cloud gives more machines when they are asked for: only teams' limits bind. */
  readonly growing: boolean;
  readonly teams: readonly Team[];
  /** Factor on a team's weight, by the calendar; missing: 1. */
  readonly teamWeights: ReadonlyMap<string, number>;
  readonly classes: readonly ClassUsage[];
  readonly queueRatio: number;
  readonly periods: readonly string[];
  /** Largest size of the stored grants, in bytes. */
  readonly maxBytes: number;
}

/** Part of the capacity that is shared out before guarantees, so that nobody's share is zero. */
const FLOOR_RATIO = 0.05;
/** A class that has nothing left is admitted one job a window by this grant, whatever the job's size. */
const ONE_JOB_GRANT = 1;
/** Weight of production work against other work of its team, within the team's guarantee. */
const PRODUCTION_WEIGHT = 1000;

const demandOf = (c: ClassUsage): ResourceVector => addResources(c.unfinished, c.refused);

/** A maximum of 0 is none. */
const limitOrUnbounded = (max: number): number => (max > 0 ? max : Number.POSITIVE_INFINITY);

function teamLimitsOf(teams: readonly Team[]): Map<string, ResourceVector> {
  return new Map(
    teams.map((t) => [
      t.name,
      {
        cpus: limitOrUnbounded(t.cpusMax),
        gpus: limitOrUnbounded(t.gpusMax),
        memoryGb: Number.POSITIVE_INFINITY,
      },
    ]),
  );
}

/** Like the guarantees, as dominant shares of the capacity; a team without one has the least weight of all. */
function baseWeightsOf(input: WindowInput): Map<string, number> {
  const shares = input.teams.map((t) =>
    dominantShare({ cpus: t.cpus, gpus: t.gpus, memoryGb: 0 }, input.capacity),
  );
  const guaranteed = shares.filter((s) => s > 0);
  const least = guaranteed.length > 0 ? Math.min(...guaranteed) : 1;
  return new Map(
    input.teams.map((t, i) => {
      const factor = input.teamWeights.get(t.name) ?? 1;
      return [t.name, factor * Math.max(shares[i]!, least)];
    }),
  );
}

/** A team's guarantee as a bound on what it is given before others; a resource without a guarantee promises nothing. */
function guaranteesOf(input: WindowInput): Map<string, ResourceVector> {
  const out = new Map<string, ResourceVector>();
  for (const t of input.teams) {
    const none = t.cpus <= 0 && t.gpus <= 0;
    const bound = (n: number): number => (n > 0 ? n : Number.POSITIVE_INFINITY);
    const within = { cpus: bound(t.cpus), gpus: bound(t.gpus), memoryGb: Number.POSITIVE_INFINITY };
    out.set(t.name, none ? NO_RESOURCES : within);
  }
  return out;
}

/** The smaller of two bounds, for each team and resource. */
function tighterBounds(
  a: Map<string, ResourceVector>,
  b: Map<string, ResourceVector>,
): Map<string, ResourceVector> {
  return new Map(
    [...a].map(([team, x]) => {
      const y = b.get(team)!;
      return [
        team,
        {
          cpus: Math.min(x.cpus, y.cpus),
          gpus: Math.min(x.gpus, y.gpus),
          memoryGb: Math.min(x.memoryGb, y.memoryGb),
        },
      ];
    }),
  );
}

const UNBOUNDED: ResourceVector = {
  cpus: Number.POSITIVE_INFINITY,
  gpus: Number.POSITIVE_INFINITY,
  memoryGb: Number.POSITIVE_INFINITY,
};

/**
 * The fraction of its demand that each claimant is entitled to: a floor for everybody, then guarantees with production
 * first, then the rest of what is demanded, then what is left over. `idle` claimants want nothing yet and have part in the
 * last step only.
 */
function entitledFractions(
  input: WindowInput,
  wanting: readonly Claimant[],
  idle: readonly Claimant[],
  production: readonly boolean[],
): number[] {
  const limits = teamLimitsOf(input.teams);
  const capacity = input.growing ? UNBOUNDED : input.capacity;
  const base: FairShareInput = {
    claimants: wanting,
    teamWeights: baseWeightsOf(input),
    capacity,
    teamLimits: limits,
  };
  // The floor is the same for every team: in proportion to guarantees it would be next to nothing for a guest.
  const floor = fairFractions({
    ...base,
    teamWeights: new Map(input.teams.map((t) => [t.name, 1])),
    capacity: scaleResources(capacity, FLOOR_RATIO),
  });
  const withinGuarantee: FairShareInput = {
    ...base,
    claimants: wanting.map((c, i) => ({
      ...c,
      weight: c.weight * (production[i] ? PRODUCTION_WEIGHT : 1),
    })),
    teamLimits: tighterBounds(guaranteesOf(input), limits),
  };
  const guaranteed = fairFractions(withinGuarantee, 1, floor);
  const demanded = fairFractions(base, 1, guaranteed);
  const all: FairShareInput = { ...base, claimants: [...wanting, ...idle] };
  return fairFractions(all, Number.POSITIVE_INFINITY, [...demanded, ...idle.map(() => 0)]);
}

/** Units that a claimant may have unfinished, by the fraction of its demand that it is entitled to. */
function allowance(fraction: number, demand: ResourceVector, input: WindowInput): number {
  if (fraction === Number.POSITIVE_INFINITY) return UNLIMITED;
  const share = dominantShare(scaleResources(demand, fraction), input.capacity);
  return Math.min(UNLIMITED, Math.ceil((1 + input.queueRatio) * share));
}

/** For classes that the window does not name: as if they wanted a little of everything. */
function claimantForOthers(team: string, capacity: ResourceVector): Claimant {
  const demand = RESOURCES.some((r) => capacity[r] > 0)
    ? scaleResources(capacity, FLOOR_RATIO)
    : { cpus: 1, gpus: 0, memoryGb: 0 };
  return { team, weight: 1, demand };
}

function grantOf(team: string, name: string | null, left: number): Grant {
  // A follower's turn comes in each window: those that it follows were admitted, and it must not wait for good.
  return { team, class: name, lanes: { new: left, follower: Math.max(ONE_JOB_GRANT, left) } };
}

/** Classes that want most first; those that do not fit the stored value share the grant for others. */
function namedClasses(input: WindowInput): ClassUsage[] {
  const size = (c: ClassUsage): number =>
    JSON.stringify([c.team, c.class]).length + 2 * String(UNLIMITED).length + 4;
  const wants = (c: ClassUsage): number => dominantShare(demandOf(c), input.capacity);
  const listed = input.classes
    .filter((c) => RESOURCES.some((r) => demandOf(c)[r] > 0))
    .sort(
      (a, b) => wants(b) - wants(a) || compareText(a.team, b.team) || compareText(a.class, b.class),
    );
  let bytes = input.teams.reduce((sum, t) => sum + size({ ...EMPTY_USAGE, team: t.name }), 0);
  return listed.filter((c) => {
    bytes += size(c);
    return bytes <= input.maxBytes;
  });
}

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);
const EMPTY_USAGE: ClassUsage = {
  team: "",
  class: "",
  production: false,
  unfinished: NO_RESOURCES,
  refused: NO_RESOURCES,
  weight: 1,
};

export function limitedWindow(input: WindowInput): AdmissionWindow {
  const classes = namedClasses(input);
  const wanting = classes.map(
    (c): Claimant => ({ team: c.team, weight: c.weight, demand: demandOf(c) }),
  );
  const others = input.teams.map((t) => claimantForOthers(t.name, input.capacity));
  const production = classes.map((c) => c.production);
  const fractions = entitledFractions(input, wanting, others, production);
  const grants = classes.map((c, i) => {
    const unfinished = dominantShare(c.unfinished, input.capacity);
    const allowed = allowance(fractions[i]!, demandOf(c), input);
    return grantOf(c.team, c.class, allowed - Math.min(allowed, unfinished));
  });
  const grantsOfOthers = others.map((c, i) => {
    const allowed = allowance(fractions[classes.length + i]!, c.demand, input);
    return grantOf(c.team, null, Math.max(ONE_JOB_GRANT, allowed));
  });
  return {
    version: input.version,
    epoch: input.epoch,
    mode: "limited",
    capacity: input.capacity,
    grants: [...grants, ...grantsOfOthers],
    periods: input.periods,
  };
}

export function openWindow(input: Pick<WindowInput, "version" | "epoch">): AdmissionWindow {
  return { ...input, mode: "open", capacity: NO_RESOURCES, grants: [], periods: [] };
}

/**
 * By how much the unfinished work exceeds what can be used at one time: of the cluster, if it cannot grow, or of a
 * team by its limits. 1: all of it can run now.
 */
export function loadRatio(input: Omit<WindowInput, "version" | "epoch" | "maxBytes">): number {
  const limits = teamLimitsOf(input.teams);
  const sums = new Map<string, ResourceVector>();
  let total: ResourceVector = NO_RESOURCES;
  for (const c of input.classes) {
    const demand = demandOf(c);
    total = addResources(total, demand);
    sums.set(c.team, addResources(sums.get(c.team) ?? NO_RESOURCES, demand));
  }
  let most = 0;
  for (const r of RESOURCES) {
    if (!input.growing && input.capacity[r] > 0)
      most = Math.max(most, total[r] / input.capacity[r]);
    for (const [team, sum] of sums) {
      const limit = limits.get(team)?.[r] ?? Number.POSITIVE_INFINITY;
      most = Math.max(most, sum[r] / limit);
    }
  }
  return most;
}
