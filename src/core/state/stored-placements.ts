/** The placements of a job as they are stored. */
import type { Placement } from "../dispatch/placement.js";
import { TaskRanges } from "../jobs/task-ranges.js";
import type { StoredPlacements } from "./state-replica.js";

/** Attempt and session stand once for all machines; tasks by their number less the first. */
export function encodePlacements(
  placements: Iterable<Placement>,
  first: number,
): StoredPlacements[] {
  const starts = new Map<string, { at: [number, number]; on: Map<string, number[]> }>();
  for (const p of placements) {
    const key = `${p.attempt} ${p.incarnation}`;
    let s = starts.get(key);
    if (s === undefined) {
      s = { at: [p.attempt, p.incarnation], on: new Map() };
      starts.set(key, s);
    }
    const tasks = s.on.get(p.machine.name);
    if (tasks === undefined) s.on.set(p.machine.name, [p.task - first]);
    else tasks.push(p.task - first);
  }
  const pl: StoredPlacements[] = [];
  for (const s of starts.values()) {
    const on = [...s.on].flatMap(([name, tasks]) => [name, TaskRanges.of(tasks).toString()]);
    pl.push([...s.at, on]);
  }
  return pl;
}
