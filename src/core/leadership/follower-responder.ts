/**
 * Decides which worker heartbeats a follower answers itself instead of redirecting the worker to the leader.
 *
 * Such an answer contains no commands, but it extends the worker's lease. A follower therefore answers only for a
 * limited time, which a leader takes into account before it declares a lease expired
 * (`MachineMonitor.latestLeaseExpiry`). The follower need not know of every cancellation, because a cancellation is
 * confirmed only when none of the job's tasks is left (`StateReplica.view`). If the follower knows that a worker runs
 * tasks of a cancelled job, it does not extend the worker's lease, so that these tasks end sooner.
 */
import { hasExtendableLease } from "../leader-context.js";
import type { ClusterSettings } from "../model/settings.js";
import type { WorkerHeartbeat } from "../model/workers.js";
import type { TokenBucket } from "../overload/token-bucket.js";
import type { StateReplica } from "../state/state-replica.js";
import { firstFencingToken } from "./fencing-tokens.js";
import type { LeaseExtension } from "./lease-extension.js";

/**
 * Length of a new leader's settling time, in which many workers connect to it for the first time, as a share of the
 * grace period or of a worker lease, whichever is shorter.
 */
const SETTLING_SHARE = 2 / 3;
/**
 * While there is no leader, followers answer heartbeats for a part of the worker lease after a leader was last seen.
 * That part is the length of the lease divided by this constant.
 */
const LEADERLESS_LEASE_DIVISOR = 3;

/** Which other parts of the cluster the node can reach. */
export interface NodeConnectivity {
  /** Whether the replica has been loaded by a full read. */
  readonly replicaLoaded: boolean;
  /** Whether this node has contact with the state service. */
  readonly reachesState: boolean;
  /** Whether some other node that this node reaches has contact with the state service. */
  readonly peerReachesState: boolean;
  /** Whether a leader's heartbeat to this node arrived recently. */
  readonly leaderHeartbeatRecent: boolean;
}

/** Dependencies and settings of a `FollowerResponder`. */
export interface FollowerResponderOptions {
  readonly settings: ClusterSettings;
  readonly member: string;
  readonly zone: string;
  readonly replica: StateReplica;
  readonly leaseExtension: LeaseExtension;
  /** Limits how many heartbeats per second this node redirects to a settling leader. */
  readonly redirectBudget: TokenBucket;
  readonly gracePeriodS: number;
}

/** Decides, while this node is a follower, which worker heartbeats it answers itself. */
export class FollowerResponder {
  /** Monotonic time at which a leader was last seen in the replica, or the replica was last loaded by a full read. */
  private leaderSeenAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FollowerResponderOptions) {}

  recordLeaderSeen(now: number): void {
    this.leaderSeenAt = now;
  }

  /** Whether to answer this heartbeat. `now`: monotonic time in seconds; `wallMs`: time of day in milliseconds. */
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

  /**
   * The fencing token of an answer to a heartbeat that `mayAnswer` allows. It is not lower than the worker's own
   * token, as the worker would drop the answer, and otherwise the lowest one of the stored epoch.
   */
  answerToken({ fencingToken }: WorkerHeartbeat): number {
    return Math.max(firstFencingToken(this.options.replica.epoch.value), fencingToken);
  }

  /** Whether the leader acquired leadership only recently, by the time of day stored in the leader record. */
  isLeaderSettling(wallMs: number): boolean {
    const { replica, gracePeriodS, settings } = this.options;
    const settlingS = SETTLING_SHARE * Math.min(gracePeriodS, settings.leaseS);
    return replica.leader !== null && wallMs - replica.leader.value.acquiredAtMs < 1000 * settlingS;
  }

  /**
   * Whether the heartbeat reports service or gang tasks that have not exited, and no task of a cancelled job. Tasks
   * of cancelled jobs must end soon, so the lease of a worker that runs any of them is not extended.
   */
  qualifiesForLeaseExtension(heartbeat: WorkerHeartbeat): boolean {
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
   * While a new leader is settling, a follower redirects only a limited number of heartbeats per second to it. The
   * follower answers the others without commands, with the leader's fencing token. It may redirect these workers when
   * they send their next heartbeat. Without this limit, 2000 workers connected to the leader at once. Each of them
   * disconnected before the leader served it, and reconnected, until its lease expired. Extending these leases is
   * safe: the leader assumes that every lease was renewed as late as the leader's own start plus the grace period,
   * and the settling time ends before then.
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
   * While there is no leader, a worker whose heartbeat is refused retries every second over a new connection. With
   * 1000 workers, this load kept every node from acquiring leadership for 20 s. Therefore, for part of a lease, any
   * follower that reaches the state service answers workers without commands, with the last fencing token. A later
   * heartbeat of these workers is redirected to the next leader. Extending these leases is safe, because that leader
   * adds its grace period before it declares a lease expired.
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

  /**
   * A follower counts as partitioned if neither it nor any peer that it reaches has contact with the state service,
   * and no heartbeat of a leader arrived recently. For a limited time, it then answers the workers of its own zone
   * that run service or gang tasks. Without an answer, these workers would kill their tasks when their leases expire.
   */
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
      this.qualifiesForLeaseExtension(heartbeat)
    );
  }
}
