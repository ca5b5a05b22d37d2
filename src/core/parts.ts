/**
 * A job of very many tasks stands in the state as several values: one for the job, and one for each
 * stretch of its tasks of which some are under way. A stretch that is over is a range in the job's own
 * value, and its key goes in the same transaction.
 *
 * Each value is written by itself. So that no late copy of a write can bring a stretch back, all are
 * conditional on the mark of the job's own value, which changes whenever one goes.
 */

import type { JobSpec } from "./model.js";

/** Most bytes of one task that is under way: its machine, its number, what separates them. */
const TASK_BYTES = 24;
/** Of a value, what tasks may take; the rest is for attempts and sessions. */
const FILLED = 0.9;

/** Tasks in a part: however they end, they fit one value. */
export const partSize = (valueBytes: number): number =>
  Math.max(1, Math.floor((FILLED * valueBytes) / TASK_BYTES));

/** A job's value less what is said of its tasks. */
export const fixedBytes = (spec: JobSpec): number => 400 + JSON.stringify(spec).length;
/** A task of an array, on a machine with one or two others: its number twice, and its part of the name. */
const BESIDE_OTHERS = 16;

/**
 * Smaller jobs stand in one value: that is one write for each change instead of several, and an array
 * that is kept to what one value holds still goes on. The tasks of gangs and services must all run at
 * one time. (A gang of more than fits one value made a write that was refused for ever, with all others
 * in the same transaction.)
 */
const PARTS_AT_LEAST = 2;
export const standsInParts = (spec: JobSpec, valueBytes: number): boolean => {
  if (spec.kind !== "array") return spec.tasks > partSize(valueBytes) / 2;
  // With values of 2 KiB an array of sixty went out thirty at a time: half of such a value is its own text.
  const atOnce = (0.95 * valueBytes - fixedBytes(spec)) / BESIDE_OTHERS;
  return spec.tasks > Math.min(PARTS_AT_LEAST * partSize(valueBytes), Math.max(1, atOnce));
};

/**
 * All tasks of a gang or service are placed at one time, so its parts cannot be kept smaller by placing fewer. They
 * are smaller from the start, in case the state service takes smaller values than is known.
 */
const SHARE_OF_PART = 1 / 4;

/** Tasks in a part of a new job. */
export const partSizeOf = (spec: JobSpec, valueBytes: number): number => {
  const size = partSize(valueBytes);
  return spec.kind === "array" ? size : Math.max(1, Math.floor(SHARE_OF_PART * size));
};

/**
 * Tasks that may be under way in a part of an array at one time, if values are to be no larger than this: the rest
 * is for the tasks that are done, at the worst every other one.
 */
export function placeableInPart(size: number, valueBytes: number): number {
  if (size <= partSize(valueBytes)) return size;
  const doneBytes = Math.ceil(size / 2) * (String(size).length + 1);
  return Math.max(1, Math.floor((FILLED * valueBytes - doneBytes) / TASK_BYTES));
}

/** Tasks in a part of a job that is cut while it is under way: its parts go into one transaction. */
export const cutSize = (spec: JobSpec, valueBytes: number, txnOps: number): number =>
  Math.max(partSizeOf(spec, valueBytes), Math.ceil(spec.tasks / Math.max(1, txnOps - 1)));

export class Part {
  /** Versions of the job at which it last changed, was given a placement, and was stored. */
  changed = 0;
  placed = 0;
  saved = 0;
  /** Mark of its stored value; 0: there is none. */
  mark = 0;
  /** Number of the next attempt; in a part of a large job, of the newest. */
  attempt = 1;
  private readonly tried = new Map<number, number>();

  constructor(
    /** -1: the job's own value. */
    readonly n: number,
    readonly from: number,
    readonly to: number,
  ) {}

  /** A new number only for a task that was tried before, so that few are stored. */
  next(task: number): number {
    if ((this.tried.get(task) ?? 0) >= this.attempt) this.attempt++;
    this.tried.set(task, this.attempt);
    return this.attempt;
  }

  /** All tasks of a gang have one number. */
  together(attempt: number): number {
    this.attempt = Math.max(this.attempt, attempt);
    return attempt;
  }

  get unsaved(): boolean {
    return this.changed > this.saved;
  }
  /** A placement in it is not stored yet: its start waits. */
  get startsWait(): boolean {
    return this.placed > this.saved;
  }
  /** All that was true of it at this version is stored. */
  holds(version: number): boolean {
    return this.saved >= version || !this.unsaved;
  }
}
