/**
 * Writes submissions and cancellations by compare-and-swap, which any node may do, leader or not. Many share one
 * transaction; one whose job is known already falls out of it and is answered by a read.
 */
import { assertNever } from "../core/assert-never.js";
import { dependenciesOf, formatResiduals } from "../core/jobs/pipeline.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { TokenBucket } from "../core/overload/token-bucket.js";
import type { Change, Precondition } from "../core/state/key-value.js";
import {
  encodeCancellation,
  encodeJobRecord,
  KEY,
  SUBMITTED_VERSION,
} from "../core/state/stored-values.js";
import type { KeyValueClient, TransactionResult } from "../state/key-value-client.js";
import { sleepSeconds } from "../time/sleep.js";
import {
  KNOWN,
  NEVER,
  OK,
  REFUSED,
  type SubmissionWriteResult,
  UNAVAILABLE,
  type WriteResult,
} from "./outcomes.js";
import type { PendingQueue } from "./pending-queue.js";
import {
  ADMIT_ALL_GATE,
  type GateBatch,
  type PendingWrite,
  type SubmissionGate,
} from "./submission-gate.js";

/** The share of the largest value that a submission may take; the rest is for the job's tasks. */
const MAX_SUBMISSION_SHARE = 0.8;
const CANCELLATION_BYTES = 100;
/** Capacity in a transaction for the preconditions and keys of one write. */
const WRITE_OVERHEAD_BYTES = 400;

/** What a `SubmissionWriter` works with. */
export interface SubmissionWriterOptions {
  readonly keyValueClient: KeyValueClient;
  /** Changes that this node may write, shared with the leader's transactions. */
  readonly writeBudget: TokenBucket;
  /** Steady time, in seconds. */
  readonly now: () => number;
  readonly maxChanges: number;
  readonly maxTransactionBytes: number;
  readonly maxValueBytes: number;
  /** How long a submission or cancellation may wait for its transaction, in seconds. */
  readonly maxWaitS: number;
  /** Admits everything if it is left out. */
  readonly gate?: SubmissionGate | undefined;
}

/** What is stored of a job as it is submitted. */
function storedSubmission(spec: JobSpec, wallMs: number): ReturnType<typeof encodeJobRecord> {
  return encodeJobRecord({
    spec,
    submittedAtMs: wallMs,
    residuals: formatResiduals(dependenciesOf(spec.id, spec.after ?? [])),
    version: SUBMITTED_VERSION,
    nextAttempt: 1,
    ownerEpoch: 0,
    doneTasks: "",
    placements: [],
    shardSize: null,
  });
}

const keyDoesNotExist = (key: string): Precondition => ({ key, modRevision: 0 });

/** The queue of submissions and cancellations, and the loop that writes them. */
export class SubmissionWriter {
  private readonly gate: SubmissionGate;
  private readonly queue: PendingQueue<PendingWrite>;
  private isDraining = false;
  /** Submissions in a transaction; fewer after one was refused for its size. */
  private currentMaxChanges: number;

  constructor(private readonly options: SubmissionWriterOptions) {
    this.gate = options.gate ?? ADMIT_ALL_GATE;
    this.queue = this.gate.createQueue();
    this.currentMaxChanges = options.maxChanges;
  }

  get pendingCount(): number {
    return this.queue.size;
  }

  /** Does the job's value leave capacity for what its tasks will need? */
  fitsValueLimit(spec: JobSpec): boolean {
    return this.isWithinSubmissionLimit(JSON.stringify(storedSubmission(spec, Date.now())).length);
  }

  /** Resolves once the outcome is certain, or after `maxWaitS`. */
  submit(spec: JobSpec, wallMs: number): Promise<SubmissionWriteResult> {
    const value = storedSubmission(spec, wallMs);
    const bytes = JSON.stringify(value).length;
    if (!this.isWithinSubmissionLimit(bytes)) return Promise.resolve(NEVER);
    const key = KEY.activeJob(spec.id);
    const preconditions = [keyDoesNotExist(key), keyDoesNotExist(KEY.finalRecord(spec.id))];
    return this.enqueue(preconditions, { op: "put", key, value }, bytes, spec);
  }

  /**
   * For a job that is known to have been accepted. Once stored it binds the leader, and no user is told: they are told
   * when the job's end is stored (`StateReplica.view`).
   */
  async cancel(id: string, wallMs: number): Promise<WriteResult> {
    const value = encodeCancellation(wallMs);
    const key = KEY.cancellation(id);
    const preconditions = [keyDoesNotExist(KEY.finalRecord(id)), keyDoesNotExist(key)];
    const change: Change = { op: "put", key, value };
    const result = await this.enqueue(preconditions, change, CANCELLATION_BYTES, null);
    // Only submissions pass the gate.
    return result.kind === "refused" || result.kind === "never" ? UNAVAILABLE : result;
  }

  private isWithinSubmissionLimit(bytes: number): boolean {
    return bytes <= MAX_SUBMISSION_SHARE * this.options.maxValueBytes;
  }

  private enqueue(
    preconditions: readonly Precondition[],
    change: Change,
    bytes: number,
    spec: JobSpec | null,
  ): Promise<SubmissionWriteResult> {
    return new Promise((resolve) => {
      const deadlineAt = this.options.now() + this.options.maxWaitS;
      this.queue.push({ preconditions, change, bytes, deadlineAt, spec, resolve });
      if (!this.isDraining) void this.drainQueue();
    });
  }

  private async drainQueue(): Promise<void> {
    const { writeBudget, now, maxWaitS } = this.options;
    this.isDraining = true;
    while (this.queue.size > 0) {
      const waitS = writeBudget.secondsUntilAvailable(1, now());
      if (waitS > 0) {
        await sleepSeconds(Math.min(waitS, maxWaitS / 4));
        this.expireOverdue();
        continue;
      }
      await this.writeBatch();
    }
    this.isDraining = false;
  }

  private expireOverdue(): void {
    const now = this.options.now();
    const overdue = this.queue.removeWhere((write) => now > write.deadlineAt);
    for (const write of overdue) write.resolve(UNAVAILABLE);
  }

  /** Takes from the queue what goes into one transaction; what the gate refuses is answered. */
  private takeBatch(gateBatch: GateBatch): PendingWrite[] {
    const { writeBudget, now, maxTransactionBytes } = this.options;
    const available = Math.floor(writeBudget.available(now()));
    const maxChanges = Math.max(1, Math.min(this.currentMaxChanges, available));
    const batch: PendingWrite[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    while (batch.length < maxChanges) {
      const next = this.queue.peek();
      if (next === undefined) break;
      // The same job twice in one transaction: the second waits and finds it known.
      if (keys.has(next.change.key)) break;
      if (batch.length > 0) {
        const changes = batch.length + gateBatch.changes.length + 1;
        const additional = next.spec === null ? 0 : gateBatch.extraChanges(next.spec);
        if (changes + additional > maxChanges) break;
        if (bytes + next.bytes + WRITE_OVERHEAD_BYTES > maxTransactionBytes) break;
      }
      this.queue.shift();
      if (next.spec !== null && !gateBatch.tryAdmit(next.spec)) {
        next.resolve(REFUSED);
        continue;
      }
      keys.add(next.change.key);
      bytes += next.bytes + WRITE_OVERHEAD_BYTES;
      batch.push(next);
    }
    return batch;
  }

  private async writeBatch(): Promise<void> {
    const { keyValueClient, writeBudget, now } = this.options;
    const gateBatch = this.gate.beginBatch();
    const batch = this.takeBatch(gateBatch);
    if (batch.length === 0) return;
    const changes = [...batch.map((write) => write.change), ...gateBatch.changes];
    const batchPreconditions = batch.flatMap((write) => write.preconditions);
    // A transaction of cancellations alone depends on no gate.
    const gatePreconditions = batch.some((write) => write.spec !== null)
      ? gateBatch.preconditions
      : [];
    writeBudget.takeOnCredit(changes.length, now());
    const result = await keyValueClient.transact(
      [...batchPreconditions, ...gatePreconditions],
      changes,
    );
    await this.handleResult(batch, gatePreconditions, result);
  }

  private async handleResult(
    batch: readonly PendingWrite[],
    gatePreconditions: readonly Precondition[],
    result: TransactionResult,
  ): Promise<void> {
    switch (result.kind) {
      case "ok":
        this.currentMaxChanges = Math.min(this.options.maxChanges, this.currentMaxChanges + 1);
        for (const write of batch) write.resolve(OK);
        return;
      case "failed":
        return this.handleFailedPreconditions(batch, gatePreconditions, new Set(result.keys));
      case "refused":
        return this.handleRefusal(batch, result.status);
      case "unknown":
        return this.retry(batch, this.options.maxWaitS / 20);
      default:
        return assertNever(result);
    }
  }

  private async handleRefusal(batch: readonly PendingWrite[], status: number): Promise<void> {
    if (status === 400 && batch.length > 1) {
      // Larger than the state service takes by now, though not than the limits that are known.
      this.currentMaxChanges = Math.max(1, batch.length >> 1);
      this.queue.requeue(batch);
      return;
    }
    if (status === 429) return this.retry(batch, this.options.maxWaitS / 40);
    // The state service takes nothing from this node now. Say so at once; the user comes back.
    for (const write of batch) write.resolve(UNAVAILABLE);
    for (const write of this.queue.removeWhere(() => true)) write.resolve(UNAVAILABLE);
  }

  /**
   * Over the rate limit, or the outcome is unknown. Either way the same conditional write may be sent again: a copy that
   * still arrives and one that was executed both make it fail as `known`.
   */
  private async retry(batch: readonly PendingWrite[], delayS: number): Promise<void> {
    this.queue.requeue(batch);
    await sleepSeconds(delayS);
    this.expireOverdue();
  }

  /** Those whose own keys exist already are known; the others are tried again. */
  private async handleFailedPreconditions(
    batch: readonly PendingWrite[],
    gatePreconditions: readonly Precondition[],
    failedKeys: ReadonlySet<string>,
  ): Promise<void> {
    const retried: PendingWrite[] = [];
    for (const write of batch) {
      if (write.preconditions.some(({ key }) => failedKeys.has(key))) write.resolve(KNOWN);
      else retried.push(write);
    }
    const hasGatePreconditionFailed = gatePreconditions.some(({ key }) => failedKeys.has(key));
    if (retried.length === batch.length && !hasGatePreconditionFailed) {
      for (const write of retried) write.resolve(UNAVAILABLE);
      return;
    }
    this.queue.requeue(retried);
    // Another node charged the same ledger, or a new window began: they are evaluated again by what is stored now.
    if (hasGatePreconditionFailed && !(await this.gate.refresh())) {
      await sleepSeconds(this.options.maxWaitS / 20);
    }
    this.expireOverdue();
  }
}
