/** Carries out what the scheduler asks for, and gives it the results while it still leads. */
import type { Cloud } from "./cloud/client.js";
import type { Output } from "./core/outputs.js";
import type { Leading } from "./leadership.js";
import type { Workers } from "./workers/client.js";
import { workerSockets } from "./workers/sockets.js";

export interface EffectsOptions {
  readonly now: () => number;
  readonly reportS: number;
  readonly sockets: number;
  /** Does it still lead? */
  readonly leads: (l: Leading) => boolean;
  /** Takes what a result leads to. */
  readonly back: (f: () => Output[]) => void;
}

export class Effects {
  constructor(
    private readonly workers: Workers,
    private readonly cloud: Cloud,
    private readonly options: EffectsOptions,
  ) {}

  /** All but log lines, traces and what concerns the term itself. */
  perform(o: Output, leading: Leading): void {
    const { term, scheduler } = leading;
    const { now, reportS } = this.options;
    /** Results of a scheduler that leads no more are dropped. */
    const back = (f: () => Output[]): void => {
      if (this.options.leads(leading)) this.options.back(f);
    };
    const acting = term.acting(now());
    switch (o.kind) {
      case "send": {
        if (!acting) {
          const lost = { kind: "lost", sent: false } as const;
          setImmediate(() => back(() => scheduler.sent(o.machine, o.commands, lost, now())));
          return;
        }
        void this.workers
          .send(o.address, term.epoch, o.session, o.commands)
          .then((r) => back(() => scheduler.sent(o.machine, o.commands, r, now())));
        return;
      }
      case "show": {
        const began = now();
        void this.workers.show(o.address).then((r) => {
          const late = now() - began > (1.25 * reportS) / 3;
          back(() => scheduler.shown(o.machine, r, now(), late));
        });
        return;
      }
      case "rent":
        void (
          acting ? this.cloud.rent(o.name, o.type, o.zone, o.spot, o.count) : refusedRent()
        ).then((r) => back(() => scheduler.rented(o, r, now())));
        return;
      case "return":
        void (acting ? this.cloud.giveBack(o.machines) : Promise.resolve(false)).then((ok) =>
          back(() => scheduler.returned(o.machines, ok, now())),
        );
        return;
      case "list":
        void this.cloud.list().then((l) => {
          back(() => scheduler.list(l, now()));
          const addresses = scheduler.addresses();
          this.workers.keepOnly(addresses);
          this.workers.keepAtMost(workerSockets(this.options.sockets, addresses.size));
        });
        return;
    }
  }
}

const refusedRent = (): Promise<"trouble"> => Promise.resolve("trouble");
