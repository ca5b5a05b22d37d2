/**
 * Composes the components that a node needs to lead: leader election, scheduling cycles, execution of effects, and
 * transactions.
 */
import type { Logger } from "pino";
import type { AdmissionControl } from "../admission/index.js";
import type { OperatorSettings } from "../config/operator.js";
import type { Effect } from "../core/effects.js";
import { termLeaseS } from "../core/leadership/term.js";
import type { StateWatcher } from "../state/state-watcher.js";
import { steadyNowS } from "../time/steady-clock.js";
import type { NodeSettings } from "../wire/settings.js";
import { CycleMonitor } from "./cycle-monitor.js";
import { EffectExecutor } from "./effect-executor.js";
import { LeaderTransactions } from "./leader-transactions.js";
import { Leadership } from "./leadership.js";
import type { MachineTypeCatalog } from "./machine-type-catalog.js";
import type { NodeAdapters } from "./node-adapters.js";
import { NodeCycle } from "./node-cycle.js";
import type { Activity } from "./node-load.js";
import { SchedulerFactory } from "./scheduler-factory.js";
import { SchedulerGuard } from "./scheduler-guard.js";
import { SchedulingLoop } from "./scheduling-loop.js";

/** Dependencies of `LeaderComposition`. */
export interface LeaderCompositionOptions {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  readonly log: Logger;
  readonly adapters: NodeAdapters;
  readonly watcher: StateWatcher;
  readonly machineTypes: MachineTypeCatalog;
  /** Null if admission control is disabled. */
  readonly admission: AdmissionControl | null;
  /** Called at each poll of the scheduling loop. */
  readonly onPoll: () => void;
}

/**
 * The components of a node's leader role. A component is constructed after those that are passed to it; callbacks may
 * use the other components once the node runs.
 */
export class LeaderComposition {
  readonly leadership: Leadership;
  readonly transactions: LeaderTransactions;
  readonly schedulingLoop: SchedulingLoop;
  private readonly schedulerGuard: SchedulerGuard;
  private readonly effectExecutor: EffectExecutor;

  constructor(private readonly options: LeaderCompositionOptions) {
    this.transactions = this.createTransactions();
    this.leadership = this.createLeadership();
    this.schedulerGuard = this.createSchedulerGuard();
    this.effectExecutor = this.createEffectExecutor();
    this.schedulingLoop = this.createSchedulingLoop();
  }

  /** Executes effects that the scheduler returned. */
  performEffects(effects: readonly Effect[]): void {
    this.effectExecutor.perform(effects);
  }

  /** Runs scheduler work; if it throws, this node steps down. */
  runSchedulerWork(activity: Activity, work: () => void): void {
    this.schedulerGuard.run(activity, work);
  }

  private createTransactions(): LeaderTransactions {
    const { settings, adapters, watcher, log } = this.options;
    const { keyValueClient, replica } = adapters;
    return new LeaderTransactions({
      settings: settings.cluster,
      keyValueClient,
      watcher,
      replica,
      now: steadyNowS,
      log,
      performEffects: (effects) => this.performEffects(effects),
      onTransactionEnd: () => this.schedulingLoop.requestCycle(),
    });
  }

  private createLeadership(): Leadership {
    const { settings, operator, adapters, watcher, log } = this.options;
    const { keyValueClient, replica, timing } = adapters;
    const { heartbeatIntervalS, cpuShare } = settings.cluster;
    const schedulers = this.createSchedulerFactory();
    return new Leadership(keyValueClient, watcher, replica, {
      member: settings.member,
      leaseS: termLeaseS(operator.termLeaseRatio * heartbeatIntervalS, cpuShare),
      leaseExtensionS: timing.leaseExtensionS,
      now: steadyNowS,
      log,
      createScheduler: (epoch, epochModRevision, now) =>
        schedulers.create(epoch, epochModRevision, now),
      performEffects: (effects) => this.performEffects(effects),
      onLeadershipChange: (isLeading) => this.transactions.setLeading(isLeading),
    });
  }

  private createSchedulerFactory(): SchedulerFactory {
    const { settings, operator, adapters, machineTypes, log } = this.options;
    return new SchedulerFactory({ settings, operator, timing: adapters.timing, machineTypes, log });
  }

  private createSchedulerGuard(): SchedulerGuard {
    const { settings, adapters, log } = this.options;
    return new SchedulerGuard({
      leadership: this.leadership,
      load: adapters.load,
      log,
      electionCooldownS: settings.cluster.heartbeatIntervalS,
    });
  }

  private createEffectExecutor(): EffectExecutor {
    const { settings, adapters, log } = this.options;
    const { heartbeatIntervalS, sockets } = settings.cluster;
    return new EffectExecutor({
      workers: adapters.workers,
      cloud: adapters.cloud,
      leadership: this.leadership,
      tracer: adapters.tracer,
      log,
      now: steadyNowS,
      heartbeatIntervalS,
      sockets,
      onResult: (handle) => {
        this.runSchedulerWork("effectResults", () => this.performEffects(handle()));
        this.schedulingLoop.requestCycle();
      },
    });
  }

  private createSchedulingLoop(): SchedulingLoop {
    const cycle = this.createCycle();
    const monitor = this.createCycleMonitor();
    return new SchedulingLoop({
      now: steadyNowS,
      settings: this.options.settings.cluster,
      onPoll: this.options.onPoll,
      runCycle: () => this.runSchedulerWork("cycles", () => cycle.run()),
      onCycleEnd: (durationS, sinceLastCycleS) =>
        monitor.handleCycleEnd(durationS, sinceLastCycleS),
      onLag: (lagS, isOverloaded) => monitor.handleLag(lagS, isOverloaded),
    });
  }

  private createCycle(): NodeCycle {
    const { settings, watcher, machineTypes, admission } = this.options;
    return new NodeCycle({
      now: steadyNowS,
      heartbeatIntervalS: settings.cluster.heartbeatIntervalS,
      watcher,
      machineTypes,
      leadership: this.leadership,
      transactions: this.transactions,
      admission,
      performEffects: (effects) => this.performEffects(effects),
    });
  }

  private createCycleMonitor(): CycleMonitor {
    const { settings, adapters, log } = this.options;
    return new CycleMonitor({
      heartbeatIntervalS: settings.cluster.heartbeatIntervalS,
      replica: adapters.replica,
      leadership: this.leadership,
      load: adapters.load,
      log,
    });
  }
}
