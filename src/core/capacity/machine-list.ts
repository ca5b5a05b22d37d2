/** Reconciles the leader's machines with the lists from the cloud, which may be stale or arrive out of order. */

import type { CommandDispatcher } from "../dispatch/command-dispatcher.js";
import type { LeaderContext } from "../leader-context.js";
import type { Machine } from "../machines/machine.js";
import type { ListedMachine } from "../model/machines.js";

/** The part of the machine pool that the reconciler uses. */
export interface MachineReleaser {
  /** Names of machines that are confirmed to be terminated. */
  readonly terminated: ReadonlySet<string>;
  /**
   * Requests the release of a machine, which counts as part of the pool until the cloud has confirmed its
   * termination.
   */
  requestRelease(machine: Machine, why: string): void;
}

/** Adds listed machines, and requests the release of those that failed or are no longer listed. */
export class MachineListReconciler {
  /** Age of each machine in seconds, from the newest list. */
  private readonly listedAgeS = new Map<string, number>();

  constructor(
    private readonly context: LeaderContext,
    private readonly dispatcher: CommandDispatcher,
    private readonly machinePool: MachineReleaser,
  ) {}

  /** Whether no machine is known from the newest list, or no list has arrived yet. */
  get isEmpty(): boolean {
    return this.listedAgeS.size === 0;
  }

  /** Applies a complete list of machines. */
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

  /**
   * Whether the list is at least as new as all lists applied before. Lists may arrive out of order; a list is
   * outdated if it states a lower age for a machine than the newest list so far.
   */
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

  /** Sends a request to a machine that the cloud lists as running, if its worker has not sent a message yet. */
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

  /**
   * Releases machines that were listed before and no longer are. The cloud lists a machine until it is terminated, so
   * the release only makes the cloud confirm the termination.
   */
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
