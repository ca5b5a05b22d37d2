/** Preempts running tasks for jobs that a scheduling cycle could not place. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { freeTaskSlots } from "../machines/machine.js";
import type { PlanningContext } from "./context.js";
import { slotsOnEmptyMachine } from "./eligibility.js";
import { findPreemption, isEntitledToPreempt, type PreemptionChoice } from "./preemption.js";

/**
 * Searches per cycle and core. Each search examines all machines. Once a cycle's searches are used up, the remaining
 * jobs wait for a later cycle.
 */
const PREEMPTION_SEARCHES_PER_CORE = 64;

/** Maximum number of searches per cycle, regardless of the number of cores. */
const MAX_PREEMPTION_SEARCHES = 16;

/**
 * Searches per job and cycle, so that one job does not use up the budget. Each search frees capacity on one machine.
 */
const MAX_SEARCHES_PER_JOB = 8;

/** Share of a heartbeat interval to wait before the next search for a job whose last search found nothing. */
const RETRY_HEARTBEAT_INTERVALS = 1 / 4;

/** Number of searches left in the cycle. */
interface SearchBudget {
  left: number;
}

/** The preemption step of a scheduling cycle. */
export class PreemptionExecutor {
  constructor(private readonly dispatcher: CommandDispatcher) {}

  /** Preempts tasks for these jobs, in the given order, until the cycle's search budget is used up. */
  preemptForAll(waitingJobs: readonly ActiveJob[], context: PlanningContext): void {
    const searchesForCpuShare = Math.ceil(PREEMPTION_SEARCHES_PER_CORE * context.settings.cpuShare);
    const searches = { left: Math.min(MAX_PREEMPTION_SEARCHES, searchesForCpuShare) };
    for (const job of waitingJobs) {
      if (searches.left > 0 && mayPreemptNow(job, context)) this.preemptFor(job, context, searches);
    }
  }

  private preemptFor(job: ActiveJob, context: PlanningContext, searches: SearchBudget): void {
    const zones = job.zones.copy();
    let missingSlots = job.pendingCount - reserveSlotsBeingFreed(job, zones, context);
    for (
      let searchCount = 0;
      missingSlots > 0 && searchCount < MAX_SEARCHES_PER_JOB && searches.left > 0;
      searchCount++
    ) {
      searches.left--;
      const choice = findPreemption(job, zones, context);
      if (choice === null) {
        const retryAfterS = context.settings.heartbeatIntervalS * RETRY_HEARTBEAT_INTERVALS;
        job.nextPreemptionAt = context.now + retryAfterS;
        return;
      }
      this.preempt(choice, job, context);
      const { machine } = choice;
      missingSlots -= zones.reserveIn(machine.zone, Math.max(1, freeTaskSlots(job.spec, machine)));
    }
  }

  /** Reserves the machine for the job and stops the victims. If a victim belongs to a gang, stops the whole gang. */
  private preempt(
    { machine, victims }: PreemptionChoice,
    job: ActiveJob,
    context: PlanningContext,
  ): void {
    const { gangPeerS, heartbeatIntervalS } = context.settings;
    machine.reservation = {
      job,
      until: context.now + gangPeerS + 2 * heartbeatIntervalS,
      kind: "being freed",
    };
    for (const victim of victims) {
      this.dispatcher.stopTaskOrGang(victim, `preempted for ${job.spec.id}`, victim.job.spec.saveS);
    }
    this.dispatcher.sendDueCommands(machine, context.now);
  }
}

/** Whether tasks may be preempted for the job now, regardless of the search budget. */
function mayPreemptNow(job: ActiveJob, context: PlanningContext): boolean {
  const { effectiveRank, spec } = job;
  if (!isEntitledToPreempt(job, context)) return false;
  if (context.now < job.nextPreemptionAt) return false;
  // Preemption loses work, so a less urgent job first waits for capacity to become free by itself.
  const waitedS = context.now - (job.waitingSince ?? context.now);
  if (effectiveRank > 0 && waitedS < context.settings.heartbeatIntervalS * effectiveRank) {
    return false;
  }
  if (spec.kind !== "gang") return true;
  if (job.placementCount > 0) return false;
  // The tasks of a gang start together and need the freed capacity in one place, so a gang of several tasks preempts
  // only if it has reserved a zone.
  return spec.tasks <= 1 || job.reservedZone !== null;
}

/**
 * Returns the number of slots on machines that are being freed for the job, and adds them to `zones`, unless the job
 * has reserved a zone.
 */
function reserveSlotsBeingFreed(
  job: ActiveJob,
  zones: ZoneOccupancy,
  context: PlanningContext,
): number {
  let slots = 0;
  for (const machine of context.cluster.machines.values()) {
    const { reservation } = machine;
    if (reservation?.job !== job || reservation.kind === "awaited") continue;
    const slotsOnMachine = slotsOnEmptyMachine(job.spec, machine);
    // A gang that has reserved a zone may also be freeing machines in other zones. These must not tie its tasks to
    // their zones.
    slots += job.reservedZone ? slotsOnMachine : zones.reserveIn(machine.zone, slotsOnMachine);
  }
  return slots;
}
