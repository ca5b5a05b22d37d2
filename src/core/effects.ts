/** What the leader's state machine asks for, and how what it asked for ended. */
import type { WorkerCommand, WorkerHeartbeat } from "./model/workers.js";

/** Something to be sent, asked of the cloud, done by the node, or logged. */
export type Effect =
  | {
      readonly kind: "send";
      readonly machine: string;
      readonly address: string;
      readonly session: number;
      readonly commands: readonly WorkerCommand[];
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
  /** A job's first task runs, as far as this leader knows. */
  | { readonly kind: "first start"; readonly job: string; readonly submittedAt: number }
  | { readonly kind: "raise token" }
  | { readonly kind: "resign"; readonly why: string }
  | {
      readonly kind: "log";
      readonly level: "info" | "debug";
      readonly message: string;
      readonly fields: Record<string, unknown>;
    };

/** How a direct request to a worker ended; `sent`: it may have arrived. */
export type CommandOutcome =
  | { readonly kind: "answer"; readonly executed: boolean; readonly report: WorkerHeartbeat }
  | { readonly kind: "lost"; readonly sent: boolean };

/** How a write ended. `unknown`: it may have been carried out, or may be later. */
export type TransactionOutcome = "ok" | "conflict" | "unknown" | "refused";

/** Figures of a leader that follow from the settings and from the other controllers. */
export interface SchedulerOptions {
  readonly spareRatio: number;
  readonly maxMachines: number;
  readonly idleReleaseS: number;
  /** Seconds for which a former leader may still have answered reports after its term. */
  readonly gracePeriodS: number;
  /** The same for machines that run replicas or gang tasks. */
  readonly leaseExtensionS: number;
  /** Lines on single tasks are written: there are hundreds a second, and each costs as much as a report's answer. */
  readonly logsTasks: boolean;
  /** Other controllers in each zone: cut off with its workers, each may keep them for `keepS`. */
  readonly controllersPerZone: ReadonlyMap<string, number>;
}
