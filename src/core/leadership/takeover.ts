/**
 * Loads the stored machines, jobs and placements into a new leader before it acts. Also completes work that the
 * previous leader left unfinished.
 */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { JobLifecycle } from "../jobs/job-lifecycle.js";
import type { LeaderContext } from "../leader-context.js";
import { runsServiceTasks } from "../machines/machine-predicates.js";
import type { StateReplica } from "../state/state-replica.js";

/**
 * A worker with service tasks is sent the new fencing token after a delay of one heartbeat interval divided by this
 * number.
 */
const SERVICE_REQUEST_DIVISOR = 4;
/**
 * Any other worker is sent the token when its heartbeat is overdue. That is the case after this many heartbeat
 * intervals, or after the worker lease divided by `OVERDUE_LEASE_DIVISOR`, whichever is longer.
 */
const OVERDUE_HEARTBEAT_INTERVALS = 1.5;
const OVERDUE_LEASE_DIVISOR = 3;

/** Parts of the leader that a takeover initializes. */
export interface TakeoverTargets {
  readonly context: LeaderContext;
  readonly dispatcher: CommandDispatcher;
  readonly machinePool: MachinePool;
  readonly jobLifecycle: JobLifecycle;
}

/** Initializes the leader from the replica. `now` is the time in seconds at which leadership was acquired. */
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
      context.assumeLatestLeaseRenewal(machine);
    }
  }
}

function loadJobs(
  { context, jobLifecycle }: TakeoverTargets,
  replica: StateReplica,
  now: number,
): void {
  for (const id of replica.activeJobs.keys()) jobLifecycle.handleJobChange(replica, id, now);
  // A job inherits the urgency of its dependents. Some may have been loaded after it, so this needs a second pass.
  for (const job of context.cluster.jobs.values()) {
    jobLifecycle.propagateUrgency(replica, job.spec.after ?? []);
    if (job.placementCount > 0) context.cluster.gangStarts.recordStart(job, now);
  }
}

/**
 * Releases placements on a worker incarnation that is earlier than the newest known one. They are still stored if the
 * previous leader placed tasks on the later incarnation, and then stopped leading before it stored the loss of the
 * earlier tasks. The later incarnation proves that the earlier tasks are lost. No heartbeat mentions such tasks, so
 * without this step their jobs would never end (on one day, 9 jobs were still waiting when the day ended).
 */
function releaseEarlierIncarnations({ context, dispatcher }: TakeoverTargets, now: number): void {
  for (const machine of context.cluster.machines.values()) {
    for (const placement of [...machine.placements.values()]) {
      if (placement.incarnation >= machine.incarnation) continue;
      dispatcher.handleTaskLost(placement, "placed on an earlier worker incarnation", now);
    }
  }
}

/**
 * Restarts gangs that lost tasks before this term. A previous leader may have stored the loss of a task, and then
 * stopped leading before the gang's remaining tasks were told to stop; its commands to stop them are not stored. The
 * remaining tasks cannot complete without the lost one, and no task of the gang is placed while they run.
 */
function restartIncompleteGangs({ context, dispatcher }: TakeoverTargets): void {
  for (const job of context.cluster.jobs.values()) {
    if (job.spec.kind !== "gang" || job.placements.size === 0 || job.pendingCount === 0) continue;
    dispatcher.restartGang(job, "a gang task was lost before this term");
  }
}

/**
 * Schedules the first direct request to each worker, which sends the new fencing token. Workers with service tasks
 * are sent it soon. The others are sent it only when their heartbeat is overdue, because most of them send a
 * heartbeat within one interval anyway, and a direct request costs more than a heartbeat.
 */
function scheduleFirstRequests({ context, dispatcher }: TakeoverTargets, now: number): void {
  const { heartbeatIntervalS, leaseS } = context.settings;
  const serviceDelayS = heartbeatIntervalS / SERVICE_REQUEST_DIVISOR;
  const overdueDelayS = Math.max(
    OVERDUE_HEARTBEAT_INTERVALS * heartbeatIntervalS,
    leaseS / OVERDUE_LEASE_DIVISOR,
  );
  for (const machine of context.cluster.machines.values()) {
    machine.nextRequestAt = now + (runsServiceTasks(machine) ? serviceDelayS : overdueDelayS);
    dispatcher.machinesAwaitingDispatch.add(machine);
  }
}
