/** What this controller refused, gathered into one small record a window, so that a flood costs few writes. */
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

/** Different jobs that are remembered in a window; further ones are counted each time they are refused. */
const MAX_REMEMBERED_JOBS = 100_000;
/** Size of a class in the record, beside its ids and names. */
const CLASS_OVERHEAD_BYTES = 120;

interface MutableRefusedClass {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  jobs: number;
  resources: ResourceVector;
  readonly ids: string[];
}

export class RejectionLog {
  private window = 0;
  private readonly refusedJobIds = new Set<string>();
  private classes = new Map<string, MutableRefusedClass>();
  private recordBytes = 0;
  /** Records of what was refused, not stored yet. */
  private readonly unpersisted: RejectionRecord[] = [];

  constructor(
    private readonly member: string,
    /** Largest size of a record. */
    private readonly maxBytes: number,
  ) {}

  /** A job was refused; of the same job in the same window only the first time counts. */
  add(window: number, job: JobSpec): void {
    if (window !== this.window) {
      this.closeRecord();
      this.window = window;
      this.refusedJobIds.clear();
    }
    if (this.refusedJobIds.has(job.id)) return;
    if (this.refusedJobIds.size < MAX_REMEMBERED_JOBS) this.refusedJobIds.add(job.id);
    const of = this.classOf(job);
    if (of === null) return;
    of.jobs++;
    of.resources = addResources(of.resources, resourcesOf(job, job.tasks));
    const bytes = JSON.stringify(job.id).length + 1;
    if (this.recordBytes + bytes > this.maxBytes) return;
    this.recordBytes += bytes;
    of.ids.push(job.id);
  }

  /** Null: there is no room for one more class. Its jobs are refused all the same, and counted in a later record. */
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

  get isEmpty(): boolean {
    return this.unpersisted.length === 0 && this.classes.size === 0;
  }

  /** The oldest record that is to be stored, with its number; it stays until `stored`. */
  nextRecord(sequence: number): RejectionRecord | null {
    if (this.unpersisted.length === 0) this.closeRecord();
    const oldest = this.unpersisted[0];
    return oldest === undefined ? null : { ...oldest, sequence };
  }

  markStored(): void {
    this.unpersisted.shift();
  }
}

/** The protocol's bound on what a client is told to wait. */
const MAX_RETRY_AFTER_S = 30;
/** Windows over which those that were refused are spread. */
const SPREAD_WINDOWS = 4;

/** Seconds after which a refused client may come back: the next window at the earliest, spread by the job's id. */
export function retryAfterS(jobId: string, windowS: number): number {
  const earliest = Math.min(MAX_RETRY_AFTER_S, Math.ceil(windowS));
  const latest = Math.min(MAX_RETRY_AFTER_S, Math.ceil(SPREAD_WINDOWS * windowS));
  const hash = createHash("sha256").update(jobId).digest().readUInt32BE();
  return earliest + (hash % (latest - earliest + 1));
}
