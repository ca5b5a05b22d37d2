/**
 * The leader: one state machine for pipelines, machines, quota and commands.
 *
 * It takes inputs (changed records, reports, answers, the passing of time) and returns what to
 * send. It has no clock, socket or randomness of its own. What it wants written is asked for with
 * `nextWrite`, because how much may be written at a time is limited outside.
 */

import { MachinePool } from "./capacity/machine-pool.js";
import { CommandDispatcher } from "./dispatch/command-dispatcher.js";
import { taskKey } from "./dispatch/placement.js";
import { isNewer, Reconciler } from "./dispatch/reconciler.js";
import type {
  CommandOutcome,
  Effect,
  ScaleOutResult,
  SchedulerOptions,
  TransactionOutcome,
} from "./effects.js";
import { JobLifecycle } from "./jobs/job-lifecycle.js";
import { LeaderContext } from "./leader-context.js";
import { FaultAttribution } from "./machines/fault-attribution.js";
import type { Machine } from "./machines/machine.js";
import { MachineMonitor } from "./machines/machine-monitor.js";
import { runsServiceTasks } from "./machines/machine-predicates.js";
import type { ListedMachine, MachineType } from "./model/machines.js";
import type { ClusterSettings } from "./model/settings.js";
import type { WorkerCommand, WorkerHeartbeat } from "./model/workers.js";
import { SchedulingCycle } from "./planning/scheduling-cycle.js";
import type { MachineRecordShard } from "./state/machine-record-shards.js";
import { OversizedValueHandler } from "./state/oversized-values.js";
import type { StateReplica } from "./state/state-replica.js";
import {
  composeTransaction,
  hasPendingWrite,
  type LeaderTransaction,
  largestValueBytes,
  minimumTransactionChanges,
} from "./state/write-composer.js";

export class Scheduler {
  private readonly context: LeaderContext;
  private readonly dispatcher: CommandDispatcher;
  private readonly faultAttribution: FaultAttribution;
  private readonly machinePool: MachinePool;
  private readonly monitor: MachineMonitor;
  private readonly jobLifecycle: JobLifecycle;
  private readonly reconciler: Reconciler;
  private readonly schedulingCycle: SchedulingCycle;
  private readonly oversizedValues: OversizedValueHandler;
  private isAdvancingFencingToken = false;
  private fencingTokenAdvancedAt: number;
  /** Set while a write is out whose result is not known: nothing else may be written. */
  private hasTransactionInFlight = false;

  constructor(
    settings: ClusterSettings,
    options: SchedulerOptions,
    epoch: number,
    epochMark: number,
    startedAt: number,
  ) {
    this.context = new LeaderContext(settings, options, epoch, epochMark, startedAt);
    this.dispatcher = new CommandDispatcher(this.context);
    this.faultAttribution = new FaultAttribution(this.context, this.dispatcher);
    this.machinePool = new MachinePool(this.context, this.dispatcher);
    this.monitor = new MachineMonitor(this.context, this.dispatcher, this.machinePool);
    this.jobLifecycle = new JobLifecycle(this.context, this.dispatcher, this.machinePool);
    const { context, dispatcher: dispatch, faultAttribution: faults, machinePool: fleet } = this;
    this.reconciler = new Reconciler(context, dispatch, faults, fleet);
    this.schedulingCycle = new SchedulingCycle(context, dispatch, fleet, this.monitor);
    this.oversizedValues = new OversizedValueHandler(context, fleet);
    this.fencingTokenAdvancedAt = startedAt;
  }

  get cluster() {
    return this.context.cluster;
  }
  /** The cloud gives more machines when they are asked for. */
  isGrowing(now: number): boolean {
    return this.machinePool.isGrowing(now);
  }
  /** Set by the node while it is behind: what can wait is to leave it time. */
  set overloaded(held: boolean) {
    this.dispatcher.isOverloaded = held;
  }

  // ---------------------------------------------------------------- inputs

  /** Everything stored, as of taking the term. */
  takeOver(records: StateReplica, now: number): Effect[] {
    this.machinePool.recordShards.load(records.machineShards);
    for (const g of records.machineShards.values()) {
      for (const [name, [address, type, zone, spot]] of Object.entries(g.value)) {
        const machine = this.context.findOrAddMachine(name, type, zone, spot, now);
        if (machine === null) continue;
        machine.address = address;
        machine.isPersisted = true;
        machine.state = "up";
        this.context.awaitFirstContact(machine);
      }
    }
    for (const id of records.activeJobs.keys()) this.jobLifecycle.handleJobChange(records, id, now);
    // Those that a job is needed by may have been read after it.
    for (const job of this.context.cluster.jobs.values()) {
      this.jobLifecycle.inheritUrgency(records, job.spec.after ?? []);
      if (job.placementCount > 0) this.context.cluster.gangStarts.noteStart(job, now);
    }
    this.releaseEarlierIncarnations(now);
    this.restartIncompleteGangs();
    // They mostly come by themselves within a report interval, and a direct request costs more than
    // a report: those that run replicas are fenced soon, the others when they are overdue.
    const up = [...this.context.cluster.machines.values()];
    for (const m of up) {
      const { heartbeatIntervalS: reportS, leaseS } = this.context.settings;
      m.nextRequestAt =
        now + (runsServiceTasks(m) ? reportS / 4 : Math.max(1.5 * reportS, leaseS / 3));
      this.dispatcher.dueMachines.add(m);
    }
    return this.context.takeEffects();
  }

  /**
   * The records may name tasks of a machine's earlier session beside those of a later one, if the former leader
   * ended before it had stored that the earlier ones are gone. A later session proves that they are. (Nine jobs of a
   * day waited to its end for such tasks: nothing that the machine reports speaks of them.)
   */
  private releaseEarlierIncarnations(now: number): void {
    for (const m of this.context.cluster.machines.values()) {
      for (const p of [...m.placements.values()]) {
        if (p.incarnation < m.incarnation)
          this.dispatcher.handleTaskLost(p, "earlier session", now);
      }
    }
  }

  /**
   * A former leader had stored that a gang lost tasks, and ended before it had stopped the others, which is not
   * stored. Those cannot complete, and nothing is placed for the gang while they are there.
   */
  private restartIncompleteGangs(): void {
    for (const job of this.context.cluster.jobs.values()) {
      if (job.spec.kind !== "gang" || job.placements.size === 0 || job.pendingCount === 0) continue;
      this.dispatcher.restartGang(job, "a gang task was lost before this term");
    }
  }

  setMachineTypes(types: readonly MachineType[]): void {
    this.context.machineTypes = new Map(types.map((t) => [t.name, t]));
    this.context.cycleRequested = true;
  }
  get hasMachineTypes(): boolean {
    return this.context.machineTypes.size > 0;
  }

  /** Some job's keys changed (or were read again after a doubtful write). */
  handleJobChange(records: StateReplica, id: string, now: number): void {
    this.jobLifecycle.handleJobChange(records, id, now);
  }

  /** A worker's report came in and is answered with these commands. */
  handleHeartbeat(
    r: WorkerHeartbeat,
    now: number,
  ): { commands: WorkerCommand[]; outputs: Effect[] } {
    const before = this.context.cluster.machines.get(r.machine);
    if (before !== undefined && !isNewer(r, before)) {
      // A late copy. Its answer renews nothing that the original did not, and starts nothing.
      return { commands: [], outputs: this.context.takeEffects() };
    }
    const m = this.reconciler.handleHeartbeat(r, now);
    if (m === null) return { commands: [], outputs: this.context.takeEffects() };
    if (now - m.lastHeartbeatAt > this.context.settings.leaseS / 2)
      this.context.cycleRequested = true;
    m.lastHeartbeatAt = now;
    m.leaseRenewedAt = Math.max(m.leaseRenewedAt, now);
    // This answer tells it the token; it reports again at once if that was news to it.
    if (!m.hasAcknowledgedToken)
      m.nextRequestAt = Math.max(
        m.nextRequestAt,
        now + this.context.settings.heartbeatIntervalS / 4,
      );
    // Stops and forgets can be repeated; starts go only where their fate can be known.
    const commands = m.hasAcknowledgedToken ? this.dispatcher.commandsFor(m, now, false) : [];
    this.dispatcher.sendDue(m, now);
    return { commands, outputs: this.context.takeEffects() };
  }

  /** The former leader, while it may not act, answered a report without commands. */
  noteGracePeriodAnswer(r: WorkerHeartbeat, now: number): void {
    const m = this.context.cluster.machines.get(r.machine);
    if (m === undefined || !isNewer(r, m)) return;
    m.leaseRenewedAt = Math.max(m.leaseRenewedAt, now);
    m.lastMessageAt = Math.max(m.lastMessageAt, now);
  }

  workerAddresses(): Set<string> {
    return new Set([...this.context.cluster.machines.values()].map((m) => m.address));
  }

  /** A direct command was answered, or not. */
  commandsAnswered(
    machine: string,
    commands: readonly WorkerCommand[],
    outcome: CommandOutcome,
    now: number,
  ): Effect[] {
    this.dispatcher.tokenRequestsInFlight.delete(machine);
    const m = this.context.cluster.machines.get(machine);
    if (m === undefined) return [];
    m.hasRequestInFlight = false;
    for (const c of commands) {
      if (c.op !== "start") continue;
      const key = taskKey(c.job, c.task, c.attempt);
      const p = m.placements.get(key);
      if (p !== undefined) p.startsInFlight--;
      if (outcome.kind === "lost") {
        if (outcome.mayArrive) m.unansweredStarts.set(key, this.context.epoch);
        else if (p !== undefined && p.state === "sent") p.state = "planned";
      } else if (!outcome.executed && p !== undefined && p.state === "sent") p.state = "planned";
    }
    if (outcome.kind === "lost") this.dispatcher.noteUnansweredRequest(m, now);
    else this.handleDirectAnswer(m, outcome.heartbeat, now);
    this.dispatcher.sendDue(m, now);
    return this.context.takeEffects();
  }

  /** A direct request was answered. */
  private handleDirectAnswer(m: Machine, report: WorkerHeartbeat, now: number): void {
    if (m.unreachableSince !== null) this.context.cycleRequested = true;
    m.unreachableSince = null;
    this.reconciler.handleHeartbeat(report, now);
  }

  /** `late`: the answer was not waited for in time, as this node was held up; that tells nothing. */
  probeAnswered(
    machine: string,
    report: WorkerHeartbeat | null,
    now: number,
    late = false,
  ): Effect[] {
    this.dispatcher.probesInFlight.delete(machine);
    const m = this.context.cluster.machines.get(machine);
    if (m === undefined) return [];
    m.hasRequestInFlight = false;
    if (report !== null) this.handleDirectAnswer(m, report, now);
    else if (late) m.nextRequestAt = now + this.context.settings.heartbeatIntervalS / 3;
    else this.dispatcher.noteUnansweredRequest(m, now);
    this.dispatcher.sendDue(m, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- time

  tick(now: number, wallMs: number): Effect[] {
    if (now - this.monitor.checkedAt >= this.context.settings.heartbeatIntervalS / 20) {
      this.monitor.checkMachines(now);
      this.checkUnansweredStarts(now);
    }
    this.faultAttribution.drainSlowMachines(now);
    this.faultAttribution.review(now);
    this.schedulingCycle.runIfDue(now, wallMs);
    this.machinePool.runCloudRequests(now);
    for (const m of [...this.dispatcher.dueMachines]) this.dispatcher.sendDue(m, now);
    return this.context.takeEffects();
  }

  /** Unanswered starts that matter (cancelled, or ended and not to be forgotten) need a new token. */
  private checkUnansweredStarts(now: number): void {
    if (
      this.isAdvancingFencingToken ||
      now - this.fencingTokenAdvancedAt < this.context.settings.leaseS / 2
    )
      return;
    for (const m of this.context.cluster.machines.values()) {
      if (m.unansweredStarts.size === 0 || m.state !== "up" || !m.hasAcknowledgedToken) continue;
      if (now - m.lastMessageAt > 2 * this.context.settings.heartbeatIntervalS) continue;
      for (const key of m.unansweredStarts.keys()) {
        const p = m.placements.get(key);
        const matters =
          p === undefined ? m.exitedTasks.has(key) : p.stop !== null && p.state === "sent";
        if (!matters) continue;
        this.isAdvancingFencingToken = true;
        this.context.effects.push({ kind: "advance fencing token" });
        return;
      }
    }
  }

  /** The epoch was raised, or not (null), to fence off late starts. */
  fencingTokenAdvanced(epoch: { n: number; mark: number } | null, now: number): Effect[] {
    this.isAdvancingFencingToken = false;
    this.fencingTokenAdvancedAt = now;
    if (epoch === null) return [];
    this.context.epoch = epoch.n;
    this.context.epochModRevision = epoch.mark;
    for (const m of this.context.cluster.machines.values()) {
      m.hasAcknowledgedToken = false;
      this.dispatcher.dueMachines.add(m);
    }
    for (const m of [...this.dispatcher.dueMachines]) this.dispatcher.sendDue(m, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- cloud

  scaleOutAnswered(
    request: { type: string; zone: string; spot: boolean; count: number },
    result: ScaleOutResult,
    now: number,
  ): Effect[] {
    this.machinePool.handleScaleOutResult(request, result, now);
    return this.context.takeEffects();
  }

  releaseAnswered(machines: readonly string[], ok: boolean, now: number): Effect[] {
    this.machinePool.handleReleaseResult(machines, ok, now);
    return this.context.takeEffects();
  }

  machineListAnswered(machines: readonly ListedMachine[] | null, now: number): Effect[] {
    this.machinePool.handleMachineList(machines, now);
    return this.context.takeEffects();
  }

  // ---------------------------------------------------------------- writes

  /** The next transaction, or null if there is nothing to write. At most `maxOps` changes. */
  nextTransaction(
    maxOps: number,
    maxBytes: number,
    urgentOnly = false,
    now = 0,
  ): LeaderTransaction | null {
    if (this.hasTransactionInFlight || this.isAdvancingFencingToken) return null;
    const maySendValue = (bytes: number): boolean =>
      this.context.valueSizeLimit.mayWrite(bytes, now);
    const priorityStepS = this.context.settings.heartbeatIntervalS;
    const limits = { maxChanges: maxOps, maxBytes, urgentOnly, maySendValue, priorityStepS };
    const w = composeTransaction(
      this.context.cluster,
      this.machinePool.recordShards,
      this.context.epochModRevision,
      limits,
    );
    this.hasTransactionInFlight = w !== null;
    return w;
  }

  /** Changes that the next transaction must have room for. */
  get minimumTransactionChanges(): number {
    return Math.min(this.context.settings.txnOps, minimumTransactionChanges(this.context.cluster));
  }

  get hasPendingWrite(): boolean {
    return hasPendingWrite(this.context.cluster, this.machinePool.recordShards);
  }

  /** A single value was refused for what it holds; nothing else was in its transaction. */
  handleRefusedValue(w: LeaderTransaction, now: number): void {
    this.oversizedValues.handleRefusedValue(w, now);
  }

  /**
   * How a write ended. After `conflict` and `unknown` the caller has read the records again and
   * given them to `recordChanged` before it calls this.
   */
  transactionEnded(
    w: LeaderTransaction,
    outcome: TransactionOutcome,
    records: StateReplica,
    now: number,
  ): Effect[] {
    this.hasTransactionInFlight = false;
    if (outcome.kind === "committed") this.applyCommitted(w, outcome.revision);
    else if (outcome.kind !== "refused") this.reconcileWithReplica(w, records, now);
    const machines = new Set<Machine>();
    for (const { job } of w.jobWrites) {
      for (const p of job.allPlacements()) if (p.state === "planned") machines.add(p.machine);
    }
    for (const m of machines) this.dispatcher.sendDue(m, now);
    return this.context.takeEffects();
  }

  private applyCommitted(w: LeaderTransaction, revision: number): void {
    if (this.context.valueSizeLimit.isReduced)
      this.context.valueSizeLimit.recordAccepted(largestValueBytes(w));
    for (const { job, version, shards, closedShards } of w.jobWrites) {
      if (version === null) {
        const state = job.isCancelled ? "cancelled" : "done";
        this.context.log("job finished", { job: job.spec.id, state });
        this.context.cluster.jobs.delete(job.spec.id);
        continue;
      }
      for (const part of shards) job.markPersisted(part, version, revision);
      for (const part of closedShards) job.removeShard(part);
    }
    for (const { shard: group, version, names } of w.machineShardWrites) {
      group.modRevision = revision;
      group.persistedVersion = Math.max(group.persistedVersion, version);
      for (const name of names) this.markMachinePersisted(name, group);
    }
  }

  private markMachinePersisted(name: string, group: MachineRecordShard): void {
    const m = this.context.cluster.machines.get(name);
    if (m === undefined || m.isPersisted) return;
    m.isPersisted = true;
    group.unpersistedMachines--;
    this.context.cycleRequested = true;
  }

  /** Whatever became of the write, the records that were read after it tell what is stored. */
  private reconcileWithReplica(w: LeaderTransaction, records: StateReplica, now: number): void {
    this.machinePool.recordShards.refreshModRevisions(records);
    for (const { job } of w.jobWrites) {
      const { id } = job.spec;
      const live = records.activeJobs.get(id);
      if (live !== undefined) job.refreshFromReplica(live, records.shardsOf(id));
      this.jobLifecycle.handleJobChange(records, id, now);
      if (!records.activeJobs.has(id) && records.finalRecords.has(id))
        this.jobLifecycle.remove(job, now);
    }
  }
}
