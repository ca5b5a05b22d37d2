/** Passes changes of the stored state on to all of a node that depends on them. */
import type { CompletionWaiters } from "../api/completion-waiters.js";
import type { StandbyResponder } from "../core/leadership/standby-responder.js";
import type { ReplicaChange, StateReplica } from "../core/state/state-replica.js";
import type { LeaderTransactions } from "./leader-transactions.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";
import type { MachineTypeCatalog } from "./machine-type-catalog.js";

/** What depends on the stored state. */
export interface ReplicaChangesOptions {
  /** Steady time, in seconds. */
  readonly now: () => number;
  readonly replica: StateReplica;
  readonly leadership: Leadership;
  readonly standby: StandbyResponder;
  readonly completionWaiters: CompletionWaiters;
  readonly transactions: LeaderTransactions;
  readonly machineTypes: MachineTypeCatalog;
}

/** Applies what changed in the replica. */
export class ReplicaChanges {
  constructor(private readonly options: ReplicaChangesOptions) {}

  /** The replica applied these changes; null: it was read again as a whole. */
  apply(change: ReplicaChange | null): void {
    const { now, leadership, standby, completionWaiters, transactions, machineTypes } =
      this.options;
    const appliedAt = now();
    if (leadership.current !== null) this.applyAsLeader(leadership.current, change, appliedAt);
    if (change === null) standby.noteLeaderSeen(appliedAt);
    completionWaiters.notifyChanged(change === null ? null : change.jobs);
    if (change !== null) transactions.noteUserRequests(change.userRequests);
    machineTypes.loadFromReplica();
  }

  private applyAsLeader(
    { term, scheduler }: ActiveLeadership,
    change: ReplicaChange | null,
    appliedAt: number,
  ): void {
    const { replica, leadership } = this.options;
    const epoch = replica.epoch.value;
    // This node's own advance of the token changes the epoch as well.
    if (epoch > term.epoch && !leadership.fencingTokenAdvanceRequested) {
      const member = replica.leader?.value.member ?? "another";
      leadership.stepDown(`epoch ${epoch} was taken by ${member}`);
      return;
    }
    const ids = change === null ? replica.activeJobs.keys() : change.jobs;
    for (const id of ids) scheduler.handleJobChange(replica, id, appliedAt);
  }
}
