/** How the lines of a test leader's trace describe what goes in and out. */
import type { WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import type { Change } from "../../src/core/state/key-value.js";
import { storedPlacementRanges } from "../../src/core/state/stored-placements.js";
import type { StoredPlacements } from "../../src/core/state/stored-values.js";

const MACHINE_SHARD_PREFIX = "g/";

/** The worker's incarnation, and the state or exit cause of each of its tasks. */
export const describeHeartbeat = ({ incarnation, tasks }: WorkerHeartbeat): string =>
  `s${incarnation} [${tasks
    .map(({ job, task, attempt, cause, state }) => `${job}/${task}#${attempt} ${cause ?? state}`)
    .join(", ")}]`;

/** Operation, task and attempt. */
export const describeCommand = ({ op, job, task, attempt }: WorkerCommand): string =>
  `${op} ${job}/${task}#${attempt}`;

function describeChange(change: Change): string {
  if (change.op === "delete") return `remove ${change.key}`;
  const value = change.value as { s?: string; done?: string; pl?: StoredPlacements[] };
  if (value.s !== undefined) return `${change.key} ${value.s}`;
  const placements = [...storedPlacementRanges(value.pl ?? [])].map(
    ({ machine, incarnation, attempt, tasks }) => [machine, incarnation, attempt, tasks],
  );
  return `${change.key} done=${value.done} at=${JSON.stringify(placements)}`;
}

/** Changes of a transaction, without those of machine records; null if no others are in it. */
export function describeChanges(changes: readonly Change[]): string | null {
  const described = changes
    .filter(({ key }) => !key.startsWith(MACHINE_SHARD_PREFIX))
    .map(describeChange);
  return described.length === 0 ? null : described.join("; ");
}
