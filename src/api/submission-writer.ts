/**
 * Submissions and cancellations, by conditional writes that any node may make, term or no term.
 * Many share one transaction; one that meets a known job falls out of it and is answered by a read.
 */

import { dependenciesOf, formatResiduals } from "../core/jobs/pipeline.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { TokenBucket } from "../core/overload/token-bucket.js";
import { KEY, type StoredCancellation, type StoredJob } from "../core/state/state-replica.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import { sleepSeconds } from "../time/sleep.js";
import type { Change, Precondition } from "../wire/key-value.js";
import { FifoQueue, type PendingQueue } from "./pending-queue.js";

/** `known`: some key was there already, so a read tells. `unavailable`: nothing is certain. */
export type WriteResult = "ok" | "known" | "unavailable";
/**
 * `never`: it can't be stored, or names a job that was never accepted. `refused`: by the gate, as far as this node has
 * read.
 */
export type SubmissionWriteResult = WriteResult | "never" | "refused";

/** What the submissions of one transaction must hold beside themselves, as they are admitted to it. */
export interface GateBatch {
  /** Changes that admitting this one would add beside its own. */
  extraChanges(spec: JobSpec): number;
  /** Admits it to the transaction, or refuses it. */
  tryAdmit(spec: JobSpec): boolean;
  readonly preconditions: readonly Precondition[];
  readonly changes: readonly Change[];
}

/** Decides which submissions may be stored. */
export interface SubmissionGate {
  /** The queue in which submissions and cancellations wait for their transaction. */
  createQueue(): PendingQueue<PendingWrite>;
  beginBatch(): GateBatch;
  /** Reads what is stored now, after a condition of the gate failed. */
  refresh(): Promise<boolean>;
}

/** A gate that is open. */
const OPEN_GATE: SubmissionGate = {
  createQueue: () => new FifoQueue(),
  beginBatch: () => ({
    extraChanges: () => 0,
    tryAdmit: () => true,
    preconditions: [],
    changes: [],
  }),
  refresh: async () => true,
};

/** Of a value, what a submission may take; the rest is for its tasks. */
const MAX_SUBMISSION_SHARE = 0.8;
const CANCELLATION_BYTES = 100;
/** Room in a transaction for the conditions and keys of one write. */
const WRITE_OVERHEAD_BYTES = 400;

export interface PendingWrite {
  readonly preconditions: Precondition[];
  readonly change: Change;
  readonly bytes: number;
  readonly deadlineAt: number;
  /** The job, if it is a submission. */
  readonly spec: JobSpec | null;
  resolve(r: WriteResult | "refused"): void;
}

/** What is stored of a job as it is submitted. */
function storedSubmission(spec: JobSpec, wallMs: number): StoredJob {
  return {
    j: spec,
    at: wallMs,
    r: formatResiduals(dependenciesOf(spec.id, spec.after ?? [])),
    v: 1,
    n: 1,
    o: 0,
    done: "",
    pl: [],
  };
}

export class SubmissionWriter {
  private readonly queue: PendingQueue<PendingWrite>;
  private isDraining = false;
  /** Submissions in a transaction; fewer after one was refused for what it holds. */
  private currentMaxChanges: number;

  constructor(
    private readonly store: KeyValueClient,
    private readonly writeBudget: TokenBucket,
    private readonly now: () => number,
    private readonly maxChanges: number,
    private readonly maxTransactionBytes: number,
    private readonly maxValueBytes: number,
    /** How long a submission or cancellation may wait for its transaction, in seconds. */
    private readonly maxWaitS: number,
    private readonly gate: SubmissionGate = OPEN_GATE,
  ) {
    this.queue = gate.createQueue();
    this.currentMaxChanges = maxChanges;
  }

  get pendingCount(): number {
    return this.queue.size;
  }

  /** Does its value leave room for what its tasks will need? */
  fitsValueLimit(spec: JobSpec): boolean {
    return (
      JSON.stringify(storedSubmission(spec, Date.now())).length <=
      MAX_SUBMISSION_SHARE * this.maxValueBytes
    );
  }

  submit(spec: JobSpec, wallMs: number): Promise<SubmissionWriteResult> {
    const value = storedSubmission(spec, wallMs);
    const bytes = JSON.stringify(value).length;
    if (bytes > MAX_SUBMISSION_SHARE * this.maxValueBytes) return Promise.resolve("never");
    return this.enqueue(
      [
        { key: KEY.activeJob(spec.id), modRevision: 0 },
        { key: KEY.finalRecord(spec.id), modRevision: 0 },
      ],
      { op: "put", key: KEY.activeJob(spec.id), value },
      bytes,
      spec,
    );
  }

  /**
   * For a job that is known to have been accepted. Stored so, it binds the leader and is told to nobody:
   * users hear of it once the end is stored (`Records.view`).
   */
  async cancel(id: string, wallMs: number): Promise<WriteResult> {
    const value: StoredCancellation = { at: wallMs, told: false };
    const result = await this.enqueue(
      [
        { key: KEY.finalRecord(id), modRevision: 0 },
        { key: KEY.cancellation(id), modRevision: 0 },
      ],
      { op: "put", key: KEY.cancellation(id), value },
      CANCELLATION_BYTES,
      null,
    );
    // Only submissions pass the gate.
    return result === "refused" ? "unavailable" : result;
  }

  private enqueue(
    conditions: Precondition[],
    change: Change,
    bytes: number,
    spec: JobSpec | null,
  ): Promise<WriteResult | "refused"> {
    return new Promise((resolve) => {
      const deadline = this.now() + this.maxWaitS;
      this.queue.push({
        preconditions: conditions,
        change,
        bytes,
        deadlineAt: deadline,
        spec,
        resolve,
      });
      if (!this.isDraining) void this.drainQueue();
    });
  }

  private async drainQueue(): Promise<void> {
    this.isDraining = true;
    while (this.queue.size > 0) {
      const wait = this.writeBudget.secondsUntilAvailable(1, this.now());
      if (wait > 0) {
        await sleepSeconds(Math.min(wait, this.maxWaitS / 4));
        this.expireOverdue();
        continue;
      }
      await this.writeBatch();
    }
    this.isDraining = false;
  }

  private expireOverdue(): void {
    const now = this.now();
    for (const w of this.queue.removeWhere((x) => now > x.deadlineAt)) w.resolve("unavailable");
  }

  /** Takes from the queue what goes into one transaction; what the gate refuses is answered. */
  private nextBatch(claims: GateBatch): PendingWrite[] {
    const room = Math.max(
      1,
      Math.min(this.currentMaxChanges, Math.floor(this.writeBudget.available(this.now()))),
    );
    const batch: PendingWrite[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    while (batch.length < room) {
      const next = this.queue.peek();
      if (next === undefined) break;
      // The same job twice in one transaction: the second waits and finds it known.
      if (keys.has(next.change.key)) break;
      if (batch.length > 0) {
        const changes = batch.length + claims.changes.length + 1;
        if (changes + (next.spec === null ? 0 : claims.extraChanges(next.spec)) > room) break;
        if (bytes + next.bytes + WRITE_OVERHEAD_BYTES > this.maxTransactionBytes) break;
      }
      this.queue.shift();
      if (next.spec !== null && !claims.tryAdmit(next.spec)) {
        next.resolve("refused");
        continue;
      }
      keys.add(next.change.key);
      bytes += next.bytes + WRITE_OVERHEAD_BYTES;
      batch.push(next);
    }
    return batch;
  }

  private async writeBatch(): Promise<void> {
    const claims = this.gate.beginBatch();
    const batch = this.nextBatch(claims);
    if (batch.length === 0) return;
    const changes = [...batch.map((w) => w.change), ...claims.changes];
    const ofBatch = batch.flatMap((w) => w.preconditions);
    // A transaction of cancellations alone depends on no gate.
    const ofGate = batch.some((w) => w.spec !== null) ? claims.preconditions : [];
    this.writeBudget.takeOnCredit(changes.length, this.now());
    const r = await this.store.transact([...ofBatch, ...ofGate], changes);
    if (r.kind === "ok") {
      this.currentMaxChanges = Math.min(this.maxChanges, this.currentMaxChanges + 1);
      for (const w of batch) w.resolve("ok");
      return;
    }
    if (r.kind === "failed") return this.handleFailedPreconditions(batch, ofGate, new Set(r.keys));
    if (r.kind === "refused" && r.status === 400 && batch.length > 1) {
      // Larger than the state service takes by now, though not than the limits that are known.
      this.currentMaxChanges = Math.max(1, batch.length >> 1);
      this.queue.requeue(batch);
      return;
    }
    if (r.kind === "refused" && r.status !== 429) {
      // The state service takes nothing from us now. Say so at once; the user comes back.
      for (const w of batch) w.resolve("unavailable");
      for (const w of this.queue.removeWhere(() => true)) w.resolve("unavailable");
      return;
    }
    // Over the limit, or nobody knows. Either way the same conditional write may be sent again: a
    // copy that still arrives and one that was executed both make it fail as `known`.
    this.queue.requeue(batch);
    if (r.kind === "unknown") await sleepSeconds(this.maxWaitS / 20);
    else await sleepSeconds(this.maxWaitS / 40);
    this.expireOverdue();
  }

  /** Those whose own keys are there already are known; the others are tried again. */
  private async handleFailedPreconditions(
    batch: readonly PendingWrite[],
    ofGate: readonly Precondition[],
    failed: ReadonlySet<string>,
  ): Promise<void> {
    const again: PendingWrite[] = [];
    for (const w of batch) {
      if (w.preconditions.some((c) => failed.has(c.key))) w.resolve("known");
      else again.push(w);
    }
    const gateMoved = ofGate.some((c) => failed.has(c.key));
    if (again.length === batch.length && !gateMoved) {
      for (const w of again) w.resolve("unavailable");
      return;
    }
    this.queue.requeue(again);
    // Another node charged the same ledger, or a new window began: by what is stored now they are judged again.
    if (gateMoved && !(await this.gate.refresh())) await sleepSeconds(this.maxWaitS / 20);
    this.expireOverdue();
  }
}
