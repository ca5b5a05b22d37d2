/** What the parts of the leader's state machine share: its view, settings and token, and what it asks for. */
import { Cluster } from "./cluster.js";
import type { Effect, SchedulerOptions } from "./effects.js";
import { Machine } from "./machines/machine.js";
import type { JobSpec } from "./model/jobs.js";
import type { MachineType } from "./model/machines.js";
import type { ClusterSettings } from "./model/settings.js";
import type { WorkerHeartbeat } from "./model/workers.js";
import { ValueSizeLimit } from "./state/value-size-limit.js";

/** Nodes that are cut off keep such machines alive; by what runs there, so both sides agree. */
export const hasExtendableLease = (kind: JobSpec["kind"]): boolean => kind !== "array";

export class LeaderContext {
  readonly cluster: Cluster;
  /** Something changed that a pass over all that waits should see. */
  cycleRequested = true;
  machineTypes = new Map<string, MachineType>();
  readonly valueSizeLimit: ValueSizeLimit;
  private collectedEffects: Effect[] = [];

  constructor(
    readonly settings: ClusterSettings,
    readonly options: SchedulerOptions,
    public epoch: number,
    public epochModRevision: number,
    readonly startedAt: number,
  ) {
    this.cluster = new Cluster(settings.teams);
    this.valueSizeLimit = new ValueSizeLimit(1024 * settings.valueKb, settings.leaseS);
  }

  get hasMachineTypes(): boolean {
    return this.machineTypes.size > 0;
  }

  get effects(): Effect[] {
    return this.collectedEffects;
  }

  log(message: string, fields: Record<string, unknown>): void {
    this.collectedEffects.push({ kind: "log", level: "info", message, fields });
  }

  /** A line on a single task, made only if it will be written. */
  logTask(message: string, fields: () => Record<string, unknown>): void {
    if (!this.options.logsTasks) return;
    this.collectedEffects.push({ kind: "log", level: "debug", message, fields: fields() });
  }

  takeEffects(): Effect[] {
    const out = this.collectedEffects;
    this.collectedEffects = [];
    return out;
  }

  /** Until a machine is heard it counts as if the former leader had renewed its lease as late as it may. */
  awaitFirstContact(m: Machine): void {
    m.lastMessageAt = this.startedAt;
    m.leaseRenewedAt = this.startedAt + this.options.gracePeriodS;
  }

  /** The machine of that name, as the cloud or a record describes it. */
  findOrAddMachine(
    name: string,
    type: string,
    zone: string,
    spot: boolean,
    now: number,
  ): Machine | null {
    const t = this.machineTypes.get(type);
    const known = this.cluster.machines.get(name);
    if (known !== undefined) {
      if (t !== undefined && !known.isSelfDescribed) this.correctDescription(known, t, zone, spot);
      return known;
    }
    if (t === undefined) return null;
    const m = new Machine(name, t, zone, spot, now);
    this.cluster.machines.set(name, m);
    return m;
  }

  /** A worker is the authority on its own machine, whatever was thought of it. */
  applySelfDescription(m: Machine, r: Pick<WorkerHeartbeat, "type" | "zone" | "spot">): void {
    m.isSelfDescribed = true;
    this.correctDescription(m, this.machineTypes.get(r.type) ?? m.type, r.zone, r.spot);
  }

  private correctDescription(m: Machine, type: MachineType, zone: string, spot: boolean): void {
    if (m.type.name === type.name && m.zone === zone && m.spot === spot) return;
    m.isRecordOutdated = m.isPersisted;
    this.log("machine corrected", { machine: m.name, type: type.name, zone, spot, was: m.zone });
    this.cluster.correctMachine(m, type, zone, spot);
    this.cycleRequested = true;
  }
}
