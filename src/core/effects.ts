/** Effects that the leader's state machine requests, and the results that are passed back to it. */
import type { WorkerCommand, WorkerHeartbeat } from "./model/workers.js";

/**
 * A request to the node that runs the state machine: to send a message to a worker, call the cloud API, trace a job's
 * first start, reserve further fencing tokens, step down, or write a log line.
 */
export type Effect =
  /** A direct request with commands. With no commands, it only carries the fencing token. */
  | {
      readonly kind: "send";
      readonly machine: string;
      /** Address of the worker, host:port. */
      readonly address: string;
      /** Worker incarnation for which the commands are intended. */
      readonly incarnation: number;
      readonly fencingToken: number;
      readonly commands: readonly WorkerCommand[];
    }
  /** A direct request that only asks the worker for a heartbeat. */
  | { readonly kind: "probe"; readonly machine: string; readonly address: string }
  | {
      readonly kind: "scale out";
      /** Name of the request, which makes it idempotent. Names are never reused. */
      readonly name: string;
      /** Name of the machine type. */
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: "release machines"; readonly machines: readonly string[] }
  | { readonly kind: "list machines" }
  /**
   * A task of a job runs for the first time, as far as this leader knows. `submittedAt`: time of day, in
   * milliseconds.
   */
  | { readonly kind: "first start"; readonly job: string; readonly submittedAt: number }
  /** Reserve further fencing tokens, because the term has used up those that it has. */
  | { readonly kind: "advance fencing token" }
  | { readonly kind: "step down"; readonly why: string }
  | {
      readonly kind: "log";
      readonly level: "warn" | "info" | "debug";
      readonly message: string;
      readonly fields: Record<string, unknown>;
    };

/** Type, zone, spot flag and number of the machines that a scale-out requests. */
export type RequestedMachines = Pick<
  Extract<Effect, { kind: "scale out" }>,
  "type" | "zone" | "spot" | "count"
>;

/** Outcome of a direct request to a worker. */
export type CommandOutcome =
  /** `executed`: false if the worker dropped the commands. */
  | { readonly kind: "answered"; readonly executed: boolean; readonly heartbeat: WorkerHeartbeat }
  /** No answer arrived. `mayArrive`: the commands may have been executed, or may still be executed later. */
  | { readonly kind: "lost"; readonly mayArrive: boolean };

/** Outcome of a scale-out request. */
export type ScaleOutResult =
  /** `machines`: names of the new machines, at most as many as were requested. */
  | { readonly kind: "provisioned"; readonly machines: readonly string[] }
  /** The cloud currently has no capacity for this type, zone and spot flag. */
  | { readonly kind: "no capacity" }
  /** The cloud did not answer, or its answer does not show the outcome. */
  | { readonly kind: "failed" };

/** Outcome of a transaction. */
export type TransactionOutcome =
  /** `revision`: revision of the state service at which the changes were made. */
  | { readonly kind: "committed"; readonly revision: number }
  /** A precondition failed. Nothing was changed. */
  | { readonly kind: "conflict" }
  /** The transaction may have been committed, or may still be committed later. */
  | { readonly kind: "unknown" }
  /** The state service refused the transaction. Nothing was changed. */
  | { readonly kind: "refused" };

/** Parameters of a leader that are derived from the settings and from the set of other controllers. */
export interface SchedulerOptions {
  /** Free capacity to keep for each job class, as a ratio to the capacity that the class uses. */
  readonly spareRatio: number;
  /** Upper limit of the number of machines; 0 disables scale-out. */
  readonly maxMachines: number;
  /** Seconds of idleness after which a machine that is not needed is released. */
  readonly idleReleaseS: number;
  /**
   * Seconds for which a previous leader may still answer heartbeats, and so renew leases, after the end of its term.
   */
  readonly gracePeriodS: number;
  /**
   * The value that replaces `gracePeriodS` for machines that run service or gang tasks. It is also the number of
   * seconds for which a partitioned controller may extend the leases of such machines' workers.
   */
  readonly leaseExtensionS: number;
  /** Enables log lines on single tasks: hundreds a second, each of which costs as much as answering a heartbeat. */
  readonly logsTasks: boolean;
  /**
   * Number of other controllers in each zone. Each may extend the leases of its zone's workers while it is
   * partitioned together with them.
   */
  readonly controllersPerZone: ReadonlyMap<string, number>;
}
