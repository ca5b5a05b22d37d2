/**
 * Machine records are stored in shards, each of which holds many machines in one value. No task may be placed on a
 * machine before its record is stored. With one key per machine, hundreds of machines that start at the same time
 * would take all the changes that the state service accepts in half a minute.
 *
 * Each write of a shard is conditional on the shard's mod revision, so a delayed copy of an older write cannot remove
 * machines that were added since.
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
/** A shard may exceed the maximum size by this factor before it is split. */
const SPLIT_FACTOR = 1.5;

const entryBytes = (name: string, record: StoredMachine): number =>
  JSON.stringify(record).length + name.length + ENTRY_OVERHEAD_BYTES;

const recordOf = (machine: Machine): StoredMachine => [
  machine.address,
  machine.type.name,
  machine.zone,
  machine.spot,
];

/** The machine records in one stored value. */
export class MachineRecordShard {
  readonly entries = new Map<string, StoredMachine>();
  /** Size in bytes of the value to be stored. */
  bytes = EMPTY_SHARD_BYTES;
  /** Counts the changes of the shard. `persistedVersion` is the version that was last stored. */
  version = 0;
  persistedVersion = 0;
  /** Number of machines in the shard whose records are not stored yet. */
  unpersistedMachineCount = 0;
  /**
   * Shards to which a split moved machines of this one. They are stored before this shard is written without these
   * machines.
   */
  readonly splitTargets: MachineRecordShard[] = [];

  /** `modRevision` is that of the stored value; 0 if none is stored. */
  constructor(
    readonly index: number,
    public modRevision: number,
  ) {}

  add(name: string, record: StoredMachine): void {
    this.entries.set(name, record);
    this.bytes += entryBytes(name, record);
  }

  /** Replaces a machine's record without changing the order of the entries. */
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

/** All machine records, and the shard that holds each of them. */
export class MachineRecordShards {
  private readonly shards: MachineRecordShard[] = [];
  private readonly shardOfMachine = new Map<string, MachineRecordShard>();

  /** No machines are added to a shard of `maxBytes` or more. */
  constructor(private maxBytes: number) {}

  get hasUnpersistedMachines(): boolean {
    return this.shards.some((shard) => shard.unpersistedMachineCount > 0);
  }

  /** Loads the stored shards, and splits those that are larger than now permitted. */
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

  /** Lowers the maximum size after the state service refused a value. Shards that may not fit are split. */
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
    target.unpersistedMachineCount++;
    this.shardOfMachine.set(machine.name, target);
  }

  /** Updates the record of a machine whose type, zone, address or spot flag differs from it. */
  updateRecord(machine: Machine): void {
    machine.isRecordOutdated = false;
    const shard = this.shardOfMachine.get(machine.name);
    if (shard === undefined) return;
    shard.replace(machine.name, recordOf(machine));
    shard.version++;
  }

  /** Removes a machine. `isStored`: whether a record of the machine is stored. */
  remove(name: string, isStored: boolean): void {
    const shard = this.shardOfMachine.get(name);
    if (shard === undefined) return;
    shard.remove(name);
    if (!isStored) shard.unpersistedMachineCount--;
    shard.version++;
    this.shardOfMachine.delete(name);
  }

  /** Shards to write. Those with the most new machines come first, because tasks wait for these machines. */
  shardsToWrite(): MachineRecordShard[] {
    const unpersisted = this.shards.filter(
      (shard) =>
        shard.version > shard.persistedVersion &&
        shard.splitTargets.every((target) => target.persistedVersion > 0),
    );
    return unpersisted.sort((a, b) => b.unpersistedMachineCount - a.unpersistedMachineCount);
  }

  /** Sets the mod revisions from the replica, after a linearizable read has resolved a write of unknown outcome. */
  refreshModRevisions(replica: StateReplica): void {
    for (const shard of this.shards) {
      shard.modRevision = replica.machineShards.get(shard.index)?.modRevision ?? 0;
    }
  }

  keyOf(shard: MachineRecordShard): string {
    return KEY.machineShard(shard.index);
  }

  private loadEntries(shard: MachineRecordShard, stored: StoredMachineShard): void {
    for (const [name, record] of Object.entries(stored)) {
      // After an incomplete split a machine is in two stored shards. The one that is loaded first keeps it; the other
      // one is written again without it.
      if (this.shardOfMachine.has(name)) {
        shard.version++;
      } else {
        shard.add(name, record);
        this.shardOfMachine.set(name, shard);
      }
    }
  }

  /**
   * Moves the machines that exceed the maximum size of a shard to new shards. These are stored before the split shard
   * is, so that each machine is in some stored shard at any time.
   */
  private split(shard: MachineRecordShard): void {
    const entries = [...shard.entries];
    shard.clear();
    let target = shard;
    for (const [name, record] of entries) {
      if (target.bytes >= this.maxBytes) {
        target = this.addShard();
        target.version++;
        shard.splitTargets.push(target);
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
