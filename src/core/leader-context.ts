/** State shared by the parts of the leader's state machine: cluster, settings, fencing token and pending effects. */
import { Cluster } from "./cluster.js";
import type { Effect, SchedulerOptions } from "./effects.js";
import { firstFencingToken } from "./leadership/fencing-tokens.js";
import { Machine } from "./machines/machine.js";
import type { JobKind } from "./model/jobs.js";
import type { MachineType } from "./model/machines.js";
import type { ClusterSettings } from "./model/settings.js";
import { ValueSizeLimit } from "./state/value-size-limit.js";

/**
 * Whether partitioned nodes extend the leases of workers that run tasks of this kind. The rule depends on the job
 * kind alone, so that both sides of a partition reach the same decision.
 */
export const hasExtendableLease = (kind: JobKind): boolean => kind !== "array";

/** Initial values of a leader's context. */
export interface LeaderContextOptions {
  readonly settings: ClusterSettings;
  readonly options: SchedulerOptions;
  /** Epoch of the leader's term, which is also its highest fencing token. */
  readonly epoch: number;
  /** Mod revision of the epoch's key. */
  readonly epochModRevision: number;
  /** Monotonic time at which leadership was acquired, in seconds. */
  readonly startedAt: number;
}

/** Type, zone and spot flag of a machine, as reported by the cloud, its stored record or its own worker. */
export interface MachineDescription {
  /** Name of the machine type. */
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
  /** The stored epoch, which is also the highest fencing token that the term may use. */
  epoch: number;
  /** The term's lowest fencing token. All starts of previous leaders were sent with lower ones. */
  readonly firstFencingToken: number;
  epochModRevision: number;
  /** Whether a change calls for a scheduling cycle before the next regular one. */
  cycleRequested = true;
  /** Machine types, by name; empty until the catalog is known. */
  machineTypes: ReadonlyMap<string, MachineType> = new Map();
  private pendingEffects: Effect[] = [];

  constructor(options: LeaderContextOptions) {
    this.settings = options.settings;
    this.options = options.options;
    this.epoch = options.epoch;
    this.firstFencingToken = firstFencingToken(options.epoch);
    this.epochModRevision = options.epochModRevision;
    this.startedAt = options.startedAt;
    this.cluster = new Cluster(this.settings.teams);
    this.valueSizeLimit = new ValueSizeLimit(1024 * this.settings.valueKb, this.settings.leaseS);
  }

  get hasMachineTypes(): boolean {
    return this.machineTypes.size > 0;
  }

  /** Effects requested since the last `takeEffects`. New effects are pushed to this array. */
  get effects(): Effect[] {
    return this.pendingEffects;
  }

  /** Returns the pending effects and clears them. */
  takeEffects(): Effect[] {
    const effects = this.pendingEffects;
    this.pendingEffects = [];
    return effects;
  }

  log(message: string, fields: Record<string, unknown>): void {
    this.pendingEffects.push({ kind: "log", level: "info", message, fields });
  }

  /** Logs a line on a condition that an operator may have to act on. */
  warn(message: string, fields: Record<string, unknown>): void {
    this.pendingEffects.push({ kind: "log", level: "warn", message, fields });
  }

  /** Logs a line on a single task. `fields` is called only if the line is written. */
  logTask(message: string, fields: () => Record<string, unknown>): void {
    if (!this.options.logsTasks) return;
    this.pendingEffects.push({ kind: "log", level: "debug", message, fields: fields() });
  }

  /**
   * Assumes, until a message of the machine's worker arrives, that the previous leader renewed the worker's lease at
   * the latest possible time.
   */
  assumeLatestLeaseRenewal(machine: Machine): void {
    machine.lastMessageAt = this.startedAt;
    machine.leaseRenewedAt = this.startedAt + this.options.gracePeriodS;
  }

  /** Returns the machine with this name, adding it if it is new; null if it is new and its type is unknown. */
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

  /** Applies a worker's report on its own machine, which overrides the cloud's list and the stored record. */
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
    this.log("machine description corrected", fields);
    this.cluster.correctMachine(machine, type, zone, spot);
    this.cycleRequested = true;
  }
}
