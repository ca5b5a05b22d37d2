/** One cycle of a controller (node), as the leader or as a follower. */
import type { AdmissionControl } from "../admission/index.js";
import type { Effect } from "../core/effects.js";
import type { StateWatcher } from "../state/state-watcher.js";
import type { LeaderTransactions } from "./leader-transactions.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";
import type { MachineTypeCatalog } from "./machine-type-catalog.js";

/** Number of times per heartbeat interval at which the leader checks whether to limit admission. */
const ADMISSION_UPDATES_PER_INTERVAL = 8;

/** Dependencies of `NodeCycle`. */
export interface NodeCycleOptions {
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly heartbeatIntervalS: number;
  readonly watcher: StateWatcher;
  readonly machineTypes: MachineTypeCatalog;
  readonly leadership: Leadership;
  readonly transactions: LeaderTransactions;
  /** Null if admission control is disabled. */
  readonly admission: AdmissionControl | null;
  readonly performEffects: (effects: readonly Effect[]) => void;
}

/**
 * Runs cycles. In each, a follower tries to acquire leadership if no leader is stored. The leader schedules, updates
 * the admission window and sends the next transaction.
 */
export class NodeCycle {
  private nextAdmissionUpdateAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: NodeCycleOptions) {}

  run(): void {
    const { now, watcher, admission, leadership } = this.options;
    const startedAt = now();
    if (watcher.isLoaded) admission?.flushRejections();
    if (leadership.current === null) this.runAsFollower();
    else this.runAsLeader(leadership.current, startedAt);
  }

  private runAsFollower(): void {
    const { watcher, machineTypes, leadership } = this.options;
    if (watcher.isLoaded && machineTypes.known.length > 0) leadership.campaign();
  }

  private runAsLeader(activeLeadership: ActiveLeadership, startedAt: number): void {
    const { performEffects, transactions, leadership } = this.options;
    if (!activeLeadership.term.mayAct(startedAt)) return;
    performEffects(activeLeadership.scheduler.tick(startedAt, Date.now()));
    this.updateAdmission(activeLeadership, startedAt);
    transactions.sendNext(leadership);
  }

  /** Lets admission control update its window from the leader's current view of the cluster, if it is due. */
  private updateAdmission({ term, scheduler }: ActiveLeadership, now: number): void {
    const { admission, heartbeatIntervalS } = this.options;
    if (admission === null || now < this.nextAdmissionUpdateAt) return;
    this.nextAdmissionUpdateAt = now + heartbeatIntervalS / ADMISSION_UPDATES_PER_INTERVAL;
    admission.updateWindow({
      cluster: scheduler.cluster,
      growing: scheduler.canScaleOut(now),
      epoch: term.epoch,
      epochModRevision: term.epochModRevision,
    });
  }
}
