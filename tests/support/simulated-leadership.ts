/** Who leads in a simulation, and who led: former leaders may go on answering heartbeats for a while. */

import { hasExtendableLease } from "../../src/core/leader-context.js";
import type { WorkerHeartbeat } from "../../src/core/model/workers.js";
import type { Scheduler } from "../../src/core/scheduler.js";
import type { StateReplica } from "../../src/core/state/state-replica.js";
import type { SimulationContext } from "./simulation-context.js";

export const GRACE_PERIOD_S = 21;
export const LEASE_EXTENSION_S = 42;

export interface SimulatedLeader {
  readonly scheduler: Scheduler;
  readonly replica: StateReplica;
  epoch: number;
  epochRevision: number;
  /** It acts until then, and answers heartbeats without commands for a while after. */
  actsUntil: number;
  isWriting: boolean;
  isAdvancingToken: boolean;
}

export class SimulatedLeadership {
  leader: SimulatedLeader | null = null;
  /** Those that the state service alone refused: they may still answer workers. */
  readonly formerLeaders: SimulatedLeader[] = [];
  leaderlessSince: number;
  termCount = 0;

  constructor(private readonly context: SimulationContext) {
    this.leaderlessSince = context.clock.now;
  }

  begin(leader: SimulatedLeader): void {
    this.leader = leader;
    this.termCount++;
    this.context.trace.add(`term ${leader.epoch}`);
  }

  /** The leader ends, or is refused by the state service alone and goes on answering. */
  end(why: string, goesOnAnswering = false): void {
    const { leader } = this;
    if (leader === null) return;
    const { clock, trace } = this.context;
    trace.add(`term over: ${why}`);
    leader.actsUntil = clock.now;
    if (goesOnAnswering) this.formerLeaders.push(leader);
    this.leader = null;
    this.leaderlessSince = clock.now;
  }

  /** The leader's replica takes in what has changed; a later epoch ends its term. */
  catchUpReplica(leader: SimulatedLeader): void {
    const { clock, store } = this.context;
    const { replica, scheduler } = leader;
    const changes = store.changesSince(replica.revision);
    const { jobs } = replica.apply(changes, store.revision);
    if (replica.epoch.value > leader.epoch && !leader.isAdvancingToken) {
      this.end("another epoch");
    } else {
      for (const id of jobs) scheduler.handleJobChange(replica, id, clock.now);
    }
  }

  /** A former leader that may still answer this heartbeat. */
  formerLeaderFor(heartbeat: WorkerHeartbeat): SimulatedLeader | undefined {
    return this.formerLeaders.find(({ epoch, actsUntil, replica }) => {
      if (heartbeat.fencingToken > epoch) return false;
      const isExtendable = heartbeat.tasks.some(({ state, job }) => {
        const active = state === "exited" ? undefined : replica.activeJobs.get(job);
        return active !== undefined && hasExtendableLease(active.value.spec.kind);
      });
      const answersForS = isExtendable ? LEASE_EXTENSION_S : GRACE_PERIOD_S;
      return this.context.clock.now < actsUntil + answersForS;
    });
  }
}
