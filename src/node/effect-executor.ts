/** Carries out what the scheduler asks for, and gives it the results while it still leads. */
import type { CloudClient } from "../cloud/client.js";
import type { Effect, ScaleOutResult } from "../core/effects.js";
import type { WorkerClient } from "../workers/client.js";
import { maxWorkerConnections } from "../workers/sockets.js";
import type { ActiveLeadership } from "./leadership.js";

export interface EffectExecutorOptions {
  readonly now: () => number;
  readonly heartbeatIntervalS: number;
  readonly sockets: number;
  /** Does it still lead? */
  readonly isCurrent: (l: ActiveLeadership) => boolean;
  /** Takes what a result leads to. */
  readonly onResult: (f: () => Effect[]) => void;
}

export class EffectExecutor {
  constructor(
    private readonly workers: WorkerClient,
    private readonly cloud: CloudClient,
    private readonly options: EffectExecutorOptions,
  ) {}

  /** All but log lines, traces and what concerns the term itself. */
  perform(o: Effect, leading: ActiveLeadership): void {
    const { term, scheduler } = leading;
    const { now, heartbeatIntervalS: reportS } = this.options;
    /** Results of a scheduler that leads no more are dropped. */
    const back = (f: () => Effect[]): void => {
      if (this.options.isCurrent(leading)) this.options.onResult(f);
    };
    const acting = term.mayAct(now());
    switch (o.kind) {
      case "send": {
        if (!acting) {
          const lost = { kind: "lost", mayArrive: false } as const;
          setImmediate(() =>
            back(() => scheduler.commandsAnswered(o.machine, o.commands, lost, now())),
          );
          return;
        }
        void this.workers
          .send(o.address, term.epoch, o.incarnation, o.commands)
          .then((r) => back(() => scheduler.commandsAnswered(o.machine, o.commands, r, now())));
        return;
      }
      case "probe": {
        const began = now();
        void this.workers.probe(o.address).then((r) => {
          const late = now() - began > (1.25 * reportS) / 3;
          back(() => scheduler.probeAnswered(o.machine, r, now(), late));
        });
        return;
      }
      case "scale out":
        void (acting ? this.cloud.scaleOut(o) : refusedScaleOut()).then((r) =>
          back(() => scheduler.scaleOutAnswered(o, r, now())),
        );
        return;
      case "release machines":
        void (acting ? this.cloud.releaseMachines(o.machines) : Promise.resolve(false)).then((ok) =>
          back(() => scheduler.releaseAnswered(o.machines, ok, now())),
        );
        return;
      case "list machines":
        void this.cloud.listMachines().then((l) => {
          back(() => scheduler.machineListAnswered(l, now()));
          const addresses = scheduler.workerAddresses();
          this.workers.closeAllExcept(addresses);
          this.workers.setMaxConnections(
            maxWorkerConnections(this.options.sockets, addresses.size),
          );
        });
        return;
    }
  }
}

const refusedScaleOut = (): Promise<ScaleOutResult> => Promise.resolve({ kind: "failed" });
