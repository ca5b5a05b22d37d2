/**
 * Records of machines, many in one value: when hundreds come up at once, one key each would cost
 * the state service's changes of half a minute, and no work may be placed on them before.
 *
 * A late copy of an older write must not take machines out of a group again, so each write is
 * conditional on the mark that the group had.
 */
import type { Machine } from "../machines/machine.js";
import type { StateReplica } from "./state-replica.js";
import {
  KEY,
  type StoredMachine,
  type StoredMachineShard,
  type Versioned,
} from "./stored-values.js";

export class MachineRecordShard {
  readonly entries = new Map<string, StoredMachine>();
  bytes = 2;
  version = 0;
  persistedVersion = 0;
  /** Machines in it of which no record is stored yet. */
  unpersistedMachines = 0;
  /** Groups that took over machines of this one: they are stored before it is written without them. */
  readonly successors: MachineRecordShard[] = [];

  constructor(
    readonly index: number,
    public modRevision: number,
  ) {}

  add(name: string, value: StoredMachine): void {
    this.entries.set(name, value);
    this.bytes += JSON.stringify(value).length + name.length + 4;
  }

  toStored(): StoredMachineShard {
    return Object.fromEntries(this.entries);
  }
}

export class MachineRecordShards {
  private readonly shards: MachineRecordShard[] = [];
  private readonly shardOfMachine = new Map<string, MachineRecordShard>();

  constructor(private maxBytes: number) {}

  load(stored: ReadonlyMap<number, Versioned<StoredMachineShard>>): void {
    const large: MachineRecordShard[] = [];
    for (const [n, { value, modRevision: mark }] of stored) {
      const g = new MachineRecordShard(n, mark);
      for (const [name, m] of Object.entries(value)) {
        // In two groups after a cut that was not finished: one is enough.
        if (this.shardOfMachine.has(name)) g.version++;
        else {
          g.add(name, m);
          this.shardOfMachine.set(name, g);
        }
      }
      this.shards.push(g);
      if (g.bytes > 1.5 * this.maxBytes) large.push(g);
    }
    for (const g of large) this.split(g);
  }

  /**
   * Stored when values might be larger: what is too much goes to new groups. Those are stored first, so
   * that each machine stands in some group at any moment.
   */
  private split(g: MachineRecordShard): void {
    const entries = [...g.entries];
    g.entries.clear();
    g.bytes = 2;
    let into = g;
    for (const [name, m] of entries) {
      if (into.bytes >= this.maxBytes) {
        into = this.addShard();
        into.version++;
        g.successors.push(into);
      }
      into.add(name, m);
      this.shardOfMachine.set(name, into);
    }
    g.version++;
  }

  /** The state service takes no larger values: groups that may not fit are cut when they are written next. */
  setMaxBytes(maxBytes: number): void {
    this.maxBytes = maxBytes;
    for (const g of [...this.shards]) {
      if (g.bytes > 1.5 * maxBytes && g.entries.size > 1) this.split(g);
    }
  }

  private addShard(): MachineRecordShard {
    const g = new MachineRecordShard(1 + Math.max(0, ...this.shards.map((x) => x.index)), 0);
    this.shards.push(g);
    return g;
  }

  has(name: string): boolean {
    return this.shardOfMachine.has(name);
  }

  add(m: Machine): void {
    if (this.shardOfMachine.has(m.name)) return;
    let g = this.shards.find((x) => x.bytes < this.maxBytes);
    g ??= this.addShard();
    g.add(m.name, [m.address, m.type.name, m.zone, m.spot]);
    g.version++;
    g.unpersistedMachines++;
    this.shardOfMachine.set(m.name, g);
  }

  /** The machine is of another kind than its record says. */
  correct(m: Machine): void {
    m.isRecordOutdated = false;
    const g = this.shardOfMachine.get(m.name);
    if (g === undefined) return;
    g.bytes -= JSON.stringify(g.entries.get(m.name)).length + m.name.length + 4;
    g.add(m.name, [m.address, m.type.name, m.zone, m.spot]);
    g.version++;
  }

  remove(name: string, stored: boolean): void {
    const g = this.shardOfMachine.get(name);
    if (g === undefined) return;
    const value = g.entries.get(name)!;
    g.entries.delete(name);
    g.bytes -= JSON.stringify(value).length + name.length + 4;
    if (!stored) g.unpersistedMachines--;
    g.version++;
    this.shardOfMachine.delete(name);
  }

  /** Groups to be written: those with new machines first, as work waits for them. */
  unpersisted(): MachineRecordShard[] {
    const out = this.shards.filter(
      (g) =>
        g.version > g.persistedVersion && g.successors.every((heir) => heir.persistedVersion > 0),
    );
    return out.sort((a, b) => b.unpersistedMachines - a.unpersistedMachines);
  }

  get hasUnpersistedMachines(): boolean {
    return this.shards.some((g) => g.unpersistedMachines > 0);
  }

  /** A doubtful write was settled by a fresh read: the marks are the stored ones. */
  refreshModRevisions(records: StateReplica): void {
    for (const g of this.shards)
      g.modRevision = records.machineShards.get(g.index)?.modRevision ?? 0;
  }

  keyOf(g: MachineRecordShard): string {
    return KEY.machineShard(g.index);
  }
}
