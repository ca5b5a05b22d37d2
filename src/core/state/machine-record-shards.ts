/**
 * Machine records are stored in shards, many machines to a value: when hundreds of machines come up at
 * once, one key each would use up the state service's changes of half a minute, and no work may be
 * placed on a machine before its record is stored.
 *
 * Each write of a shard is conditional on the mod revision that the shard had, so that a late copy of an
 * older write cannot remove machines from it again.
 */
import type { Machine } from "../machines/machine.js";
import type { StateReplica } from "./state-replica.js";
import {
  KEY,
  type StoredMachine,
  type StoredMachineShard,
  type Versioned,
} from "./stored-values.js";

/** Bytes of the braces around a shard's entries. */
const EMPTY_SHARD_BYTES = 2;
/** Bytes of an entry besides its name and value: two quotes, colon and comma. */
const ENTRY_OVERHEAD_BYTES = 4;
/** A shard may outgrow its planned size by this factor before it is split. */
const SPLIT_FACTOR = 1.5;

const entryBytes = (name: string, record: StoredMachine): number =>
  JSON.stringify(record).length + name.length + ENTRY_OVERHEAD_BYTES;

const recordOf = (machine: Machine): StoredMachine => [
  machine.address,
  machine.type.name,
  machine.zone,
  machine.spot,
];

/** The machine records that stand in one stored value. */
export class MachineRecordShard {
  readonly entries = new Map<string, StoredMachine>();
  /** Size of the value as it would be stored. */
  bytes = EMPTY_SHARD_BYTES;
  /** Counts the changes of the shard; `persistedVersion` is the one last stored. */
  version = 0;
  persistedVersion = 0;
  /** Machines in the shard of which no record is stored yet. */
  unpersistedMachines = 0;
  /** Shards that took machines of this one: they are stored before it is written without them. */
  readonly successors: MachineRecordShard[] = [];

  /** `modRevision`: of its stored value; 0 if there is none. */
  constructor(
    readonly index: number,
    public modRevision: number,
  ) {}

  add(name: string, record: StoredMachine): void {
    this.entries.set(name, record);
    this.bytes += entryBytes(name, record);
  }

  /** The record keeps its place among the entries. */
  replace(name: string, record: StoredMachine): void {
    this.bytes -= entryBytes(name, this.entries.get(name)!);
    this.add(name, record);
  }

  remove(name: string): void {
    this.bytes -= entryBytes(name, this.entries.get(name)!);
    this.entries.delete(name);
  }

  clear(): void {
    this.entries.clear();
    this.bytes = EMPTY_SHARD_BYTES;
  }

  toStored(): StoredMachineShard {
    return Object.fromEntries(this.entries);
  }
}

/** All machine records, and the shard in which each stands. */
export class MachineRecordShards {
  private readonly shards: MachineRecordShard[] = [];
  private readonly shardOfMachine = new Map<string, MachineRecordShard>();

  /** `maxBytes`: a shard of this size takes no further machines. */
  constructor(private maxBytes: number) {}

  get hasUnpersistedMachines(): boolean {
    return this.shards.some((shard) => shard.unpersistedMachines > 0);
  }

  /** Takes over the stored shards; those that are too large now are split. */
  load(stored: ReadonlyMap<number, Versioned<StoredMachineShard>>): void {
    const oversized: MachineRecordShard[] = [];
    for (const [index, { value, modRevision }] of stored) {
      const shard = new MachineRecordShard(index, modRevision);
      this.loadEntries(shard, value);
      this.shards.push(shard);
      if (shard.bytes > SPLIT_FACTOR * this.maxBytes) oversized.push(shard);
    }
    for (const shard of oversized) this.split(shard);
  }

  /** The state service accepts smaller values only: shards that may not fit are split at their next write. */
  setMaxBytes(maxBytes: number): void {
    this.maxBytes = maxBytes;
    for (const shard of [...this.shards]) {
      const isOversized = shard.bytes > SPLIT_FACTOR * maxBytes;
      if (isOversized && shard.entries.size > 1) this.split(shard);
    }
  }

  has(name: string): boolean {
    return this.shardOfMachine.has(name);
  }

  add(machine: Machine): void {
    if (this.shardOfMachine.has(machine.name)) return;
    const shard = this.shards.find((candidate) => candidate.bytes < this.maxBytes);
    const target = shard ?? this.addShard();
    target.add(machine.name, recordOf(machine));
    target.version++;
    target.unpersistedMachines++;
    this.shardOfMachine.set(machine.name, target);
  }

  /** The machine is of another type, zone or address than its record says. */
  correct(machine: Machine): void {
    machine.isRecordOutdated = false;
    const shard = this.shardOfMachine.get(machine.name);
    if (shard === undefined) return;
    shard.replace(machine.name, recordOf(machine));
    shard.version++;
  }

  /** `isStored`: a record of the machine is stored. */
  remove(name: string, isStored: boolean): void {
    const shard = this.shardOfMachine.get(name);
    if (shard === undefined) return;
    shard.remove(name);
    if (!isStored) shard.unpersistedMachines--;
    shard.version++;
    this.shardOfMachine.delete(name);
  }

  /** Shards to write: those with new machines first, as work waits for them. */
  unpersisted(): MachineRecordShard[] {
    const unpersisted = this.shards.filter(
      (shard) =>
        shard.version > shard.persistedVersion &&
        shard.successors.every((successor) => successor.persistedVersion > 0),
    );
    return unpersisted.sort((a, b) => b.unpersistedMachines - a.unpersistedMachines);
  }

  /** A write of unknown outcome was settled by a linearizable read: the stored mod revisions hold. */
  refreshModRevisions(records: StateReplica): void {
    for (const shard of this.shards) {
      shard.modRevision = records.machineShards.get(shard.index)?.modRevision ?? 0;
    }
  }

  keyOf(shard: MachineRecordShard): string {
    return KEY.machineShard(shard.index);
  }

  private loadEntries(shard: MachineRecordShard, stored: StoredMachineShard): void {
    for (const [name, record] of Object.entries(stored)) {
      // After an unfinished split a machine stands in two shards: the first one keeps it.
      if (this.shardOfMachine.has(name)) {
        shard.version++;
      } else {
        shard.add(name, record);
        this.shardOfMachine.set(name, shard);
      }
    }
  }

  /**
   * Moves the machines that are too many for the shard to new shards. Those are stored before it, so that
   * each machine stands in some stored shard at any moment.
   */
  private split(shard: MachineRecordShard): void {
    const entries = [...shard.entries];
    shard.clear();
    let target = shard;
    for (const [name, record] of entries) {
      if (target.bytes >= this.maxBytes) {
        target = this.addShard();
        target.version++;
        shard.successors.push(target);
      }
      target.add(name, record);
      this.shardOfMachine.set(name, target);
    }
    shard.version++;
  }

  private addShard(): MachineRecordShard {
    const highestIndex = Math.max(0, ...this.shards.map(({ index }) => index));
    const shard = new MachineRecordShard(highestIndex + 1, 0);
    this.shards.push(shard);
    return shard;
  }
}
