/** What a simulated leader asks for: requests to workers and to the cloud, each with its faults, and log lines. */
import { assertNever } from "../../src/core/assert-never.js";
import type { Effect } from "../../src/core/effects.js";
import type { WorkerHeartbeat } from "../../src/core/model/workers.js";
import { KEY } from "../../src/core/state/stored-values.js";
import type { SimulatedLeader, SimulatedLeadership } from "./simulated-leadership.js";
import type { SimulatedMachines } from "./simulated-machines.js";
import type { SimulationContext } from "./simulation-context.js";

type EffectOf<Kind extends Effect["kind"]> = Extract<Effect, { kind: Kind }>;

/** Log lines of the leader that help to read a trace. */
const TRACED_LOG_MESSAGES = new Set(["task lost", "scale in", "orphaned task", "job finished"]);

export class SimulatedEffects {
  /** The cloud releases nothing until then. */
  cloudUnavailableUntil = 0;

  constructor(
    private readonly context: SimulationContext,
    private readonly machines: SimulatedMachines,
    private readonly leadership: SimulatedLeadership,
  ) {}

  perform(leader: SimulatedLeader, effects: readonly Effect[]): void {
    for (const effect of effects) this.performOne(leader, effect);
  }

  private performOne(leader: SimulatedLeader, effect: Effect): void {
    switch (effect.kind) {
      case "send":
        this.sendCommands(leader, effect);
        break;
      case "probe":
        this.probe(leader, effect);
        break;
      case "release machines":
        this.release(leader, effect);
        break;
      case "scale out":
        this.scaleOut(leader, effect);
        break;
      case "list machines":
        this.listMachines(leader);
        break;
      case "advance fencing token":
        this.advanceFencingToken(leader);
        break;
      case "step down":
        this.leadership.end(effect.why);
        break;
      case "log":
        this.log(effect);
        break;
      case "first start":
        break;
      default:
        assertNever(effect);
    }
  }

  private log({ message, fields }: EffectOf<"log">): void {
    if (!TRACED_LOG_MESSAGES.has(message)) return;
    this.context.trace.add(`${message} ${Object.values(fields).join(" ")}`);
  }

  /** Hands a result to the leader; results for one that leads no more are dropped. */
  private hand(leader: SimulatedLeader, result: () => Effect[]): void {
    if (this.leadership.leader === leader) this.perform(leader, result());
  }

  private probe(leader: SimulatedLeader, { machine }: EffectOf<"probe">): void {
    const { clock } = this.context;
    clock.schedule(0.05, () => {
      const heartbeat = this.machines.probe(machine);
      this.hand(leader, () => leader.scheduler.probeAnswered(machine, heartbeat, clock.now));
    });
  }

  private release(
    leader: SimulatedLeader,
    { machines: names }: EffectOf<"release machines">,
  ): void {
    const { clock, faults } = this.context;
    const isReleased = clock.now >= this.cloudUnavailableUntil && !faults.occurs(4);
    clock.schedule(0.3, () => {
      if (isReleased) for (const name of names) this.terminate(name);
      this.hand(leader, () => leader.scheduler.releaseAnswered(names, isReleased, clock.now));
    });
  }

  /** Another one of its kind comes up a little later, so that the simulation does not run out of machines. */
  private terminate(name: string): void {
    const { clock, trace } = this.context;
    const machine = this.machines.byName.get(name);
    if (machine === undefined) return;
    this.machines.byName.delete(name);
    trace.add(`${name} is returned`);
    clock.schedule(1, () => this.machines.boot(machine.type, machine.zone, machine.spot));
  }

  private listMachines(leader: SimulatedLeader): void {
    const { clock } = this.context;
    clock.schedule(0.2, () =>
      this.hand(leader, () =>
        leader.scheduler.machineListAnswered(this.machines.list(), clock.now),
      ),
    );
  }

  /** Machines come up at once or later; the request may be carried out late, its answer lost. */
  private scaleOut(leader: SimulatedLeader, request: EffectOf<"scale out">): void {
    const { choices, clock, cluster, faults } = this.context;
    const { scheduler } = leader;
    if (this.machines.byName.size >= cluster.maxMachines || choices.isOneIn(4)) {
      clock.schedule(0.2, () =>
        this.hand(leader, () =>
          scheduler.scaleOutAnswered(request, { kind: "no capacity" }, clock.now),
        ),
      );
      return;
    }
    const isAnswerLost = faults.occurs(faults.odds.message);
    clock.schedule(isAnswerLost ? choices.below(40) : 0.2, () => {
      const machines = this.provision(request);
      if (isAnswerLost) return;
      this.hand(leader, () =>
        scheduler.scaleOutAnswered(request, { kind: "provisioned", machines }, clock.now),
      );
    });
    if (!isAnswerLost) return;
    clock.schedule(1, () =>
      this.hand(leader, () => scheduler.scaleOutAnswered(request, { kind: "failed" }, clock.now)),
    );
  }

  /** As many as there may be; each boots after a while. Returns their names. */
  private provision({ type, zone, spot, count }: EffectOf<"scale out">): string[] {
    const { choices, clock, cluster } = this.context;
    const granted = Math.max(0, Math.min(count, cluster.maxMachines - this.machines.byName.size));
    const names = Array.from({ length: granted }, () => this.machines.newName(zone));
    for (const name of names) {
      const bootS = choices.oneOf([1, 2, 15]);
      clock.schedule(bootS, () => this.machines.boot(type, zone, spot, name));
    }
    return names;
  }

  private sendCommands(leader: SimulatedLeader, request: EffectOf<"send">): void {
    const { choices, clock, faults } = this.context;
    const { scheduler, epoch } = leader;
    const { machine, commands } = request;
    const lost = (): void =>
      this.hand(leader, () =>
        scheduler.commandsAnswered(machine, commands, { kind: "lost", mayArrive: true }, clock.now),
      );
    if (faults.occurs(faults.odds.message)) {
      // Held up on the way, for seconds or minutes; the sender has given it up meanwhile.
      clock.schedule(1 + choices.below(90), () => this.deliver(request, epoch));
      clock.schedule(1, lost);
      return;
    }
    const isAnswerLost = faults.occurs(faults.odds.message);
    clock.schedule(0.05, () => {
      const delivered = this.deliver(request, epoch);
      if (delivered === null || isAnswerLost) return clock.schedule(1, lost);
      const outcome = { kind: "answered" as const, ...delivered };
      clock.schedule(0.05, () =>
        this.hand(leader, () => scheduler.commandsAnswered(machine, commands, outcome, clock.now)),
      );
    });
  }

  /** Null: the machine is not reached. A worker refuses an older token and commands for another incarnation. */
  private deliver(
    { machine: name, incarnation, commands }: EffectOf<"send">,
    token: number,
  ): { readonly executed: boolean; readonly heartbeat: WorkerHeartbeat } | null {
    const machine = this.machines.byName.get(name);
    if (machine === undefined || !machine.isReachable(this.context.clock.now)) return null;
    this.machines.expireLease(machine);
    const executed = token >= machine.fencingToken && incarnation === machine.incarnation;
    machine.fencingToken = Math.max(machine.fencingToken, token);
    if (executed) this.machines.execute(machine, commands);
    return { executed, heartbeat: machine.heartbeat() };
  }

  private advanceFencingToken(leader: SimulatedLeader): void {
    const { clock, store, trace } = this.context;
    leader.isAdvancingToken = true;
    clock.schedule(0.1, () => {
      if (this.leadership.leader !== leader) return;
      const n = leader.epoch + 1;
      const preconditions = [{ key: KEY.epoch, modRevision: leader.epochRevision }];
      const isCommitted = store.commit(preconditions, [
        { op: "put", key: KEY.epoch, value: { n } },
      ]);
      this.leadership.catchUpReplica(leader);
      leader.isAdvancingToken = false;
      if (isCommitted) {
        leader.epoch = n;
        leader.epochRevision = leader.replica.epoch.modRevision;
        trace.add(`token ${n}`);
      }
      const advanced = isCommitted ? { epoch: n, modRevision: leader.epochRevision } : null;
      this.hand(leader, () => leader.scheduler.fencingTokenAdvanced(advanced, clock.now));
    });
  }
}
