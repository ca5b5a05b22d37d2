/** The placements of a job as they are stored. */
import type { Placement } from "./placement.js";
import { Ranges } from "./ranges.js";
import type { StoredPlacements } from "./records.js";

/** Attempt and session stand once for all machines; tasks by their number less the first. */
export function storedPlacements(
  placements: Iterable<Placement>,
  first: number,
): StoredPlacements[] {
  const starts = new Map<string, { at: [number, number]; on: Map<string, number[]> }>();
  for (const p of placements) {
    const key = `${p.attempt} ${p.session}`;
    let s = starts.get(key);
    if (s === undefined) {
      s = { at: [p.attempt, p.session], on: new Map() };
      starts.set(key, s);
    }
    const tasks = s.on.get(p.machine.name);
    if (tasks === undefined) s.on.set(p.machine.name, [p.task - first]);
    else tasks.push(p.task - first);
  }
  const pl: StoredPlacements[] = [];
  for (const s of starts.values()) {
    const on = [...s.on].flatMap(([name, tasks]) => [name, Ranges.of(tasks).toString()]);
    pl.push([...s.at, on]);
  }
  return pl;
}
