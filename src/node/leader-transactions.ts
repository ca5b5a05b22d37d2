/**
 * What this node may write to the key-value store, and the leader's transactions: one at a time, as large as the budget
 * and the store's limits allow, each under the term that it was composed in.
 */
import type { Logger } from "pino";
import { assertNever } from "../core/assert-never.js";
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

/** The protocol's limit on a transaction, less what the message around it takes. */
export const MAXIMUM_TRANSACTION_BYTES = 60 * 1024;
/** Changes that the write budget must allow at the least, before a transaction is composed. */
const MINIMUM_CHANGES = 3;
/** Burst of a node's write budget at the least, in changes. */
const MINIMUM_BURST = 4;
/** Of the changes a second that the store accepts: what nodes other than the leader may use together. */
const FOLLOWERS_SHARE = 5 / 6;
const MAXIMUM_FOLLOWERS = 5;
/** Burst of a node that does not lead, in seconds' worth of all changes that the store accepts. */
const FOLLOWER_BURST_S = 1 / 3;
/** Waits in parts of a heartbeat interval: the interval divided by these. */
const REFUSAL_WAIT_DIVISOR = 30;
const READ_RETRY_DIVISOR = 10;

/** Collaborators and callbacks of `LeaderTransactions`. */
export interface LeaderTransactionsOptions {
  readonly settings: ClusterSettings;
  readonly keyValueClient: KeyValueClient;
  readonly watcher: StateWatcher;
  readonly replica: StateReplica;
  /** Steady time in seconds. */
  readonly now: () => number;
  readonly log: Logger;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** A transaction ended: there may be more to write. */
  readonly onTransactionEnd: () => void;
}

/** Sends the leader's transactions, one at a time, within the node's write budget. */
export class LeaderTransactions {
  /** Changes that this node may write, for users as well as for the leader. */
  readonly writeBudget: TokenBucket;
  private readonly leaderBudget: WriteBudget;
  private isWriting = false;
  /** Changes in a transaction at the most: fewer for a while after one was refused for its size. */
  private changeLimit: number;

  constructor(private readonly options: LeaderTransactionsOptions) {
    const { txnOps, stateWriteRps } = options.settings;
    this.changeLimit = txnOps;
    this.leaderBudget = new WriteBudget(stateWriteRps);
    this.writeBudget = new TokenBucket(this.budgetRate(false), this.budgetBurst(false));
  }

  /** The node's share of the write budget follows whether it leads. */
  setLeading(isLeader: boolean): void {
    this.writeBudget.setRate(this.budgetRate(isLeader), this.budgetBurst(isLeader));
  }

  /** So many submissions and cancellations were stored, by whichever node. */
  noteUserRequests(changes: number): void {
    this.leaderBudget.recordRequestChanges(changes);
  }

  /** Sends the leader's next transaction, if one is due and none is in flight. */
  sendNext(leadership: Leadership): void {
    const { current } = leadership;
    if (current === null || this.isWriting) return;
    const now = this.options.now();
    if (!current.term.mayAct(now)) return;
    if (leadership.fencingTokenAdvanceRequested) {
      this.begin(leadership.advanceFencingToken(current));
      return;
    }
    this.setLeading(true);
    const allowedChanges = Math.floor(this.writeBudget.available(now));
    if (!this.isTransactionDue(current.scheduler, allowedChanges)) return;
    const transaction = this.compose(current.scheduler, allowedChanges, now);
    if (transaction === null) {
      // What goes into one transaction may need more changes than were tried since one was refused.
      this.raiseChangeLimit();
      return;
    }
    this.writeBudget.takeOnCredit(transaction.changes.length, now);
    this.options.log.debug({ ...transaction.counts, allowedChanges }, "write");
    this.begin(this.commit(leadership, current, transaction));
  }

  /**
   * The leader writes most, see `WriteBudget`. The others may use five sixths together, and a third each at a time, as
   * submissions come in bursts; if the store refuses some, they are sent again a moment later.
   */
  private budgetRate(isLeader: boolean): number {
    const { stateWriteRps, nodes } = this.options.settings;
    if (isLeader) return this.leaderBudget.leaderChangesPerS(this.options.now());
    const followers = Math.max(1, Math.min(MAXIMUM_FOLLOWERS, nodes - 1));
    return (FOLLOWERS_SHARE * stateWriteRps) / followers;
  }

  /**
   * One second's worth of the node's own share at the least, which the store allows. (The leader was once left with the
   * burst of another node: too small for any transaction but the smallest.)
   */
  private budgetBurst(isLeader: boolean): number {
    const seconds = isLeader ? LEADER_SHARE_AFTER_REFUSAL : FOLLOWER_BURST_S;
    return Math.max(MINIMUM_BURST, this.options.settings.stateWriteRps * seconds);
  }

  private isTransactionDue(scheduler: Scheduler, allowedChanges: number): boolean {
    const minimum = Math.max(MINIMUM_CHANGES, scheduler.minimumTransactionChanges);
    return allowedChanges >= minimum && scheduler.hasPendingWrite;
  }

  private compose(
    scheduler: Scheduler,
    allowedChanges: number,
    now: number,
  ): LeaderTransaction | null {
    // Progress waits until there is plenty: placements and ends must not wait for it.
    const urgentOnly = allowedChanges < this.budgetBurst(true) / 2;
    const maxChanges = Math.min(allowedChanges, this.changeLimit);
    return scheduler.nextTransaction(maxChanges, MAXIMUM_TRANSACTION_BYTES, urgentOnly, now);
  }

  private begin(transaction: Promise<void>): void {
    this.isWriting = true;
    void transaction.finally(() => {
      this.isWriting = false;
      this.options.onTransactionEnd();
    });
  }

  private raiseChangeLimit(): void {
    this.changeLimit = Math.min(this.options.settings.txnOps, this.changeLimit + 1);
  }

  private async commit(
    leadership: Leadership,
    active: ActiveLeadership,
    transaction: LeaderTransaction,
  ): Promise<void> {
    const { keyValueClient, replica, now, performEffects } = this.options;
    const { preconditions, changes } = transaction;
    const result = await keyValueClient.transact(preconditions, changes);
    const finish = (outcome: TransactionOutcome): void => {
      if (leadership.current !== active) return;
      const { scheduler } = active;
      const effects = scheduler.transactionEnded(transaction, outcome, replica, now());
      performEffects(effects);
    };
    switch (result.kind) {
      case "ok":
        this.raiseChangeLimit();
        finish({ kind: "committed", revision: result.revision });
        return;
      case "refused":
        this.handleRefusal(active.scheduler, transaction, result.status);
        finish({ kind: "refused" });
        await sleepSeconds(this.options.settings.heartbeatIntervalS / REFUSAL_WAIT_DIVISOR);
        return;
      case "failed":
      case "unknown":
        this.options.log.info({ outcome: result }, "write outcome unknown");
        if (await this.readStoredOutcome(leadership, active)) {
          finish({ kind: result.kind === "failed" ? "conflict" : "unknown" });
        }
        return;
      default:
        assertNever(result);
    }
  }

  private handleRefusal(
    scheduler: Scheduler,
    transaction: LeaderTransaction,
    status: number,
  ): void {
    this.options.log.debug({ status }, "write refused");
    if (status === 400) this.handleOversizedTransaction(scheduler, transaction);
    this.leaderBudget.recordRefusal(this.options.now());
  }

  /**
   * Whatever happened to a transaction, only a linearizable read tells what is stored now. False: this term no longer
   * leads.
   */
  private async readStoredOutcome(
    leadership: Leadership,
    active: ActiveLeadership,
  ): Promise<boolean> {
    const { watcher, replica, settings } = this.options;
    while (!(await watcher.readLatest())) {
      if (leadership.current !== active) return false;
      await sleepSeconds(settings.heartbeatIntervalS / READ_RETRY_DIVISOR);
    }
    if (replica.epoch.modRevision === active.term.epochModRevision) return true;
    if (leadership.current === active) leadership.stepDown("a write found another epoch");
    return false;
  }

  /** Too large, or its lease has expired. Smaller ones may pass; one that can't be smaller waits. */
  private handleOversizedTransaction(scheduler: Scheduler, transaction: LeaderTransaction): void {
    const changes = transaction.changes.length;
    this.options.log.warn({ changes }, "transaction too large");
    if (changes > 1) this.changeLimit = Math.max(1, changes >> 1);
    else scheduler.handleRefusedValue(transaction, this.options.now());
  }
}
