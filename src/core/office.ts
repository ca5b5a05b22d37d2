/**
 * What the parts of the term holder share: its view, its settings, its token, and what it wants sent.
 */
import { Cluster, Machine } from "./cluster.js";
import type { ClusterSettings, Command, JobSpec, MachineType, Report } from "./model.js";
import { ValueLimit } from "./value-limit.js";

export type Output =
  | {
      readonly kind: "send";
      readonly machine: string;
      readonly address: string;
      readonly session: number;
      readonly commands: readonly Command[];
    }
  | { readonly kind: "show"; readonly machine: string; readonly address: string }
  | {
      readonly kind: "rent";
      readonly name: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: "return"; readonly machines: readonly string[] }
  | { readonly kind: "list" }
  | { readonly kind: "bump" }
  | { readonly kind: "resign"; readonly why: string }
  | {
      readonly kind: "log";
      readonly message: string;
      readonly fields: Record<string, unknown>;
    };

export type SendOutcome =
  | { readonly kind: "answer"; readonly executed: boolean; readonly report: Report }
  | { readonly kind: "lost"; readonly sent: boolean };

export type WriteOutcome = "ok" | "conflict" | "unknown" | "refused";

export interface SchedulerOptions {
  readonly spare: number;
  readonly maxMachines: number;
  readonly idleReturnS: number;
  /** Seconds for which a former holder may still have answered reports after its term. */
  readonly graceS: number;
  /** The same for machines that run replicas or gang tasks. */
  readonly keepS: number;
  /** Other controllers in each zone: cut off with its workers, each may keep them for `keepS`. */
  readonly othersIn: ReadonlyMap<string, number>;
}

/** Nodes that are cut off keep such machines alive; by what runs there, so both sides agree. */
export const isKept = (kind: JobSpec["kind"]): boolean => kind !== "array";

export class Office {
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
    this.collected.push({ kind: "log", message, fields });
  }

  flush(): Output[] {
    const out = this.collected;
    this.collected = [];
    return out;
  }

  machine(name: string, type: string, zone: string, spot: boolean, now: number): Machine | null {
    const known = this.cluster.machines.get(name);
    if (known !== undefined) return known;
    const t = this.types.get(type);
    if (t === undefined) return null;
    const m = new Machine(name, t, zone, spot, now);
    this.cluster.machines.set(name, m);
    return m;
  }
}

export function serves(m: Machine): boolean {
  for (const p of m.placements.values()) if (p.job.spec.kind === "service") return true;
  return false;
}
