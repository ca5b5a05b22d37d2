/** The tasks that workers still run although their jobs are terminal, until a stop command for them is sent. */

import { taskKey } from "./placement.js";

/** A task that a worker still runs although its job is terminal. */
export interface OrphanedTask {
  readonly machine: string;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
}

/** Orphaned tasks by machine. A task that its worker reports several times is kept once. */
export class OrphanedTasks {
  /** By the machine's name, then by `taskKey`. */
  private readonly byMachine = new Map<string, Map<string, OrphanedTask>>();

  add(orphan: OrphanedTask): void {
    const { machine, job, task, attempt } = orphan;
    const tasks = this.byMachine.get(machine) ?? new Map<string, OrphanedTask>();
    tasks.set(taskKey(job, task, attempt), orphan);
    this.byMachine.set(machine, tasks);
  }

  /** Whether the machine has an orphaned task. */
  has(machine: string): boolean {
    return this.byMachine.has(machine);
  }

  /** Removes and returns the machine's orphaned tasks, `limit` at most. */
  take(machine: string, limit: number): OrphanedTask[] {
    const taken: OrphanedTask[] = [];
    const tasks = this.byMachine.get(machine);
    if (tasks === undefined) return taken;
    for (const [key, orphan] of tasks) {
      if (taken.length >= limit) break;
      tasks.delete(key);
      taken.push(orphan);
    }
    if (tasks.size === 0) this.byMachine.delete(machine);
    return taken;
  }

  deleteMachine(machine: string): void {
    this.byMachine.delete(machine);
  }
}
