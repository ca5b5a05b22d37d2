/**
 * Answers worker heartbeats, whether the node is the leader, a previous leader in its grace period, or a follower.
 */
import type { HeartbeatBackend } from "../api/heartbeats.js";
import type { HeartbeatAnswer } from "../api/outcomes.js";
import type { Effect } from "../core/effects.js";
import type { FollowerResponder } from "../core/leadership/follower-responder.js";
import type { WorkerHeartbeat } from "../core/model/workers.js";
import type { StateReplica } from "../core/state/state-replica.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";
import type { NodeHealth } from "./node-health.js";
import type { NodeLoad } from "./node-load.js";
import type { NodeTiming } from "./node-timing.js";
import type { StateContact } from "./state-contact.js";

/** Dependencies of `WorkerHeartbeatHandler`. */
export interface WorkerHeartbeatHandlerOptions {
  /** This node's member name in the settings. */
  readonly member: string;
  readonly timing: NodeTiming;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly replica: StateReplica;
  readonly stateContact: StateContact;
  readonly health: NodeHealth;
  readonly leadership: Leadership;
  readonly followerResponder: FollowerResponder;
  readonly load: NodeLoad;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** Called after the scheduler has handled a heartbeat, because new placements may then be possible. */
  readonly onHeartbeatHandled: () => void;
}

/** Answers heartbeats, or redirects workers to the leader. */
export class WorkerHeartbeatHandler implements HeartbeatBackend {
  constructor(private readonly options: WorkerHeartbeatHandlerOptions) {}

  /** Answers a decoded heartbeat. */
  handleHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatAnswer {
    const { now, leadership, load, followerResponder, health, replica, member } = this.options;
    const receivedAt = now();
    const activeLeadership = leadership.current;
    if (activeLeadership !== null) {
      return load.measure("heartbeats", () =>
        this.handleAsLeader(activeLeadership, heartbeat, receivedAt),
      );
    }
    if (followerResponder.mayAnswer(heartbeat, health.connectivity(), receivedAt, Date.now())) {
      return {
        kind: "answer",
        fencingToken: followerResponder.answerToken(heartbeat),
        commands: [],
      };
    }
    const leader = replica.leader?.value.member ?? null;
    return { kind: "redirect", leader: leader === member ? null : leader };
  }

  /**
   * The leader's member name, if all heartbeats can be redirected to that leader without being decoded; otherwise
   * null. This node must be certain that another node leads, which requires contact with the state service. The
   * result is also null during the first part of a new leader's term (`FollowerResponder.isLeaderSettling`). In that
   * time, this node answers some heartbeats itself, and has to decode each heartbeat to decide whether to answer it.
   */
  redirectTarget(): string | null {
    const { replica, leadership, member, stateContact, followerResponder } = this.options;
    const leader = replica.leader?.value.member;
    if (leadership.current !== null || leader === undefined || leader === member) return null;
    return stateContact.reachesStateService() && !followerResponder.isLeaderSettling(Date.now())
      ? leader
      : null;
  }

  private handleAsLeader(
    activeLeadership: ActiveLeadership,
    heartbeat: WorkerHeartbeat,
    receivedAt: number,
  ): HeartbeatAnswer {
    const { term, scheduler } = activeLeadership;
    if (!term.mayAct(receivedAt))
      return this.handleAfterTerm(activeLeadership, heartbeat, receivedAt);
    const { fencingToken, commands, effects } = scheduler.handleHeartbeat(heartbeat, receivedAt);
    this.options.performEffects(effects);
    this.options.onHeartbeatHandled();
    return { kind: "answer", fencingToken, commands };
  }

  /**
   * Answers a heartbeat that arrives after the end of the term, when this node may no longer send commands. For a
   * limited time, the answer contains no commands but extends the worker's lease. That time is the grace period or,
   * for workers that run service or gang tasks, the lease extension. After it, or if the worker has seen a higher
   * fencing token, the answer is `unavailable`.
   */
  private handleAfterTerm(
    { term, scheduler }: ActiveLeadership,
    heartbeat: WorkerHeartbeat,
    receivedAt: number,
  ): HeartbeatAnswer {
    const { followerResponder, timing } = this.options;
    const graceS = followerResponder.qualifiesForLeaseExtension(heartbeat)
      ? timing.leaseExtensionS
      : timing.gracePeriodS;
    if (!term.isWithinGracePeriod(receivedAt, graceS) || heartbeat.fencingToken > term.epoch) {
      return { kind: "unavailable" };
    }
    const fencingToken = scheduler.recordGracePeriodAnswer(heartbeat, receivedAt);
    return { kind: "answer", fencingToken, commands: [] };
  }
}
