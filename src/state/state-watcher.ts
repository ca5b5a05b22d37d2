/**
 * Keeps a node's replica of the stored state up to date, and lets many readers share one linearizable read.
 *
 * No user may be answered from the replica alone: another node may have answered with something newer a moment ago. So
 * whoever wants to answer waits for a read that began after its request; all who wait share one.
 */

import type { ChangeEvent, KeyValueItem } from "../core/state/key-value.js";
import type { ReplicaChange, StateReplica } from "../core/state/state-replica.js";
import { sleepSeconds } from "../time/sleep.js";
import type { KeyValueClient, WatchResult } from "./key-value-client.js";

/** Gets everything that was read, in its order, before anybody acts on it. */
export interface ChangeObserver {
  reset(items: readonly KeyValueItem[], revision: number): void;
  apply(events: readonly ChangeEvent[], revision: number): void;
}

/** Collaborators and intervals of `StateWatcher`. */
export interface StateWatcherOptions {
  readonly keyValueClient: KeyValueClient;
  readonly replica: StateReplica;
  /** Steady time in seconds. */
  readonly now: () => number;
  /** Least time between two linearizable reads, and between two watches, in seconds. */
  readonly minimumIntervalS: number;
  /** Time for which the store may hold a watch back until there is a change, in milliseconds. */
  readonly blockMs: number;
  /** The replica changed; null: it was read afresh. */
  readonly onChange: (change: ReplicaChange | null) => void;
  /** Null: there is none. */
  readonly observer: ChangeObserver | null;
}

/** Minimum intervals to wait after a failed request. */
const INTERVALS_AFTER_FAILURE = 4;

/** Keeps the replica up to date, and serves linearizable reads. */
export class StateWatcher {
  /** The replica was read once, and every change since can be watched. */
  isLoaded = false;
  private pendingReads: ((ok: boolean) => void)[] = [];
  private isReading = false;
  private lastReadAt = Number.NEGATIVE_INFINITY;
  private isStopped = false;

  constructor(private readonly options: StateWatcherOptions) {}

  stop(): void {
    this.isStopped = true;
  }

  /** Watches until it is stopped. */
  async run(): Promise<void> {
    const { now, minimumIntervalS } = this.options;
    while (!this.isStopped) {
      if (!this.isLoaded && !(await this.load())) {
        await sleepSeconds(INTERVALS_AFTER_FAILURE * minimumIntervalS);
        continue;
      }
      const beganAt = now();
      await this.watchOnce();
      const restS = minimumIntervalS - (now() - beganAt);
      if (restS > 0) await sleepSeconds(restS);
    }
  }

  /** A linearizable read: true once the replica holds everything that was stored when this was called. */
  readLatest(): Promise<boolean> {
    if (!this.isLoaded) return Promise.resolve(false);
    const done = new Promise<boolean>((resolve) => this.pendingReads.push(resolve));
    void this.runRead();
    return done;
  }

  private async load(): Promise<boolean> {
    const { keyValueClient, replica, observer, onChange } = this.options;
    const all = await keyValueClient.readAll();
    if (all.kind === "failed") return false;
    replica.reset(all.items, all.revision);
    observer?.reset(all.items, all.revision);
    this.isLoaded = true;
    onChange(null);
    return true;
  }

  private async watchOnce(): Promise<void> {
    const { keyValueClient, replica, blockMs, minimumIntervalS } = this.options;
    const result = await keyValueClient.watch(replica.revision, blockMs);
    this.applyResult(result);
    if (result.kind === "failed") await sleepSeconds(INTERVALS_AFTER_FAILURE * minimumIntervalS);
  }

  private applyResult(result: WatchResult): boolean {
    if (result.kind === "compacted") {
      this.isLoaded = false;
      return false;
    }
    if (result.kind !== "ok" || !this.isLoaded) return false;
    const { replica, observer, onChange } = this.options;
    const change = replica.apply(result.events, result.revision);
    observer?.apply(result.events, result.revision);
    if (change.jobs.size > 0 || change.leadership) onChange(change);
    return true;
  }

  private async runRead(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const { keyValueClient, replica, now, minimumIntervalS } = this.options;
    const restS = minimumIntervalS - (now() - this.lastReadAt);
    if (restS > 0) await sleepSeconds(restS);
    this.lastReadAt = now();
    const served = this.pendingReads;
    this.pendingReads = [];
    const ok = this.isLoaded && this.applyResult(await keyValueClient.watch(replica.revision, 0));
    this.isReading = false;
    for (const resolve of served) resolve(ok);
    if (this.pendingReads.length > 0) void this.runRead();
  }
}
