/** What a node answers to workers' heartbeats, as the leader, as a former leader and as a standby. */
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

/** What heartbeats are answered with. */
export interface WorkerHeartbeatsOptions {
  /** The name of this node. */
  readonly member: string;
  readonly timing: NodeTiming;
  /** Steady time, in seconds. */
  readonly now: () => number;
  readonly replica: StateReplica;
  readonly stateContact: StateContact;
  readonly health: NodeHealth;
  readonly leadership: Leadership;
  readonly standby: StandbyResponder;
  readonly load: NodeLoad;
  readonly performEffects: (effects: readonly Effect[]) => void;
  /** The scheduler handled a heartbeat: there may be something to schedule. */
  readonly onHeartbeatHandled: () => void;
}

/** Answers heartbeats, or names the node that does. */
export class WorkerHeartbeats implements HeartbeatBackend {
  constructor(private readonly options: WorkerHeartbeatsOptions) {}

  /** Answers a heartbeat that was read. */
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

  /** The leader, if this node is in contact with all that matters and another leads: no heartbeat need be read. */
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
    // Its effects may end the term.
    const fencingToken = term.epoch;
    this.options.performEffects(effects);
    this.options.onHeartbeatHandled();
    return { kind: "answer", fencingToken, commands };
  }

  /** A former leader may not act, but keeps leases alive for a bounded time, without commands. */
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
    scheduler.noteGracePeriodAnswer(heartbeat, receivedAt);
    return { kind: "answer", fencingToken: term.epoch, commands: [] };
  }
}
