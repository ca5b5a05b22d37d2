/** The values in which a job stands in the state service, and the most bytes that they may come to. */
import type { LiveJob } from "./live-job.js";
import { fixedBytes, type Part } from "./parts.js";
import type { Placement } from "./placement.js";
import { Ranges } from "./ranges.js";
import type { StoredJob, StoredPart } from "./records.js";
import { storedPlacements } from "./stored-placements.js";

/** What separates a machine's name from others, and what is said of each start, in bytes. */
const NAME_BYTES = 6;
const START_BYTES = 24;

/** The job's own value. */
export function jobValue(job: LiveJob): StoredJob {
  const own = job.partSize === null;
  const value: StoredJob = {
    j: job.spec,
    at: job.submittedAt,
    r: job.residualsText,
    v: job.version,
    n: job.main.attempt,
    o: job.owner,
    done: own ? job.done.toString() : tasksOfClosedParts(job),
    pl: own ? storedPlacements(job.placements.values(), 0) : [],
  };
  return job.partSize === null ? value : { ...value, c: job.partSize };
}

/** Tasks of parts that are over, as ranges: neighbours are one. */
function tasksOfClosedParts(job: LiveJob): string {
  const size = job.partSize!;
  const parts = Math.ceil(job.spec.tasks / size);
  const ranges: string[] = [];
  let from: number | null = null;
  for (let n = 0; n <= parts; n++) {
    const over = n < parts && job.closed.has(n);
    if (over) from ??= n;
    else if (from !== null) {
      ranges.push(`${from * size}-${Math.min(job.spec.tasks, n * size) - 1}`);
      from = null;
    }
  }
  return ranges.join(",");
}

/** The value of one part of a job. */
export function partValue(job: LiveJob, part: Part): StoredPart {
  const done: number[] = [];
  const placed: Placement[] = [];
  for (let t = part.from; t < part.to; t++) {
    if (job.done.has(t)) done.push(t - part.from);
    const p = job.placements.get(t);
    if (p !== undefined) placed.push(p);
  }
  return {
    v: job.version,
    n: part.attempt,
    done: Ranges.of(done).toString(),
    pl: storedPlacements(placed, part.from),
  };
}

/** The most bytes that a number of this job and what separates it take in a value. */
export function taskBytes(job: LiveJob): number {
  return String(job.spec.tasks).length + 1;
}

/** Bytes of a job's value less what is said of its tasks, counted once for each of its residuals. */
const fixedSizes = new WeakMap<LiveJob, { residuals: readonly string[]; bytes: number }>();

function fixedSize(job: LiveJob): number {
  const known = fixedSizes.get(job);
  if (known !== undefined && known.residuals === job.residualsText) return known.bytes;
  const bytes = fixedBytes(job.spec) + JSON.stringify(job.residualsText).length;
  fixedSizes.set(job, { residuals: job.residualsText, bytes });
  return bytes;
}

/**
 * The most bytes that the stored value may come to as tasks end in any order: then each task in
 * flight may stand by itself, among those placed and between those done.
 */
export function worstBytes(job: LiveJob): number {
  const machines = new Set<string>();
  const starts = new Set<string>();
  for (const p of job.placements.values()) {
    machines.add(`${p.machine.name} ${p.attempt}`);
    starts.add(`${p.attempt} ${p.session}`);
  }
  let names = 0;
  for (const m of machines) names += m.length + NAME_BYTES;
  const tasks = 2 * taskBytes(job) * (job.placements.size + job.done.spanCount);
  return fixedSize(job) + names + START_BYTES * starts.size + tasks;
}
