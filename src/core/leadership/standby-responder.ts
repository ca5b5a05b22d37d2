/**
 * Which reports a node answers although it does not lead. No answer carries a command; each keeps a lease
 * alive, so each case is bounded by what a leader adds before it counts a lease as over (`MachineMonitor.lapse`).
 * None rests on knowing every cancellation: one is confirmed only when nothing of it is left
 * (`Records.view`). What is known to be cancelled is not kept all the same, so that it is gone sooner.
 */

import { hasExtendableLease } from "../leader-context.js";
import type { ClusterSettings } from "../model/settings.js";
import type { WorkerHeartbeat } from "../model/workers.js";
import type { TokenBucket } from "../overload/token-bucket.js";
import type { StateReplica } from "../state/state-replica.js";
import type { LeaseExtension } from "./lease-extension.js";

/** Whom the node is in contact with. */
export interface NodeConnectivity {
  readonly replicaLoaded: boolean;
  readonly reachesState: boolean;
  readonly peerReachesState: boolean;
  readonly leaderHeartbeatRecent: boolean;
}

export class StandbyResponder {
  /** When a leader was last recorded, or the records were first read. */
  private leaderSeenAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly settings: ClusterSettings,
    private readonly member: string,
    private readonly zone: string,
    private readonly replica: StateReplica,
    private readonly leaseExtension: LeaseExtension,
    /** Workers that a new leader takes in a second, as far as this node sends them on. */
    private readonly redirectBudget: TokenBucket,
    private readonly gracePeriodS: number,
  ) {}

  noteLeaderSeen(now: number): void {
    this.leaderSeenAt = now;
  }

  mayAnswer(r: WorkerHeartbeat, contact: NodeConnectivity, now: number, wallMs: number): boolean {
    return (
      this.mayAnswerWhilePartitioned(r, contact, now) ||
      this.mayAnswerBetweenLeaders(r, contact, now) ||
      this.mayAnswerForSettlingLeader(r, contact, now, wallMs)
    );
  }

  /** The leader took the term a moment ago: by the time of day that is stored with it. */
  isLeaderSettling(wallMs: number): boolean {
    const { leader: lead } = this.replica;
    const boundS = (2 / 3) * Math.min(this.gracePeriodS, this.settings.leaseS);
    return lead !== null && wallMs - lead.value.at < 1000 * boundS;
  }

  /**
   * Replicas or gang tasks are on the machine, by what its worker itself says, and nothing that was
   * cancelled, which must be gone soon.
   */
  runsExtendableTasks(r: WorkerHeartbeat): boolean {
    if (this.runsCancelledTasks(r)) return false;
    return r.tasks.some((t) => {
      const job = t.state === "exited" ? undefined : this.replica.activeJobs.get(t.job);
      return job !== undefined && hasExtendableLease(job.value.j.kind);
    });
  }

  private runsCancelledTasks(r: WorkerHeartbeat): boolean {
    return r.tasks.some((t) => this.replica.cancellations.has(t.job));
  }

  /**
   * While a new leader settles, only so many workers a second are sent on to it; the others are answered
   * here, without commands, with its token, and come again with their next report. (Two thousand came at
   * once; each had left by the time its turn came, and came again, until its lease was over.) The leader
   * counts every lease from `graceS` after its start in any case, and this ends before then.
   */
  private mayAnswerForSettlingLeader(
    r: WorkerHeartbeat,
    contact: NodeConnectivity,
    now: number,
    wallMs: number,
  ): boolean {
    const { leader: lead, epoch } = this.replica;
    return (
      lead !== null &&
      lead.value.member !== this.member &&
      this.isLeaderSettling(wallMs) &&
      contact.reachesState &&
      r.fencingToken <= epoch.value.n &&
      !this.runsCancelledTasks(r) &&
      !this.redirectBudget.tryTake(1, now)
    );
  }

  /**
   * Nobody leads. Workers that are turned away then come back every second, each over a new connection,
   * and leave no node the time to take the term (a thousand did, for 20 s). So for part of a lease any node
   * in contact answers them without commands, with the last token; they find the next leader with their
   * next report. That leader adds `graceS` before it counts a lease as over.
   */
  private mayAnswerBetweenLeaders(
    r: WorkerHeartbeat,
    contact: NodeConnectivity,
    now: number,
  ): boolean {
    const epoch = this.replica.epoch.value.n;
    return (
      contact.reachesState &&
      this.replica.leader === null &&
      epoch > 0 &&
      r.fencingToken <= epoch &&
      now - this.leaderSeenAt < this.settings.leaseS / 3 &&
      !this.runsCancelledTasks(r)
    );
  }

  /** Cut off from everybody but the workers of this zone, which would lose what they run. */
  private mayAnswerWhilePartitioned(
    r: WorkerHeartbeat,
    contact: NodeConnectivity,
    now: number,
  ): boolean {
    return (
      contact.replicaLoaded &&
      r.zone === this.zone &&
      r.fencingToken <= this.replica.epoch.value.n &&
      this.leaseExtension.mayExtendLeases(now) &&
      !contact.peerReachesState &&
      !contact.leaderHeartbeatRecent &&
      this.runsExtendableTasks(r)
    );
  }
}
