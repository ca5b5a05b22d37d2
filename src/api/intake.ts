/**
 * Submissions and cancellations, by conditional writes that any node may make, term or no term.
 * Many share one transaction; one that meets a known job falls out of it and is answered by a read.
 */
import type { Bucket } from "../core/bucket.js";
import type { JobSpec } from "../core/model.js";
import { dependenciesOf, written } from "../core/pipeline.js";
import { KEY, type StoredCancel, type StoredJob } from "../core/records.js";
import type { Store } from "../state/store.js";
import type { Change, Condition } from "../wire/state.js";
import { FifoQueue, type PendingQueue } from "./pending-queue.js";

/** `known`: some key was there already, so a read tells. `unavailable`: nothing is certain. */
export type IntakeResult = "ok" | "known" | "unavailable";
/**
 * `never`: it can't be stored, or names a job that was never accepted. `refused`: by the gate, as far as this node has
 * read.
 */
export type SubmitResult = IntakeResult | "never" | "refused";

/** What the submissions of one transaction must hold beside themselves, as they are admitted to it. */
export interface GateBatch {
  /** Changes that admitting this one would add beside its own. */
  cost(spec: JobSpec): number;
  /** Admits it to the transaction, or refuses it. */
  admit(spec: JobSpec): boolean;
  readonly conditions: readonly Condition[];
  readonly changes: readonly Change[];
}

/** Decides which submissions may be stored. */
export interface SubmissionGate {
  /** The queue in which submissions and cancellations wait for their transaction. */
  queue(): PendingQueue<PendingWrite>;
  begin(): GateBatch;
  /** Reads what is stored now, after a condition of the gate failed. */
  refresh(): Promise<boolean>;
}

/** A gate that is open. */
const NO_GATE: SubmissionGate = {
  queue: () => new FifoQueue(),
  begin: () => ({ cost: () => 0, admit: () => true, conditions: [], changes: [] }),
  refresh: async () => true,
};

/** Of a value, what a submission may take; the rest is for its tasks. */
const FILLED = 0.8;
const CANCEL_BYTES = 100;
/** Room in a transaction for the conditions and keys of one write. */
const FRAME_BYTES = 400;

export interface PendingWrite {
  readonly conditions: Condition[];
  readonly change: Change;
  readonly bytes: number;
  readonly deadline: number;
  /** The job, if it is a submission. */
  readonly spec: JobSpec | null;
  resolve(r: IntakeResult | "refused"): void;
}

const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));

/** What is stored of a job as it is submitted. */
function storedSubmission(spec: JobSpec, wallMs: number): StoredJob {
  return {
    j: spec,
    at: wallMs,
    r: written(dependenciesOf(spec.id, spec.after ?? [])),
    v: 1,
    n: 1,
    o: 0,
    done: "",
    pl: [],
  };
}

export class Intake {
  private readonly queue: PendingQueue<PendingWrite>;
  private running = false;
  /** Submissions in a transaction; fewer after one was refused for what it holds. */
  private maxOps: number;

  constructor(
    private readonly store: Store,
    private readonly writes: Bucket,
    private readonly now: () => number,
    private readonly mostOps: number,
    private readonly maxBytes: number,
    private readonly valueBytes: number,
    /** How long a submission or cancellation may wait for its transaction, in seconds. */
    private readonly maxWaitS: number,
    private readonly gate: SubmissionGate = NO_GATE,
  ) {
    this.queue = gate.queue();
    this.maxOps = mostOps;
  }

  get waiting(): number {
    return this.queue.size;
  }

  /** Does its value leave room for what its tasks will need? */
  canBeStored(spec: JobSpec): boolean {
    return JSON.stringify(storedSubmission(spec, Date.now())).length <= FILLED * this.valueBytes;
  }

  submit(spec: JobSpec, wallMs: number): Promise<SubmitResult> {
    const value = storedSubmission(spec, wallMs);
    const bytes = JSON.stringify(value).length;
    if (bytes > FILLED * this.valueBytes) return Promise.resolve("never");
    return this.enqueue(
      [
        { key: KEY.live(spec.id), mark: 0 },
        { key: KEY.final(spec.id), mark: 0 },
      ],
      { op: "put", key: KEY.live(spec.id), value },
      bytes,
      spec,
    );
  }

  /**
   * For a job that is known to have been accepted. Stored so, it binds the leader and is told to nobody:
   * users hear of it once the end is stored (`Records.view`).
   */
  async cancel(id: string, wallMs: number): Promise<IntakeResult> {
    const value: StoredCancel = { at: wallMs, told: false };
    const result = await this.enqueue(
      [
        { key: KEY.final(id), mark: 0 },
        { key: KEY.cancel(id), mark: 0 },
      ],
      { op: "put", key: KEY.cancel(id), value },
      CANCEL_BYTES,
      null,
    );
    // Only submissions pass the gate.
    return result === "refused" ? "unavailable" : result;
  }

  private enqueue(
    conditions: Condition[],
    change: Change,
    bytes: number,
    spec: JobSpec | null,
  ): Promise<IntakeResult | "refused"> {
    return new Promise((resolve) => {
      const deadline = this.now() + this.maxWaitS;
      this.queue.push({ conditions, change, bytes, deadline, spec, resolve });
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.queue.size > 0) {
      const wait = this.writes.wait(1, this.now());
      if (wait > 0) {
        await sleep(Math.min(wait, this.maxWaitS / 4));
        this.expire();
        continue;
      }
      await this.batch();
    }
    this.running = false;
  }

  private expire(): void {
    const now = this.now();
    for (const w of this.queue.takeWhere((x) => now > x.deadline)) w.resolve("unavailable");
  }

  /** Takes from the queue what goes into one transaction; what the gate refuses is answered. */
  private nextBatch(claims: GateBatch): PendingWrite[] {
    const room = Math.max(1, Math.min(this.maxOps, Math.floor(this.writes.available(this.now()))));
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
        if (changes + (next.spec === null ? 0 : claims.cost(next.spec)) > room) break;
        if (bytes + next.bytes + FRAME_BYTES > this.maxBytes) break;
      }
      this.queue.shift();
      if (next.spec !== null && !claims.admit(next.spec)) {
        next.resolve("refused");
        continue;
      }
      keys.add(next.change.key);
      bytes += next.bytes + FRAME_BYTES;
      batch.push(next);
    }
    return batch;
  }

  private async batch(): Promise<void> {
    const claims = this.gate.begin();
    const batch = this.nextBatch(claims);
    if (batch.length === 0) return;
    const changes = [...batch.map((w) => w.change), ...claims.changes];
    const ofBatch = batch.flatMap((w) => w.conditions);
    // A transaction of cancellations alone depends on no gate.
    const ofGate = batch.some((w) => w.spec !== null) ? claims.conditions : [];
    this.writes.force(changes.length, this.now());
    const r = await this.store.txn([...ofBatch, ...ofGate], changes);
    if (r.kind === "ok") {
      this.maxOps = Math.min(this.mostOps, this.maxOps + 1);
      for (const w of batch) w.resolve("ok");
      return;
    }
    if (r.kind === "failed") return this.conditionsFailed(batch, ofGate, new Set(r.keys));
    if (r.kind === "refused" && r.status === 400 && batch.length > 1) {
      // Larger than the state service takes by now, though not than the limits that are known.
      this.maxOps = Math.max(1, batch.length >> 1);
      this.queue.putBack(batch);
      return;
    }
    if (r.kind === "refused" && r.status !== 429) {
      // The state service takes nothing from us now. Say so at once; the user comes back.
      for (const w of batch) w.resolve("unavailable");
      for (const w of this.queue.takeWhere(() => true)) w.resolve("unavailable");
      return;
    }
    // Over the limit, or nobody knows. Either way the same conditional write may be sent again: a
    // copy that still arrives and one that was executed both make it fail as `known`.
    this.queue.putBack(batch);
    if (r.kind === "unknown") await sleep(this.maxWaitS / 20);
    else await sleep(this.maxWaitS / 40);
    this.expire();
  }

  /** Those whose own keys are there already are known; the others are tried again. */
  private async conditionsFailed(
    batch: readonly PendingWrite[],
    ofGate: readonly Condition[],
    failed: ReadonlySet<string>,
  ): Promise<void> {
    const again: PendingWrite[] = [];
    for (const w of batch) {
      if (w.conditions.some((c) => failed.has(c.key))) w.resolve("known");
      else again.push(w);
    }
    const gateMoved = ofGate.some((c) => failed.has(c.key));
    if (again.length === batch.length && !gateMoved) {
      for (const w of again) w.resolve("unavailable");
      return;
    }
    this.queue.putBack(again);
    // Another node charged the same ledger, or a new window began: by what is stored now they are judged again.
    if (gateMoved && !(await this.gate.refresh())) await sleep(this.maxWaitS / 20);
    this.expire();
  }
}
