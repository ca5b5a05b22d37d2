/** A machine of the simulation with its worker: its session and lease, the tasks on it, and what it reports. */
import type { Report, TaskReport } from "../src/core/model.js";
import type { Place } from "./placement-checker.js";

/** A worker's lease, in seconds. */
export const LEASE_S = 21;

/** A task on a machine: it fetches its image until `imageAt`. */
export interface SimulatedTask {
  report: TaskReport;
  endsAt: number;
  readonly imageAt: number;
}

export class SimulatedMachine {
  session = 1;
  /** Highest fencing token that the worker has seen. */
  token = 0;
  leaseUntil: number;
  nextReport: number;
  /** Its reports reach nobody until then. */
  mute = 0;
  /** Nothing that is sent to it arrives until then. */
  deaf = 0;
  /** It stands still until then. */
  hung = 0;
  /** It is cut off with former leaders until then: the present one neither hears nor reaches it. */
  apart = 0;
  readonly tasks = new Map<string, SimulatedTask>();
  private sequence = 0;

  constructor(
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    now: number,
  ) {
    this.leaseUntil = now + LEASE_S;
    this.nextReport = now;
  }

  get place(): Place {
    return { machine: this.name, type: this.type, zone: this.zone, spot: this.spot };
  }

  /** A direct request gets there and its answer back. */
  reaches(now: number): boolean {
    return now >= Math.max(this.deaf, this.hung, this.apart);
  }

  /** Ends the session if its lease is over, and says whether tasks went with it. */
  expire(now: number): boolean {
    if (now <= this.leaseUntil) return false;
    const lost = this.tasks.size > 0;
    this.tasks.clear();
    this.session++;
    this.leaseUntil = now + LEASE_S;
    return lost;
  }

  report(): Report {
    return {
      machine: this.name,
      address: `${this.name}:9000`,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      seq: ++this.sequence,
      token: this.token,
      noticeS: null,
      tasks: [...this.tasks.values()].map((t) => ({ ...t.report })),
    };
  }
}
