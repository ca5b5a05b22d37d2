/** The field's terms, shared by the core and its adapters. Wire names stay in wire/. */

export type JobKind = "array" | "gang" | "service";
export type Priority = "production" | "high" | "normal" | "low";

const PRIORITY_RANKS: Record<Priority, number> = { production: 0, high: 1, normal: 2, low: 3 };
export const priorityRank = (p: Priority): number => PRIORITY_RANKS[p];

export interface JobSpec {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
  /** Jobs that must be done before it starts; left out where there are none. */
  readonly after?: readonly string[];
}

export type JobState = "queued" | "running" | "done" | "cancelled";

export interface JobView {
  readonly id: string;
  readonly state: JobState;
  readonly done: number;
  readonly running: number;
}

export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export type TaskState = "pulling image" | "waiting" | "running" | "checkpointing" | "exited";
export type ExitCause =
  | "done"
  | "stopped"
  | "peers"
  | "alone"
  | "error"
  | "no_room"
  | "busy"
  | "unknown";

export interface TaskStatus {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly cause: ExitCause | null;
  readonly checkpointed: boolean;
}

export interface WorkerHeartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly incarnation: number;
  readonly sequence: number;
  readonly fencingToken: number;
  readonly interruptionNoticeS: number | null;
  readonly tasks: readonly TaskStatus[];
}

export type WorkerCommand =
  | { readonly op: "start"; readonly job: string; readonly task: number; readonly attempt: number }
  | {
      readonly op: "stop";
      readonly job: string;
      readonly task: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  | {
      readonly op: "forget";
      readonly job: string;
      readonly task: number;
      readonly attempt: number;
    };

export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: "booting" | "running" | "failed";
  readonly ageS: number;
}

export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

export interface Objective {
  readonly kind: string;
  readonly class: string | null;
  readonly withinS: number | null;
  readonly share: number;
}

/** What the platform's settings say of the cluster, in the field's terms. */
export interface ClusterSettings {
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
  readonly cancelS: number;
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
  readonly cloudRps: number;
  readonly listLagS: number;
  readonly cpuShare: number;
  readonly memoryMb: number;
  readonly sockets: number;
  readonly clockOffMs: number;
}

/** Amounts of CPUs, GPUs and GB that differ by less are equal: sums of decimal numbers are not exact. */
export const AMOUNT_TOLERANCE = 1e-6;

/** The steady clocks of two machines drift apart by at most this share (the protocol's figure). */
export const CLOCK_DRIFT = 0.0005;

/** The users' bound, in seconds: every job, the largest too, is to begin within four minutes. */
export const START_BOUND_S = 240;
