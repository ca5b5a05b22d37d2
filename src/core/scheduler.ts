/**
 * The leader: one state machine for jobs, machines, quotas and commands.
 *
 * Its methods take inputs (changed keys, heartbeats, results, the passing of time) and return the effects to be
 * carried out. It has no clock, socket or randomness of its own. Times are read from the node's monotonic clock, in
 * seconds. Writes are not effects: the caller fetches them with `nextTransaction`, because it limits how much is
 * written at a time.
 */

import { MachinePool } from "./capacity/machine-pool.js";
import type { Cluster } from "./cluster.js";
import { CommandDispatcher } from "./dispatch/command-dispatcher.js";
import { DirectRequestResults } from "./dispatch/direct-request-results.js";
import type { CommandMessage } from "./dispatch/due-commands.js";
import { isNewer, Reconciler } from "./dispatch/reconciler.js";
import { WorkerFencing } from "./dispatch/worker-fencing.js";
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

/** Maximum number of machine checks per heartbeat interval. */
const MACHINE_CHECKS_PER_INTERVAL = 20;

/** Result of handling a worker's heartbeat: the answer to be sent, and the effects to be carried out. */
export interface HeartbeatResult extends CommandMessage {
  readonly effects: Effect[];
}

/** The leader's state machine for one term, which starts when leadership is acquired. */
export class Scheduler {
  private readonly context: LeaderContext;
  private readonly fencing: WorkerFencing;
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
  /** Whether the outcome of the last transaction is still unknown. Until it is known, no other may be started. */
  private hasTransactionInFlight = false;

  constructor(options: LeaderContextOptions) {
    const context = new LeaderContext(options);
    const fencing = new WorkerFencing(context);
    const dispatcher = new CommandDispatcher(context, fencing);
    const faultAttribution = new FaultAttribution(context, dispatcher);
    const machinePool = new MachinePool(context, dispatcher);
    const monitor = new MachineMonitor(context, dispatcher, machinePool);
    const jobLifecycle = new JobLifecycle(context, dispatcher, machinePool);
    this.context = context;
    this.fencing = fencing;
    this.dispatcher = dispatcher;
    this.faultAttribution = faultAttribution;
    this.machinePool = machinePool;
    this.monitor = monitor;
    this.jobLifecycle = jobLifecycle;
    this.reconciler = new Reconciler(context, dispatcher, faultAttribution, machinePool, fencing);
    this.directRequestResults = new DirectRequestResults(context, dispatcher, this.reconciler);
    this.schedulingCycle = new SchedulingCycle(context, dispatcher, machinePool, monitor);
    this.oversizedValues = new OversizedValueHandler(context, machinePool);
    const targets = { context, dispatcher, machinePool, jobLifecycle };
    this.transactionResults = new TransactionResults(targets);
    this.fencingTokenAdvance = new FencingTokenAdvance(context, dispatcher, fencing);
  }

  /** The leader's view of jobs and machines, for read access only. */
  get cluster(): Cluster {
    return this.context.cluster;
  }

  /** Whether the pool is below its machine limit and the cloud has not recently lacked capacity. */
  canScaleOut(now: number): boolean {
    return this.machinePool.canScaleOut(now);
  }

  /** Set by the node while it is overloaded. Work that can wait is postponed then. */
  set isOverloaded(overloaded: boolean) {
    this.dispatcher.isOverloaded = overloaded;
  }

  /** Whether machine types are known (`setMachineTypes`). Until then no task is placed and nothing is scaled out. */
  get hasMachineTypes(): boolean {
    return this.context.hasMachineTypes;
  }

  setMachineTypes(types: readonly MachineType[]): void {
    this.context.machineTypes = new Map(types.map((type) => [type.name, type]));
    this.context.cycleRequested = true;
  }

  // ---------------------------------------------------------------- stored state

  /** Loads machines, jobs and placements from the stored state. To be called once, when leadership is acquired. */
  takeOver(replica: StateReplica, now: number): Effect[] {
    const { context, dispatcher, machinePool, jobLifecycle } = this;
    takeOver({ context, dispatcher, machinePool, jobLifecycle }, replica, now);
    return this.context.takeEffects();
  }

  /** Handles changes of a job's keys, or their re-read after a transaction with an unknown outcome. */
  handleJobChange(replica: StateReplica, id: string, now: number): void {
    this.jobLifecycle.handleJobChange(replica, id, now);
  }

  // ---------------------------------------------------------------- workers

  /** Handles a worker's heartbeat. The caller answers it with the returned commands. */
  handleHeartbeat(heartbeat: WorkerHeartbeat, now: number): HeartbeatResult {
    const known = this.context.cluster.machines.get(heartbeat.machine);
    if (known !== undefined && !isNewer(heartbeat, known)) {
      // A delayed duplicate. Its answer extends the lease no further than the answer to the original did, and carries
      // no commands.
      return this.answerWithoutCommands(heartbeat);
    }
    const machine = this.reconciler.handleHeartbeat(heartbeat, now);
    if (machine === null) return this.answerWithoutCommands(heartbeat);
    this.recordAnsweredHeartbeat(machine, now);
    const answer = this.dispatcher.takeHeartbeatAnswer(machine, now);
    this.dispatcher.sendDueCommands(machine, now);
    return { ...answer, effects: this.context.takeEffects() };
  }

  private answerWithoutCommands(heartbeat: WorkerHeartbeat): HeartbeatResult {
    const fencingToken = this.fencing.answerToken(heartbeat);
    return { fencingToken, commands: [], effects: this.context.takeEffects() };
  }

  /**
   * Records that a heartbeat is answered without commands in the grace period, when this node may no longer act as
   * the leader. Returns the fencing token of the answer.
   */
  recordGracePeriodAnswer(heartbeat: WorkerHeartbeat, now: number): number {
    const machine = this.context.cluster.machines.get(heartbeat.machine);
    if (machine !== undefined && isNewer(heartbeat, machine)) {
      machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
      machine.lastMessageAt = Math.max(machine.lastMessageAt, now);
    }
    return this.fencing.answerToken(heartbeat);
  }

  /** Addresses of all workers. */
  workerAddresses(): Set<string> {
    const addresses = new Set<string>();
    for (const machine of this.context.cluster.machines.values()) addresses.add(machine.address);
    return addresses;
  }

  /** Handles the outcome of a direct request that carried these commands. */
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
   * Handles the answer to a probe; null: none arrived. `lateTimeout`: this node was stalled and noticed the timeout
   * too late, so the missing answer is no evidence against the worker.
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

  /** Runs all time-driven work that is due. `wallMs`: time of day, in milliseconds. */
  tick(now: number, wallMs: number): Effect[] {
    const checkIntervalS = this.context.settings.heartbeatIntervalS / MACHINE_CHECKS_PER_INTERVAL;
    if (now - this.monitor.checkedAt >= checkIntervalS) {
      this.monitor.checkMachines(now);
      this.fencingTokenAdvance.requestIfNeeded(now);
    }
    this.faultAttribution.drainSlowMachines(now);
    this.faultAttribution.reviewFailures(now);
    this.schedulingCycle.runIfDue(now, wallMs);
    this.machinePool.runCloudRequests(now);
    for (const machine of [...this.dispatcher.machinesAwaitingDispatch])
      this.dispatcher.sendDueCommands(machine, now);
    return this.context.takeEffects();
  }

  /** Handles the end of a fencing-token advance. Null: the token is unchanged. */
  fencingTokenAdvanced(stored: AdvancedEpoch | null, now: number): Effect[] {
    this.fencingTokenAdvance.finish(stored, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- cloud

  scaleOutAnswered(requested: RequestedMachines, result: ScaleOutResult, now: number): Effect[] {
    this.machinePool.handleScaleOutResult(requested, result, now);
    return this.context.takeEffects();
  }

  /** Handles the result of a release. `ok`: all of these machines and their tasks are certainly terminated. */
  releaseAnswered(machines: readonly string[], ok: boolean, now: number): Effect[] {
    this.machinePool.handleReleaseResult(machines, ok, now);
    return this.context.takeEffects();
  }

  /** Handles the cloud's list of machines. Null: the request failed. */
  machineListAnswered(machines: readonly ListedMachine[] | null, now: number): Effect[] {
    this.machinePool.handleMachineList(machines, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- transactions

  /**
   * Returns the next transaction, or null if there is nothing to write or an earlier write is still in flight. The
   * caller passes its outcome to `transactionEnded`. `urgentOnly`: leaves out progress updates, and changes of
   * machine records other than additions.
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
        plannedValueBytes: valueSizeLimit.plannedBytes,
        maySendValue: (bytes) => valueSizeLimit.mayWrite(bytes, now),
        priorityStepS: settings.heartbeatIntervalS,
      },
    );
    this.hasTransactionInFlight = transaction !== null;
    return transaction;
  }

  /** Minimum number of changes for which the next transaction must have room. */
  get minimumTransactionChanges(): number {
    return Math.min(this.context.settings.txnOps, minimumTransactionChanges(this.context.cluster));
  }

  get hasPendingWrite(): boolean {
    return hasPendingWrite(this.context.cluster, this.machinePool.recordShards);
  }

  /** Handles a transaction whose only value the state service refused because of its size. */
  handleRefusedValue(transaction: LeaderTransaction, now: number): void {
    this.oversizedValues.handleRefusedValue(transaction, now);
  }

  /**
   * Handles the outcome of a transaction. After `conflict` and `unknown` the caller must first read the stored state
   * again and pass it to `handleJobChange`.
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

  private recordAnsweredHeartbeat(machine: Machine, now: number): void {
    const { leaseS, heartbeatIntervalS } = this.context.settings;
    if (now - machine.lastHeartbeatAt > leaseS / 2) this.context.cycleRequested = true;
    machine.lastHeartbeatAt = now;
    machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    // The answer carries the fencing token. A worker to which the token is new sends its next heartbeat at once, so a
    // direct request with the token can wait for that heartbeat.
    if (machine.hasAcknowledgedToken) return;
    machine.nextRequestAt = Math.max(machine.nextRequestAt, now + heartbeatIntervalS / 4);
  }
}
