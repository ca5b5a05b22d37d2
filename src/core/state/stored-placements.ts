/** Codec of a job's placements. `StoredPlacements` describes the format. */
import type { Placement } from "../dispatch/placement.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import type { StoredPlacements } from "./stored-values.js";

/** The tasks of one attempt on one machine. */
export interface PlacementRanges {
  readonly machine: string;
  readonly incarnation: number;
  readonly attempt: number;
  /** Ranges of task numbers, relative to the first task of the stored value. */
  readonly tasks: string;
}

/** Iterates over the machines in stored placements, with the ranges of the tasks on each. */
export function* storedPlacementRanges(
  stored: readonly StoredPlacements[],
): Generator<PlacementRanges> {
  for (const [attempt, incarnation, machinesAndTasks] of stored) {
    for (let i = 0; i + 1 < machinesAndTasks.length; i += 2) {
      const machine = machinesAndTasks[i]!;
      const tasks = machinesAndTasks[i + 1]!;
      yield { machine, incarnation, attempt, tasks };
    }
  }
}

interface AttemptGroup {
  readonly attempt: number;
  readonly incarnation: number;
  readonly tasksByMachine: Map<string, number[]>;
}

/**
 * Encodes placements, grouped by attempt and incarnation so that these are stored once for many machines. Task
 * numbers are relative to `firstTask`.
 */
export function encodePlacements(
  placements: Iterable<Placement>,
  firstTask: number,
): StoredPlacements[] {
  const groups = new Map<string, AttemptGroup>();
  for (const placement of placements) {
    const { tasksByMachine } = findOrAddGroup(placement, groups);
    const tasks = tasksByMachine.get(placement.machine.name);
    const task = placement.task - firstTask;
    if (tasks === undefined) tasksByMachine.set(placement.machine.name, [task]);
    else tasks.push(task);
  }
  return Array.from(groups.values(), encodeGroup);
}

function findOrAddGroup(placement: Placement, groups: Map<string, AttemptGroup>): AttemptGroup {
  const { attempt, incarnation } = placement;
  const key = `${attempt} ${incarnation}`;
  let group = groups.get(key);
  if (group === undefined) {
    group = { attempt, incarnation, tasksByMachine: new Map() };
    groups.set(key, group);
  }
  return group;
}

function encodeGroup({ attempt, incarnation, tasksByMachine }: AttemptGroup): StoredPlacements {
  const machinesAndTasks: string[] = [];
  for (const [machine, tasks] of tasksByMachine) {
    machinesAndTasks.push(machine, TaskRanges.of(tasks).toString());
  }
  return [attempt, incarnation, machinesAndTasks];
}
