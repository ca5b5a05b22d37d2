/** A pass over all that waits: placements first, then tasks that are stopped to make room for the rest. */
import { Bucket } from "./bucket.js";
import type { Dispatch } from "./dispatch.js";
import type { Fleet } from "./fleet.js";
import type { LeaderContext } from "./leader-context.js";
import type { LiveJob } from "./live-job.js";
import { slots } from "./machine.js";
import type { MachineMonitor } from "./machine-monitor.js";
import { acceptable, eventName, occur } from "./pipeline.js";
import { type PlanContext, takeSnapshot } from "./planning/context.js";
import { type GpuReserve, reserveGpus } from "./planning/gpu-reserve.js";
import { plan } from "./planning/planner.js";
import { precedenceOf } from "./planning/precedence.js";
import { makeRoom } from "./planning/preemption.js";
import { ZoneMoves } from "./zone-moves.js";

/** Passes over all that waits, at most so many in a report interval. */
const PASSES = 40;
/** Part of these while a new leader has not met most of its workers. */
const PASSES_WHILE_SETTLING = PASSES / 8;
/** Passes in a report interval when nothing is known to have changed. */
const IDLE_PASSES = 3;
/**
 * Tasks of large arrays that are placed in a second, for each core, and at once; a quarter when behind. On a small share
 * of a core so many for each change that the state service takes. (At 7.6% of a core 30 a second were placed, and 8 when
 * behind, while a leader used seven tenths of its share.)
 */
const BULK = 400;
const BULK_A_CHANGE = 2;
const BULK_WHEN_BEHIND = 1 / 4;
const BULK_BURST_S = 4;
/** Searches of one pass for tasks to stop, for each core, and at the most: each goes over all machines. */
const SEARCHES_FOR_ROOM = 64;
const MOST_SEARCHES_FOR_ROOM = 16;
/** Machines that one search may make room on for one job. */
const MACHINES_A_JOB = 8;

export class PlanningPass {
  private plannedAt = Number.NEGATIVE_INFINITY;
  /** How many tasks of large arrays are placed: what they cost is not to delay others. */
  private readonly bulk = new Bucket(0, 0);

  private readonly moves: ZoneMoves;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: Dispatch,
    private readonly fleet: Fleet,
    private readonly monitor: MachineMonitor,
  ) {
    this.moves = new ZoneMoves(context.cluster, dispatch);
  }

  /** Runs a pass if it is time for one. */
  runIfDue(now: number, wallMs: number): void {
    const most = this.monitor.settling(now) ? PASSES_WHILE_SETTLING : PASSES;
    const passes = this.context.needPlan ? most : IDLE_PASSES;
    const since = now - this.plannedAt;
    if (this.context.typesKnown && since > this.context.settings.reportS / passes) {
      this.replan(now, wallMs);
    }
  }

  private setBulk(): void {
    const { cpuShare, stateWriteRps } = this.context.settings;
    const whole = Math.max(BULK * cpuShare, BULK_A_CHANGE * stateWriteRps);
    const rate = this.dispatch.overloaded ? BULK_WHEN_BEHIND * whole : whole;
    this.bulk.setRate(rate, BULK_BURST_S * rate);
  }

  private planContext(now: number, wallMs: number): PlanContext {
    return {
      cluster: this.context.cluster,
      settings: this.context.settings,
      now,
      wallMs,
      valueBytes: this.context.valueLimit.plannedBytes,
      bulk: this.bulk,
      snapshot: takeSnapshot(this.context.cluster, this.context.settings, now),
      logTask: (message, fields) => this.context.logTask(message, fields),
    };
  }

  private replan(now: number, wallMs: number): void {
    this.context.needPlan = false;
    this.plannedAt = now;
    const within = this.context.cluster.withinGuarantee();
    for (const m of this.context.cluster.machines.values()) {
      if (m.reservedFor === null) continue;
      const { job, held, until } = m.reservedFor;
      const over = this.context.cluster.jobs.get(job.spec.id) !== job || job.pendingCount === 0;
      if (held || over || now > until) {
        m.reservedFor = null;
      }
    }
    for (const job of this.context.cluster.jobs.values()) {
      if (!job.isReady && !job.waits) job.ready(wallMs);
      job.precedence = precedenceOf(job, within);
    }
    const gpuSpecs = [...this.fleet.shapes.values()].map((s) => s.spec).filter((s) => s.gpus > 0);
    const reserve = reserveGpus(this.context.cluster, gpuSpecs);
    this.setBulk();
    const ctx = this.planContext(now, wallMs);
    this.fleet.waiting = plan(ctx, within, reserve, (job) => this.acceptStart(job));
    for (const job of this.fleet.waiting) this.moves.consider(job, ctx.snapshot, now);
    // Nothing is stopped for what waits while most room is not in sight.
    if (this.monitor.settling(now)) return;
    // Each look for room goes over all machines: what a pass does not come to, the next one does.
    const ofShare = Math.ceil(SEARCHES_FOR_ROOM * this.context.settings.cpuShare);
    const searches = { left: Math.min(MOST_SEARCHES_FOR_ROOM, ofShare) };
    for (const job of this.fleet.waiting) this.preempt(job, ctx, within, reserve, searches);
  }

  /** The algebra decides whether the start is accepted; the write that holds it makes it so. */
  private acceptStart(job: LiveJob): boolean {
    if (job.started) return true;
    const start = eventName("start", job.spec.id);
    if (!acceptable(job.dependencies, start)) return false;
    job.dependencies = occur(job.dependencies, start);
    job.owner = this.context.epoch;
    job.started = true;
    job.touch();
    return true;
  }

  private preempt(
    job: LiveJob,
    ctx: PlanContext,
    within: ReadonlySet<string>,
    reserve: GpuReserve,
    searches: { left: number },
  ): void {
    const { rank } = job;
    if (rank > 1 && !within.has(job.spec.id)) return;
    if (searches.left <= 0 || ctx.now < job.roomAfter) return;
    // Stopping costs work: what is not urgent waits a moment for room to come up by itself.
    const waited = ctx.now - (job.waitingSince ?? ctx.now);
    if (rank > 0 && waited < this.context.settings.reportS * rank) return;
    let need = job.pendingCount;
    if (job.spec.kind === "gang" && job.present > 0) return;
    // Room made here and there is of no use to tasks that must start together in one zone.
    if (job.spec.kind === "gang" && job.spec.tasks > 1 && job.heldZone === null) return;
    const zones = job.zones.copy();
    for (const m of this.context.cluster.machines.values()) {
      if (m.reservedFor?.job !== job) continue;
      const whole = slots(job.spec, m.type.cpus, m.type.gpus, m.type.memoryGb);
      // A gang that gathers in a zone may have begun to in another, which does not bind it.
      need -= job.heldZone ? whole : zones.takeRoom(m.zone, whole);
    }
    for (let i = 0; need > 0 && i < MACHINES_A_JOB && searches.left > 0; i++) {
      searches.left--;
      const found = makeRoom(job, zones, ctx, within, reserve);
      if (found === null) {
        job.roomAfter = ctx.now + this.context.settings.reportS / 4;
        return;
      }
      found.machine.reservedFor = {
        job,
        until: ctx.now + this.context.settings.gangPeerS + 2 * this.context.settings.reportS,
        held: false,
      };
      for (const v of found.victims) {
        this.dispatch.stopWithMates(v, `room for ${job.spec.id}`, v.job.spec.saveS);
      }
      this.dispatch.pump(found.machine, ctx.now);
      const { zone, freeCpus, freeGpus, freeMemory } = found.machine;
      const fits = slots(job.spec, freeCpus, freeGpus, freeMemory);
      need -= zones.takeRoom(zone, Math.max(1, fits));
    }
  }
}
