/**
 * The leader: one state machine for jobs, machines, quotas and commands.
 *
 * It takes inputs (changed keys, heartbeats, results, the passing of time) and returns the effects to be carried out.
 * It has no clock, socket or randomness of its own; times are in seconds of the node's steady clock. What it wants
 * written is asked for with `nextTransaction`, because how much may be written at a time is limited outside.
 */

import { MachinePool } from "./capacity/machine-pool.js";
import type { Cluster } from "./cluster.js";
import { CommandDispatcher } from "./dispatch/command-dispatcher.js";
import { DirectRequestResults } from "./dispatch/direct-request-results.js";
import { isNewer, Reconciler } from "./dispatch/reconciler.js";
import type {
  CommandOutcome,
  Effect,
  RequestedMachines,
  ScaleOutResult,
  TransactionOutcome,
} from "./effects.js";
import { JobLifecycle } from "./jobs/job-lifecycle.js";
import { LeaderContext, type LeaderContextOptions } from "./leader-context.js";
import { type AdvancedEpoch, FencingTokenAdvance } from "./leadership/fencing-token-advance.js";
import { takeOver } from "./leadership/takeover.js";
import { FaultAttribution } from "./machines/fault-attribution.js";
import type { Machine } from "./machines/machine.js";
import { MachineMonitor } from "./machines/machine-monitor.js";
import type { ListedMachine, MachineType } from "./model/machines.js";
import type { WorkerCommand, WorkerHeartbeat } from "./model/workers.js";
import { SchedulingCycle } from "./planning/scheduling-cycle.js";
import { OversizedValueHandler } from "./state/oversized-values.js";
import type { StateReplica } from "./state/state-replica.js";
import { TransactionResults } from "./state/transaction-results.js";
import {
  composeTransaction,
  hasPendingWrite,
  type LeaderTransaction,
  minimumTransactionChanges,
} from "./state/write-composer.js";

/** Machines are checked at most so many times in a heartbeat interval. */
const MACHINE_CHECKS_PER_INTERVAL = 20;

/** What a worker's heartbeat leads to. */
export interface HeartbeatResult {
  /** Commands that go with the answer. */
  readonly commands: WorkerCommand[];
  readonly effects: Effect[];
}

/** The leader's state machine, from the moment at which leadership was acquired. */
export class Scheduler {
  private readonly context: LeaderContext;
  private readonly dispatcher: CommandDispatcher;
  private readonly faultAttribution: FaultAttribution;
  private readonly machinePool: MachinePool;
  private readonly monitor: MachineMonitor;
  private readonly jobLifecycle: JobLifecycle;
  private readonly reconciler: Reconciler;
  private readonly directRequestResults: DirectRequestResults;
  private readonly schedulingCycle: SchedulingCycle;
  private readonly oversizedValues: OversizedValueHandler;
  private readonly transactionResults: TransactionResults;
  private readonly fencingTokenAdvance: FencingTokenAdvance;
  /** A transaction is out whose result is not known: nothing else may be written. */
  private hasTransactionInFlight = false;

  constructor(options: LeaderContextOptions) {
    const context = new LeaderContext(options);
    const dispatcher = new CommandDispatcher(context);
    const faultAttribution = new FaultAttribution(context, dispatcher);
    const machinePool = new MachinePool(context, dispatcher);
    const monitor = new MachineMonitor(context, dispatcher, machinePool);
    const jobLifecycle = new JobLifecycle(context, dispatcher, machinePool);
    this.context = context;
    this.dispatcher = dispatcher;
    this.faultAttribution = faultAttribution;
    this.machinePool = machinePool;
    this.monitor = monitor;
    this.jobLifecycle = jobLifecycle;
    this.reconciler = new Reconciler(context, dispatcher, faultAttribution, machinePool);
    this.directRequestResults = new DirectRequestResults(context, dispatcher, this.reconciler);
    this.schedulingCycle = new SchedulingCycle(context, dispatcher, machinePool, monitor);
    this.oversizedValues = new OversizedValueHandler(context, machinePool);
    const targets = { context, dispatcher, machinePool, jobLifecycle };
    this.transactionResults = new TransactionResults(targets);
    this.fencingTokenAdvance = new FencingTokenAdvance(context, dispatcher);
  }

  /** The leader's view, for those that only read it. */
  get cluster(): Cluster {
    return this.context.cluster;
  }

  /** The cloud gives more machines when they are asked for. */
  isGrowing(now: number): boolean {
    return this.machinePool.isGrowing(now);
  }

  /** Set by the node while it lags behind: what can wait is to leave it time. */
  set isOverloaded(overloaded: boolean) {
    this.dispatcher.isOverloaded = overloaded;
  }

  /** False until the first `setMachineTypes`: nothing can be placed or scaled out before. */
  get hasMachineTypes(): boolean {
    return this.context.hasMachineTypes;
  }

  setMachineTypes(types: readonly MachineType[]): void {
    this.context.machineTypes = new Map(types.map((type) => [type.name, type]));
    this.context.cycleRequested = true;
  }

  // ---------------------------------------------------------------- stored state

  /** Loads everything stored, once, as of the moment at which leadership was acquired. */
  takeOver(replica: StateReplica, now: number): Effect[] {
    const { context, dispatcher, machinePool, jobLifecycle } = this;
    takeOver({ context, dispatcher, machinePool, jobLifecycle }, replica, now);
    return this.context.takeEffects();
  }

  /** Some keys of a job changed, or were read again after a transaction with an unknown outcome. */
  handleJobChange(replica: StateReplica, id: string, now: number): void {
    this.jobLifecycle.handleJobChange(replica, id, now);
  }

  // ---------------------------------------------------------------- workers

  /** A worker's heartbeat arrived, and is answered with the commands returned. */
  handleHeartbeat(heartbeat: WorkerHeartbeat, now: number): HeartbeatResult {
    const known = this.context.cluster.machines.get(heartbeat.machine);
    if (known !== undefined && !isNewer(heartbeat, known)) {
      // A late copy. Its answer renews nothing that the original did not, and starts nothing.
      return { commands: [], effects: this.context.takeEffects() };
    }
    const machine = this.reconciler.handleHeartbeat(heartbeat, now);
    if (machine === null) return { commands: [], effects: this.context.takeEffects() };
    this.noteAnsweredHeartbeat(machine, now);
    // Stops and forgets can be repeated; starts go only where their fate can be known.
    const commands = machine.hasAcknowledgedToken
      ? this.dispatcher.commandsFor(machine, now, false)
      : [];
    this.dispatcher.sendDue(machine, now);
    return { commands, effects: this.context.takeEffects() };
  }

  /** A heartbeat was answered without commands in the grace period, in which this node may not act. */
  noteGracePeriodAnswer(heartbeat: WorkerHeartbeat, now: number): void {
    const machine = this.context.cluster.machines.get(heartbeat.machine);
    if (machine === undefined || !isNewer(heartbeat, machine)) return;
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    machine.lastMessageAt = Math.max(machine.lastMessageAt, now);
  }

  /** Addresses of all workers. */
  workerAddresses(): Set<string> {
    const addresses = new Set<string>();
    for (const machine of this.context.cluster.machines.values()) addresses.add(machine.address);
    return addresses;
  }

  /** A direct request with these commands was answered, or not. */
  commandsAnswered(
    machineName: string,
    commands: readonly WorkerCommand[],
    outcome: CommandOutcome,
    now: number,
  ): Effect[] {
    this.directRequestResults.applyCommandOutcome(machineName, commands, outcome, now);
    return this.context.takeEffects();
  }

  /**
   * A probe was answered, or not (null). `lateTimeout`: this node was held up and saw the timeout too late, which says
   * nothing of the worker.
   */
  probeAnswered(
    machineName: string,
    heartbeat: WorkerHeartbeat | null,
    now: number,
    lateTimeout = false,
  ): Effect[] {
    this.directRequestResults.applyProbeAnswer(machineName, heartbeat, now, lateTimeout);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- time

  /** Time passed. `wallMs`: the time of day, in milliseconds. */
  tick(now: number, wallMs: number): Effect[] {
    const checkIntervalS = this.context.settings.heartbeatIntervalS / MACHINE_CHECKS_PER_INTERVAL;
    if (now - this.monitor.checkedAt >= checkIntervalS) {
      this.monitor.checkMachines(now);
      this.fencingTokenAdvance.requestIfNeeded(now);
    }
    this.faultAttribution.drainSlowMachines(now);
    this.faultAttribution.review(now);
    this.schedulingCycle.runIfDue(now, wallMs);
    this.machinePool.runCloudRequests(now);
    for (const machine of [...this.dispatcher.dueMachines]) this.dispatcher.sendDue(machine, now);
    return this.context.takeEffects();
  }

  /** The fencing token was advanced to a new epoch, or not (null). */
  fencingTokenAdvanced(stored: AdvancedEpoch | null, now: number): Effect[] {
    this.fencingTokenAdvance.finish(stored, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- cloud

  scaleOutAnswered(requested: RequestedMachines, result: ScaleOutResult, now: number): Effect[] {
    this.machinePool.handleScaleOutResult(requested, result, now);
    return this.context.takeEffects();
  }

  /** `ok`: all of these machines, and everything on them, are gone for certain. */
  releaseAnswered(machines: readonly string[], ok: boolean, now: number): Effect[] {
    this.machinePool.handleReleaseResult(machines, ok, now);
    return this.context.takeEffects();
  }

  /** Null: the cloud gave no list. */
  machineListAnswered(machines: readonly ListedMachine[] | null, now: number): Effect[] {
    this.machinePool.handleMachineList(machines, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- transactions

  /**
   * The next transaction, or null if there is nothing to write or an earlier one is out. Its result is to be given to
   * `transactionEnded`. `urgentOnly`: progress, and what is no more, can wait.
   */
  nextTransaction(
    maxChanges: number,
    maxBytes: number,
    urgentOnly = false,
    now = 0,
  ): LeaderTransaction | null {
    if (this.hasTransactionInFlight || this.fencingTokenAdvance.isInFlight) return null;
    const { cluster, valueSizeLimit, epochModRevision, settings } = this.context;
    const transaction = composeTransaction(
      cluster,
      this.machinePool.recordShards,
      epochModRevision,
      {
        maxChanges,
        maxBytes,
        urgentOnly,
        maySendValue: (bytes) => valueSizeLimit.mayWrite(bytes, now),
        priorityStepS: settings.heartbeatIntervalS,
      },
    );
    this.hasTransactionInFlight = transaction !== null;
    return transaction;
  }

  /** Changes that must fit the next transaction. */
  get minimumTransactionChanges(): number {
    return Math.min(this.context.settings.txnOps, minimumTransactionChanges(this.context.cluster));
  }

  get hasPendingWrite(): boolean {
    return hasPendingWrite(this.context.cluster, this.machinePool.recordShards);
  }

  /** The only value of this transaction was refused for its size. */
  handleRefusedValue(transaction: LeaderTransaction, now: number): void {
    this.oversizedValues.handleRefusedValue(transaction, now);
  }

  /**
   * A transaction ended. After `conflict` and `unknown` the caller has read the stored state again, and given it to
   * `handleJobChange`, before it calls this.
   */
  transactionEnded(
    transaction: LeaderTransaction,
    outcome: TransactionOutcome,
    replica: StateReplica,
    now: number,
  ): Effect[] {
    this.hasTransactionInFlight = false;
    this.transactionResults.apply(transaction, outcome, replica, now);
    return this.context.takeEffects();
  }

  private noteAnsweredHeartbeat(machine: Machine, now: number): void {
    const { leaseS, heartbeatIntervalS } = this.context.settings;
    if (now - machine.lastHeartbeatAt > leaseS / 2) this.context.cycleRequested = true;
    machine.lastHeartbeatAt = now;
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    // The answer tells it the fencing token; if that was news to it, its next heartbeat follows at once.
    if (machine.hasAcknowledgedToken) return;
    machine.nextRequestAt = Math.max(machine.nextRequestAt, now + heartbeatIntervalS / 4);
  }
}
