/**
 * Checks the placements of tasks on simulated workers against the protocol rule `wrong_place`. The check evaluates
 * the constraints independently and does not read the scheduler's state.
 */
import type { JobSpec } from "../../src/core/model/jobs.js";

/** A machine's name and the attributes that placement constraints refer to, as its worker reports them. */
export interface MachineDescriptor {
  readonly machine: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** The fields of a job that constrain the placement of its tasks. */
export const PLACEMENT_CONSTRAINTS = ["types", "zone", "spot", "oneZone", "spread"] as const;
/** One of the placement constraints. */
export type PlacementConstraint = (typeof PLACEMENT_CONSTRAINTS)[number];

/** A violated constraint, with a description for the report. */
export interface PlacementViolation {
  readonly constraint: PlacementConstraint;
  readonly description: string;
}

/**
 * The constraints that a task on the machine violates, given the machines of the job's other tasks at the same time.
 * `descriptor`: the task's machine; `others`: one entry for each other task.
 */
export function placementViolations(
  spec: JobSpec,
  descriptor: MachineDescriptor,
  others: readonly MachineDescriptor[],
): PlacementViolation[] {
  const violations: PlacementViolation[] = [];
  const add = (constraint: PlacementConstraint, description: string): void => {
    violations.push({
      constraint,
      description: `on ${descriptor.machine} (${descriptor.type}, ${descriptor.zone}): ${description}`,
    });
  };
  if (spec.types !== null && !spec.types.includes(descriptor.type)) {
    add("types", `machine type is not one of ${spec.types}`);
  }
  if (spec.zone !== null && spec.zone !== descriptor.zone)
    add("zone", `the required zone is ${spec.zone}`);
  if (!spec.spot && descriptor.spot) add("spot", "the job does not allow spot machines");
  if (spec.oneZone) {
    const elsewhere = others.find((other) => other.zone !== descriptor.zone);
    if (elsewhere !== undefined) add("oneZone", `another task is in ${elsewhere.zone}`);
  }
  if (spec.spread) {
    const tasksInZone = 1 + others.filter((other) => other.zone === descriptor.zone).length;
    if (tasksInZone > Math.ceil(spec.tasks / 2))
      add("spread", `${tasksInZone} of ${spec.tasks} tasks are in one zone`);
  }
  return violations;
}

/** A copy of the job without one constraint, to simulate a planner that ignores the constraint. */
export function withoutConstraint(spec: JobSpec, constraint: PlacementConstraint): JobSpec {
  const overridesByConstraint: Record<PlacementConstraint, Partial<JobSpec>> = {
    types: { types: null },
    zone: { zone: null },
    spot: { spot: true },
    oneZone: { oneZone: false },
    spread: { spread: false },
  };
  return { ...spec, ...overridesByConstraint[constraint] };
}
