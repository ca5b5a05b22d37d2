/** A leader in simulated time whose trace can be read, with a state service that a test can make fail. */
import type { Effect } from "../../src/core/effects.js";
import { dependenciesOf, formatResiduals } from "../../src/core/jobs/pipeline.js";
import type { JobSpec } from "../../src/core/model/jobs.js";
import type { TaskStatus, WorkerHeartbeat } from "../../src/core/model/workers.js";
import { Scheduler } from "../../src/core/scheduler.js";
import type { ChangeEvent, KeyValueItem } from "../../src/core/state/key-value.js";
import type { StateReplica } from "../../src/core/state/state-replica.js";
import { KEY } from "../../src/core/state/stored-values.js";
import { type LeaderTransaction, largestValueBytes } from "../../src/core/state/write-composer.js";
import { HeartbeatBuilder } from "./heartbeat-builder.js";
import { describeChanges, describeCommand, describeHeartbeat } from "./leader-trace.js";
import { MACHINE_TYPES } from "./machine-types.js";
import { emptyReplica, settingsFor, type TestLeaderOptions } from "./test-leader-options.js";

const DEFAULT_GRACE_PERIOD_S = 21;
const MAX_TRANSACTION_BYTES = 60_000;
const RELEASE_LINE = "cloud return ";

/** A direct request of the leader to a worker. */
export type WorkerRequest = Extract<Effect, { kind: "send" }>;

/** Thrown when a test answers a request that the leader did not send. */
export class NoRequestError extends Error {
  constructor() {
    super("the leader has sent no request that is unanswered");
    this.name = "NoRequestError";
  }
}

/**
 * A leader with a store that is always there, writing down what goes in and out as lines.
 * Direct commands are held back until a test lets the worker answer.
 */
export class TestLeader {
  /** What was written to the store, as it was written, by its key; null: deleted since. */
  readonly writtenItems = new Map<string, KeyValueItem | null>();
  readonly traceLines: string[] = [];
  readonly replica: StateReplica;
  readonly scheduler: Scheduler;
  /** Simulated seconds. */
  now: number;
  /** The epoch that workers' heartbeats acknowledge. */
  epoch = 1;
  /** Direct commands without an answer yet. */
  readonly unansweredRequests: WorkerRequest[] = [];
  /** Machines that are probed, without an answer yet. */
  readonly pendingProbes: string[] = [];
  isStoreAvailable = true;
  /** What the state service accepts, whatever the settings say. */
  storeLimits = { bytes: Number.POSITIVE_INFINITY, ops: Number.POSITIVE_INFINITY };
  /** Transactions that it refused. */
  rejectedTransactions = 0;
  /** Bytes of the largest value and changes of the largest transaction that were written. */
  readonly largestWritten = { bytes: 0, ops: 0 };
  /** Machines that answer nothing any more. */
  readonly unreachableMachines = new Set<string>();
  private revision: number;
  private maxChanges = Number.POSITIVE_INFINITY;
  private readonly configuredMaxChanges: number;
  private readonly heartbeats = new HeartbeatBuilder();

  constructor(options: TestLeaderOptions = {}) {
    this.replica = options.replica ?? emptyReplica();
    this.now = options.now ?? 1000;
    this.revision = Math.max(this.replica.revision, 1) + 1;
    const epoch = options.epoch ?? 1;
    this.replica.apply(
      [{ key: KEY.epoch, value: { n: epoch }, removed: false, modRevision: this.revision }],
      this.revision,
    );
    const { cluster } = settingsFor(options);
    this.configuredMaxChanges = cluster.txnOps;
    const gracePeriodS = options.gracePeriodS ?? DEFAULT_GRACE_PERIOD_S;
    const schedulerOptions = {
      spareRatio: 0,
      maxMachines: 0,
      idleReleaseS: 1e9,
      gracePeriodS,
      leaseExtensionS: options.leaseExtensionS ?? gracePeriodS,
      logsTasks: options.logsTasks ?? true,
      controllersPerZone: options.controllersPerZone ?? new Map<string, number>(),
    };
    this.scheduler = new Scheduler({
      settings: cluster,
      options: schedulerOptions,
      epoch,
      epochModRevision: this.revision,
      startedAt: this.now,
    });
    this.scheduler.setMachineTypes(MACHINE_TYPES);
    this.performEffects(this.scheduler.takeOver(this.replica, this.now));
  }

  /** A user's submission, which the state service accepted `ageS` seconds ago. */
  submit(spec: JobSpec, ageS = 0): void {
    this.put(KEY.activeJob(spec.id), {
      j: spec,
      at: (this.now - ageS) * 1000,
      r: formatResiduals(dependenciesOf(spec.id, spec.after ?? [])),
      v: 1,
      n: 1,
      o: 0,
      done: "",
      pl: [],
    });
    this.traceLines.push(`> submit ${spec.id}`);
    this.notifyJobChanged(spec.id);
  }

  /** A user's cancellation. */
  cancel(id: string): void {
    this.put(KEY.cancellation(id), { at: 0, told: false });
    this.traceLines.push(`> cancel ${id}`);
    this.notifyJobChanged(id);
  }

  /** The replica shows a changed job, as watching the state service does. */
  notifyJobChanged(id: string): void {
    this.scheduler.handleJobChange(this.replica, id, this.now);
    this.tick();
  }

  /** Time passes at each step: scheduling cycles over all that waits are spaced. */
  tick(seconds = 0.15): void {
    this.now += seconds;
    this.performEffects(this.scheduler.tick(this.now, this.now * 1000));
    this.flushWrites();
  }

  /** Writes what is to be written, while the state service is available. */
  flushWrites(): void {
    while (this.isStoreAvailable) {
      const maxChanges = Math.min(this.configuredMaxChanges, this.maxChanges);
      const transaction = this.scheduler.nextTransaction(
        maxChanges,
        MAX_TRANSACTION_BYTES,
        false,
        this.now,
      );
      if (transaction === null) {
        if (maxChanges >= this.configuredMaxChanges || !this.scheduler.hasPendingWrite) return;
        this.maxChanges++;
      } else if (this.exceedsStoreLimits(transaction)) {
        this.rejectWrite(transaction);
      } else {
        this.maxChanges++;
        this.commitWrite(transaction);
      }
    }
  }

  /** The state service carries a transaction out. */
  commitWrite(transaction: LeaderTransaction): void {
    const { changes } = transaction;
    this.revision++;
    this.measure(transaction);
    const events = changes.map((change) => ({
      key: change.key,
      value: change.op === "put" ? change.value : null,
      removed: change.op === "delete",
      modRevision: this.revision,
    }));
    const description = describeChanges(changes);
    if (description !== null) this.traceLines.push(`write ${description}`);
    this.applyStored(events);
    this.performEffects(
      this.scheduler.transactionEnded(
        transaction,
        { kind: "committed", revision: this.revision },
        this.replica,
        this.now,
      ),
    );
  }

  receiveHeartbeat(
    machine: string,
    tasks: TaskStatus[],
    change: Partial<WorkerHeartbeat> = {},
  ): void {
    const heartbeat = this.makeHeartbeat(machine, tasks, change);
    this.traceLines.push(`> ${machine} reports ${describeHeartbeat(heartbeat)}`);
    const { commands, effects } = this.scheduler.handleHeartbeat(heartbeat, this.now);
    for (const command of commands) this.traceLines.push(`answer ${describeCommand(command)}`);
    this.performEffects(effects);
    this.tick();
  }

  /** A heartbeat, with nothing written down and no time passing. */
  receiveHeartbeatOnly(machine: string, tasks: TaskStatus[]): void {
    const heartbeat = this.makeHeartbeat(machine, tasks);
    this.performEffects(this.scheduler.handleHeartbeat(heartbeat, this.now).effects);
  }

  /** A heartbeat of the machine's worker, not yet received. */
  makeHeartbeat(
    machine: string,
    tasks: TaskStatus[],
    change: Partial<WorkerHeartbeat> = {},
  ): WorkerHeartbeat {
    return this.heartbeats.build(machine, this.epoch, tasks, change);
  }

  /**
   * The worker answers the oldest direct request with its heartbeat; null: no answer comes.
   * @throws NoRequestError if none is unanswered.
   */
  answerRequest(tasks: TaskStatus[] | null, change: Partial<WorkerHeartbeat> = {}): void {
    const request = this.unansweredRequests.shift();
    if (request === undefined) throw new NoRequestError();
    const { machine, commands } = request;
    if (tasks === null) {
      this.traceLines.push(`> no answer from ${machine}`);
      const outcome = { kind: "lost", mayArrive: true } as const;
      this.performEffects(this.scheduler.commandsAnswered(machine, commands, outcome, this.now));
    } else {
      const heartbeat = this.makeHeartbeat(machine, tasks, change);
      this.traceLines.push(`> ${machine} answers ${describeHeartbeat(heartbeat)}`);
      const outcome = { kind: "answered", executed: true, heartbeat } as const;
      this.performEffects(this.scheduler.commandsAnswered(machine, commands, outcome, this.now));
    }
    this.tick();
  }

  performEffects(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === "send") {
        this.unansweredRequests.push(effect);
        const commands = effect.commands.map(describeCommand).join(", ");
        this.traceLines.push(`send ${effect.machine}: ${commands === "" ? "fence" : commands}`);
      } else if (effect.kind === "release machines") {
        this.traceLines.push(`${RELEASE_LINE}${effect.machines.join(" ")}`);
      } else if (effect.kind === "probe") {
        this.probe(effect.machine);
      } else if (effect.kind === "advance fencing token") {
        this.traceLines.push("raise the token");
      } else if (effect.kind === "step down") {
        this.traceLines.push(`resign: ${effect.why}`);
      }
    }
  }

  /** What was written down since the last call. */
  takeTrace(): string {
    return `\n${this.traceLines.splice(0).join("\n")}\n`;
  }

  /** Machines of each release since the last call; the other lines of the trace are dropped. */
  takeReleases(): string[][] {
    return this.traceLines
      .splice(0)
      .filter((line) => line.startsWith(RELEASE_LINE))
      .map((line) => line.slice(RELEASE_LINE.length).split(" "));
  }

  private put(key: string, value: unknown): void {
    this.revision++;
    this.applyStored([{ key, value, removed: value === null, modRevision: this.revision }]);
  }

  private applyStored(events: readonly ChangeEvent[]): void {
    for (const event of events) this.writtenItems.set(event.key, event.removed ? null : event);
    this.replica.apply(events, this.revision);
  }

  private probe(machine: string): void {
    if (this.unreachableMachines.has(machine)) {
      this.performEffects(this.scheduler.probeAnswered(machine, null, this.now));
    } else {
      this.pendingProbes.push(machine);
    }
  }

  private exceedsStoreLimits(transaction: LeaderTransaction): boolean {
    const { ops, bytes } = this.storeLimits;
    return transaction.changes.length > ops || largestValueBytes(transaction) > bytes;
  }

  /** As a controller does: fewer changes, or, of a single one, smaller values. */
  private rejectWrite(transaction: LeaderTransaction): void {
    const { length } = transaction.changes;
    this.rejectedTransactions++;
    if (length > 1) this.maxChanges = Math.max(1, length >> 1);
    else this.scheduler.handleRefusedValue(transaction, this.now);
    this.performEffects(
      this.scheduler.transactionEnded(transaction, { kind: "refused" }, this.replica, this.now),
    );
  }

  private measure({ changes }: LeaderTransaction): void {
    const largest = this.largestWritten;
    largest.ops = Math.max(largest.ops, changes.length);
    for (const change of changes) {
      if (change.op !== "put") continue;
      largest.bytes = Math.max(largest.bytes, JSON.stringify(change.value).length);
    }
  }
}

/** A leader with two machines, one in each zone, that acknowledged its token and are recorded. */
export function leaderWithTwoMachines(): TestLeader {
  const leader = new TestLeader();
  leader.receiveHeartbeat("m1a", []);
  leader.receiveHeartbeat("m2b", []);
  leader.takeTrace();
  return leader;
}
