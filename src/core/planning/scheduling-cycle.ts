/** A pass over all that waits: placements first, then tasks that are stopped to make room for the rest. */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { eventName, isEventAcceptable, residuateByEvent } from "../jobs/pipeline.js";
import type { LeaderContext } from "../leader-context.js";
import { taskSlots } from "../machines/machine.js";
import type { MachineMonitor } from "../machines/machine-monitor.js";
import { TokenBucket } from "../overload/token-bucket.js";
import { type PlanningContext, takeMachineSnapshot } from "./context.js";
import { type GpuReservation, reserveGpuMachines } from "./gpu-reservation.js";
import { placeWaitingJobs } from "./planner.js";
import { precedenceOf } from "./precedence.js";
import { findPreemption } from "./preemption.js";
import { ZoneRelocation } from "./zone-relocation.js";

/** Passes over all that waits, at most so many in a report interval. */
const MAX_CYCLES_PER_INTERVAL = 40;
/** Part of these while a new leader has not met most of its workers. */
const MAX_CYCLES_PER_INTERVAL_WHILE_SETTLING = MAX_CYCLES_PER_INTERVAL / 8;
/** Passes in a report interval when nothing is known to have changed. */
const IDLE_CYCLES_PER_INTERVAL = 3;
/**
 * Tasks of large arrays that are placed in a second, for each core, and at once; a quarter when behind. On a small share
 * of a core so many for each change that the state service takes. (At 7.6% of a core 30 a second were placed, and 8 when
 * behind, while a leader used seven tenths of its share.)
 */
const BULK_TASKS_PER_CORE_SECOND = 400;
const BULK_TASKS_PER_STATE_WRITE = 2;
const OVERLOADED_BULK_FACTOR = 1 / 4;
const BULK_BURST_S = 4;
/** Searches of one pass for tasks to stop, for each core, and at the most: each goes over all machines. */
const PREEMPTION_SEARCHES_PER_CORE = 64;
const MAX_PREEMPTION_SEARCHES = 16;
/** Machines that one search may make room on for one job. */
const MAX_SEARCHES_PER_JOB = 8;

export class PlanningPass {
  private lastCycleAt = Number.NEGATIVE_INFINITY;
  /** How many tasks of large arrays are placed: what they cost is not to delay others. */
  private readonly bulkBudget = new TokenBucket(0, 0);

  private readonly zoneRelocation: ZoneRelocation;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: CommandDispatcher,
    private readonly fleet: MachinePool,
    private readonly monitor: MachineMonitor,
  ) {
    this.zoneRelocation = new ZoneRelocation(context.cluster, dispatch);
  }

  /** Runs a pass if it is time for one. */
  runIfDue(now: number, wallMs: number): void {
    const most = this.monitor.isSettling(now)
      ? MAX_CYCLES_PER_INTERVAL_WHILE_SETTLING
      : MAX_CYCLES_PER_INTERVAL;
    const passes = this.context.cycleRequested ? most : IDLE_CYCLES_PER_INTERVAL;
    const since = now - this.lastCycleAt;
    if (this.context.hasMachineTypes && since > this.context.settings.heartbeatIntervalS / passes) {
      this.runCycle(now, wallMs);
    }
  }

  private updateBulkBudget(): void {
    const { cpuShare, stateWriteRps } = this.context.settings;
    const whole = Math.max(
      BULK_TASKS_PER_CORE_SECOND * cpuShare,
      BULK_TASKS_PER_STATE_WRITE * stateWriteRps,
    );
    const rate = this.dispatch.isOverloaded ? OVERLOADED_BULK_FACTOR * whole : whole;
    this.bulkBudget.setRate(rate, BULK_BURST_S * rate);
  }

  private createPlanningContext(now: number, wallMs: number): PlanningContext {
    return {
      cluster: this.context.cluster,
      settings: this.context.settings,
      now,
      wallMs,
      maxValueBytes: this.context.valueSizeLimit.plannedBytes,
      bulkBudget: this.bulkBudget,
      snapshot: takeMachineSnapshot(this.context.cluster, this.context.settings, now),
      logTask: (message, fields) => this.context.logTask(message, fields),
    };
  }

  private runCycle(now: number, wallMs: number): void {
    this.context.cycleRequested = false;
    this.lastCycleAt = now;
    const within = this.context.cluster.jobsWithinGuarantee();
    for (const m of this.context.cluster.machines.values()) {
      if (m.reservation === null) continue;
      const { job, held, until } = m.reservation;
      const over = this.context.cluster.jobs.get(job.spec.id) !== job || job.pendingCount === 0;
      if (held || over || now > until) {
        m.reservation = null;
      }
    }
    for (const job of this.context.cluster.jobs.values()) {
      if (!job.isReady && !job.isBlockedOnDependencies) job.markReady(wallMs);
      job.precedence = precedenceOf(job, within);
    }
    const gpuSpecs = [...this.fleet.shapes.values()].map((s) => s.spec).filter((s) => s.gpus > 0);
    const reserve = reserveGpuMachines(this.context.cluster, gpuSpecs);
    this.updateBulkBudget();
    const ctx = this.createPlanningContext(now, wallMs);
    this.fleet.waitingJobs = placeWaitingJobs(ctx, within, reserve, (job) => this.acceptStart(job));
    for (const job of this.fleet.waitingJobs)
      this.zoneRelocation.relocateIfNeeded(job, ctx.snapshot, now);
    // Nothing is stopped for what waits while most room is not in sight.
    if (this.monitor.isSettling(now)) return;
    // Each look for room goes over all machines: what a pass does not come to, the next one does.
    const ofShare = Math.ceil(PREEMPTION_SEARCHES_PER_CORE * this.context.settings.cpuShare);
    const searches = { left: Math.min(MAX_PREEMPTION_SEARCHES, ofShare) };
    for (const job of this.fleet.waitingJobs) this.preemptFor(job, ctx, within, reserve, searches);
  }

  /** The algebra decides whether the start is accepted; the write that holds it makes it so. */
  private acceptStart(job: ActiveJob): boolean {
    if (job.isStartAccepted) return true;
    const start = eventName("start", job.spec.id);
    if (!isEventAcceptable(job.dependencies, start)) return false;
    job.dependencies = residuateByEvent(job.dependencies, start);
    job.ownerEpoch = this.context.epoch;
    job.isStartAccepted = true;
    job.markChanged();
    return true;
  }

  private preemptFor(
    job: ActiveJob,
    ctx: PlanningContext,
    within: ReadonlySet<string>,
    reserve: GpuReservation,
    searches: { left: number },
  ): void {
    const { effectiveRank: rank } = job;
    if (rank > 1 && !within.has(job.spec.id)) return;
    if (searches.left <= 0 || ctx.now < job.nextPreemptionAt) return;
    // Stopping costs work: what is not urgent waits a moment for room to come up by itself.
    const waited = ctx.now - (job.waitingSince ?? ctx.now);
    if (rank > 0 && waited < this.context.settings.heartbeatIntervalS * rank) return;
    let need = job.pendingCount;
    if (job.spec.kind === "gang" && job.placementCount > 0) return;
    // Room made here and there is of no use to tasks that must start together in one zone.
    if (job.spec.kind === "gang" && job.spec.tasks > 1 && job.reservedZone === null) return;
    const zones = job.zones.copy();
    for (const m of this.context.cluster.machines.values()) {
      if (m.reservation?.job !== job) continue;
      const whole = taskSlots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
      // A gang that gathers in a zone may have begun to in another, which does not bind it.
      need -= job.reservedZone ? whole : zones.reserveIn(m.zone, whole);
    }
    for (let i = 0; need > 0 && i < MAX_SEARCHES_PER_JOB && searches.left > 0; i++) {
      searches.left--;
      const found = findPreemption(job, zones, ctx, within, reserve);
      if (found === null) {
        job.nextPreemptionAt = ctx.now + this.context.settings.heartbeatIntervalS / 4;
        return;
      }
      found.machine.reservation = {
        job,
        until:
          ctx.now + this.context.settings.gangPeerS + 2 * this.context.settings.heartbeatIntervalS,
        held: false,
      };
      for (const v of found.victims) {
        this.dispatch.stopGang(v, `room for ${job.spec.id}`, v.job.spec.saveS);
      }
      this.dispatch.sendDue(found.machine, ctx.now);
      const { zone, freeCpus, freeGpus, freeMemoryGb: freeMemory } = found.machine;
      const fits = taskSlots(job.spec, freeCpus, freeGpus, freeMemory);
      need -= zones.reserveIn(zone, Math.max(1, fits));
    }
  }
}
