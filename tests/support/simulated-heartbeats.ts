/** Workers' heartbeats in a simulation, on their way to whichever controller answers them. */
import type { WorkerCommand, WorkerHeartbeat } from "../../src/core/model/workers.js";
import type { SimulatedEffects } from "./simulated-effects.js";
import type { SimulatedLeadership } from "./simulated-leadership.js";
import { type SimulatedMachine, WORKER_LEASE_S } from "./simulated-machine.js";
import type { SimulatedMachines } from "./simulated-machines.js";
import type { SimulationContext } from "./simulation-context.js";

const DELIVERY_S = 0.02;
const REQUEST_TIMEOUT_S = 4;

interface HeartbeatAnswer {
  readonly token: number;
  readonly commands: readonly WorkerCommand[];
}

export class SimulatedHeartbeats {
  /** Copies that may arrive once more. */
  private readonly replayable: WorkerHeartbeat[] = [];

  constructor(
    private readonly context: SimulationContext,
    private readonly machines: SimulatedMachines,
    private readonly leadership: SimulatedLeadership,
    private readonly effects: SimulatedEffects,
  ) {}

  send(machine: SimulatedMachine): void {
    const { choices, clock, faults } = this.context;
    machine.nextHeartbeatAt = clock.now + 2.3 + choices.below(15) / 10;
    const sentAt = clock.now;
    const heartbeat = machine.heartbeat();
    if (faults.occurs(4)) this.replayable.push(heartbeat);
    if (clock.now < machine.dropsOutboundUntil) return;
    const isDelayed = faults.occurs(faults.odds.message);
    clock.schedule(isDelayed ? 1 + choices.below(40) : DELIVERY_S, () =>
      this.deliver(heartbeat, machine, sentAt),
    );
  }

  /** An earlier heartbeat arrives again, and nobody reads the answer. */
  replayOne(): void {
    const { choices } = this.context;
    if (this.replayable.length === 0 || !choices.isOneIn(8)) return;
    const [heartbeat] = this.replayable.splice(choices.below(this.replayable.length), 1);
    this.answer(heartbeat!);
  }

  private deliver(heartbeat: WorkerHeartbeat, machine: SimulatedMachine, sentAt: number): void {
    const answer = this.answer(heartbeat);
    if (answer === null) return;
    const { clock } = this.context;
    clock.schedule(DELIVERY_S, () => {
      if (clock.now - sentAt > REQUEST_TIMEOUT_S) return;
      if (clock.now < machine.dropsInboundUntil || clock.now < machine.hungUntil) return;
      this.machines.expireLease(machine);
      if (answer.token < machine.fencingToken) return;
      if (heartbeat.incarnation !== machine.incarnation) return;
      machine.fencingToken = answer.token;
      machine.leaseExpiresAt = Math.max(machine.leaseExpiresAt, sentAt + WORKER_LEASE_S);
      this.machines.execute(machine, answer.commands);
    });
  }

  /** As the nodes do: the leader, a former one that cannot know better, or anyone between two. */
  private answer(heartbeat: WorkerHeartbeat): HeartbeatAnswer | null {
    const { choices, clock } = this.context;
    const { leader } = this.leadership;
    const former = this.leadership.formerLeaderFor(heartbeat);
    const partitionedUntil = this.machines.byName.get(heartbeat.machine)?.partitionedUntil ?? 0;
    const isPartitioned = clock.now < partitionedUntil;
    if (former !== undefined && (isPartitioned || leader === null || choices.isOneIn(2))) {
      former.scheduler.noteGracePeriodAnswer(heartbeat, clock.now);
      return { token: former.epoch, commands: [] };
    }
    if (isPartitioned) return null;
    if (leader === null) return this.answerBetweenLeaders(heartbeat);
    const { commands, effects } = leader.scheduler.handleHeartbeat(heartbeat, clock.now);
    const token = leader.epoch;
    this.effects.perform(leader, effects);
    return { token, commands };
  }

  /** For part of a lease any node answers, so that workers do not all come back at once. */
  private answerBetweenLeaders({ fencingToken }: WorkerHeartbeat): HeartbeatAnswer | null {
    const { clock, store } = this.context;
    const epoch = store.replica.epoch.value;
    const vacantForS = clock.now - this.leadership.leaderlessSince;
    const mayAnswer = epoch > 0 && fencingToken <= epoch && vacantForS < WORKER_LEASE_S / 3;
    return mayAnswer ? { token: epoch, commands: [] } : null;
  }
}
