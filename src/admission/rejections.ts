/** What this controller refused, gathered into one small record a window, so that a flood costs few writes. */
import { createHash } from "node:crypto";
import type { JobSpec } from "../core/model.js";
import {
  type Amounts,
  addAmounts,
  amountsOf,
  type Lane,
  laneOf,
  NO_AMOUNTS,
  type RefusedClass,
  type RejectionRecord,
} from "./model.js";

/** Different jobs that are remembered in a window; further ones are counted each time they are refused. */
const REMEMBERED = 100_000;
/** Size of a class in the record, beside its ids and names. */
const CLASS_BYTES = 120;

interface Gathered {
  readonly team: string;
  readonly class: string;
  readonly lane: Lane;
  jobs: number;
  amounts: Amounts;
  readonly ids: string[];
}

export class RejectionLog {
  private window = 0;
  private readonly refused = new Set<string>();
  private classes = new Map<string, Gathered>();
  private bytes = 0;
  /** Records of what was refused, not stored yet. */
  private readonly closed: RejectionRecord[] = [];

  constructor(
    private readonly member: string,
    /** Largest size of a record. */
    private readonly maxBytes: number,
  ) {}

  /** A job was refused; of the same job in the same window only the first time counts. */
  add(window: number, job: JobSpec): void {
    if (window !== this.window) {
      this.close();
      this.window = window;
      this.refused.clear();
    }
    if (this.refused.has(job.id)) return;
    if (this.refused.size < REMEMBERED) this.refused.add(job.id);
    const of = this.gathered(job);
    if (of === null) return;
    of.jobs++;
    of.amounts = addAmounts(of.amounts, amountsOf(job, job.tasks));
    const bytes = JSON.stringify(job.id).length + 1;
    if (this.bytes + bytes > this.maxBytes) return;
    this.bytes += bytes;
    of.ids.push(job.id);
  }

  /** Null: there is no room for one more class. Its jobs are refused all the same, and counted in a later record. */
  private gathered(job: JobSpec): Gathered | null {
    const lane = laneOf(job);
    const key = JSON.stringify([job.team, job.class, lane]);
    const known = this.classes.get(key);
    if (known !== undefined) return known;
    const bytes = key.length + CLASS_BYTES;
    if (this.bytes + bytes > this.maxBytes) {
      this.refused.delete(job.id);
      return null;
    }
    this.bytes += bytes;
    const fresh: Gathered = {
      team: job.team,
      class: job.class,
      lane,
      jobs: 0,
      amounts: NO_AMOUNTS,
      ids: [],
    };
    this.classes.set(key, fresh);
    return fresh;
  }

  private close(): void {
    if (this.classes.size === 0) return;
    const classes: RefusedClass[] = [...this.classes.values()];
    this.closed.push({ member: this.member, window: this.window, sequence: 0, classes });
    this.classes = new Map();
    this.bytes = 0;
  }

  get isEmpty(): boolean {
    return this.closed.length === 0 && this.classes.size === 0;
  }

  /** The oldest record that is to be stored, with its number; it stays until `stored`. */
  next(sequence: number): RejectionRecord | null {
    if (this.closed.length === 0) this.close();
    const oldest = this.closed[0];
    return oldest === undefined ? null : { ...oldest, sequence };
  }

  stored(): void {
    this.closed.shift();
  }
}

/** The protocol's bound on what a client is told to wait. */
const MAX_RETRY_S = 30;
/** Windows over which those that were refused are spread. */
const SPREAD_WINDOWS = 4;

/** Seconds after which a refused client may come back: the next window at the earliest, spread by the job's id. */
export function retryAfterS(jobId: string, windowS: number): number {
  const earliest = Math.min(MAX_RETRY_S, Math.ceil(windowS));
  const latest = Math.min(MAX_RETRY_S, Math.ceil(SPREAD_WINDOWS * windowS));
  const hash = createHash("sha256").update(jobId).digest().readUInt32BE();
  return earliest + (hash % (latest - earliest + 1));
}
