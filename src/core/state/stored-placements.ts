/** Codec of a job's placements: see `StoredPlacements`. */
import type { Placement } from "../dispatch/placement.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import type { StoredPlacements } from "./stored-values.js";

/** Tasks of one attempt on one machine. */
export interface PlacementRanges {
  readonly machine: string;
  readonly incarnation: number;
  readonly attempt: number;
  /** Ranges of task numbers, relative to the first task of the value. */
  readonly tasks: string;
}

/** Each machine in stored placements, with the ranges of tasks on it. */
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

/** Attempt and incarnation are stored once for all machines; tasks by their number less `firstTask`. */
export function encodePlacements(
  placements: Iterable<Placement>,
  firstTask: number,
): StoredPlacements[] {
  const groups = new Map<string, AttemptGroup>();
  for (const placement of placements) {
    const { tasksByMachine } = groupOf(placement, groups);
    const tasks = tasksByMachine.get(placement.machine.name);
    const task = placement.task - firstTask;
    if (tasks === undefined) tasksByMachine.set(placement.machine.name, [task]);
    else tasks.push(task);
  }
  return Array.from(groups.values(), encodeGroup);
}

function groupOf(placement: Placement, groups: Map<string, AttemptGroup>): AttemptGroup {
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
