/** Executes the scheduler's effects, and passes their results back while the scheduler's term is current. */
import type { Logger } from "pino";
import type { CloudClient } from "../cloud/client.js";
import { assertNever } from "../core/assert-never.js";
import type { Effect } from "../core/effects.js";
import type { WorkerClient } from "../workers/client.js";
import { maxWorkerConnections } from "../workers/sockets.js";
import type { JobTracer } from "./job-tracer.js";
import type { ActiveLeadership, Leadership } from "./leadership.js";

/** Dependencies of `EffectExecutor`. */
export interface EffectExecutorOptions {
  readonly workers: WorkerClient;
  readonly cloud: CloudClient;
  readonly leadership: Leadership;
  /** Null if tracing is disabled. */
  readonly tracer: JobTracer | null;
  readonly log: Logger;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  readonly heartbeatIntervalS: number;
  /** Maximum number of sockets that this process may have open. */
  readonly sockets: number;
  /**
   * Called with the result of an effect. `handle` passes the result to the scheduler; the callback must call `handle`
   * and perform the effects that it returns.
   */
  readonly onResult: (handle: () => readonly Effect[]) => void;
}

type EffectOf<Kind extends Effect["kind"]> = Extract<Effect, { readonly kind: Kind }>;
/** Effects that are executed only while this node leads. */
type LeaderEffect = Exclude<Effect, { readonly kind: "log" | "first start" }>;

/** Executes effects in the given order. */
export class EffectExecutor {
  constructor(private readonly options: EffectExecutorOptions) {}

  /**
   * Executes effects. After an effect that ends leadership, only logs and traces are executed; others are dropped.
   */
  perform(effects: readonly Effect[]): void {
    for (const effect of effects) this.performOne(effect);
  }

  private performOne(effect: Effect): void {
    const { log, tracer, leadership } = this.options;
    switch (effect.kind) {
      case "log":
        log[effect.level](effect.fields, effect.message);
        break;
      case "first start":
        tracer?.traceFirstStart(effect.job, effect.submittedAt);
        break;
      default:
        if (leadership.current !== null) this.performAsLeader(effect, leadership.current);
    }
  }

  private performAsLeader(effect: LeaderEffect, activeLeadership: ActiveLeadership): void {
    switch (effect.kind) {
      case "send":
        this.sendCommands(effect, activeLeadership);
        break;
      case "probe":
        this.probeWorker(effect, activeLeadership);
        break;
      case "scale out":
        this.scaleOut(effect, activeLeadership);
        break;
      case "release machines":
        this.releaseMachines(effect, activeLeadership);
        break;
      case "list machines":
        this.listMachines(activeLeadership);
        break;
      case "advance fencing token":
        this.options.leadership.fencingTokenAdvanceRequested = true;
        break;
      case "step down":
        this.stepDown(effect);
        break;
      default:
        assertNever(effect);
    }
  }

  private sendCommands(effect: EffectOf<"send">, activeLeadership: ActiveLeadership): void {
    const { workers, now } = this.options;
    const { term, scheduler } = activeLeadership;
    const { machine, address, incarnation, fencingToken, commands } = effect;
    if (!term.mayAct(now())) {
      const notSent = { kind: "lost", mayArrive: false } as const;
      setImmediate(() =>
        this.handleResult(activeLeadership, () =>
          scheduler.commandsAnswered(machine, commands, notSent, now()),
        ),
      );
      return;
    }
    void workers
      .send(address, fencingToken, incarnation, commands)
      .then((outcome) =>
        this.handleResult(activeLeadership, () =>
          scheduler.commandsAnswered(machine, commands, outcome, now()),
        ),
      );
  }

  private probeWorker(
    { machine, address }: EffectOf<"probe">,
    activeLeadership: ActiveLeadership,
  ): void {
    const { workers, now, heartbeatIntervalS } = this.options;
    const startedAt = now();
    void workers.probe(address).then((heartbeat) => {
      // A probe that takes longer than the request timeout by more than 25% means that this node was stalled; the
      // machine may be healthy.
      const isLate = now() - startedAt > (1.25 * heartbeatIntervalS) / 3;
      this.handleResult(activeLeadership, () =>
        activeLeadership.scheduler.probeAnswered(machine, heartbeat, now(), isLate),
      );
    });
  }

  private scaleOut(effect: EffectOf<"scale out">, activeLeadership: ActiveLeadership): void {
    const { cloud, now } = this.options;
    const request = activeLeadership.term.mayAct(now())
      ? cloud.scaleOut(effect)
      : Promise.resolve({ kind: "failed" } as const);
    void request.then((result) =>
      this.handleResult(activeLeadership, () =>
        activeLeadership.scheduler.scaleOutAnswered(effect, result, now()),
      ),
    );
  }

  private releaseMachines(
    { machines }: EffectOf<"release machines">,
    activeLeadership: ActiveLeadership,
  ): void {
    const { cloud, now } = this.options;
    const request = activeLeadership.term.mayAct(now())
      ? cloud.releaseMachines(machines)
      : Promise.resolve(false);
    void request.then((released) =>
      this.handleResult(activeLeadership, () =>
        activeLeadership.scheduler.releaseAnswered(machines, released, now()),
      ),
    );
  }

  private listMachines(activeLeadership: ActiveLeadership): void {
    const { cloud, workers, now, sockets } = this.options;
    const { scheduler } = activeLeadership;
    void cloud.listMachines().then((machines) => {
      this.handleResult(activeLeadership, () => scheduler.machineListAnswered(machines, now()));
      const addresses = scheduler.workerAddresses();
      workers.closeAllExcept(addresses);
      workers.setMaxConnectedWorkers(maxWorkerConnections(sockets, addresses.size));
    });
  }

  private stepDown({ why }: EffectOf<"step down">): void {
    const { leadership, heartbeatIntervalS } = this.options;
    leadership.startElectionCooldown(2 * heartbeatIntervalS);
    leadership.stepDown(why);
  }

  /** Drops results for a scheduler whose term is no longer current. */
  private handleResult(activeLeadership: ActiveLeadership, handle: () => readonly Effect[]): void {
    if (this.options.leadership.current === activeLeadership) this.options.onResult(handle);
  }
}
