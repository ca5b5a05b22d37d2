/** Applies the outcome of the leader's transactions to the leader's in-memory state. */

import { assertNever } from "../assert-never.js";
import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { TransactionOutcome } from "../effects.js";
import type { JobLifecycle } from "../jobs/job-lifecycle.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { MachineRecordShard } from "./machine-record-shards.js";
import type { StateReplica } from "./state-replica.js";
import { type LeaderTransaction, largestValueBytes } from "./write-composer.js";

/** Parts of the leader that the outcome of a transaction affects. */
export interface TransactionResultTargets {
  readonly context: LeaderContext;
  readonly dispatcher: CommandDispatcher;
  readonly machinePool: MachinePool;
  readonly jobLifecycle: JobLifecycle;
}

/** Updates the leader's in-memory state when a transaction has ended. */
export class TransactionResults {
  private readonly context: LeaderContext;
  private readonly dispatcher: CommandDispatcher;
  private readonly machinePool: MachinePool;
  private readonly jobLifecycle: JobLifecycle;

  constructor(targets: TransactionResultTargets) {
    this.context = targets.context;
    this.dispatcher = targets.dispatcher;
    this.machinePool = targets.machinePool;
    this.jobLifecycle = targets.jobLifecycle;
  }

  /**
   * Applies the outcome of a transaction. After `conflict` and `unknown`, the caller must first read the stored state
   * again into `replica`; see `Scheduler.transactionEnded`.
   */
  apply(
    transaction: LeaderTransaction,
    outcome: TransactionOutcome,
    replica: StateReplica,
    now: number,
  ): void {
    switch (outcome.kind) {
      case "committed":
        this.applyCommitted(transaction, outcome.revision);
        break;
      case "conflict":
      case "unknown":
        this.reconcile(transaction, replica, now);
        break;
      case "refused":
        // Nothing was stored. The changes remain marked as not stored.
        break;
      default:
        assertNever(outcome);
    }
    this.sendPersistedStarts(transaction, now);
  }

  private applyCommitted(transaction: LeaderTransaction, revision: number): void {
    const { valueSizeLimit } = this.context;
    if (valueSizeLimit.isReduced) valueSizeLimit.recordAccepted(largestValueBytes(transaction));
    this.applyJobWrites(transaction, revision);
    for (const { shard, version, names } of transaction.machineShardWrites) {
      shard.modRevision = revision;
      shard.persistedVersion = Math.max(shard.persistedVersion, version);
      for (const name of names) this.markMachinePersisted(name, shard);
    }
  }

  /**
   * Updates the transaction's jobs, and the mod revisions of the machine records, from the replica. The replica was
   * read after the transaction ended, so it shows whether the transaction was committed.
   */
  private reconcile(transaction: LeaderTransaction, replica: StateReplica, now: number): void {
    this.machinePool.recordShards.refreshModRevisions(replica);
    for (const { job } of transaction.jobWrites) {
      const { id } = job.spec;
      const stored = replica.activeJobs.get(id);
      if (stored !== undefined) job.refreshFromReplica(stored, replica.shardsOf(id));
      this.jobLifecycle.handleJobChange(replica, id, now);
      if (stored === undefined && replica.finalRecords.has(id)) this.jobLifecycle.remove(job, now);
    }
  }

  private applyJobWrites(transaction: LeaderTransaction, revision: number): void {
    for (const { job, version, shards, closedShards } of transaction.jobWrites) {
      // The transaction stored the final record of the job.
      if (version === null) {
        const state = job.isCancelled ? "cancelled" : "done";
        this.context.log("job finished", { job: job.spec.id, state });
        this.context.cluster.jobs.delete(job.spec.id);
        continue;
      }
      for (const shard of shards) job.markPersisted(shard, version, revision);
      for (const shard of closedShards) job.removeShard(shard);
    }
  }

  private markMachinePersisted(name: string, shard: MachineRecordShard): void {
    const machine = this.context.cluster.machines.get(name);
    if (machine === undefined || machine.isPersisted) return;
    machine.isPersisted = true;
    shard.unpersistedMachineCount--;
    this.context.cycleRequested = true;
  }

  /** Sends the start commands that had to wait until their placements were stored by this transaction. */
  private sendPersistedStarts(transaction: LeaderTransaction, now: number): void {
    const machines = new Set<Machine>();
    for (const { job } of transaction.jobWrites) {
      for (const placement of job.allPlacements()) {
        if (placement.state === "planned") machines.add(placement.machine);
      }
    }
    for (const machine of machines) this.dispatcher.sendDueCommands(machine, now);
  }
}
