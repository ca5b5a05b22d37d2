/** What a new leader makes of the stored state before it acts: machines, placements, and what its predecessor left. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { JobLifecycle } from "../jobs/job-lifecycle.js";
import type { LeaderContext } from "../leader-context.js";
import { runsServiceTasks } from "../machines/machine-predicates.js";
import type { StateReplica } from "../state/state-replica.js";

/** Workers with replicas are told the new fencing token after a heartbeat interval divided by this. */
const REPLICA_REQUEST_DIVISOR = 4;
/** The others have so many heartbeat intervals to come by themselves, or a lease divided by this, if that is longer. */
const OVERDUE_HEARTBEATS = 1.5;
const OVERDUE_LEASE_DIVISOR = 3;

/** Parts of the leader that a takeover fills. */
export interface TakeoverTargets {
  readonly context: LeaderContext;
  readonly dispatcher: CommandDispatcher;
  readonly machinePool: MachinePool;
  readonly jobLifecycle: JobLifecycle;
}

/** Loads everything stored, as of the moment at which leadership was acquired (`now`, in seconds). */
export function takeOver(targets: TakeoverTargets, replica: StateReplica, now: number): void {
  loadMachines(targets, replica, now);
  loadJobs(targets, replica, now);
  releaseEarlierIncarnations(targets, now);
  restartIncompleteGangs(targets);
  scheduleFirstRequests(targets, now);
}

function loadMachines(
  { context, machinePool }: TakeoverTargets,
  replica: StateReplica,
  now: number,
): void {
  machinePool.recordShards.load(replica.machineShards);
  for (const shard of replica.machineShards.values()) {
    for (const [name, [address, type, zone, spot]] of Object.entries(shard.value)) {
      const machine = context.findOrAddMachine(name, { type, zone, spot }, now);
      if (machine === null) continue;
      machine.address = address;
      machine.isPersisted = true;
      machine.state = "up";
      context.awaitFirstContact(machine);
    }
  }
}

function loadJobs(
  { context, jobLifecycle }: TakeoverTargets,
  replica: StateReplica,
  now: number,
): void {
  for (const id of replica.activeJobs.keys()) jobLifecycle.handleJobChange(replica, id, now);
  // Urgency flows from dependents, which may have been loaded after the job itself.
  for (const job of context.cluster.jobs.values()) {
    jobLifecycle.inheritUrgency(replica, job.spec.after ?? []);
    if (job.placementCount > 0) context.cluster.gangStarts.noteStart(job, now);
  }
}

/**
 * Placements of an earlier incarnation may be stored beside those of a later one, if the former leader ended before
 * it had stored that they were lost. The later incarnation proves that they are. (Nine jobs of a day waited to its end
 * for such tasks: no heartbeat mentions them.)
 */
function releaseEarlierIncarnations({ context, dispatcher }: TakeoverTargets, now: number): void {
  for (const machine of context.cluster.machines.values()) {
    for (const placement of [...machine.placements.values()]) {
      if (placement.incarnation >= machine.incarnation) continue;
      dispatcher.handleTaskLost(placement, "earlier incarnation", now);
    }
  }
}

/**
 * A former leader had stored that a gang lost tasks, and ended before it had stopped the others, which is not
 * stored. Those cannot complete, and nothing is placed for the gang while they are there.
 */
function restartIncompleteGangs({ context, dispatcher }: TakeoverTargets): void {
  for (const job of context.cluster.jobs.values()) {
    if (job.spec.kind !== "gang" || job.placements.size === 0 || job.pendingCount === 0) continue;
    dispatcher.restartGang(job, "a gang task was lost before this term");
  }
}

/**
 * Most workers send a heartbeat by themselves within an interval, and a direct request costs more than a heartbeat.
 * Workers with replicas are told the new fencing token soon, the others when they are overdue.
 */
function scheduleFirstRequests({ context, dispatcher }: TakeoverTargets, now: number): void {
  const { heartbeatIntervalS, leaseS } = context.settings;
  const replicaDelayS = heartbeatIntervalS / REPLICA_REQUEST_DIVISOR;
  const overdueS = Math.max(
    OVERDUE_HEARTBEATS * heartbeatIntervalS,
    leaseS / OVERDUE_LEASE_DIVISOR,
  );
  for (const machine of context.cluster.machines.values()) {
    machine.nextRequestAt = now + (runsServiceTasks(machine) ? replicaDelayS : overdueS);
    dispatcher.dueMachines.add(machine);
  }
}
