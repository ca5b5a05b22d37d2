/** Formats heartbeats, commands and transactions for the trace of a test leader. */
import type { WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import type { Change } from "../../src/core/state/key-value.js";
import { storedPlacementRanges } from "../../src/core/state/stored-placements.js";
import type { StoredPlacements } from "../../src/core/state/stored-values.js";

/** Key prefix of the shards of machine records. */
const MACHINE_SHARD_PREFIX = "g/";

/** Formats the worker's incarnation and the state or exit cause of each of its tasks. */
export const describeHeartbeat = ({ incarnation, tasks }: WorkerHeartbeat): string =>
  `s${incarnation} [${tasks
    .map(({ job, task, attempt, cause, state }) => `${job}/${task}#${attempt} ${cause ?? state}`)
    .join(", ")}]`;

/** Formats a command's operation, task and attempt. */
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

/** Formats the changes of a transaction except those of machine records; null if there are no others. */
export function describeChanges(changes: readonly Change[]): string | null {
  const described = changes
    .filter(({ key }) => !key.startsWith(MACHINE_SHARD_PREFIX))
    .map(describeChange);
  return described.length === 0 ? null : described.join("; ");
}
