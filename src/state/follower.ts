/**
 * Keeps a node's copy of the records, and lets many readers share one catch-up read.
 *
 * Nothing may be answered from the copy alone: another node may have promised more a moment ago.
 * So whoever wants to answer waits for a read that began after it asked; all who wait share one.
 */
import type { Records, Touched } from "../core/records.js";
import type { Event, Item } from "../wire/state.js";
import type { Store } from "./store.js";

const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));

/** Told of everything that was read, in its order, before anybody acts on it. */
export interface ChangeObserver {
  reset(items: readonly Item[], revision: number): void;
  apply(events: readonly Event[], revision: number): void;
}

export class Follower {
  loaded = false;
  private waiting: ((ok: boolean) => void)[] = [];
  private reading = false;
  private lastRead = Number.NEGATIVE_INFINITY;
  private stopped = false;

  constructor(
    private readonly store: Store,
    readonly records: Records,
    private readonly now: () => number,
    /** Least time between two catch-up reads, and between two watches, in seconds. */
    private readonly spacing: number,
    private readonly blockMs: number,
    private readonly changed: (touched: Touched | null) => void,
    private readonly observer: ChangeObserver | null = null,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (!this.loaded) {
        const all = await this.store.readAll();
        if (all === null) {
          await sleep(4 * this.spacing);
          continue;
        }
        this.records.reset(all.items, all.revision);
        this.observer?.reset(all.items, all.revision);
        this.loaded = true;
        this.changed(null);
      }
      const began = this.now();
      const f = await this.store.follow(this.records.ledger, this.blockMs);
      this.take(f);
      if (f.kind === "failed") await sleep(4 * this.spacing);
      const rest = this.spacing - (this.now() - began);
      if (rest > 0) await sleep(rest);
    }
  }

  private take(f: Awaited<ReturnType<Store["follow"]>>): boolean {
    if (f.kind === "compacted") {
      this.loaded = false;
      return false;
    }
    if (f.kind !== "ok" || !this.loaded) return false;
    const touched = this.records.apply(f.events, f.revision);
    this.observer?.apply(f.events, f.revision);
    if (touched.jobs.size > 0 || touched.lead) this.changed(touched);
    return true;
  }

  /** True once the copy holds everything that was stored when this was called. */
  catchUp(): Promise<boolean> {
    if (!this.loaded) return Promise.resolve(false);
    const done = new Promise<boolean>((r) => this.waiting.push(r));
    void this.read();
    return done;
  }

  private async read(): Promise<void> {
    if (this.reading) return;
    this.reading = true;
    const rest = this.spacing - (this.now() - this.lastRead);
    if (rest > 0) await sleep(rest);
    this.lastRead = this.now();
    const served = this.waiting;
    this.waiting = [];
    const ok = this.loaded && this.take(await this.store.follow(this.records.ledger, 0));
    this.reading = false;
    for (const r of served) r(ok);
    if (this.waiting.length > 0) void this.read();
  }
}
