/** What a simulated leader does by itself: it is elected, follows the stored state, plans and writes. */
import type { TransactionOutcome } from "../../src/core/effects.js";
import { Scheduler } from "../../src/core/scheduler.js";
import { StateReplica } from "../../src/core/state/state-replica.js";
import { KEY } from "../../src/core/state/stored-values.js";
import type { LeaderTransaction } from "../../src/core/state/write-composer.js";
import type { SimulatedEffects } from "./simulated-effects.js";
import {
  GRACE_PERIOD_S,
  LEASE_EXTENSION_S,
  type SimulatedLeader,
  type SimulatedLeadership,
} from "./simulated-leadership.js";
import type { SimulationContext } from "./simulation-context.js";

const MAX_CHANGES = 32;
const MAX_TRANSACTION_BYTES = 60_000;

type TransactionEnd = (outcome: TransactionOutcome) => void;

export class SimulatedLeaderLoop {
  constructor(
    private readonly context: SimulationContext,
    private readonly leadership: SimulatedLeadership,
    private readonly effects: SimulatedEffects,
  ) {}

  /** The leader's part of a step; without one, a successor comes after some seconds. */
  step(): void {
    const { choices, clock } = this.context;
    const { leadership } = this;
    const { leader } = leadership;
    if (leader === null) {
      const vacantForS = clock.now - leadership.leaderlessSince;
      if (vacantForS > 1 + choices.below(4)) this.electLeader();
      return;
    }
    if (!choices.isOneIn(3)) leadership.catchUpReplica(leader);
    if (leadership.leader !== leader) return;
    this.effects.perform(leader, leader.scheduler.tick(clock.now, clock.now * 1000));
    if (leadership.leader === leader) this.writeNext(leader);
  }

  private electLeader(): void {
    const { clock, cluster, store } = this.context;
    const { value, modRevision } = store.replica.epoch;
    const epoch = value + 1;
    store.commit(
      [{ key: KEY.epoch, modRevision }],
      [{ op: "put", key: KEY.epoch, value: { n: epoch } }],
    );
    const replica = new StateReplica();
    replica.reset(store.items(), store.revision);
    const epochRevision = replica.epoch.modRevision;
    const options = {
      spareRatio: 0,
      maxMachines: cluster.maxMachines,
      idleReleaseS: 1e9,
      gracePeriodS: GRACE_PERIOD_S,
      leaseExtensionS: LEASE_EXTENSION_S,
      logsTasks: true,
      controllersPerZone: new Map<string, number>(),
    };
    const scheduler = new Scheduler({
      settings: cluster.settings,
      options,
      epoch,
      epochModRevision: epochRevision,
      startedAt: clock.now,
    });
    scheduler.setMachineTypes(cluster.types);
    const leader: SimulatedLeader = {
      scheduler,
      replica,
      epoch,
      epochRevision,
      actsUntil: Number.POSITIVE_INFINITY,
      isWriting: false,
      isAdvancingToken: false,
    };
    this.leadership.begin(leader);
    this.effects.perform(leader, scheduler.takeOver(replica, clock.now));
  }

  private writeNext(leader: SimulatedLeader): void {
    if (leader.isWriting || leader.isAdvancingToken) return;
    const { scheduler, replica } = leader;
    const transaction = scheduler.nextTransaction(MAX_CHANGES, MAX_TRANSACTION_BYTES);
    if (transaction === null) return;
    leader.isWriting = true;
    this.carryOut(transaction, (outcome) => {
      const { leadership } = this;
      leader.isWriting = false;
      if (leadership.leader !== leader) return;
      if (outcome.kind === "unknown" || outcome.kind === "conflict")
        leadership.catchUpReplica(leader);
      if (leadership.leader !== leader) return;
      const { now } = this.context.clock;
      this.effects.perform(leader, scheduler.transactionEnded(transaction, outcome, replica, now));
    });
  }

  /** Refused, held up while the writer gives it up, or carried out, with its answer or without. */
  private carryOut({ preconditions, changes }: LeaderTransaction, onEnd: TransactionEnd): void {
    const { choices, clock, faults, store, trace } = this.context;
    if (faults.occurs(faults.odds.write)) {
      clock.schedule(0.1, () => onEnd({ kind: "refused" }));
      return;
    }
    if (faults.occurs(faults.odds.write)) {
      trace.add("a write is held up");
      clock.schedule(2 + choices.below(11), () => store.commit(preconditions, changes));
      clock.schedule(1, () => onEnd({ kind: "unknown" }));
      return;
    }
    const isAnswerLost = faults.occurs(faults.odds.write);
    clock.schedule(0.03, () => {
      const isCommitted = store.commit(preconditions, changes);
      const { revision } = store;
      if (isAnswerLost) clock.schedule(1, () => onEnd({ kind: "unknown" }));
      else
        clock.schedule(0.02, () =>
          onEnd(isCommitted ? { kind: "committed", revision } : { kind: "conflict" }),
        );
    });
  }
}
