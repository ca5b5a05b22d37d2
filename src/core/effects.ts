/** What the leader's state machine asks for, and the results that it is given in return. */
import type { WorkerCommand, WorkerHeartbeat } from "./model/workers.js";

/** Something to be sent, asked of the cloud, done by the node, or logged. */
export type Effect =
  /** A direct request with commands, or, without any, one that carries only the fencing token. */
  | {
      readonly kind: "send";
      readonly machine: string;
      /** Address of the worker, host:port. */
      readonly address: string;
      /** The worker's incarnation that the commands are for. */
      readonly incarnation: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** A direct request that only asks for the worker's heartbeat. */
  | { readonly kind: "probe"; readonly machine: string; readonly address: string }
  | {
      readonly kind: "scale out";
      /** Name of the request, which makes it idempotent; never used again. */
      readonly name: string;
      /** Name of the machine type. */
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: "release machines"; readonly machines: readonly string[] }
  | { readonly kind: "list machines" }
  /** A job's first task runs, as far as this leader knows. `submittedAt`: time of day, in milliseconds. */
  | { readonly kind: "first start"; readonly job: string; readonly submittedAt: number }
  | { readonly kind: "advance fencing token" }
  | { readonly kind: "step down"; readonly why: string }
  | {
      readonly kind: "log";
      readonly level: "info" | "debug";
      readonly message: string;
      readonly fields: Record<string, unknown>;
    };

/** What a scale-out asks for. */
export type RequestedMachines = Pick<
  Extract<Effect, { kind: "scale out" }>,
  "type" | "zone" | "spot" | "count"
>;

/** How a direct request to a worker ended. */
export type CommandOutcome =
  /** `executed`: false if the worker dropped the commands. */
  | { readonly kind: "answered"; readonly executed: boolean; readonly heartbeat: WorkerHeartbeat }
  /** No answer came. `mayArrive`: the commands may have been executed, or may be later. */
  | { readonly kind: "lost"; readonly mayArrive: boolean };

/** How a request for machines ended. */
export type ScaleOutResult =
  /** Names of the machines, at most as many as were asked for. */
  | { readonly kind: "provisioned"; readonly machines: readonly string[] }
  /** The cloud has none of this kind now. */
  | { readonly kind: "no capacity" }
  /** The cloud did not answer, or not in a way that says anything. */
  | { readonly kind: "failed" };

/** How a transaction ended. */
export type TransactionOutcome =
  /** `revision`: of the store, at which its changes are stored. */
  | { readonly kind: "committed"; readonly revision: number }
  /** A precondition failed; nothing was changed. */
  | { readonly kind: "conflict" }
  /** It may have been committed, or may be later. */
  | { readonly kind: "unknown" }
  /** The store did not take it; nothing was changed. */
  | { readonly kind: "refused" };

/** Figures of a leader that follow from the settings and from the other controllers. */
export interface SchedulerOptions {
  /** Free capacity to keep for each class of jobs, as a ratio to what it uses. */
  readonly spareRatio: number;
  /** Machines that the pool is never grown beyond; with 0 nothing is scaled out. */
  readonly maxMachines: number;
  /** Seconds after which an idle machine that is not needed is released. */
  readonly idleReleaseS: number;
  /** Seconds for which a former leader may still have answered heartbeats after its term. */
  readonly gracePeriodS: number;
  /** The same for machines that run replicas or gang tasks. */
  readonly leaseExtensionS: number;
  /** Lines on single tasks are written: there are hundreds a second, and each costs as much as a heartbeat's answer. */
  readonly logsTasks: boolean;
  /** Other controllers in each zone: partitioned off with its workers, each may extend their leases. */
  readonly controllersPerZone: ReadonlyMap<string, number>;
}
