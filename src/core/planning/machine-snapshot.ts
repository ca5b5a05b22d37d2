/** Builds the machine indexes that a scheduling cycle uses. */

import type { Cluster } from "../cluster.js";
import type { Placement } from "../dispatch/placement.js";
import type { Machine } from "../machines/machine.js";
import { AMOUNT_TOLERANCE } from "../model/constants.js";
import type { ClusterSettings } from "../model/settings.js";
import type { MachineSnapshot } from "./context.js";
import { acceptsNewWork } from "./eligibility.js";

/**
 * Builds the snapshot in one pass over all machines, and updates `weakestPrecedence` of each usable machine. `now`:
 * monotonic time in seconds.
 */
export function takeMachineSnapshot(
  cluster: Cluster,
  settings: ClusterSettings,
  now: number,
): MachineSnapshot {
  const usableByType = new Map<string, Machine[]>();
  const withFreeCapacity: Machine[] = [];
  const kinds = new Map<string, Machine>();
  const withImage = new Map<string, Machine[]>();
  const gpuMachineCountByImage = new Map<string, number>();
  const serviceTasks = new Map<Machine, Placement[]>();
  for (const machine of cluster.machines.values()) {
    const kind = `${machine.type.name} ${machine.zone} ${machine.spot}`;
    if (!kinds.has(kind)) kinds.set(kind, machine);
    if (!acceptsNewWork(machine, settings, now)) continue;
    append(usableByType, machine.type.name, machine);
    refreshWeakestPrecedence(machine);
    collectServiceTasks(machine, serviceTasks);
    if (machine.type.gpus > 0) countImages(machine, gpuMachineCountByImage);
    if (machine.freeCpus < AMOUNT_TOLERANCE || machine.freeMemoryGb < AMOUNT_TOLERANCE) continue;
    withFreeCapacity.push(machine);
    for (const [name, image] of machine.images) {
      if (image.isPulled) append(withImage, name, machine);
    }
  }
  return {
    usableByType,
    withFreeCapacity,
    oneOfEachKind: [...kinds.values()],
    withImage,
    gpuMachineCountByImage,
    serviceTasks,
  };
}

function refreshWeakestPrecedence(machine: Machine): void {
  machine.weakestPrecedence = -1;
  for (const { stop, job } of machine.placements.values()) {
    if (stop === null && job.precedence > machine.weakestPrecedence) {
      machine.weakestPrecedence = job.precedence;
    }
  }
}

function collectServiceTasks(machine: Machine, serviceTasks: Map<Machine, Placement[]>): void {
  for (const placement of machine.placements.values()) {
    const { stop, job } = placement;
    if (stop === null && job.spec.kind === "service") append(serviceTasks, machine, placement);
  }
}

function countImages(machine: Machine, counts: Map<string, number>): void {
  for (const [name, image] of machine.images) {
    if (image.isPulled) counts.set(name, (counts.get(name) ?? 0) + 1);
  }
}

function append<Key, Item>(lists: Map<Key, Item[]>, key: Key, item: Item): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [item]);
  else list.push(item);
}
