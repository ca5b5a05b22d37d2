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

/** `known`: some key was there already, so a read tells. `unavailable`: nothing is certain. */
export type IntakeResult = "ok" | "known" | "unavailable";
/** `never`: it can't be stored, or names a job that was never accepted. */
export type SubmitResult = IntakeResult | "never";

/** Of a value, what a submission may take; the rest is for its tasks. */
const FILLED = 0.8;

interface PendingWrite {
  readonly conditions: Condition[];
  readonly change: Change;
  readonly bytes: number;
  readonly deadline: number;
  resolve(r: IntakeResult): void;
}

const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));

export class Intake {
  private queue: PendingWrite[] = [];
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
  ) {
    this.maxOps = mostOps;
  }

  get waiting(): number {
    return this.queue.length;
  }

  submit(spec: JobSpec, wallMs: number): Promise<SubmitResult> {
    const value: StoredJob = {
      j: spec,
      at: wallMs,
      r: written(dependenciesOf(spec.id, spec.after ?? [])),
      v: 1,
      n: 1,
      o: 0,
      done: "",
      pl: [],
    };
    const bytes = JSON.stringify(value).length;
    if (bytes > FILLED * this.valueBytes) return Promise.resolve("never");
    return this.enqueue(
      [
        { key: KEY.live(spec.id), mark: 0 },
        { key: KEY.final(spec.id), mark: 0 },
      ],
      { op: "put", key: KEY.live(spec.id), value },
      bytes,
    );
  }

  /**
   * For a job that is known to have been accepted. Stored so, it binds the leader and is told to nobody:
   * users hear of it once the end is stored (`Records.view`).
   */
  cancel(id: string, wallMs: number): Promise<IntakeResult> {
    const value: StoredCancel = { at: wallMs, told: false };
    return this.enqueue(
      [
        { key: KEY.final(id), mark: 0 },
        { key: KEY.cancel(id), mark: 0 },
      ],
      { op: "put", key: KEY.cancel(id), value },
      100,
    );
  }

  private enqueue(conditions: Condition[], change: Change, bytes: number): Promise<IntakeResult> {
    return new Promise((resolve) => {
      const deadline = this.now() + this.maxWaitS;
      this.queue.push({ conditions, change, bytes, deadline, resolve });
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.queue.length > 0) {
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
    const late = this.queue.filter((w) => now > w.deadline);
    if (late.length === 0) return;
    this.queue = this.queue.filter((w) => now <= w.deadline);
    for (const w of late) w.resolve("unavailable");
  }

  private async batch(): Promise<void> {
    const room = Math.max(1, Math.min(this.maxOps, Math.floor(this.writes.available(this.now()))));
    const batch: PendingWrite[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    while (this.queue.length > 0 && batch.length < room) {
      const next = this.queue[0]!;
      // The same job twice in one transaction: the second waits and finds it known.
      if (keys.has(next.change.key)) break;
      if (batch.length > 0 && bytes + next.bytes + 400 > this.maxBytes) break;
      keys.add(next.change.key);
      bytes += next.bytes + 400;
      batch.push(next);
      this.queue.shift();
    }
    this.writes.force(batch.length, this.now());
    const r = await this.store.txn(
      batch.flatMap((w) => w.conditions),
      batch.map((w) => w.change),
    );
    if (r.kind === "ok") {
      this.maxOps = Math.min(this.mostOps, this.maxOps + 1);
      for (const w of batch) w.resolve("ok");
      return;
    }
    if (r.kind === "failed") {
      const failed = new Set(r.keys);
      const again: PendingWrite[] = [];
      for (const w of batch) {
        if (w.conditions.some((c) => failed.has(c.key))) w.resolve("known");
        else again.push(w);
      }
      if (again.length === batch.length) for (const w of again) w.resolve("unavailable");
      else this.queue.unshift(...again);
      return;
    }
    if (r.kind === "refused" && r.status === 400 && batch.length > 1) {
      // Larger than the state service takes by now, though not than the limits that are known.
      this.maxOps = Math.max(1, batch.length >> 1);
      this.queue.unshift(...batch);
      return;
    }
    if (r.kind === "refused" && r.status !== 429) {
      // The state service takes nothing from us now. Say so at once; the user comes back.
      for (const w of batch) w.resolve("unavailable");
      for (const w of this.queue.splice(0)) w.resolve("unavailable");
      return;
    }
    // Over the limit, or nobody knows. Either way the same conditional write may be sent again: a
    // copy that still arrives and one that was executed both make it fail as `known`.
    this.queue.unshift(...batch);
    if (r.kind === "unknown") await sleep(this.maxWaitS / 20);
    else await sleep(this.maxWaitS / 40);
    this.expire();
  }
}
