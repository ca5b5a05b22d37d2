/**
 * The scheduling cycle: places tasks of all waiting jobs, then preempts running tasks for the jobs that still lack
 * capacity.
 */

import type { MachinePool } from "../capacity/machine-pool.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { ActiveJob } from "../jobs/active-job.js";
import { eventName, isEventAcceptable, residuateByEvent } from "../jobs/pipeline.js";
import type { LeaderContext } from "../leader-context.js";
import type { MachineMonitor } from "../machines/machine-monitor.js";
import { TokenBucket } from "../overload/token-bucket.js";
import type { PlanningContext } from "./context.js";
import { reserveGpuMachines } from "./gpu-reservation.js";
import { takeMachineSnapshot } from "./machine-snapshot.js";
import { placeWaitingJobs } from "./planner.js";
import { precedenceOf } from "./precedence.js";
import { PreemptionExecutor } from "./preemption-executor.js";
import { ValueLimitReports } from "./value-limit-reports.js";
import { ZoneRelocation } from "./zone-relocation.js";

/** Maximum number of cycles in a heartbeat interval, which bounds the CPU time that a burst of changes costs. */
const MAX_CYCLES_PER_INTERVAL = 40;

/**
 * Like `MAX_CYCLES_PER_INTERVAL`, but while a new leader still waits for the first heartbeats of most workers. A
 * cycle then finds little usable capacity.
 */
const MAX_CYCLES_PER_INTERVAL_WHILE_SETTLING = MAX_CYCLES_PER_INTERVAL / 8;

/**
 * Cycles in a heartbeat interval in which no change is reported. Some are needed because backoffs and time limits
 * expire meanwhile.
 */
const IDLE_CYCLES_PER_INTERVAL = 3;

/**
 * Tasks of sharded jobs placed per second and core. Processing their starts, heartbeats and ends takes CPU time,
 * which delays other jobs.
 */
const SHARDED_TASKS_PER_CORE_SECOND = 400;

/**
 * Tasks of sharded jobs placed per change that the state service accepts. The resulting rate replaces the rate per
 * core if it is higher, as it is with a small CPU share: at 7.6% of a core, the rate per core allowed only 30 tasks a
 * second, and 8 when overloaded, although the leader used only seven tenths of its share.
 */
const SHARDED_TASKS_PER_STATE_WRITE = 2;

/** Factor on the rate of placements while the controller is overloaded. */
const OVERLOADED_RATE_FACTOR = 1 / 4;

/** Burst size: the number of tasks that the rate allows in this many seconds. */
const SHARDED_TASK_BURST_S = 4;

/** Runs scheduling cycles on the leader, at a bounded rate. */
export class SchedulingCycle {
  /** Monotonic time at which the last cycle began, in seconds. */
  private lastCycleAt = Number.NEGATIVE_INFINITY;
  /** Limits the rate at which tasks of sharded jobs are placed, so that processing them does not delay other jobs. */
  private readonly shardedTaskBudget = new TokenBucket(0, 0);
  private readonly valueLimitReports: ValueLimitReports;
  private readonly zoneRelocation: ZoneRelocation;
  private readonly preemption: PreemptionExecutor;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachinePool,
    private readonly monitor: MachineMonitor,
  ) {
    this.valueLimitReports = new ValueLimitReports(context);
    this.zoneRelocation = new ZoneRelocation(context.cluster, dispatcher);
    this.preemption = new PreemptionExecutor(dispatcher);
  }

  /** Runs a cycle if one is due. `now`: monotonic time in seconds; `wallMs`: time of day in milliseconds. */
  runIfDue(now: number, wallMs: number): void {
    const maxCycles = this.monitor.isAwaitingFirstHeartbeats(now)
      ? MAX_CYCLES_PER_INTERVAL_WHILE_SETTLING
      : MAX_CYCLES_PER_INTERVAL;
    const cycles = this.context.cycleRequested ? maxCycles : IDLE_CYCLES_PER_INTERVAL;
    const elapsedS = now - this.lastCycleAt;
    const minElapsedS = this.context.settings.heartbeatIntervalS / cycles;
    if (this.context.hasMachineTypes && elapsedS > minElapsedS) this.runCycle(now, wallMs);
  }

  private runCycle(now: number, wallMs: number): void {
    this.context.cycleRequested = false;
    this.lastCycleAt = now;
    const guaranteedJobs = this.context.cluster.jobsWithinGuarantee();
    this.clearExpiredReservations(now);
    this.refreshPrecedences(guaranteedJobs, wallMs);
    const planning = this.createPlanningContext(guaranteedJobs, now, wallMs);
    const waitingJobs = placeWaitingJobs(planning, (job) => this.acceptStart(job));
    this.machinePool.waitingJobs = waitingJobs;
    for (const job of waitingJobs) {
      this.zoneRelocation.relocateIfNeeded(job, planning.snapshot, now);
    }
    // Nothing is preempted while most capacity is still unknown: free capacity may be found without losing work.
    if (!this.monitor.isAwaitingFirstHeartbeats(now))
      this.preemption.preemptForAll(waitingJobs, planning);
  }

  /** Drops the gang reservations of the last cycle, expired reservations, and those whose job has no pending task. */
  private clearExpiredReservations(now: number): void {
    const { jobs, machines } = this.context.cluster;
    for (const machine of machines.values()) {
      if (machine.reservation === null) continue;
      const { job, kind, until } = machine.reservation;
      const isObsolete = jobs.get(job.spec.id) !== job || job.pendingCount === 0;
      if (kind !== "being freed" || isObsolete || now > until) machine.reservation = null;
    }
  }

  private refreshPrecedences(guaranteedJobs: ReadonlySet<string>, wallMs: number): void {
    for (const job of this.context.cluster.jobs.values()) {
      if (!job.isReady && !job.isBlockedOnDependencies) job.markReady(wallMs);
      job.precedence = precedenceOf(job, guaranteedJobs);
    }
  }

  private createPlanningContext(
    guaranteedJobs: ReadonlySet<string>,
    now: number,
    wallMs: number,
  ): PlanningContext {
    const { cluster, settings, valueSizeLimit } = this.context;
    const shapes = [...this.machinePool.shapes.values()];
    const gpuJobSpecs = shapes.map((shape) => shape.spec).filter((spec) => spec.gpus > 0);
    const gpuReservation = reserveGpuMachines(cluster, gpuJobSpecs);
    this.updateShardedTaskBudget();
    return {
      cluster,
      settings,
      now,
      wallMs,
      maxValueBytes: valueSizeLimit.plannedBytes,
      shardedTaskBudget: this.shardedTaskBudget,
      guaranteedJobs,
      gpuReservation,
      snapshot: takeMachineSnapshot(cluster, settings, now),
      reportValueLimit: (job, bytes) => this.valueLimitReports.report(job, bytes, now),
      logTask: (message, fields) => this.context.logTask(message, fields),
    };
  }

  private updateShardedTaskBudget(): void {
    const { cpuShare, stateWriteRps } = this.context.settings;
    const fullRate = Math.max(
      SHARDED_TASKS_PER_CORE_SECOND * cpuShare,
      SHARDED_TASKS_PER_STATE_WRITE * stateWriteRps,
    );
    const rate = this.dispatcher.isOverloaded ? OVERLOADED_RATE_FACTOR * fullRate : fullRate;
    this.shardedTaskBudget.setRate(rate, Math.max(1, SHARDED_TASK_BURST_S * rate));
  }

  /**
   * Accepts the start of the job if the event algebra allows it under the job's dependencies. The start becomes final
   * with the write that contains it.
   */
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
}
