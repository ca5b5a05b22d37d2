/** Notifies the components of a node of changes in the stored state. */
import type { CompletionWaiters } from "../api/completion-waiters.js";
import type { FollowerResponder } from "../core/leadership/follower-responder.js";
import type { ReplicaChange, StateReplica } from "../core/state/state-replica.js";
import type { LeaderTransactions } from "./leader-transactions.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";
import type { MachineTypeCatalog } from "./machine-type-catalog.js";

/** The replica, and the components that are notified of its changes. */
export interface ReplicaChangeHandlerOptions {
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly replica: StateReplica;
  readonly leadership: Leadership;
  readonly followerResponder: FollowerResponder;
  readonly completionWaiters: CompletionWaiters;
  readonly transactions: LeaderTransactions;
  readonly machineTypes: MachineTypeCatalog;
}

/** Passes changes of the replica to the components that depend on it. */
export class ReplicaChangeHandler {
  constructor(private readonly options: ReplicaChangeHandlerOptions) {}

  /** Handles changes that the replica has applied; null after a full read of the stored state. */
  apply(change: ReplicaChange | null): void {
    const { now, leadership, followerResponder, completionWaiters, transactions, machineTypes } =
      this.options;
    const appliedAt = now();
    if (leadership.current !== null) this.applyAsLeader(leadership.current, change, appliedAt);
    // A full read counts like seeing a leader (see `FollowerResponder.leaderSeenAt`).
    if (change === null) followerResponder.recordLeaderSeen(appliedAt);
    completionWaiters.notifyChanged(change === null ? null : change.jobs);
    if (change !== null) transactions.recordUserRequestChanges(change.userRequests);
    machineTypes.loadFromReplica();
  }

  private applyAsLeader(
    { term, scheduler }: ActiveLeadership,
    change: ReplicaChange | null,
    appliedAt: number,
  ): void {
    const { replica, leadership } = this.options;
    const epoch = replica.epoch.value;
    // A higher stored epoch means that another node leads, unless this node is advancing its own fencing token.
    if (epoch > term.epoch && !leadership.fencingTokenAdvanceRequested) {
      const member = replica.leader?.value.member ?? "another node";
      leadership.stepDown(`epoch ${epoch} was acquired by ${member}`);
      return;
    }
    const ids = change === null ? replica.activeJobs.keys() : change.jobs;
    for (const id of ids) scheduler.handleJobChange(replica, id, appliedAt);
  }
}
