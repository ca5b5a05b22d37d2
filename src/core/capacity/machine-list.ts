/** Reconciles the leader's machines with the lists that the cloud returns, which may be old or out of order. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { ListedMachine } from "../model/machines.js";

/** What the machine pool does for the reconciler. */
export interface MachineReleases {
  /** Names of machines that are proven to be terminated. */
  readonly terminated: ReadonlySet<string>;
  /** Has a machine released; it counts until the cloud has confirmed that it is terminated. */
  requestRelease(machine: Machine, why: string): void;
}

/** Adds machines that are listed, and releases those that failed or are no longer listed. */
export class MachineListReconciler {
  /** Age of each machine, in seconds, as of the newest list. */
  private readonly listedAgeS = new Map<string, number>();

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachineReleases,
  ) {}

  /** Whether no machine has been listed yet. */
  get isEmpty(): boolean {
    return this.listedAgeS.size === 0;
  }

  /** Takes in a complete list of machines. */
  reconcile(listed: readonly ListedMachine[], now: number): void {
    const isNewest = this.isNewest(listed);
    for (const entry of listed) {
      if (this.machinePool.terminated.has(entry.name)) continue;
      const { name } = entry;
      const machine = this.context.findOrAddMachine(name, entry, now);
      if (machine === null) continue;
      if (isNewest) this.listedAgeS.set(name, entry.ageS);
      this.update(machine, entry, now);
    }
    if (isNewest) this.releaseUnlisted(listed);
  }

  /** Lists may arrive out of order: in an older one some machine is younger than it was listed before. */
  private isNewest(listed: readonly ListedMachine[]): boolean {
    for (const { name, ageS } of listed) {
      const knownAgeS = this.listedAgeS.get(name);
      if (knownAgeS !== undefined && ageS < knownAgeS) return false;
    }
    return true;
  }

  private update(machine: Machine, entry: ListedMachine, now: number): void {
    if (machine.address === "" && entry.address !== "") machine.address = entry.address;
    if (machine.state === "booting") {
      machine.bootingSince = Math.min(machine.bootingSince, now - entry.ageS);
    }
    if (entry.state === "failed") this.machinePool.requestRelease(machine, "failed");
    else if (entry.state === "running") this.probeIfBooted(machine, now);
  }

  /** The cloud says that the machine runs, and its worker has sent nothing yet. */
  private probeIfBooted(machine: Machine, now: number): void {
    if (
      machine.state === "booting" &&
      machine.address !== "" &&
      !machine.hasRequestInFlight &&
      now >= machine.nextRequestAt &&
      this.dispatcher.probeBudget.tryTake(1, now)
    ) {
      this.dispatcher.probe(machine);
    }
  }

  /** Once listed, a machine stays listed until it is terminated. The release makes certain that it is. */
  private releaseUnlisted(listed: readonly ListedMachine[]): void {
    const names = new Set(listed.map(({ name }) => name));
    for (const name of [...this.listedAgeS.keys()]) {
      if (names.has(name)) continue;
      this.listedAgeS.delete(name);
      const machine = this.context.cluster.machines.get(name);
      if (machine !== undefined) this.machinePool.requestRelease(machine, "no longer listed");
    }
  }
}
