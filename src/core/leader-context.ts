/** What the parts of the leader's state machine share: its view, settings, fencing token, and the effects it asks for. */
import { Cluster } from "./cluster.js";
import type { Effect, SchedulerOptions } from "./effects.js";
import { Machine } from "./machines/machine.js";
import type { JobKind } from "./model/jobs.js";
import type { MachineType } from "./model/machines.js";
import type { ClusterSettings } from "./model/settings.js";
import { ValueSizeLimit } from "./state/value-size-limit.js";

/**
 * Partitioned nodes extend the leases of workers that run such tasks. It depends on nothing but the kind of job, so
 * that both sides of a partition agree.
 */
export const hasExtendableLease = (kind: JobKind): boolean => kind !== "array";

/** What a leader starts with. */
export interface LeaderContextOptions {
  readonly settings: ClusterSettings;
  readonly options: SchedulerOptions;
  /** Epoch of its term, which is also its fencing token. */
  readonly epoch: number;
  /** Mod revision of the epoch's key. */
  readonly epochModRevision: number;
  /** When leadership was acquired, in seconds of the steady clock. */
  readonly startedAt: number;
}

/** What kind of machine it is, as the cloud, a record or its own worker says. */
export interface MachineDescription {
  /** Name of its machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Settings, cluster, epoch and pending effects, shared by the parts of the leader's state machine. */
export class LeaderContext {
  readonly settings: ClusterSettings;
  readonly options: SchedulerOptions;
  readonly startedAt: number;
  readonly cluster: Cluster;
  readonly valueSizeLimit: ValueSizeLimit;
  /** Changes when the fencing token is advanced. */
  epoch: number;
  epochModRevision: number;
  /** Something changed that a scheduling cycle should see. */
  cycleRequested = true;
  /** By name; empty until the catalog is known. */
  machineTypes: ReadonlyMap<string, MachineType> = new Map();
  private collectedEffects: Effect[] = [];

  constructor(options: LeaderContextOptions) {
    this.settings = options.settings;
    this.options = options.options;
    this.epoch = options.epoch;
    this.epochModRevision = options.epochModRevision;
    this.startedAt = options.startedAt;
    this.cluster = new Cluster(this.settings.teams);
    this.valueSizeLimit = new ValueSizeLimit(1024 * this.settings.valueKb, this.settings.leaseS);
  }

  get hasMachineTypes(): boolean {
    return this.machineTypes.size > 0;
  }

  /** Effects asked for since the last `takeEffects`; new ones are pushed. */
  get effects(): Effect[] {
    return this.collectedEffects;
  }

  /** Hands over what was asked for. */
  takeEffects(): Effect[] {
    const effects = this.collectedEffects;
    this.collectedEffects = [];
    return effects;
  }

  log(message: string, fields: Record<string, unknown>): void {
    this.collectedEffects.push({ kind: "log", level: "info", message, fields });
  }

  /** A line on a single task; its fields are made only if it will be written. */
  logTask(message: string, fields: () => Record<string, unknown>): void {
    if (!this.options.logsTasks) return;
    this.collectedEffects.push({ kind: "log", level: "debug", message, fields: fields() });
  }

  /**
   * Until a message of its worker arrives, a machine counts as if the former leader had renewed its lease as late as
   * it may.
   */
  awaitFirstContact(machine: Machine): void {
    machine.lastMessageAt = this.startedAt;
    machine.leaseRenewedAt = this.startedAt + this.options.gracePeriodS;
  }

  /** The machine of that name, added if it is new; null: its type is not known. */
  findOrAddMachine(name: string, description: MachineDescription, now: number): Machine | null {
    const type = this.machineTypes.get(description.type);
    const known = this.cluster.machines.get(name);
    if (known !== undefined) {
      if (type !== undefined && !known.isSelfDescribed) {
        this.correctDescription(known, type, description.zone, description.spot);
      }
      return known;
    }
    if (type === undefined) return null;
    const machine = new Machine(name, type, description.zone, description.spot, now);
    this.cluster.machines.set(name, machine);
    return machine;
  }

  /** A worker is the authority on its own machine, whatever the cloud or a record says. */
  applySelfDescription(machine: Machine, description: MachineDescription): void {
    machine.isSelfDescribed = true;
    const type = this.machineTypes.get(description.type) ?? machine.type;
    this.correctDescription(machine, type, description.zone, description.spot);
  }

  private correctDescription(
    machine: Machine,
    type: MachineType,
    zone: string,
    spot: boolean,
  ): void {
    if (machine.type.name === type.name && machine.zone === zone && machine.spot === spot) return;
    machine.isRecordOutdated = machine.isPersisted;
    const fields = { machine: machine.name, type: type.name, zone, spot, was: machine.zone };
    this.log("machine corrected", fields);
    this.cluster.correctMachine(machine, type, zone, spot);
    this.cycleRequested = true;
  }
}
