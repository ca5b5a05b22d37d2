/** What the parts of the leader's state machine share: its view, settings and token, and what it asks for. */
import { Cluster } from "./cluster.js";
import { Machine } from "./machine.js";
import type { ClusterSettings, JobSpec, MachineType, Report } from "./model.js";
import type { Output, SchedulerOptions } from "./outputs.js";
import { ValueLimit } from "./value-limit.js";

/** Nodes that are cut off keep such machines alive; by what runs there, so both sides agree. */
export const isKept = (kind: JobSpec["kind"]): boolean => kind !== "array";

export class LeaderContext {
  readonly cluster: Cluster;
  /** Something changed that a pass over all that waits should see. */
  needPlan = true;
  types = new Map<string, MachineType>();
  readonly valueLimit: ValueLimit;
  private collected: Output[] = [];

  constructor(
    readonly settings: ClusterSettings,
    readonly options: SchedulerOptions,
    public epoch: number,
    public epochMark: number,
    readonly startedAt: number,
  ) {
    this.cluster = new Cluster(settings.teams);
    this.valueLimit = new ValueLimit(1024 * settings.valueKb, settings.leaseS);
  }

  get typesKnown(): boolean {
    return this.types.size > 0;
  }

  get out(): Output[] {
    return this.collected;
  }

  log(message: string, fields: Record<string, unknown>): void {
    this.collected.push({ kind: "log", level: "info", message, fields });
  }

  /** A line on a single task, made only if it will be written. */
  logTask(message: string, fields: () => Record<string, unknown>): void {
    if (!this.options.logsTasks) return;
    this.collected.push({ kind: "log", level: "debug", message, fields: fields() });
  }

  flush(): Output[] {
    const out = this.collected;
    this.collected = [];
    return out;
  }

  /** Until a machine is heard it counts as if the former leader had renewed its lease as late as it may. */
  awaitFirstContact(m: Machine): void {
    m.lastHeard = this.startedAt;
    m.lastRenewed = this.startedAt + this.options.graceS;
  }

  /** The machine of that name, as the cloud or a record describes it. */
  machine(name: string, type: string, zone: string, spot: boolean, now: number): Machine | null {
    const t = this.types.get(type);
    const known = this.cluster.machines.get(name);
    if (known !== undefined) {
      if (t !== undefined && !known.selfDescribed) this.describe(known, t, zone, spot);
      return known;
    }
    if (t === undefined) return null;
    const m = new Machine(name, t, zone, spot, now);
    this.cluster.machines.set(name, m);
    return m;
  }

  /** A worker is the authority on its own machine, whatever was thought of it. */
  selfDescribed(m: Machine, r: Pick<Report, "type" | "zone" | "spot">): void {
    m.selfDescribed = true;
    this.describe(m, this.types.get(r.type) ?? m.type, r.zone, r.spot);
  }

  private describe(m: Machine, type: MachineType, zone: string, spot: boolean): void {
    if (m.type.name === type.name && m.zone === zone && m.spot === spot) return;
    m.recordChanged = m.stored;
    this.log("machine corrected", { machine: m.name, type: type.name, zone, spot, was: m.zone });
    this.cluster.correctMachine(m, type, zone, spot);
    this.needPlan = true;
  }
}

export function serves(m: Machine): boolean {
  for (const p of m.placements.values()) if (p.job.spec.kind === "service") return true;
  return false;
}
