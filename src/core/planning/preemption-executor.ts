/** Preempts running tasks for jobs that a scheduling cycle could not place. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { ZoneOccupancy } from "../dispatch/placement-constraints.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { PlanningContext } from "./context.js";
import { freeSlotsOn, slotsOnEmptyMachine } from "./eligibility.js";
import { findPreemption, type PreemptionChoice } from "./preemption.js";

/** Searches in one cycle, for each core. Each search examines all machines: what a cycle omits, the next one does. */
const PREEMPTION_SEARCHES_PER_CORE = 64;

/** Searches in one cycle at the most, however many cores there are. */
const MAX_PREEMPTION_SEARCHES = 16;

/** Searches for one job in one cycle, each of which frees capacity on one machine: one job must not use up all. */
const MAX_SEARCHES_PER_JOB = 8;

/** Highest rank (0 is the most urgent) at which a job beyond its team's guarantee preempts. */
const MAX_RANK_BEYOND_GUARANTEE = 1;

/** Share of a heartbeat interval for which no search is made for a job after one found nothing. */
const RETRY_HEARTBEAT_INTERVALS = 1 / 4;

/** Searches that the cycle may still make. */
interface SearchBudget {
  left: number;
}

/** The preemption step of a scheduling cycle. */
export class PreemptionExecutor {
  constructor(private readonly dispatcher: CommandDispatcher) {}

  /** Preempts for these jobs, in their order, as far as the cycle's search budget goes. */
  preemptForAll(waitingJobs: readonly ActiveJob[], context: PlanningContext): void {
    const searchesOfShare = Math.ceil(PREEMPTION_SEARCHES_PER_CORE * context.settings.cpuShare);
    const searches = { left: Math.min(MAX_PREEMPTION_SEARCHES, searchesOfShare) };
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
      missingSlots -= zones.reserveIn(machine.zone, Math.max(1, freeSlotsOn(job.spec, machine)));
    }
  }

  /** Reserves the machine for the job and stops the victims, each with its whole gang. */
  private preempt(
    { machine, victims }: PreemptionChoice,
    job: ActiveJob,
    context: PlanningContext,
  ): void {
    const { gangPeerS, heartbeatIntervalS } = context.settings;
    machine.reservation = {
      job,
      until: context.now + gangPeerS + 2 * heartbeatIntervalS,
      held: false,
    };
    for (const victim of victims) {
      this.dispatcher.stopGang(victim, `preempted for ${job.spec.id}`, victim.job.spec.saveS);
    }
    this.dispatcher.sendDue(machine, context.now);
  }
}

/** May tasks be preempted for the job now, if any search is left? */
function mayPreemptNow(job: ActiveJob, context: PlanningContext): boolean {
  const { effectiveRank, spec } = job;
  if (effectiveRank > MAX_RANK_BEYOND_GUARANTEE && !context.guaranteedJobs.has(spec.id)) {
    return false;
  }
  if (context.now < job.nextPreemptionAt) return false;
  // Preemption loses work: a job that is not urgent waits a moment for capacity to come free by itself.
  const waitedS = context.now - (job.waitingSince ?? context.now);
  if (effectiveRank > 0 && waitedS < context.settings.heartbeatIntervalS * effectiveRank) {
    return false;
  }
  if (spec.kind !== "gang") return true;
  if (job.placementCount > 0) return false;
  // Capacity freed in several places is of no use to tasks that must start together in one zone.
  return spec.tasks <= 1 || job.reservedZone !== null;
}

/** Reserves in `zones` the slots on machines that are being freed for the job; returns how many they are. */
function reserveSlotsBeingFreed(
  job: ActiveJob,
  zones: ZoneOccupancy,
  context: PlanningContext,
): number {
  let slots = 0;
  for (const machine of context.cluster.machines.values()) {
    if (machine.reservation?.job !== job) continue;
    const wholeMachine = slotsOnEmptyMachine(job.spec, machine);
    // A gang with a reserved zone may have freed capacity in another one before, which does not bind it.
    slots += job.reservedZone ? wholeMachine : zones.reserveIn(machine.zone, wholeMachine);
  }
  return slots;
}
