/**
 * The node's write budget for the state service, and the leader's transactions. Transactions are sent one at a time,
 * each as large as the write budget and the limits of the state service allow. The result of a transaction is used
 * only if the term in which it was composed is still current.
 */
import type { Logger } from "pino";
import { assertNever } from "../core/assert-never.js";
import type { Effect, TransactionOutcome } from "../core/effects.js";
import type { ClusterSettings } from "../core/model/settings.js";
import { TokenBucket } from "../core/overload/token-bucket.js";
import type { Scheduler } from "../core/scheduler.js";
import { ChangeLimit } from "../core/state/change-limit.js";
import type { StateReplica } from "../core/state/state-replica.js";
import { LEADER_SHARE_AFTER_REFUSAL, WriteBudget } from "../core/state/write-budget.js";
import type { LeaderTransaction } from "../core/state/write-composer.js";
import type { KeyValueClient } from "../state/key-value-client.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { sleepSeconds } from "../time/sleep.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";

/** Size limit of a transaction: the protocol's limit less an allowance for the enclosing message. */
export const MAXIMUM_TRANSACTION_BYTES = 60 * 1024;
/** Number of changes that the write budget must allow before a transaction is composed. */
const MINIMUM_ALLOWED_CHANGES = 3;
/** Smallest burst of a node's write budget, in changes. */
const MINIMUM_BURST = 4;
/** Share of the changes per second that the state service accepts; all followers together may use this share. */
const FOLLOWERS_SHARE = 5 / 6;
/** Upper bound on the divisor of `FOLLOWERS_SHARE`: more followers than this do not reduce the share of each. */
const MAXIMUM_FOLLOWERS = 5;
/**
 * Burst of a follower's write budget, in seconds: the burst is the number of changes that the state service accepts
 * from all nodes together in this time.
 */
const FOLLOWER_BURST_S = 1 / 3;
/**
 * Delays after a refused transaction and before a read is retried: the heartbeat interval divided by these values.
 */
const REFUSAL_DELAY_DIVISOR = 30;
const READ_RETRY_DELAY_DIVISOR = 10;

/** Dependencies and callbacks of `LeaderTransactions`. */
export interface LeaderTransactionsOptions {
  readonly settings: ClusterSettings;
  readonly keyValueClient: KeyValueClient;
  readonly watcher: StateWatcher;
  readonly replica: StateReplica;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly log: Logger;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** Called when a transaction has ended, so that the next one can be sent. */
  readonly onTransactionEnd: () => void;
}

/** Sends the leader's transactions, one at a time, within the node's write budget. */
export class LeaderTransactions {
  /** Budget of changes that this node may write, shared by user requests and the leader's transactions. */
  readonly writeBudget: TokenBucket;
  /** Computes the rate of changes that the leader may write, from the submissions and cancellations of all nodes. */
  private readonly leaderRateLimit: WriteBudget;
  private isWriting = false;
  private readonly changeLimit: ChangeLimit;

  constructor(private readonly options: LeaderTransactionsOptions) {
    const { txnOps, stateWriteRps } = options.settings;
    this.changeLimit = new ChangeLimit(txnOps);
    this.leaderRateLimit = new WriteBudget(stateWriteRps);
    this.writeBudget = new TokenBucket(this.budgetRate(false), this.budgetBurst(false));
  }

  /** Sets the rate and burst of the write budget for a leader or a follower. */
  setLeading(isLeader: boolean): void {
    this.writeBudget.setRate(this.budgetRate(isLeader), this.budgetBurst(isLeader));
  }

  /** Records changes that were stored for submissions and cancellations, by any node. */
  recordUserRequestChanges(changes: number): void {
    this.leaderRateLimit.recordRequestChanges(changes);
  }

  /** Sends the leader's next transaction, if one is due and none is in flight. */
  sendNext(leadership: Leadership): void {
    const { current } = leadership;
    if (current === null || this.isWriting) return;
    const now = this.options.now();
    if (!current.term.mayAct(now)) return;
    if (leadership.fencingTokenAdvanceRequested) {
      this.runExclusively(leadership.advanceFencingToken(current));
      return;
    }
    this.setLeading(true);
    const allowedChanges = this.allowedChanges(current.scheduler, now);
    if (!this.isTransactionDue(current.scheduler, allowedChanges)) return;
    const transaction = this.compose(current.scheduler, allowedChanges, now);
    if (transaction === null) {
      // A limit that was reduced after a refusal may be too small for the next indivisible group of changes.
      this.changeLimit.raise();
      return;
    }
    this.writeBudget.takeOnCredit(transaction.changes.length, now);
    this.options.log.debug({ ...transaction.counts, allowedChanges }, "sending transaction");
    this.runExclusively(this.commit(leadership, current, transaction));
  }

  /**
   * Changes per second that this node may write. `WriteBudget` computes the rate of the leader. `FOLLOWERS_SHARE` is
   * divided evenly among the followers, and each gets a burst (`FOLLOWER_BURST_S`), because submissions arrive in
   * bursts. The shares of leader and followers may add up to more than the state service accepts; refused writes are
   * retried shortly after.
   */
  private budgetRate(isLeader: boolean): number {
    const { stateWriteRps, nodes } = this.options.settings;
    if (isLeader) return this.leaderRateLimit.leaderChangesPerS(this.options.now());
    const followers = Math.max(1, Math.min(MAXIMUM_FOLLOWERS, nodes - 1));
    return (FOLLOWERS_SHARE * stateWriteRps) / followers;
  }

  /**
   * Burst of the write budget, in changes. The leader's burst is the number of changes that it may write in one
   * second at `LEADER_SHARE_AFTER_REFUSAL`, which the state service accepts at once. With the smaller burst of a
   * follower, the leader could send only the smallest transactions.
   */
  private budgetBurst(isLeader: boolean): number {
    const seconds = isLeader ? LEADER_SHARE_AFTER_REFUSAL : FOLLOWER_BURST_S;
    return Math.max(MINIMUM_BURST, this.options.settings.stateWriteRps * seconds);
  }

  /**
   * Number of changes that may be written now. Once the budget is full, it is at least the size of the next indivisible
   * group of changes, although that may be larger than the burst; the rest is written on credit.
   */
  private allowedChanges(scheduler: Scheduler, now: number): number {
    const available = Math.floor(this.writeBudget.available(now));
    const isBudgetFull = available >= Math.floor(this.budgetBurst(true));
    return isBudgetFull ? Math.max(available, scheduler.minimumTransactionChanges) : available;
  }

  private isTransactionDue(scheduler: Scheduler, allowedChanges: number): boolean {
    const minimum = Math.max(MINIMUM_ALLOWED_CHANGES, scheduler.minimumTransactionChanges);
    return allowedChanges >= minimum && scheduler.hasPendingWrite;
  }

  private compose(
    scheduler: Scheduler,
    allowedChanges: number,
    now: number,
  ): LeaderTransaction | null {
    // Progress updates are written only if at least half of the burst is available, so that they do not delay
    // placements and job ends.
    const urgentOnly = allowedChanges < this.budgetBurst(true) / 2;
    const maxChanges = Math.min(allowedChanges, this.changeLimit.current);
    return scheduler.nextTransaction(maxChanges, MAXIMUM_TRANSACTION_BYTES, urgentOnly, now);
  }

  private runExclusively(transaction: Promise<void>): void {
    this.isWriting = true;
    void transaction.finally(() => {
      this.isWriting = false;
      this.options.onTransactionEnd();
    });
  }

  private async commit(
    leadership: Leadership,
    activeLeadership: ActiveLeadership,
    transaction: LeaderTransaction,
  ): Promise<void> {
    const { keyValueClient, replica, now, performEffects } = this.options;
    const { preconditions, changes } = transaction;
    const result = await keyValueClient.transact(preconditions, changes);
    const reportOutcome = (outcome: TransactionOutcome): void => {
      if (leadership.current !== activeLeadership) return;
      const { scheduler } = activeLeadership;
      const effects = scheduler.transactionEnded(transaction, outcome, replica, now());
      performEffects(effects);
    };
    switch (result.kind) {
      case "ok":
        this.changeLimit.raise();
        reportOutcome({ kind: "committed", revision: result.revision });
        return;
      case "refused":
        this.handleRefusal(activeLeadership.scheduler, transaction, result.status);
        reportOutcome({ kind: "refused" });
        await sleepSeconds(this.options.settings.heartbeatIntervalS / REFUSAL_DELAY_DIVISOR);
        return;
      case "failed":
      case "unknown":
        this.options.log.info(
          { outcome: result },
          "transaction failed or its outcome is unknown; reading the stored state",
        );
        if (await this.readStoredOutcome(leadership, activeLeadership)) {
          reportOutcome({ kind: result.kind === "failed" ? "conflict" : "unknown" });
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
    this.options.log.debug({ status }, "transaction refused");
    if (status === 400) this.handleInvalidTransaction(scheduler, transaction);
    this.leaderRateLimit.recordRefusal(this.options.now());
  }

  /**
   * Reads the stored state, because the result of a failed or unanswered transaction does not show what is stored.
   * Retries until a linearizable read succeeds. Returns false if this term is no longer current.
   */
  private async readStoredOutcome(
    leadership: Leadership,
    activeLeadership: ActiveLeadership,
  ): Promise<boolean> {
    const { watcher, replica, settings } = this.options;
    while (!(await watcher.readLatest())) {
      if (leadership.current !== activeLeadership) return false;
      await sleepSeconds(settings.heartbeatIntervalS / READ_RETRY_DELAY_DIVISOR);
    }
    if (replica.epoch.modRevision === activeLeadership.term.epochModRevision) return true;
    if (leadership.current === activeLeadership)
      leadership.stepDown("stored epoch belongs to another term");
    return false;
  }

  /**
   * Handles status 400: the transaction is too large, or refers to an expired lease. Smaller transactions may be
   * accepted, so the change limit is reduced. For a single change, the scheduler plans smaller stored values from now
   * on.
   */
  private handleInvalidTransaction(scheduler: Scheduler, transaction: LeaderTransaction): void {
    const changes = transaction.changes.length;
    this.options.log.warn(
      { changes },
      "transaction rejected as too large or because its lease expired",
    );
    if (this.changeLimit.reduceBelow(changes)) return;
    scheduler.handleRefusedValue(transaction, this.options.now());
  }
}
