/** The machines that the cloud gives: renting, listing and returning them. */

import { BootTimeouts } from "./boot-timeouts.js";
import type { Dispatch } from "./dispatch.js";
import { Groups } from "./groups.js";
import type { LeaderContext } from "./leader-context.js";
import type { LiveJob } from "./live-job.js";
import type { Machine } from "./machine.js";
import type { JobSpec, ListedMachine } from "./model.js";
import {
  lateOfKinds,
  machinesInZones,
  offerKey,
  type RentContext,
  type Shape,
  surplus,
  wanted,
} from "./renting.js";

/** Of a value, what the records of machines in it may take; the rest is for those that join them. */
const GROUP_FILLED = 0.6;
/** A kind that the cloud refused is not asked for again for so many worker leases. */
const REFUSAL_LEASES = 0.5;

export class Fleet {
  readonly groups: Groups;
  /** Machines that are proven gone. */
  readonly gone = new Set<string>();
  readonly shapes = new Map<string, Shape>();
  /** Jobs that wait for room, as of the last pass. */
  waiting: LiveJob[] = [];
  private readonly bootTimeouts = new BootTimeouts();
  private readonly refused = new Map<string, number>();
  private readonly listed = new Map<string, number>();
  private readonly pendingReturns = new Map<string, string>();
  private rentedAt = Number.NEGATIVE_INFINITY;
  private listedAt = Number.NEGATIVE_INFINITY;
  private cloudAfter = Number.NEGATIVE_INFINITY;
  private listing = false;
  private renting = 0;
  private rentals = 0;
  private returning = 0;
  private lastJobAt: number;

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatch: Dispatch,
  ) {
    this.groups = new Groups(GROUP_FILLED * context.valueLimit.plannedBytes);
    this.lastJobAt = context.startedAt;
  }

  /** The state service takes no larger values than these. */
  valuesShrink(): void {
    this.groups.setMaxBytes(GROUP_FILLED * this.context.valueLimit.plannedBytes);
  }

  /** Did the cloud give what was asked for lately, and may more be asked for? */
  isGrowing(now: number): boolean {
    if (this.context.cluster.machines.size >= this.context.options.maxMachines) return false;
    const { leaseS } = this.context.settings;
    for (const until of this.refused.values()) {
      const refusedAt = until - REFUSAL_LEASES * leaseS;
      if (now - refusedAt < leaseS) return false;
    }
    return true;
  }

  noteShape(spec: JobSpec): void {
    const s = this.shapes.get(spec.class);
    if (s === undefined) this.shapes.set(spec.class, { spec, running: 0 });
    else this.shapes.set(spec.class, { spec, running: s.running });
  }

  cameUp(m: Machine, now: number): void {
    this.bootTimeouts.cameUp(m, now);
  }

  /** Machines that do not come up go back. */
  returnLate(now: number): void {
    for (const m of this.context.cluster.machines.values()) {
      if (m.state !== "booting" || !this.bootTimeouts.isOver(m, now)) continue;
      this.askReturn(m, "never came up");
      this.bootTimeouts.expired(m);
    }
  }

  askReturn(m: Machine, why: string): void {
    if (this.pendingReturns.has(m.name) || m.state === "gone") return;
    this.pendingReturns.set(m.name, why);
    m.drain ??= why;
    m.state = "returning";
    this.context.log("return machine", { machine: m.name, why, tasks: m.placements.size });
  }

  cloudWork(now: number): void {
    if (now < this.cloudAfter) return;
    if (this.pendingReturns.size > 0 && this.returning === 0) {
      this.returning++;
      this.context.out.push({
        kind: "return",
        machines: [...this.pendingReturns.keys()].slice(0, 100),
      });
    }
    if (!this.listing && now - this.listedAt > Math.max(this.context.settings.listLagS, 2) / 1.5) {
      this.listing = true;
      this.listedAt = now;
      this.context.out.push({ kind: "list" });
    }
    if (
      this.renting === 0 &&
      this.context.typesKnown &&
      now - this.rentedAt > 2 / this.context.settings.cloudRps
    ) {
      this.rentedAt = now;
      this.rent(now);
    }
  }

  private rent(now: number): void {
    // A leader that has just begun does not know all machines yet.
    if (now - this.context.startedAt < 2 * this.context.settings.listLagS && this.listed.size === 0)
      return;
    // With no job at all for a while there is nothing to keep room for.
    if (this.context.cluster.jobs.size > 0) this.lastJobAt = now;
    const deserted = now - this.lastJobAt > this.context.settings.leaseS;
    if (deserted) this.shapes.clear();
    for (const s of this.shapes.values()) s.running = 0;
    for (const m of this.context.cluster.machines.values()) {
      for (const p of m.placements.values()) {
        const s = this.shapes.get(p.job.spec.class);
        if (s !== undefined) s.running++;
      }
    }
    const ctx: RentContext = {
      cluster: this.context.cluster,
      settings: this.context.settings,
      types: [...this.context.types.values()],
      now,
      refused: this.refused,
      spare: this.context.options.spare,
      maxMachines: this.context.options.maxMachines,
      inZone: machinesInZones(this.context.cluster),
      late: lateOfKinds(this.context.cluster, now),
    };
    const r = wanted(ctx, this.waiting, this.shapes.values());
    if (r !== null) {
      this.renting++;
      this.rentals++;
      // Names are never used again: the epoch is this term's alone.
      const name = `t${this.context.epoch}-${this.rentals}`;
      this.context.log("rent", { ...r });
      this.context.out.push({
        kind: "rent",
        name,
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        count: r.count,
      });
      return;
    }
    const idleS = deserted
      ? Math.min(this.context.settings.leaseS, this.context.options.idleReturnS)
      : this.context.options.idleReturnS;
    for (const m of surplus(ctx, [...this.shapes.values()], idleS)) {
      this.askReturn(m, "idle");
    }
  }

  rented(
    request: { type: string; zone: string; spot: boolean; count: number },
    result: { machines: readonly string[] } | "no capacity" | "trouble",
    now: number,
  ): void {
    this.renting--;
    const key = offerKey(request.type, request.zone, request.spot);
    if (result === "trouble") this.cloudAfter = now + 1;
    else if (result === "no capacity")
      this.refused.set(key, now + REFUSAL_LEASES * this.context.settings.leaseS);
    else {
      for (const name of result.machines) {
        this.context.machine(name, request.type, request.zone, request.spot, now);
      }
      if (result.machines.length < request.count) {
        this.refused.set(key, now + REFUSAL_LEASES * this.context.settings.leaseS);
      }
    }
  }

  returned(machines: readonly string[], ok: boolean, now: number): void {
    this.returning--;
    if (!ok) {
      this.cloudAfter = now + 0.5;
      return;
    }
    for (const name of machines) {
      this.pendingReturns.delete(name);
      this.machineGone(name, "returned", now);
    }
  }

  /** The machine and everything on it are gone for certain. */
  private machineGone(name: string, why: string, now: number): void {
    this.gone.add(name);
    const m = this.context.cluster.machines.get(name);
    if (m === undefined) return;
    m.state = "gone";
    for (const p of [...m.placements.values()]) this.dispatch.lost(p, why, now);
    this.context.cluster.machines.delete(name);
    this.dispatch.due.delete(m);
    this.groups.remove(name, m.stored);
    this.context.needPlan = true;
  }

  list(machines: readonly ListedMachine[] | null, now: number): void {
    this.listing = false;
    if (machines === null) {
      this.cloudAfter = Math.max(this.cloudAfter, now + 0.5);
      return;
    }
    // The list may be older than one seen before; how old a machine is in it tells.
    const names = new Set<string>();
    let newer = true;
    for (const l of machines) {
      names.add(l.name);
      const before = this.listed.get(l.name);
      if (before !== undefined && l.ageS < before) newer = false;
    }
    for (const l of machines) {
      if (this.gone.has(l.name)) continue;
      const m = this.context.machine(l.name, l.type, l.zone, l.spot, now);
      if (m === null) continue;
      if (newer) this.listed.set(l.name, l.ageS);
      if (m.address === "" && l.address !== "") m.address = l.address;
      if (m.state === "booting") m.bootingSince = Math.min(m.bootingSince, now - l.ageS);
      if (l.state === "failed") this.askReturn(m, "failed");
      else if (
        l.state === "running" &&
        m.state === "booting" &&
        m.address !== "" &&
        !m.busy &&
        now >= m.directAfter &&
        this.dispatch.probes.take(1, now)
      ) {
        this.dispatch.probe(m);
      }
    }
    if (newer) {
      for (const name of [...this.listed.keys()]) {
        if (names.has(name)) continue;
        // Once listed, a machine stays listed until it is gone. The return makes it certain.
        this.listed.delete(name);
        const m = this.context.cluster.machines.get(name);
        if (m !== undefined) this.askReturn(m, "no longer listed");
      }
    }
  }
}
