/** Heartbeats of workers whose kind of machine stays what they first said. */
import type { TaskStatus, WorkerHeartbeat } from "../../src/core/model/workers.js";

const FIRST_SEQUENCE = 100;

type MachineKind = Pick<WorkerHeartbeat, "type" | "zone" | "spot">;

/** Builds heartbeats with rising sequence numbers: on a small machine, unless a change says otherwise. */
export class HeartbeatBuilder {
  private nextSequence = FIRST_SEQUENCE;
  private readonly machineKinds = new Map<string, MachineKind>();

  /** `change` replaces fields; what it says of the kind of machine holds for later heartbeats too. */
  build(
    machine: string,
    fencingToken: number,
    tasks: TaskStatus[],
    change: Partial<WorkerHeartbeat>,
  ): WorkerHeartbeat {
    const heartbeat = {
      machine,
      address: `${machine}:9000`,
      ...(this.machineKinds.get(machine) ?? defaultKind(machine)),
      incarnation: 1,
      sequence: this.nextSequence++,
      fencingToken,
      interruptionNoticeS: null,
      tasks,
      ...change,
    };
    const { type, zone, spot } = heartbeat;
    this.machineKinds.set(machine, { type, zone, spot });
    return heartbeat;
  }
}

/** The last letter of a machine's name is its zone. */
function defaultKind(machine: string): MachineKind {
  return { type: "small", zone: machine.endsWith("b") ? "b" : "a", spot: false };
}
