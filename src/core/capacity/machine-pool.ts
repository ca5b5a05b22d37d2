/** The machines that the cloud gives: renting, listing and returning them. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { ScaleOutResult } from "../effects.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ListedMachine } from "../model/machines.js";
import { MachineRecordShards } from "../state/machine-record-shards.js";
import { BootTimeouts } from "./boot-timeouts.js";
import {
  countLateBootsByOffer,
  countMachinesByZone,
  findSurplusMachines,
  type JobShape,
  offerKey,
  planScaleOut,
  type ScalingContext,
} from "./scaling.js";

/** Of a value, what the records of machines in it may take; the rest is for those that join them. */
const SHARD_FILL_RATIO = 0.6;
/** A kind that the cloud refused is not asked for again for so many worker leases. */
const CAPACITY_BACKOFF_LEASES = 0.5;

export class MachinePool {
  readonly recordShards: MachineRecordShards;
  /** Machines that are proven gone. */
  readonly terminated = new Set<string>();
  readonly shapes = new Map<string, JobShape>();
  /** Jobs that wait for room, as of the last pass. */
  waitingJobs: ActiveJob[] = [];
  private readonly bootTimeouts = new BootTimeouts();
  private readonly capacityBackoffUntil = new Map<string, number>();
  private readonly listedAgeS = new Map<string, number>();
  private readonly pendingReleases = new Map<string, string>();
  private scaleOutConsideredAt = Number.NEGATIVE_INFINITY;
  private listedAt = Number.NEGATIVE_INFINITY;
  private nextCloudRequestAt = Number.NEGATIVE_INFINITY;
  private isListing = false;
  private scaleOutsInFlight = 0;
  private scaleOutCount = 0;
  private releasesInFlight = 0;
  private lastJobAt: number;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
  ) {
    this.recordShards = new MachineRecordShards(
      SHARD_FILL_RATIO * context.valueSizeLimit.plannedBytes,
    );
    this.lastJobAt = context.startedAt;
  }

  /** The state service takes no larger values than these. */
  shrinkRecordShards(): void {
    this.recordShards.setMaxBytes(SHARD_FILL_RATIO * this.context.valueSizeLimit.plannedBytes);
  }

  /** Did the cloud give what was asked for lately, and may more be asked for? */
  isGrowing(now: number): boolean {
    if (this.context.cluster.machines.size >= this.context.options.maxMachines) return false;
    const { leaseS } = this.context.settings;
    for (const until of this.capacityBackoffUntil.values()) {
      const refusedAt = until - CAPACITY_BACKOFF_LEASES * leaseS;
      if (now - refusedAt < leaseS) return false;
    }
    return true;
  }

  noteJobShape(spec: JobSpec): void {
    const s = this.shapes.get(spec.class);
    if (s === undefined) this.shapes.set(spec.class, { spec, runningTasks: 0 });
    else this.shapes.set(spec.class, { spec, runningTasks: s.runningTasks });
  }

  noteMachineUp(m: Machine, now: number): void {
    this.bootTimeouts.noteMachineUp(m, now);
  }

  /** Machines that do not come up go back. */
  releaseLateBoots(now: number): void {
    for (const m of this.context.cluster.machines.values()) {
      if (m.state !== "booting" || !this.bootTimeouts.isExpired(m, now)) continue;
      this.requestRelease(m, "never came up");
      this.bootTimeouts.noteExpired(m);
    }
  }

  requestRelease(m: Machine, why: string): void {
    if (this.pendingReleases.has(m.name) || m.state === "gone") return;
    this.pendingReleases.set(m.name, why);
    m.drainReason ??= why;
    m.state = "returning";
    this.context.log("return machine", { machine: m.name, why, tasks: m.placements.size });
  }

  runCloudRequests(now: number): void {
    if (now < this.nextCloudRequestAt) return;
    if (this.pendingReleases.size > 0 && this.releasesInFlight === 0) {
      this.releasesInFlight++;
      this.context.effects.push({
        kind: "release machines",
        machines: [...this.pendingReleases.keys()].slice(0, 100),
      });
    }
    if (
      !this.isListing &&
      now - this.listedAt > Math.max(this.context.settings.listLagS, 2) / 1.5
    ) {
      this.isListing = true;
      this.listedAt = now;
      this.context.effects.push({ kind: "list machines" });
    }
    if (
      this.scaleOutsInFlight === 0 &&
      this.context.hasMachineTypes &&
      now - this.scaleOutConsideredAt > 2 / this.context.settings.cloudRps
    ) {
      this.scaleOutConsideredAt = now;
      this.scale(now);
    }
  }

  private scale(now: number): void {
    // A leader that has just begun does not know all machines yet.
    if (
      now - this.context.startedAt < 2 * this.context.settings.listLagS &&
      this.listedAgeS.size === 0
    )
      return;
    // With no job at all for a while there is nothing to keep room for.
    if (this.context.cluster.jobs.size > 0) this.lastJobAt = now;
    const deserted = now - this.lastJobAt > this.context.settings.leaseS;
    if (deserted) this.shapes.clear();
    for (const s of this.shapes.values()) s.runningTasks = 0;
    for (const m of this.context.cluster.machines.values()) {
      for (const p of m.placements.values()) {
        const s = this.shapes.get(p.job.spec.class);
        if (s !== undefined) s.runningTasks++;
      }
    }
    const ctx: ScalingContext = {
      cluster: this.context.cluster,
      settings: this.context.settings,
      types: [...this.context.machineTypes.values()],
      now,
      capacityBackoffUntil: this.capacityBackoffUntil,
      spareRatio: this.context.options.spareRatio,
      maxMachines: this.context.options.maxMachines,
      machinesByZone: countMachinesByZone(this.context.cluster),
      lateBootsByOffer: countLateBootsByOffer(this.context.cluster, now),
    };
    const r = planScaleOut(ctx, this.waitingJobs, this.shapes.values());
    if (r !== null) {
      this.scaleOutsInFlight++;
      this.scaleOutCount++;
      // Names are never used again: the epoch is this term's alone.
      const name = `t${this.context.epoch}-${this.scaleOutCount}`;
      this.context.log("rent", { ...r });
      this.context.effects.push({
        kind: "scale out",
        name,
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        count: r.count,
      });
      return;
    }
    const idleS = deserted
      ? Math.min(this.context.settings.leaseS, this.context.options.idleReleaseS)
      : this.context.options.idleReleaseS;
    for (const m of findSurplusMachines(ctx, [...this.shapes.values()], idleS)) {
      this.requestRelease(m, "idle");
    }
  }

  handleScaleOutResult(
    request: { type: string; zone: string; spot: boolean; count: number },
    result: ScaleOutResult,
    now: number,
  ): void {
    this.scaleOutsInFlight--;
    const key = offerKey(request.type, request.zone, request.spot);
    if (result.kind === "failed") this.nextCloudRequestAt = now + 1;
    else if (result.kind === "no capacity")
      this.capacityBackoffUntil.set(
        key,
        now + CAPACITY_BACKOFF_LEASES * this.context.settings.leaseS,
      );
    else {
      for (const name of result.machines) {
        this.context.findOrAddMachine(name, request.type, request.zone, request.spot, now);
      }
      if (result.machines.length < request.count) {
        this.capacityBackoffUntil.set(
          key,
          now + CAPACITY_BACKOFF_LEASES * this.context.settings.leaseS,
        );
      }
    }
  }

  handleReleaseResult(machines: readonly string[], ok: boolean, now: number): void {
    this.releasesInFlight--;
    if (!ok) {
      this.nextCloudRequestAt = now + 0.5;
      return;
    }
    for (const name of machines) {
      this.pendingReleases.delete(name);
      this.terminateMachine(name, "returned", now);
    }
  }

  /** The machine and everything on it are gone for certain. */
  private terminateMachine(name: string, why: string, now: number): void {
    this.terminated.add(name);
    const m = this.context.cluster.machines.get(name);
    if (m === undefined) return;
    m.state = "gone";
    for (const p of [...m.placements.values()]) this.dispatcher.handleTaskLost(p, why, now);
    this.context.cluster.machines.delete(name);
    this.dispatcher.dueMachines.delete(m);
    this.recordShards.remove(name, m.isPersisted);
    this.context.cycleRequested = true;
  }

  handleMachineList(machines: readonly ListedMachine[] | null, now: number): void {
    this.isListing = false;
    if (machines === null) {
      this.nextCloudRequestAt = Math.max(this.nextCloudRequestAt, now + 0.5);
      return;
    }
    // The list may be older than one seen before; how old a machine is in it tells.
    const names = new Set<string>();
    let newer = true;
    for (const l of machines) {
      names.add(l.name);
      const before = this.listedAgeS.get(l.name);
      if (before !== undefined && l.ageS < before) newer = false;
    }
    for (const l of machines) {
      if (this.terminated.has(l.name)) continue;
      const m = this.context.findOrAddMachine(l.name, l.type, l.zone, l.spot, now);
      if (m === null) continue;
      if (newer) this.listedAgeS.set(l.name, l.ageS);
      if (m.address === "" && l.address !== "") m.address = l.address;
      if (m.state === "booting") m.bootingSince = Math.min(m.bootingSince, now - l.ageS);
      if (l.state === "failed") this.requestRelease(m, "failed");
      else if (
        l.state === "running" &&
        m.state === "booting" &&
        m.address !== "" &&
        !m.hasRequestInFlight &&
        now >= m.nextRequestAt &&
        this.dispatcher.probeBudget.tryTake(1, now)
      ) {
        this.dispatcher.probe(m);
      }
    }
    if (newer) {
      for (const name of [...this.listedAgeS.keys()]) {
        if (names.has(name)) continue;
        // Once listed, a machine stays listed until it is gone. The return makes it certain.
        this.listedAgeS.delete(name);
        const m = this.context.cluster.machines.get(name);
        if (m !== undefined) this.requestRelease(m, "no longer listed");
      }
    }
  }
}
