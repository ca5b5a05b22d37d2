/**
 * Keeps a node's replica of the stored state up to date, and provides linearizable reads that concurrent readers
 * share.
 *
 * A user must not be answered from the replica alone, because another node may already have answered with newer
 * state. Each reader waits for a read of the state service that starts after its request; all waiting readers share
 * one read.
 */

import type { ChangeEvent, KeyValueItem } from "../core/state/key-value.js";
import { ReplicaLoad } from "../core/state/replica-load.js";
import type { ReplicaChange, StateReplica } from "../core/state/state-replica.js";
import { sleepSeconds } from "../time/sleep.js";
import { type FullReadStatistics, readAllKeys } from "./full-read.js";
import type { KeyValueClient, WatchResult } from "./key-value-client.js";

/** Receives everything that is read, in order, before `onChange` is called. */
export interface ChangeObserver {
  /** Called after a full read, with all items but the final records. */
  reset(items: readonly KeyValueItem[], revision: number): void;
  apply(events: readonly ChangeEvent[], revision: number): void;
}

/** Dependencies, intervals and callbacks of `StateWatcher`. */
export interface StateWatcherOptions {
  readonly keyValueClient: KeyValueClient;
  readonly replica: StateReplica;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Shortest time between two linearizable reads, and between two watches, in seconds. */
  readonly minimumIntervalS: number;
  /** Longest time for which the state service waits for a change before it answers a watch, in milliseconds. */
  readonly blockMs: number;
  /**
   * Called after changes of jobs, the leader or the epoch were applied to the replica; with null after a full read.
   */
  readonly onChange: (change: ReplicaChange | null) => void;
  /** Called after a full read, before `onChange`. */
  readonly onLoaded: (statistics: FullReadStatistics) => void;
  /** Null if there is no observer. */
  readonly observer: ChangeObserver | null;
}

/** Delay after a failed request, as a multiple of the minimum interval. */
const FAILURE_DELAY_INTERVALS = 4;

/**
 * Pages of a full read that are requested in one minimum interval. During a full read the node makes no linearizable
 * reads and no watches, so the pages may use the share of both in the state service's rate.
 */
const PAGES_PER_INTERVAL = 2;

/** Keeps the replica up to date, and serves linearizable reads. */
export class StateWatcher {
  /**
   * True from a full read until a watch finds that the state service no longer keeps all changes since the replica's
   * revision.
   */
  isLoaded = false;
  private pendingReads: ((ok: boolean) => void)[] = [];
  private isReading = false;
  private lastReadAt = Number.NEGATIVE_INFINITY;
  private isStopped = false;

  constructor(private readonly options: StateWatcherOptions) {}

  stop(): void {
    this.isStopped = true;
  }

  /** Loads the replica and watches for changes until `stop`. */
  async run(): Promise<void> {
    const { now, minimumIntervalS } = this.options;
    while (!this.isStopped) {
      if (!this.isLoaded && !(await this.load())) return;
      const startedAt = now();
      await this.watchOnce();
      const delayS = minimumIntervalS - (now() - startedAt);
      if (delayS > 0) await sleepSeconds(delayS);
    }
  }

  /**
   * Performs a linearizable read. Resolves to true once the replica holds everything that was stored when this was
   * called, and to false if the read failed.
   */
  readLatest(): Promise<boolean> {
    if (!this.isLoaded) return Promise.resolve(false);
    const done = new Promise<boolean>((resolve) => this.pendingReads.push(resolve));
    void this.runRead();
    return done;
  }

  /** Loads the replica with a full read. Returns false if the watcher was stopped meanwhile. */
  private async load(): Promise<boolean> {
    const { keyValueClient, now, minimumIntervalS, replica, observer } = this.options;
    const load = new ReplicaLoad();
    const result = await readAllKeys({
      readPage: (lastKey) => keyValueClient.readPage(lastKey),
      onPage: (items) => load.add(items),
      now,
      pagesPerS: PAGES_PER_INTERVAL / minimumIntervalS,
      retryDelayS: FAILURE_DELAY_INTERVALS * minimumIntervalS,
      mayContinue: () => !this.isStopped,
    });
    if (result.kind === "failed") return false;
    replica.completeLoad(load, result.revision);
    observer?.reset(load.otherItems, result.revision);
    this.isLoaded = true;
    this.options.onLoaded(result.statistics);
    this.options.onChange(null);
    return true;
  }

  private async watchOnce(): Promise<void> {
    const { keyValueClient, replica, blockMs, minimumIntervalS } = this.options;
    const result = await keyValueClient.watch(replica.revision, blockMs);
    this.applyResult(result);
    if (result.kind === "failed") await sleepSeconds(FAILURE_DELAY_INTERVALS * minimumIntervalS);
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
    const delayS = minimumIntervalS - (now() - this.lastReadAt);
    if (delayS > 0) await sleepSeconds(delayS);
    this.lastReadAt = now();
    const waitingReads = this.pendingReads;
    this.pendingReads = [];
    const ok = this.isLoaded && this.applyResult(await keyValueClient.watch(replica.revision, 0));
    this.isReading = false;
    for (const resolve of waitingReads) resolve(ok);
    if (this.pendingReads.length > 0) void this.runRead();
  }
}
