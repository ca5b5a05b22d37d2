/**
 * What this node may write to the state service, and the leader's transactions: one at a time, as large as the budget
 * and the service's limits allow, each under the term that it was composed in.
 */
import type { Logger } from "pino";
import { Bucket } from "./core/bucket.js";
import type { ClusterSettings } from "./core/model.js";
import type { Output } from "./core/outputs.js";
import type { Records } from "./core/records.js";
import type { Scheduler } from "./core/scheduler.js";
import { OWN, WriteBudget } from "./core/write-budget.js";
import type { Write } from "./core/writer.js";
import type { Leadership, Leading } from "./leadership.js";
import type { Follower } from "./state/follower.js";
import type { Store } from "./state/store.js";

const sleep = (s: number): Promise<void> => new Promise((r) => setTimeout(r, s * 1000));
/** A transaction's limit by the protocol, less room for the message around it. */
export const TXN_BYTES = 60 * 1024;
/** Changes that a transaction has room for at the least, before one is composed. */
const LEAST_ROOM = 3;

export interface StateWritesOptions {
  readonly now: () => number;
  readonly log: Logger;
  readonly perform: (outputs: readonly Output[]) => void;
  /** A transaction ended: there may be more to write. */
  readonly again: () => void;
}

export class StateWrites {
  /** Changes that this node may write, for users as well as for the leader. */
  readonly bucket: Bucket;
  private readonly budget: WriteBudget;
  private writing = false;
  /** Changes in a transaction at the most: fewer for a while after one was refused for its size. */
  private opsLimit: number;

  constructor(
    private readonly cluster: ClusterSettings,
    private readonly store: Store,
    private readonly follower: Follower,
    private readonly records: Records,
    private readonly options: StateWritesOptions,
  ) {
    this.opsLimit = cluster.txnOps;
    this.budget = new WriteBudget(cluster.stateWriteRps);
    this.bucket = new Bucket(this.share(false), this.burst(false));
  }

  /**
   * The leader writes most, see `WriteBudget`. The others may use five sixths together, and a third each at
   * a time, as submissions come in bursts; if the service refuses some, they are sent again a moment later.
   */
  private share(leader: boolean): number {
    const { stateWriteRps, nodes } = this.cluster;
    const others = Math.max(1, Math.min(5, nodes - 1));
    return leader ? this.budget.rate(this.options.now()) : ((5 / 6) * stateWriteRps) / others;
  }

  /**
   * One second's worth of what is a node's own at the least, which the state service allows. (The leader
   * was once left with the burst of another node: too small for any write but the smallest.)
   */
  private burst(leader: boolean): number {
    return Math.max(4, this.cluster.stateWriteRps * (leader ? OWN : 1 / 3));
  }

  /** The node's part in the budget follows whether it leads. */
  leads(leader: boolean): void {
    this.bucket.setRate(this.share(leader), this.burst(leader));
  }

  /** So many submissions and cancellations were stored, by whichever node. */
  seen(changes: number): void {
    this.budget.seen(changes);
  }

  /** Sends the leader's next transaction, if one is due and none is under way. */
  send(leadership: Leadership): void {
    const leading = leadership.current;
    if (leading === null || this.writing) return;
    const { term, scheduler } = leading;
    const now = this.options.now();
    if (!term.acting(now)) return;
    if (leadership.raiseWanted) {
      this.begin(leadership.raise(leading));
      return;
    }
    this.leads(true);
    const room = Math.floor(this.bucket.available(now));
    if (room < Math.max(LEAST_ROOM, scheduler.roomNeeded) || !scheduler.hasUrgentWrite) return;
    // Progress waits until there is plenty: placements and ends must not wait behind it.
    const urgentOnly = room < this.burst(true) / 2;
    const w = scheduler.nextWrite(Math.min(room, this.opsLimit), TXN_BYTES, urgentOnly, now);
    if (w === null) {
      // What goes into one transaction may need more changes than were tried since one was refused.
      this.raiseOpsLimit();
      return;
    }
    this.bucket.force(w.changes.length, now);
    this.options.log.debug({ ...w.counts, room }, "write");
    this.begin(this.commit(leadership, leading, w));
  }

  private begin(transaction: Promise<void>): void {
    this.writing = true;
    void transaction.finally(() => {
      this.writing = false;
      this.options.again();
    });
  }

  private raiseOpsLimit(): void {
    this.opsLimit = Math.min(this.cluster.txnOps, this.opsLimit + 1);
  }

  private async commit(leadership: Leadership, leading: Leading, w: Write): Promise<void> {
    const { term, scheduler } = leading;
    const { now, log, perform } = this.options;
    const r = await this.store.txn(w.conditions, w.changes);
    const finish = (outcome: Parameters<Scheduler["written"]>[1], revision: number): void => {
      if (leadership.current !== leading) return;
      perform(scheduler.written(w, outcome, revision, this.records, now()));
    };
    if (r.kind === "ok") {
      this.raiseOpsLimit();
      return finish("ok", r.revision);
    }
    if (r.kind === "refused") {
      log.debug({ status: r.status }, "write refused");
      if (r.status === 400) this.refusedForItsSize(scheduler, w);
      this.budget.refused(now());
      finish("refused", 0);
      await sleep(this.cluster.reportS / 30);
      return;
    }
    log.info({ outcome: r }, "write not certain");
    // Whatever happened to it, only a fresh read tells what is stored now.
    for (;;) {
      if (await this.follower.catchUp()) break;
      if (leadership.current !== leading) return;
      await sleep(this.cluster.reportS / 10);
    }
    if (this.records.epoch.mark !== term.epochMark) {
      if (leadership.current === leading) leadership.lose("a write found another epoch");
      return;
    }
    finish(r.kind === "failed" ? "conflict" : "unknown", 0);
  }

  /** Too large, or its lease is over. Smaller ones may pass; one that can't be smaller waits. */
  private refusedForItsSize(scheduler: Scheduler, w: Write): void {
    this.options.log.warn({ changes: w.changes.length }, "write refused for what it holds");
    if (w.changes.length > 1) this.opsLimit = Math.max(1, w.changes.length >> 1);
    else scheduler.refusedAlone(w, this.options.now());
  }
}
