/**
 * Aggregates the rejections of this controller into small records, of which it stores at most one per window length,
 * so that a flood of rejected submissions causes few writes.
 */
import { createHash } from "node:crypto";
import type { JobSpec } from "../core/model/jobs.js";
import {
  addResources,
  type Lane,
  laneOf,
  NO_RESOURCES,
  type RefusedClass,
  type RejectionRecord,
  type ResourceVector,
  resourcesOf,
} from "./model.js";

/**
 * Number of rejected jobs per window whose ids are kept in order to count each job once. Further jobs are counted
 * each time they are rejected.
 */
const MAX_DEDUPLICATED_JOBS = 100_000;
/** Estimated size of a class entry in a record, without its names and job ids. */
const CLASS_OVERHEAD_BYTES = 120;

interface MutableRefusedClass {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  jobs: number;
  resources: ResourceVector;
  readonly ids: string[];
}

/** Aggregates rejections into records and keeps the records until they are stored. */
export class RejectionLog {
  /** Version of the window whose rejections are being aggregated. */
  private window = 0;
  private readonly countedJobIds = new Set<string>();
  private classes = new Map<string, MutableRefusedClass>();
  private recordBytes = 0;
  /** Completed records that have not been stored yet, oldest first. */
  private readonly unstoredRecords: RejectionRecord[] = [];

  constructor(
    private readonly member: string,
    /** Largest size of a record, in bytes. */
    private readonly maxBytes: number,
  ) {}

  /**
   * Records the rejection of a job in the window with version `window`. Repeated rejections of a job in a window
   * count once, up to `MAX_DEDUPLICATED_JOBS` jobs.
   */
  add(window: number, job: JobSpec): void {
    if (window !== this.window) {
      this.closeRecord();
      this.window = window;
      this.countedJobIds.clear();
    }
    if (this.countedJobIds.has(job.id)) return;
    if (this.countedJobIds.size < MAX_DEDUPLICATED_JOBS) this.countedJobIds.add(job.id);
    const refused = this.findOrCreateClass(job);
    if (refused === null) return;
    refused.jobs++;
    refused.resources = addResources(refused.resources, resourcesOf(job, job.tasks));
    const bytes = JSON.stringify(job.id).length + 1;
    if (this.recordBytes + bytes > this.maxBytes) return;
    this.recordBytes += bytes;
    refused.ids.push(job.id);
  }

  /** Whether there is nothing to store. */
  get isEmpty(): boolean {
    return this.unstoredRecords.length === 0 && this.classes.size === 0;
  }

  /**
   * Returns a copy of the oldest record that has not been stored, with its sequence number set to `sequence`, or null
   * if there is none. The record is kept until `markStored` is called.
   */
  nextRecord(sequence: number): RejectionRecord | null {
    if (this.unstoredRecords.length === 0) this.closeRecord();
    const oldest = this.unstoredRecords[0];
    return oldest === undefined ? null : { ...oldest, sequence };
  }

  /** Must be called when the oldest record was stored. */
  markStored(): void {
    this.unstoredRecords.shift();
  }

  /**
   * Returns the entry of the job's class, or null if the record is full. If it is full, the job is not marked as
   * counted, so that its next rejection can count it in the next record.
   */
  private findOrCreateClass(job: JobSpec): MutableRefusedClass | null {
    const lane = laneOf(job);
    const key = JSON.stringify([job.team, job.class, lane]);
    const existing = this.classes.get(key);
    if (existing !== undefined) return existing;
    const bytes = key.length + CLASS_OVERHEAD_BYTES;
    if (this.recordBytes + bytes > this.maxBytes) {
      this.countedJobIds.delete(job.id);
      return null;
    }
    this.recordBytes += bytes;
    const created: MutableRefusedClass = {
      team: job.team,
      class: job.class,
      lane,
      jobs: 0,
      resources: NO_RESOURCES,
      ids: [],
    };
    this.classes.set(key, created);
    return created;
  }

  private closeRecord(): void {
    if (this.classes.size === 0) return;
    const classes: RefusedClass[] = [...this.classes.values()];
    this.unstoredRecords.push({ member: this.member, window: this.window, sequence: 0, classes });
    this.classes = new Map();
    this.recordBytes = 0;
  }
}

/** Largest value of `Retry-After` that the protocol allows. */
const MAX_RETRY_AFTER_S = 30;
/** Number of windows over which the retries of rejected clients are spread. */
const RETRY_SPREAD_WINDOWS = 4;

/**
 * Returns the number of seconds after which a rejected client may retry: at least one window length, so that the
 * retry falls into a later window, and at most `MAX_RETRY_AFTER_S`. The value depends on a hash of the job's id, so
 * that clients rejected together do not all retry together.
 */
export function retryAfterS(jobId: string, windowS: number): number {
  const earliest = Math.min(MAX_RETRY_AFTER_S, Math.ceil(windowS));
  const latest = Math.min(MAX_RETRY_AFTER_S, Math.ceil(RETRY_SPREAD_WINDOWS * windowS));
  const hash = createHash("sha256").update(jobId).digest().readUInt32BE();
  return earliest + (hash % (latest - earliest + 1));
}
