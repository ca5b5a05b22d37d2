/** Predicates on the tasks that are placed on a machine. */
import { hasExtendableLease } from "../leader-context.js";
import type { Machine } from "./machine.js";

/** Whether a task of a service is placed on the machine. */
export function runsServiceTasks(machine: Machine): boolean {
  for (const placement of machine.placements.values()) {
    if (placement.job.spec.kind === "service") return true;
  }
  return false;
}

/** Whether a task of a cancelled job is placed on the machine. */
export function runsCancelledTask(machine: Machine): boolean {
  for (const placement of machine.placements.values()) {
    if (placement.job.isCancelled) return true;
  }
  return false;
}

/** Whether a controller that is partitioned together with the worker may have extended the worker's lease. */
export function mayHaveExtendedLease(machine: Machine): boolean {
  for (const placement of machine.placements.values()) {
    if (hasExtendableLease(placement.job.spec.kind)) return true;
  }
  return false;
}
