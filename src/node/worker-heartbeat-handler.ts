/**
 * Answers worker heartbeats, whether the node is the leader, a previous leader in its grace period, or a follower.
 */
import type { HeartbeatBackend } from "../api/heartbeats.js";
import type { HeartbeatAnswer } from "../api/outcomes.js";
import type { Effect } from "../core/effects.js";
import type { StandbyResponder } from "../core/leadership/standby-responder.js";
import type { WorkerHeartbeat } from "../core/model/workers.js";
import type { StateReplica } from "../core/state/state-replica.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";
import type { NodeHealth } from "./node-health.js";
import type { NodeLoad } from "./node-load.js";
import type { NodeTiming } from "./node-timing.js";
import type { StateContact } from "./state-contact.js";

/** Dependencies of `WorkerHeartbeatHandler`. */
export interface WorkerHeartbeatHandlerOptions {
  /** The name of this node. */
  readonly member: string;
  readonly timing: NodeTiming;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly replica: StateReplica;
  readonly stateContact: StateContact;
  readonly health: NodeHealth;
  readonly leadership: Leadership;
  readonly standby: StandbyResponder;
  readonly load: NodeLoad;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** Called after the scheduler handled a heartbeat, which may allow new placements. */
  readonly onHeartbeatHandled: () => void;
}

/** Answers heartbeats, or redirects workers to the leader. */
export class WorkerHeartbeatHandler implements HeartbeatBackend {
  constructor(private readonly options: WorkerHeartbeatHandlerOptions) {}

  /** Answers a decoded heartbeat. */
  handleHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatAnswer {
    const { now, leadership, load, standby, health, replica, member } = this.options;
    const receivedAt = now();
    const leading = leadership.current;
    if (leading !== null) {
      return load.measure("heartbeats", () => this.handleAsLeader(leading, heartbeat, receivedAt));
    }
    if (standby.mayAnswer(heartbeat, health.connectivity(), receivedAt, Date.now())) {
      return { kind: "answer", fencingToken: replica.epoch.value, commands: [] };
    }
    const leader = replica.leader?.value.member ?? null;
    return { kind: "redirect", leader: leader === member ? null : leader };
  }

  /**
   * The leader's name, if this node is certain that another node leads; otherwise null. Heartbeats can then be
   * redirected without being decoded. Not certain while a new leader is settling, or without contact to the state
   * service.
   */
  redirectTarget(): string | null {
    const { replica, leadership, member, stateContact, standby } = this.options;
    const leader = replica.leader?.value.member;
    if (leadership.current !== null || leader === undefined || leader === member) return null;
    return stateContact.reachesStateService() && !standby.isLeaderSettling(Date.now())
      ? leader
      : null;
  }

  private handleAsLeader(
    leading: ActiveLeadership,
    heartbeat: WorkerHeartbeat,
    receivedAt: number,
  ): HeartbeatAnswer {
    const { term, scheduler } = leading;
    if (!term.mayAct(receivedAt)) return this.handleInGracePeriod(leading, heartbeat, receivedAt);
    const { commands, effects } = scheduler.handleHeartbeat(heartbeat, receivedAt);
    // Performing the effects may end the term.
    const fencingToken = term.epoch;
    this.options.performEffects(effects);
    this.options.onHeartbeatHandled();
    return { kind: "answer", fencingToken, commands };
  }

  /**
   * A leader whose term has ended may not send commands. For a bounded time, it still extends worker leases by
   * answering heartbeats without commands.
   */
  private handleInGracePeriod(
    { term, scheduler }: ActiveLeadership,
    heartbeat: WorkerHeartbeat,
    receivedAt: number,
  ): HeartbeatAnswer {
    const { standby, timing } = this.options;
    const graceS = standby.runsExtendableTasks(heartbeat)
      ? timing.leaseExtensionS
      : timing.gracePeriodS;
    if (!term.isWithinGracePeriod(receivedAt, graceS) || heartbeat.fencingToken > term.epoch) {
      return { kind: "unavailable" };
    }
    scheduler.recordGracePeriodAnswer(heartbeat, receivedAt);
    return { kind: "answer", fencingToken: term.epoch, commands: [] };
  }
}
