/**
 * Which worker heartbeats a node answers although it does not lead.
 *
 * No such answer carries a command; each extends a worker's lease, so each case is bounded by what a leader allows for
 * before it declares a lease expired (`MachineMonitor.leaseExpiryBound`). None rests on knowing every cancellation: one is
 * confirmed only when nothing of the job is left (`StateReplica.view`). The lease of a machine that runs what is known to
 * be cancelled is not extended all the same, so that it ends sooner.
 */
import { hasExtendableLease } from "../leader-context.js";
import type { ClusterSettings } from "../model/settings.js";
import type { WorkerHeartbeat } from "../model/workers.js";
import type { TokenBucket } from "../overload/token-bucket.js";
import type { StateReplica } from "../state/state-replica.js";
import type { LeaseExtension } from "./lease-extension.js";

/** Share of the grace period, and of a lease, for which a new leader counts as settling. */
const SETTLING_SHARE = 2 / 3;
/** Part of a lease for which heartbeats are answered while nobody leads: the lease divided by this. */
const LEADERLESS_LEASE_DIVISOR = 3;

/** Whom the node is in contact with. */
export interface NodeConnectivity {
  readonly replicaLoaded: boolean;
  readonly reachesState: boolean;
  readonly peerReachesState: boolean;
  readonly leaderHeartbeatRecent: boolean;
}

/** What a standby needs to know to decide which heartbeats it answers. */
export interface StandbyResponderOptions {
  readonly settings: ClusterSettings;
  readonly member: string;
  readonly zone: string;
  readonly replica: StateReplica;
  readonly leaseExtension: LeaseExtension;
  /** Workers that this node may redirect to a settling leader in a second. */
  readonly redirectBudget: TokenBucket;
  readonly gracePeriodS: number;
}

/** Decides which worker heartbeats a node that does not lead answers itself. */
export class StandbyResponder {
  /** Steady time at which a leader was last recorded, or the replica was first loaded. */
  private leaderSeenAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StandbyResponderOptions) {}

  noteLeaderSeen(now: number): void {
    this.leaderSeenAt = now;
  }

  /** `now`: steady time in seconds; `wallMs`: time of day in milliseconds. */
  mayAnswer(
    heartbeat: WorkerHeartbeat,
    connectivity: NodeConnectivity,
    now: number,
    wallMs: number,
  ): boolean {
    return (
      this.mayAnswerWhilePartitioned(heartbeat, connectivity, now) ||
      this.mayAnswerBetweenLeaders(heartbeat, connectivity, now) ||
      this.mayAnswerForSettlingLeader(heartbeat, connectivity, now, wallMs)
    );
  }

  /** Leadership was acquired a moment ago, by the time of day that is stored with it. */
  isLeaderSettling(wallMs: number): boolean {
    const { replica, gracePeriodS, settings } = this.options;
    const settlingS = SETTLING_SHARE * Math.min(gracePeriodS, settings.leaseS);
    return replica.leader !== null && wallMs - replica.leader.value.acquiredAtMs < 1000 * settlingS;
  }

  /**
   * The machine runs service or gang tasks, by its worker's own status, and nothing that was cancelled, which must end
   * soon.
   */
  runsExtendableTasks(heartbeat: WorkerHeartbeat): boolean {
    if (this.runsCancelledTasks(heartbeat)) return false;
    return heartbeat.tasks.some((status) => {
      if (status.state === "exited") return false;
      const job = this.options.replica.activeJobs.get(status.job);
      return job !== undefined && hasExtendableLease(job.value.spec.kind);
    });
  }

  private runsCancelledTasks(heartbeat: WorkerHeartbeat): boolean {
    return heartbeat.tasks.some((status) => this.options.replica.cancellations.has(status.job));
  }

  /**
   * While a new leader settles, only so many workers a second are redirected to it; the others are answered here,
   * without commands, with its fencing token, and try again with their next heartbeat. (Two thousand came at once; each
   * had left by the time its turn came, and came again, until its lease was over.) The leader counts every lease from
   * its grace period after its start in any case, and this ends before then.
   */
  private mayAnswerForSettlingLeader(
    heartbeat: WorkerHeartbeat,
    connectivity: NodeConnectivity,
    now: number,
    wallMs: number,
  ): boolean {
    const { replica, member, redirectBudget } = this.options;
    return (
      replica.leader !== null &&
      replica.leader.value.member !== member &&
      this.isLeaderSettling(wallMs) &&
      connectivity.reachesState &&
      heartbeat.fencingToken <= replica.epoch.value &&
      !this.runsCancelledTasks(heartbeat) &&
      !redirectBudget.tryTake(1, now)
    );
  }

  /**
   * Nobody leads. Workers that are turned away then come back every second, each over a new connection, and leave no node
   * the time to acquire leadership (a thousand did, for 20 s). So for part of a lease any node in contact answers them
   * without commands, with the last fencing token; they find the next leader with their next heartbeat. That leader adds
   * its grace period before it declares a lease expired.
   */
  private mayAnswerBetweenLeaders(
    heartbeat: WorkerHeartbeat,
    connectivity: NodeConnectivity,
    now: number,
  ): boolean {
    const { replica, settings } = this.options;
    const epoch = replica.epoch.value;
    return (
      connectivity.reachesState &&
      replica.leader === null &&
      epoch > 0 &&
      heartbeat.fencingToken <= epoch &&
      now - this.leaderSeenAt < settings.leaseS / LEADERLESS_LEASE_DIVISOR &&
      !this.runsCancelledTasks(heartbeat)
    );
  }

  /** Partitioned from everybody but the workers of this zone, which would lose what they run. */
  private mayAnswerWhilePartitioned(
    heartbeat: WorkerHeartbeat,
    connectivity: NodeConnectivity,
    now: number,
  ): boolean {
    const { replica, zone, leaseExtension } = this.options;
    return (
      connectivity.replicaLoaded &&
      heartbeat.zone === zone &&
      heartbeat.fencingToken <= replica.epoch.value &&
      leaseExtension.mayExtendLeases(now) &&
      !connectivity.peerReachesState &&
      !connectivity.leaderHeartbeatRecent &&
      this.runsExtendableTasks(heartbeat)
    );
  }
}
