/**
 * Checks the protocol rule on placement (`wrong_place`) against what simulated workers do. It counts independently and
 * never reads the scheduler's state.
 */
import type { JobSpec } from "../../src/core/model/jobs.js";

/** Where a task is, as its worker knows it. */
export interface Place {
  readonly machine: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The placement constraints of a job. */
export const CONSTRAINTS = ["types", "zone", "spot", "oneZone", "spread"] as const;
export type Constraint = (typeof CONSTRAINTS)[number];

export interface PlaceFault {
  readonly constraint: Constraint;
  readonly what: string;
}

/** The constraints that a task at a place violates, given the places of the job's other tasks at that moment. */
export function placeFaults(spec: JobSpec, place: Place, others: readonly Place[]): PlaceFault[] {
  const faults: PlaceFault[] = [];
  const add = (constraint: Constraint, what: string): void => {
    faults.push({
      constraint,
      what: `on ${place.machine} (${place.type}, ${place.zone}): ${what}`,
    });
  };
  if (spec.types !== null && !spec.types.includes(place.type)) {
    add("types", `not of ${spec.types}`);
  }
  if (spec.zone !== null && spec.zone !== place.zone) add("zone", `zone is not ${spec.zone}`);
  if (!spec.spot && place.spot) add("spot", "a spot machine");
  if (spec.oneZone) {
    const elsewhere = others.find((other) => other.zone !== place.zone);
    if (elsewhere !== undefined) add("oneZone", `another task is in ${elsewhere.zone}`);
  }
  if (spec.spread) {
    const here = 1 + others.filter((other) => other.zone === place.zone).length;
    if (here > Math.ceil(spec.tasks / 2)) add("spread", `${here} of ${spec.tasks} in one zone`);
  }
  return faults;
}

/** The job as a planner sees it that ignores one constraint. */
export function without(spec: JobSpec, constraint: Constraint): JobSpec {
  const ignored: Record<Constraint, Partial<JobSpec>> = {
    types: { types: null },
    zone: { zone: null },
    spot: { spot: true },
    oneZone: { oneZone: false },
    spread: { spread: false },
  };
  return { ...spec, ...ignored[constraint] };
}
