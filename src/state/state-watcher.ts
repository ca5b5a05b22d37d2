/**
 * Keeps a node's copy of the records, and lets many readers share one catch-up read.
 *
 * Nothing may be answered from the copy alone: another node may have promised more a moment ago.
 * So whoever wants to answer waits for a read that began after it asked; all who wait share one.
 */

import type { ChangeEvent, KeyValueItem } from "../core/state/key-value.js";
import type { ReplicaChange, StateReplica } from "../core/state/state-replica.js";
import { sleepSeconds } from "../time/sleep.js";
import type { KeyValueClient } from "./key-value-client.js";

/** Told of everything that was read, in its order, before anybody acts on it. */
export interface ChangeObserver {
  reset(items: readonly KeyValueItem[], revision: number): void;
  apply(events: readonly ChangeEvent[], revision: number): void;
}

export class StateWatcher {
  isLoaded = false;
  private pendingReads: ((ok: boolean) => void)[] = [];
  private isReading = false;
  private lastReadAt = Number.NEGATIVE_INFINITY;
  private stopped = false;

  constructor(
    private readonly keyValueClient: KeyValueClient,
    readonly replica: StateReplica,
    private readonly now: () => number,
    /** Least time between two catch-up reads, and between two watches, in seconds. */
    private readonly minimumIntervalS: number,
    private readonly blockMs: number,
    private readonly onChange: (touched: ReplicaChange | null) => void,
    private readonly observer: ChangeObserver | null = null,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (!this.isLoaded) {
        const all = await this.keyValueClient.readAll();
        if (all === null) {
          await sleepSeconds(4 * this.minimumIntervalS);
          continue;
        }
        this.replica.reset(all.items, all.revision);
        this.observer?.reset(all.items, all.revision);
        this.isLoaded = true;
        this.onChange(null);
      }
      const began = this.now();
      const f = await this.keyValueClient.watch(this.replica.revision, this.blockMs);
      this.applyResult(f);
      if (f.kind === "failed") await sleepSeconds(4 * this.minimumIntervalS);
      const rest = this.minimumIntervalS - (this.now() - began);
      if (rest > 0) await sleepSeconds(rest);
    }
  }

  private applyResult(f: Awaited<ReturnType<KeyValueClient["watch"]>>): boolean {
    if (f.kind === "compacted") {
      this.isLoaded = false;
      return false;
    }
    if (f.kind !== "ok" || !this.isLoaded) return false;
    const touched = this.replica.apply(f.events, f.revision);
    this.observer?.apply(f.events, f.revision);
    if (touched.jobs.size > 0 || touched.leadership) this.onChange(touched);
    return true;
  }

  /** True once the copy holds everything that was stored when this was called. */
  readLatest(): Promise<boolean> {
    if (!this.isLoaded) return Promise.resolve(false);
    const done = new Promise<boolean>((r) => this.pendingReads.push(r));
    void this.runRead();
    return done;
  }

  private async runRead(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const rest = this.minimumIntervalS - (this.now() - this.lastReadAt);
    if (rest > 0) await sleepSeconds(rest);
    this.lastReadAt = this.now();
    const served = this.pendingReads;
    this.pendingReads = [];
    const ok =
      this.isLoaded && this.applyResult(await this.keyValueClient.watch(this.replica.revision, 0));
    this.isReading = false;
    for (const r of served) r(ok);
    if (this.pendingReads.length > 0) void this.runRead();
  }
}
