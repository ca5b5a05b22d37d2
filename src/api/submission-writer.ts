/**
 * Writes submissions and cancellations to the state service by compare-and-swap, so that any node can do it, leader
 * or follower. Writes are batched into transactions. If one of the keys that a write requires to be absent exists
 * already, the write is removed from its batch with the outcome "known". A submission with this outcome is answered
 * with the job's state.
 */
import { assertNever } from "../core/assert-never.js";
import { dependenciesOf, formatResiduals } from "../core/jobs/pipeline.js";
import type { JobSpec } from "../core/model/jobs.js";
import type { TokenBucket } from "../core/overload/token-bucket.js";
import { ChangeLimit } from "../core/state/change-limit.js";
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

/** Share of the maximum value size that a submission may use; the rest is reserved for the state of its tasks. */
export const MAX_SUBMISSION_SHARE = 0.8;
/** Estimated size of the stored value of a cancellation. */
const CANCELLATION_BYTES = 100;
/** Estimated bytes that the preconditions and keys of one write take in a transaction. */
const WRITE_OVERHEAD_BYTES = 400;

/** Dependencies and limits of a `SubmissionWriter`. */
export interface SubmissionWriterOptions {
  readonly keyValueClient: KeyValueClient;
  /** Rate limit on the changes that this node writes, including those of its transactions as the leader. */
  readonly writeBudget: TokenBucket;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly maxChanges: number;
  readonly maxTransactionBytes: number;
  readonly maxValueBytes: number;
  /** How long a submission or cancellation may wait for its transaction, in seconds. */
  readonly maxWaitS: number;
  /** Every job is admitted if this is omitted. */
  readonly gate?: SubmissionGate | undefined;
}

/** The value that is stored for a newly submitted job. */
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

/** Queues submissions and cancellations and writes them in batches. */
export class SubmissionWriter {
  private readonly gate: SubmissionGate;
  private readonly queue: PendingQueue<PendingWrite>;
  private isDraining = false;
  private readonly changeLimit: ChangeLimit;

  constructor(private readonly options: SubmissionWriterOptions) {
    this.gate = options.gate ?? ADMIT_ALL_GATE;
    this.queue = this.gate.createQueue();
    this.changeLimit = new ChangeLimit(options.maxChanges);
  }

  get pendingCount(): number {
    return this.queue.size;
  }

  /** True if the stored value of the job leaves enough of the maximum value size for the state of its tasks. */
  fitsValueLimit(spec: JobSpec): boolean {
    return this.isWithinSubmissionLimit(JSON.stringify(storedSubmission(spec, Date.now())).length);
  }

  /**
   * Resolves once the outcome is known, or after `maxWaitS` with "unavailable". `wallMs` is the time of day in
   * milliseconds since the Unix epoch, stored as the time of the submission.
   */
  submit(spec: JobSpec, wallMs: number): Promise<SubmissionWriteResult> {
    const value = storedSubmission(spec, wallMs);
    // Length of the value's JSON text; equal to its size in bytes only if the text is ASCII.
    const bytes = JSON.stringify(value).length;
    if (!this.isWithinSubmissionLimit(bytes)) return Promise.resolve(NEVER);
    const key = KEY.activeJob(spec.id);
    const preconditions = [keyDoesNotExist(key), keyDoesNotExist(KEY.finalRecord(spec.id))];
    return this.enqueue(preconditions, { op: "put", key, value }, bytes, spec);
  }

  /**
   * Stores the cancellation of a job that is known to be accepted. The leader then carries it out. Users see the job
   * as cancelled only once its final state is stored (`StateReplica.view`).
   */
  async cancel(id: string, wallMs: number): Promise<WriteResult> {
    const value = encodeCancellation(wallMs);
    const key = KEY.cancellation(id);
    const preconditions = [keyDoesNotExist(KEY.finalRecord(id)), keyDoesNotExist(key)];
    const change: Change = { op: "put", key, value };
    const result = await this.enqueue(preconditions, change, CANCELLATION_BYTES, null);
    // Cancellations do not pass the gate, so these two results are not expected.
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

  /** Takes the writes of one transaction from the queue, and answers submissions that the gate rejects. */
  private takeBatch(gateBatch: GateBatch): PendingWrite[] {
    const { writeBudget, now, maxTransactionBytes } = this.options;
    const available = Math.floor(writeBudget.available(now()));
    const maxChanges = Math.max(1, Math.min(this.changeLimit.current, available));
    const batch: PendingWrite[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    while (batch.length < maxChanges) {
      const next = this.queue.peek();
      if (next === undefined) break;
      // A second write of the same key waits for the next transaction, where it gets the outcome "known".
      if (keys.has(next.change.key)) break;
      if (batch.length > 0) {
        const changes = batch.length + gateBatch.changes.length + 1;
        const additionalChangeCount =
          next.spec === null ? 0 : gateBatch.countAdditionalChanges(next.spec);
        if (changes + additionalChangeCount > maxChanges) break;
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
    // A transaction with cancellations only must not fail on preconditions of the gate.
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
        this.changeLimit.raise();
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
    if (status === 400 && this.changeLimit.reduceBelow(batch.length)) {
      // The batch is within the configured limits, but the state service now accepts less.
      this.queue.requeue(batch);
      return;
    }
    if (status === 429) return this.retry(batch, this.options.maxWaitS / 40);
    // The state service refuses all requests of this node now: answer at once, so that users can retry.
    for (const write of batch) write.resolve(UNAVAILABLE);
    for (const write of this.queue.removeWhere(() => true)) write.resolve(UNAVAILABLE);
  }

  /**
   * Writes the batch again if the rate limit was exceeded or the outcome is unknown. This is safe because the writes
   * are conditional: even if the first transaction was executed, or is executed late, each write succeeds only once,
   * and its repetition gets the outcome "known".
   */
  private async retry(batch: readonly PendingWrite[], delayS: number): Promise<void> {
    this.queue.requeue(batch);
    await sleepSeconds(delayS);
    this.expireOverdue();
  }

  /**
   * Answers a write with "known" if one of its own preconditions failed, and requeues the others. If the failed keys
   * belong neither to a write of the batch nor to the gate, all writes are answered with "unavailable".
   */
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
    // Another node charged the same ledger, or a new window began: the gate reads the stored state and then evaluates
    // the requeued submissions again.
    if (hasGatePreconditionFailed && !(await this.gate.refresh())) {
      await sleepSeconds(this.options.maxWaitS / 20);
    }
    this.expireOverdue();
  }
}
