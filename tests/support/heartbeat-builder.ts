/** Builds the heartbeats of workers, and keeps the attributes of each worker's machine from one to the next. */
import type { TaskStatus, WorkerHeartbeat } from "../../src/core/model/workers.js";

/** Sequence number of the first heartbeat. */
const FIRST_SEQUENCE = 100;

type MachineAttributes = Pick<WorkerHeartbeat, "type" | "zone" | "spot">;

/**
 * Builds heartbeats with increasing sequence numbers. A machine has type `small` unless `overrides` set another one.
 */
export class HeartbeatBuilder {
  private nextSequence = FIRST_SEQUENCE;
  private readonly attributesByMachine = new Map<string, MachineAttributes>();

  /** `overrides` replace fields; machine attributes among them also apply to the machine's later heartbeats. */
  build(
    machine: string,
    fencingToken: number,
    tasks: TaskStatus[],
    overrides: Partial<WorkerHeartbeat>,
  ): WorkerHeartbeat {
    const heartbeat = {
      machine,
      address: `${machine}:9000`,
      ...(this.attributesByMachine.get(machine) ?? defaultAttributes(machine)),
      incarnation: 1,
      sequence: this.nextSequence++,
      fencingToken,
      interruptionNoticeS: null,
      tasks,
      ...overrides,
    };
    const { type, zone, spot } = heartbeat;
    this.attributesByMachine.set(machine, { type, zone, spot });
    return heartbeat;
  }
}

/** The last letter of a machine's name determines its zone: `b`, or `a` for all others. */
function defaultAttributes(machine: string): MachineAttributes {
  return { type: "small", zone: machine.endsWith("b") ? "b" : "a", spot: false };
}
