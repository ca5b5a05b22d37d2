/** A machine of the simulation with its worker: its session and lease, the tasks on it, and what it reports. */
import type { TaskStatus, WorkerHeartbeat } from "../../src/core/model/workers.js";
import type { Place } from "./placement-checker.js";

/** A worker's lease, in seconds. */
export const WORKER_LEASE_S = 21;

/** A task on a machine: it fetches its image until `imageAt`. */
export interface SimulatedTask {
  status: TaskStatus;
  endsAt: number;
  readonly imagePulledAt: number;
}

export class SimulatedMachine {
  incarnation = 1;
  /** Highest fencing token that the worker has seen. */
  fencingToken = 0;
  leaseExpiresAt: number;
  nextHeartbeatAt: number;
  /** Its reports reach nobody until then. */
  dropsOutboundUntil = 0;
  /** Nothing that is sent to it arrives until then. */
  dropsInboundUntil = 0;
  /** It stands still until then. */
  hungUntil = 0;
  /** It is cut off with former leaders until then: the present one neither hears nor reaches it. */
  partitionedUntil = 0;
  readonly tasks = new Map<string, SimulatedTask>();
  private sequence = 0;

  constructor(
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    now: number,
  ) {
    this.leaseExpiresAt = now + WORKER_LEASE_S;
    this.nextHeartbeatAt = now;
  }

  get place(): Place {
    return { machine: this.name, type: this.type, zone: this.zone, spot: this.spot };
  }

  /** A direct request gets there and its answer back. */
  isReachable(now: number): boolean {
    return now >= Math.max(this.dropsInboundUntil, this.hungUntil, this.partitionedUntil);
  }

  /** Ends the session if its lease is over, and says whether tasks went with it. */
  expireLease(now: number): boolean {
    if (now <= this.leaseExpiresAt) return false;
    const lost = this.tasks.size > 0;
    this.tasks.clear();
    this.incarnation++;
    this.leaseExpiresAt = now + WORKER_LEASE_S;
    return lost;
  }

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
      tasks: [...this.tasks.values()].map((t) => ({ ...t.status })),
    };
  }
}
