/** What users do in a simulation, and what goes wrong in it, in each step. */
import type { SimulatedEffects } from "./simulated-effects.js";
import type { SimulatedHeartbeats } from "./simulated-heartbeats.js";
import type { SimulatedLeadership } from "./simulated-leadership.js";
import type { SimulatedMachine } from "./simulated-machine.js";
import type { SimulatedMachines } from "./simulated-machines.js";
import type { SimulatedUsers } from "./simulated-users.js";
import type { SimulationContext } from "./simulation-context.js";

/** One machine in so many, times the steps, crashes. */
const CRASH_ODDS = 2000;

/** What faults are caused on. */
export interface FaultTargets {
  readonly users: SimulatedUsers;
  readonly machines: SimulatedMachines;
  readonly leadership: SimulatedLeadership;
  readonly heartbeats: SimulatedHeartbeats;
  readonly effects: SimulatedEffects;
}

export class FaultInjection {
  constructor(
    private readonly context: SimulationContext,
    private readonly targets: FaultTargets,
  ) {}

  step(): void {
    const { choices, clock, faults } = this.context;
    const { effects, heartbeats, machines } = this.targets;
    const machine = [...machines.byName.values()][choices.below(machines.byName.size)];
    const until = clock.now + choices.oneOf([3, 12, 30, 60]);
    this.actAsUsers();
    this.disturbLeader();
    heartbeats.replayOne();
    if (choices.isOneIn(faults.odds.machine)) effects.cloudUnavailableUntil = until;
    if (machine === undefined) return;
    this.disturbMachine(machine, until);
    // As many in a minute for each machine, however many there are.
    if (choices.isOneIn(Math.ceil(CRASH_ODDS / machines.byName.size))) this.crash(machine);
  }

  private actAsUsers(): void {
    const { choices, jobs } = this.context;
    const { users } = this.targets;
    if (choices.isOneIn(9)) users.submit();
    const unfinished = [...jobs.accepted.keys()].filter((id) => !jobs.reportedFinalStates.has(id));
    for (const id of jobs.submitted.keys()) {
      if (choices.isOneIn(40)) users.confirmSubmission(id);
    }
    if (unfinished.length > 0 && choices.isOneIn(25)) users.cancel(choices.oneOf(unfinished));
  }

  private disturbLeader(): void {
    const { choices, faults } = this.context;
    const { leadership } = this.targets;
    if (choices.isOneIn(faults.odds.leader)) leadership.end("ends");
    if (choices.isOneIn(faults.odds.leader)) leadership.end("refused alone", true);
  }

  private disturbMachine(machine: SimulatedMachine, until: number): void {
    const { choices, faults } = this.context;
    const isHit = (): boolean => choices.isOneIn(faults.odds.machine);
    const hasFormerLeader = this.targets.leadership.formerLeaders.length > 0;
    if (hasFormerLeader && isHit()) machine.partitionedUntil = until;
    if (isHit()) machine.dropsOutboundUntil = until;
    if (isHit()) machine.dropsInboundUntil = until;
    if (isHit()) machine.hungUntil = until;
  }

  /** Another one of its kind comes up later. */
  private crash({ name, type, zone, spot }: SimulatedMachine): void {
    const { choices, clock, trace } = this.context;
    const { machines } = this.targets;
    trace.add(`${name} dies`);
    machines.byName.delete(name);
    clock.schedule(5 + choices.below(30), () => machines.boot(type, zone, spot));
  }
}
