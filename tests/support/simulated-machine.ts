/** A machine of the simulation with its worker: incarnation, lease, tasks and heartbeats. Times are simulated seconds. */
import type { TaskStatus, WorkerHeartbeat } from "../../src/core/model/workers.js";
import type { Place } from "./placement-checker.js";

/** A worker's lease, in seconds. */
export const WORKER_LEASE_S = 21;

/** A task on a machine: its image is pulled until `imagePulledAt`. */
export interface SimulatedTask {
  status: TaskStatus;
  endsAt: number;
  readonly imagePulledAt: number;
}

/** The worker's own state; faults are set on it from outside. */
export class SimulatedMachine {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  incarnation = 1;
  /** Highest fencing token that the worker has seen. */
  fencingToken = 0;
  leaseExpiresAt: number;
  nextHeartbeatAt: number;
  /** Its heartbeats reach nobody until then. */
  dropsOutboundUntil = 0;
  /** Nothing that is sent to it arrives until then. */
  dropsInboundUntil = 0;
  /** It is paused until then. */
  hungUntil = 0;
  /** It is partitioned off with former leaders until then: the present one gets nothing from it and does not reach it. */
  partitionedUntil = 0;
  readonly tasks = new Map<string, SimulatedTask>();
  private sequence = 0;

  /** Its name, machine type and zone, as its job's placement constraints see them. */
  constructor(
    readonly place: Place,
    now: number,
  ) {
    this.name = place.machine;
    this.type = place.type;
    this.zone = place.zone;
    this.spot = place.spot;
    this.leaseExpiresAt = now + WORKER_LEASE_S;
    this.nextHeartbeatAt = now;
  }

  /** A direct request arrives, and its answer too. */
  isReachable(now: number): boolean {
    return now >= Math.max(this.dropsInboundUntil, this.hungUntil, this.partitionedUntil);
  }

  /** Ends the incarnation if its lease has expired, and says whether tasks ended with it. */
  expireLease(now: number): boolean {
    if (now <= this.leaseExpiresAt) return false;
    const hasTasks = this.tasks.size > 0;
    this.tasks.clear();
    this.incarnation++;
    this.leaseExpiresAt = now + WORKER_LEASE_S;
    return hasTasks;
  }

  /** The next heartbeat; its statuses are copies. */
  heartbeat(): WorkerHeartbeat {
    return {
      machine: this.name,
      address: `${this.name}:9000`,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      fencingToken: this.fencingToken,
      interruptionNoticeS: null,
      tasks: [...this.tasks.values()].map(({ status }) => ({ ...status })),
    };
  }
}
