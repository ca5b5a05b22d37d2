/** The pool of machines from the cloud: requests, lists and releases them. */

import { assertNever } from "../assert-never.js";
import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { ScaleOutResult } from "../effects.js";
import type { ActiveJob } from "../jobs/active-job.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { JobSpec } from "../model/jobs.js";
import type { ListedMachine } from "../model/machines.js";
import { MachineRecordShards } from "../state/machine-record-shards.js";
import { BootTimeouts } from "./boot-timeouts.js";
import { MachineListReconciler, type MachineReleaser } from "./machine-list.js";
import { offerKey } from "./offers.js";
import {
  countLateBootsByOffer,
  countMachinesByZone,
  findSurplusMachines,
  type JobShape,
  planScaleOut,
  type ScaleOutRequest,
} from "./scaling.js";
import type { ScalingContext } from "./scaling-context.js";

/** Share of a stored value's size limit up to which machine records are added to a value. The rest is a margin. */
const SHARD_FILL_RATIO = 0.6;
/** Backoff of an offer after the cloud lacked capacity for it, in worker leases. */
const CAPACITY_BACKOFF_LEASES = 0.5;
const MAX_RELEASES_PER_REQUEST = 100;

/** The machines that a scale-out requested. */
export type RequestedMachines = Omit<ScaleOutRequest, "why">;

/** Requests machines from the cloud and releases surplus ones, with one cloud request of each kind at a time. */
export class MachinePool implements MachineReleaser {
  readonly recordShards: MachineRecordShards;
  /** Names of machines that are confirmed to be terminated. */
  readonly terminated = new Set<string>();
  /** Resource demands of the latest job of each class, by class. */
  readonly shapes = new Map<string, JobShape>();
  /** Jobs that lack capacity, as of the last scheduling cycle. */
  waitingJobs: ActiveJob[] = [];
  private readonly bootTimeouts = new BootTimeouts();
  private readonly machineList: MachineListReconciler;
  /** By `offerKey`: time until which an offer is not requested again after the cloud lacked capacity for it. */
  private readonly capacityBackoffUntil = new Map<string, number>();
  /** Reasons for the releases that the cloud has not confirmed yet, by machine name. */
  private readonly pendingReleases = new Map<string, string>();
  private lastScaleOutCheckAt = Number.NEGATIVE_INFINITY;
  private lastListRequestAt = Number.NEGATIVE_INFINITY;
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
    this.machineList = new MachineListReconciler(context, dispatcher, this);
    this.lastJobAt = context.startedAt;
  }

  /** Applies a lowered size limit of stored values to the machine records. */
  shrinkRecordShards(): void {
    this.recordShards.setMaxBytes(SHARD_FILL_RATIO * this.context.valueSizeLimit.plannedBytes);
  }

  /**
   * Whether the pool can grow: it is below its maximum size, and for one worker lease the cloud has not lacked
   * capacity for any offer.
   */
  canScaleOut(now: number): boolean {
    if (this.context.cluster.machines.size >= this.context.options.maxMachines) return false;
    const { leaseS } = this.context.settings;
    for (const until of this.capacityBackoffUntil.values()) {
      const lackedCapacityAt = until - CAPACITY_BACKOFF_LEASES * leaseS;
      if (now - lackedCapacityAt < leaseS) return false;
    }
    return true;
  }

  /** Records the resource demands of a job's class, for which spare capacity is kept. */
  recordJobShape(spec: JobSpec): void {
    const placedTasks = this.shapes.get(spec.class)?.placedTasks ?? 0;
    this.shapes.set(spec.class, { spec, placedTasks });
  }

  /** Handles the first message from a machine's worker. */
  recordMachineUp(machine: Machine, now: number): void {
    this.bootTimeouts.recordBoot(machine, now);
  }

  /** Releases machines whose worker has not sent a message within the boot timeout. */
  releaseTimedOutMachines(now: number): void {
    for (const machine of this.context.cluster.machines.values()) {
      if (machine.state !== "booting" || !this.bootTimeouts.isExpired(machine, now)) continue;
      this.requestRelease(machine, "boot timeout");
      this.bootTimeouts.recordTimeout(machine);
    }
  }

  /**
   * Requests the release of a machine, which counts as part of the pool until the cloud has confirmed its
   * termination.
   */
  requestRelease(machine: Machine, why: string): void {
    if (this.pendingReleases.has(machine.name) || machine.state === "terminated") return;
    this.pendingReleases.set(machine.name, why);
    machine.drainReason ??= why;
    machine.state = "releasing";
    this.context.log("scale in", { machine: machine.name, why, tasks: machine.placements.size });
  }

  /** Sends the requests to the cloud that are due. */
  runCloudRequests(now: number): void {
    if (now < this.nextCloudRequestAt) return;
    this.releaseIfDue();
    this.listIfDue(now);
    this.scaleIfDue(now);
  }

  /** Handles the result of a scale-out. */
  handleScaleOutResult(request: RequestedMachines, result: ScaleOutResult, now: number): void {
    this.scaleOutsInFlight--;
    switch (result.kind) {
      case "failed":
        this.nextCloudRequestAt = now + 1;
        break;
      case "no capacity":
        this.backOff(request, now);
        break;
      case "provisioned":
        this.addProvisioned(request, result.machines, now);
        break;
      default:
        assertNever(result);
    }
  }

  /** Handles the result of a release. */
  handleReleaseResult(machines: readonly string[], ok: boolean, now: number): void {
    this.releasesInFlight--;
    if (!ok) {
      this.nextCloudRequestAt = now + 0.5;
      return;
    }
    for (const name of machines) {
      this.pendingReleases.delete(name);
      this.terminateMachine(name, "released", now);
    }
  }

  /** Handles a machine list from the cloud; null: the request failed. */
  handleMachineList(listed: readonly ListedMachine[] | null, now: number): void {
    this.isListing = false;
    if (listed === null) {
      this.nextCloudRequestAt = Math.max(this.nextCloudRequestAt, now + 0.5);
      return;
    }
    this.machineList.reconcile(listed, now);
  }

  private addProvisioned(request: RequestedMachines, names: readonly string[], now: number): void {
    for (const name of names) this.context.findOrAddMachine(name, request, now);
    if (names.length < request.count) this.backOff(request, now);
  }

  /**
   * Excludes an offer for which the cloud lacked capacity, until its backoff ends. Other offers are used meanwhile.
   */
  private backOff({ type, zone, spot }: RequestedMachines, now: number): void {
    const until = now + CAPACITY_BACKOFF_LEASES * this.context.settings.leaseS;
    this.capacityBackoffUntil.set(offerKey(type, zone, spot), until);
  }

  private releaseIfDue(): void {
    if (this.pendingReleases.size === 0 || this.releasesInFlight !== 0) return;
    this.releasesInFlight++;
    this.context.effects.push({
      kind: "release machines",
      machines: [...this.pendingReleases.keys()].slice(0, MAX_RELEASES_PER_REQUEST),
    });
  }

  private listIfDue(now: number): void {
    const intervalS = Math.max(this.context.settings.listLagS, 2) / 1.5;
    if (this.isListing || now - this.lastListRequestAt <= intervalS) return;
    this.isListing = true;
    this.lastListRequestAt = now;
    this.context.effects.push({ kind: "list machines" });
  }

  private scaleIfDue(now: number): void {
    if (this.scaleOutsInFlight !== 0 || !this.context.hasMachineTypes) return;
    if (now - this.lastScaleOutCheckAt <= 2 / this.context.settings.cloudRps) return;
    this.lastScaleOutCheckAt = now;
    this.scale(now);
  }

  /** Sends one scale-out request, or scales in if no capacity is missing. */
  private scale(now: number): void {
    // A new leader may not know all machines before the first machine list, so it waits for the list for a limited
    // time.
    const { startedAt, settings } = this.context;
    if (now - startedAt < 2 * settings.listLagS && this.machineList.isEmpty) return;
    const isUnused = this.isClusterUnused(now);
    if (isUnused) this.shapes.clear();
    this.countPlacedTasks();
    const scaling = this.scalingContext(now);
    const request = planScaleOut(scaling, this.waitingJobs, this.shapes.values());
    if (request !== null) this.scaleOut(request);
    else this.scaleIn(scaling, isUnused);
  }

  /** Whether there has been no job for a worker lease. No spare capacity is kept then. */
  private isClusterUnused(now: number): boolean {
    if (this.context.cluster.jobs.size > 0) this.lastJobAt = now;
    return now - this.lastJobAt > this.context.settings.leaseS;
  }

  private countPlacedTasks(): void {
    for (const shape of this.shapes.values()) shape.placedTasks = 0;
    for (const machine of this.context.cluster.machines.values()) {
      for (const { job } of machine.placements.values()) {
        const shape = this.shapes.get(job.spec.class);
        if (shape !== undefined) shape.placedTasks++;
      }
    }
  }

  private scalingContext(now: number): ScalingContext {
    const { cluster, options, machineTypes } = this.context;
    return {
      cluster,
      types: [...machineTypes.values()],
      now,
      capacityBackoffUntil: this.capacityBackoffUntil,
      spareRatio: options.spareRatio,
      maxMachines: options.maxMachines,
      machinesByZone: countMachinesByZone(cluster),
      lateBootsByOffer: countLateBootsByOffer(cluster, now),
    };
  }

  private scaleOut(request: ScaleOutRequest): void {
    this.scaleOutsInFlight++;
    this.scaleOutCount++;
    this.context.log("scale out", { ...request });
    const { type, zone, spot, count } = request;
    // The name is unique, as no other leadership term has the same epoch.
    const name = `t${this.context.epoch}-${this.scaleOutCount}`;
    this.context.effects.push({ kind: "scale out", name, type, zone, spot, count });
  }

  private scaleIn(scaling: ScalingContext, isUnused: boolean): void {
    const { settings, options } = this.context;
    const idleS = isUnused ? Math.min(settings.leaseS, options.idleReleaseS) : options.idleReleaseS;
    for (const machine of findSurplusMachines(scaling, [...this.shapes.values()], idleS)) {
      this.requestRelease(machine, "idle");
    }
  }

  /** Removes a machine whose termination is confirmed, and reports all its tasks as lost. */
  private terminateMachine(name: string, why: string, now: number): void {
    this.terminated.add(name);
    const machine = this.context.cluster.machines.get(name);
    if (machine === undefined) return;
    machine.state = "terminated";
    for (const placement of [...machine.placements.values()]) {
      this.dispatcher.handleTaskLost(placement, why, now);
    }
    this.context.cluster.machines.delete(name);
    this.dispatcher.forgetMachine(machine);
    this.recordShards.remove(name, machine.isPersisted);
    this.context.cycleRequested = true;
  }
}
