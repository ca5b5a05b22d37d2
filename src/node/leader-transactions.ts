/**
 * What this node may write to the state service, and the leader's transactions: one at a time, as large as the budget
 * and the service's limits allow, each under the term that it was composed in.
 */
import type { Logger } from "pino";
import type { Effect, TransactionOutcome } from "../core/effects.js";
import type { ClusterSettings } from "../core/model/settings.js";
import { TokenBucket } from "../core/overload/token-bucket.js";
import type { Scheduler } from "../core/scheduler.js";
import type { StateReplica } from "../core/state/state-replica.js";
import { LEADER_SHARE_AFTER_REFUSAL, WriteBudget } from "../core/state/write-budget.js";
import type { LeaderTransaction } from "../core/state/write-composer.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";

/** A transaction's limit by the protocol, less room for the message around it. */
export const MAXIMUM_TRANSACTION_BYTES = 60 * 1024;
/** Changes that a transaction has room for at the least, before one is composed. */
const MINIMUM_CHANGES = 3;

export interface LeaderTransactionsOptions {
  readonly now: () => number;
  readonly log: Logger;
  readonly performEffects: (outputs: readonly Effect[]) => void;
  /** A transaction ended: there may be more to write. */
  readonly onTransactionEnd: () => void;
}

export class LeaderTransactions {
  /** Changes that this node may write, for users as well as for the leader. */
  readonly writeBudget: TokenBucket;
  private readonly leaderBudget: WriteBudget;
  private isWriting = false;
  /** Changes in a transaction at the most: fewer for a while after one was refused for its size. */
  private changeLimit: number;

  constructor(
    private readonly cluster: ClusterSettings,
    private readonly keyValueClient: KeyValueClient,
    private readonly watcher: StateWatcher,
    private readonly replica: StateReplica,
    private readonly options: LeaderTransactionsOptions,
  ) {
    this.changeLimit = cluster.txnOps;
    this.leaderBudget = new WriteBudget(cluster.stateWriteRps);
    this.writeBudget = new TokenBucket(this.budgetRate(false), this.budgetBurst(false));
  }

  /**
   * The leader writes most, see `WriteBudget`. The others may use five sixths together, and a third each at
   * a time, as submissions come in bursts; if the service refuses some, they are sent again a moment later.
   */
  private budgetRate(leader: boolean): number {
    const { stateWriteRps, nodes } = this.cluster;
    const others = Math.max(1, Math.min(5, nodes - 1));
    return leader
      ? this.leaderBudget.leaderChangesPerS(this.options.now())
      : ((5 / 6) * stateWriteRps) / others;
  }

  /**
   * One second's worth of what is a node's own at the least, which the state service allows. (The leader
   * was once left with the burst of another node: too small for any write but the smallest.)
   */
  private budgetBurst(leader: boolean): number {
    return Math.max(4, this.cluster.stateWriteRps * (leader ? LEADER_SHARE_AFTER_REFUSAL : 1 / 3));
  }

  /** The node's part in the budget follows whether it leads. */
  setLeading(leader: boolean): void {
    this.writeBudget.setRate(this.budgetRate(leader), this.budgetBurst(leader));
  }

  /** So many submissions and cancellations were stored, by whichever node. */
  noteUserRequests(changes: number): void {
    this.leaderBudget.recordRequestChanges(changes);
  }

  /** Sends the leader's next transaction, if one is due and none is under way. */
  sendNext(leadership: Leadership): void {
    const leading = leadership.current;
    if (leading === null || this.isWriting) return;
    const { term, scheduler } = leading;
    const now = this.options.now();
    if (!term.mayAct(now)) return;
    if (leadership.fencingTokenAdvanceRequested) {
      this.begin(leadership.advanceFencingToken(leading));
      return;
    }
    this.setLeading(true);
    const room = Math.floor(this.writeBudget.available(now));
    if (
      room < Math.max(MINIMUM_CHANGES, scheduler.minimumTransactionChanges) ||
      !scheduler.hasPendingWrite
    )
      return;
    // Progress waits until there is plenty: placements and ends must not wait behind it.
    const urgentOnly = room < this.budgetBurst(true) / 2;
    const w = scheduler.nextTransaction(
      Math.min(room, this.changeLimit),
      MAXIMUM_TRANSACTION_BYTES,
      urgentOnly,
      now,
    );
    if (w === null) {
      // What goes into one transaction may need more changes than were tried since one was refused.
      this.raiseChangeLimit();
      return;
    }
    this.writeBudget.takeOnCredit(w.changes.length, now);
    this.options.log.debug({ ...w.counts, room }, "write");
    this.begin(this.commit(leadership, leading, w));
  }

  private begin(transaction: Promise<void>): void {
    this.isWriting = true;
    void transaction.finally(() => {
      this.isWriting = false;
      this.options.onTransactionEnd();
    });
  }

  private raiseChangeLimit(): void {
    this.changeLimit = Math.min(this.cluster.txnOps, this.changeLimit + 1);
  }

  private async commit(
    leadership: Leadership,
    leading: ActiveLeadership,
    w: LeaderTransaction,
  ): Promise<void> {
    const { term, scheduler } = leading;
    const { now, log, performEffects: perform } = this.options;
    const r = await this.keyValueClient.transact(w.preconditions, w.changes);
    const finish = (outcome: TransactionOutcome): void => {
      if (leadership.current !== leading) return;
      perform(scheduler.transactionEnded(w, outcome, this.replica, now()));
    };
    if (r.kind === "ok") {
      this.raiseChangeLimit();
      return finish({ kind: "committed", revision: r.revision });
    }
    if (r.kind === "refused") {
      log.debug({ status: r.status }, "write refused");
      if (r.status === 400) this.handleOversizedTransaction(scheduler, w);
      this.leaderBudget.recordRefusal(now());
      finish({ kind: "refused" });
      await sleepSeconds(this.cluster.heartbeatIntervalS / 30);
      return;
    }
    log.info({ outcome: r }, "write not certain");
    // Whatever happened to it, only a fresh read tells what is stored now.
    for (;;) {
      if (await this.watcher.readLatest()) break;
      if (leadership.current !== leading) return;
      await sleepSeconds(this.cluster.heartbeatIntervalS / 10);
    }
    if (this.replica.epoch.modRevision !== term.epochModRevision) {
      if (leadership.current === leading) leadership.stepDown("a write found another epoch");
      return;
    }
    finish({ kind: r.kind === "failed" ? "conflict" : "unknown" });
  }

  /** Too large, or its lease is over. Smaller ones may pass; one that can't be smaller waits. */
  private handleOversizedTransaction(scheduler: Scheduler, w: LeaderTransaction): void {
    this.options.log.warn({ changes: w.changes.length }, "write refused for what it holds");
    if (w.changes.length > 1) this.changeLimit = Math.max(1, w.changes.length >> 1);
    else scheduler.handleRefusedValue(w, this.options.now());
  }
}
