/**
 * The core under any order of events: a leader and its successors, former leaders that still answer, the
 * state service, workers and users, with every message kept until a seeded choice delivers, repeats or loses
 * it. After each event the protocol's rules are checked by what the workers themselves have.
 */
import { KEY } from "../../src/core/state/stored-values.js";
import { FaultInjection } from "./fault-injection.js";
import { clusterForSeed, type SimulatedCluster } from "./simulated-clusters.js";
import { SimulatedEffects } from "./simulated-effects.js";
import { SimulatedHeartbeats } from "./simulated-heartbeats.js";
import { SimulatedJobs } from "./simulated-jobs.js";
import { SimulatedKeyValueStore } from "./simulated-key-value-store.js";
import { SimulatedLeaderLoop } from "./simulated-leader-loop.js";
import { SimulatedLeadership } from "./simulated-leadership.js";
import { SimulatedMachines } from "./simulated-machines.js";
import { SimulatedUsers, type SpecSeenByLeader } from "./simulated-users.js";
import {
  FaultChances,
  type RuleViolation,
  SeededChoices,
  SimulationClock,
  type SimulationContext,
  SimulationTrace,
} from "./simulation-context.js";

/** Steps in which late messages arrive after faults have ended. */
const SETTLING_STEPS = 100;

/** One run: the same seed gives the same trace. */
export class Simulation {
  private readonly context: SimulationContext;
  private readonly machines: SimulatedMachines;
  private readonly users: SimulatedUsers;
  private readonly leadership: SimulatedLeadership;
  private readonly leaderLoop: SimulatedLeaderLoop;
  private readonly heartbeats: SimulatedHeartbeats;
  private readonly faultInjection: FaultInjection;

  /** `specSeenByLeader`: what the leader is told of a job, to show that the checks can fail. */
  constructor(
    seed: number,
    specSeenByLeader: SpecSeenByLeader = (spec) => spec,
    cluster: SimulatedCluster | null = null,
  ) {
    const context = createContext(seed, cluster);
    this.context = context;
    this.machines = new SimulatedMachines(context);
    this.users = new SimulatedUsers(context, this.machines, specSeenByLeader);
    this.leadership = new SimulatedLeadership(context);
    const effects = new SimulatedEffects(context, this.machines, this.leadership);
    this.leaderLoop = new SimulatedLeaderLoop(context, this.leadership, effects);
    this.heartbeats = new SimulatedHeartbeats(context, this.machines, this.leadership, effects);
    this.faultInjection = new FaultInjection(context, {
      users: this.users,
      machines: this.machines,
      leadership: this.leadership,
      heartbeats: this.heartbeats,
      effects,
    });
    context.store.commit([], [{ op: "put", key: KEY.epoch, value: { n: 0 } }]);
  }

  get violations(): readonly RuleViolation[] {
    return this.context.trace.violations;
  }

  get trace(): readonly string[] {
    return this.context.trace.lines;
  }

  /** Tasks that were started, repeated starts included. */
  get startCount(): number {
    return this.machines.startCount;
  }

  get termCount(): number {
    return this.leadership.termCount;
  }

  /** Jobs of which a user was told the final state. */
  get finishedJobCount(): number {
    return this.context.jobs.reportedFinalStates.size;
  }

  /** Some tenths of a second pass. */
  step(): void {
    const { choices, clock, faults, jobs } = this.context;
    clock.advance(0.1 + choices.below(3) / 10);
    this.stepMachines();
    this.leaderLoop.step();
    if (faults.isActive) this.faultInjection.step();
    for (const id of jobs.accepted.keys()) if (choices.isOneIn(20)) this.users.query(id);
  }

  /** Faults end: what is late arrives, and services are cancelled. */
  endFaults(): void {
    const { faults, jobs } = this.context;
    faults.isActive = false;
    for (let i = 0; i < SETTLING_STEPS; i++) this.step();
    for (const [id, { kind }] of jobs.submitted) {
      this.users.confirmSubmission(id);
      if (kind === "service" && jobs.accepted.has(id)) this.users.cancel(id);
    }
  }

  /** Accepted jobs that nobody cancelled and that neither run nor are done. */
  unfinishedJobs(): string[] {
    return this.users.unfinishedJobs();
  }

  private stepMachines(): void {
    const { clock } = this.context;
    for (const machine of this.machines.byName.values()) {
      // What hangs past its lease does not go on with its tasks: they count as gone from then on.
      this.machines.expireLease(machine);
      if (clock.now < machine.hungUntil) continue;
      this.machines.runTasks(machine);
      if (clock.now >= machine.nextHeartbeatAt) this.heartbeats.send(machine);
    }
  }
}

/** The cluster is chosen before the odds of faults: the order of the draws is part of a run. */
function createContext(seed: number, cluster: SimulatedCluster | null): SimulationContext {
  const choices = new SeededChoices(seed);
  const clock = new SimulationClock();
  return {
    cluster: cluster ?? clusterForSeed(seed, (limit) => choices.below(limit)),
    clock,
    choices,
    faults: new FaultChances(choices),
    trace: new SimulationTrace(clock),
    store: new SimulatedKeyValueStore(),
    jobs: new SimulatedJobs(),
  };
}
