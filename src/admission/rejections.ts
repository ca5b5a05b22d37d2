/** The rejections of this controller, aggregated into one small record per window, so that a flood costs few writes. */
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

/** Distinct jobs remembered in a window; any further job is counted each time that it is rejected. */
const MAX_REMEMBERED_JOBS = 100_000;
/** Size of a class in the record without its names and ids. */
const CLASS_OVERHEAD_BYTES = 120;

interface MutableRefusedClass {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  jobs: number;
  resources: ResourceVector;
  readonly ids: string[];
}

/** Aggregates rejections, and keeps the records until they are stored. */
export class RejectionLog {
  /** Version of the window that is being aggregated. */
  private window = 0;
  private readonly refusedJobIds = new Set<string>();
  private classes = new Map<string, MutableRefusedClass>();
  private recordBytes = 0;
  /** Completed records that are not stored yet, oldest first. */
  private readonly unpersisted: RejectionRecord[] = [];

  constructor(
    private readonly member: string,
    /** Largest size of a record, in bytes. */
    private readonly maxBytes: number,
  ) {}

  /** Counts the rejection of a job; of the same job in the same window only the first rejection counts. */
  add(window: number, job: JobSpec): void {
    if (window !== this.window) {
      this.closeRecord();
      this.window = window;
      this.refusedJobIds.clear();
    }
    if (this.refusedJobIds.has(job.id)) return;
    if (this.refusedJobIds.size < MAX_REMEMBERED_JOBS) this.refusedJobIds.add(job.id);
    const refused = this.classOf(job);
    if (refused === null) return;
    refused.jobs++;
    refused.resources = addResources(refused.resources, resourcesOf(job, job.tasks));
    const bytes = JSON.stringify(job.id).length + 1;
    if (this.recordBytes + bytes > this.maxBytes) return;
    this.recordBytes += bytes;
    refused.ids.push(job.id);
  }

  /** Is there nothing to store? */
  get isEmpty(): boolean {
    return this.unpersisted.length === 0 && this.classes.size === 0;
  }

  /** The oldest record that is not stored, with its sequence number; it stays until `markStored`. Null: there is none. */
  nextRecord(sequence: number): RejectionRecord | null {
    if (this.unpersisted.length === 0) this.closeRecord();
    const oldest = this.unpersisted[0];
    return oldest === undefined ? null : { ...oldest, sequence };
  }

  /** To be called when the oldest record was stored. */
  markStored(): void {
    this.unpersisted.shift();
  }

  /** The entry of the job's class; null: the record is full. The job is rejected all the same, and counted in a later record. */
  private classOf(job: JobSpec): MutableRefusedClass | null {
    const lane = laneOf(job);
    const key = JSON.stringify([job.team, job.class, lane]);
    const known = this.classes.get(key);
    if (known !== undefined) return known;
    const bytes = key.length + CLASS_OVERHEAD_BYTES;
    if (this.recordBytes + bytes > this.maxBytes) {
      this.refusedJobIds.delete(job.id);
      return null;
    }
    this.recordBytes += bytes;
    const fresh: MutableRefusedClass = {
      team: job.team,
      class: job.class,
      lane,
      jobs: 0,
      resources: NO_RESOURCES,
      ids: [],
    };
    this.classes.set(key, fresh);
    return fresh;
  }

  private closeRecord(): void {
    if (this.classes.size === 0) return;
    const classes: RefusedClass[] = [...this.classes.values()];
    this.unpersisted.push({ member: this.member, window: this.window, sequence: 0, classes });
    this.classes = new Map();
    this.recordBytes = 0;
  }
}

/** The protocol's upper limit of Retry-After. */
const MAX_RETRY_AFTER_S = 30;
/** Windows over which the retries of rejected clients are spread. */
const SPREAD_WINDOWS = 4;

/**
 * Seconds after which a rejected client may retry: not before the next window, and spread by the job's id, so that the
 * clients of one flood do not return at once.
 */
export function retryAfterS(jobId: string, windowS: number): number {
  const earliest = Math.min(MAX_RETRY_AFTER_S, Math.ceil(windowS));
  const latest = Math.min(MAX_RETRY_AFTER_S, Math.ceil(SPREAD_WINDOWS * windowS));
  const hash = createHash("sha256").update(jobId).digest().readUInt32BE();
  return earliest + (hash % (latest - earliest + 1));
}
