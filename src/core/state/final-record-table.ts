/**
 * The final records of all jobs that have ended, in a compact form.
 *
 * Final records are kept for ever, so their number only grows. One object each, in a `Map`, filled the heap of a
 * controller at some 500,000 records. Here a record takes about 30 bytes for an id of 10 bytes, in typed arrays, which
 * are no part of the JavaScript heap.
 */
import type { FinalRecord } from "./stored-values.js";

/** Longest id of a stored job, in bytes: keys have 200 bytes at most. */
const MAXIMUM_ID_BYTES = 198;
/** Bytes of a record before its id: length of the id, outcome, number of tasks. */
const HEADER_BYTES = 6;
const OUTCOME_OFFSET = 1;
const TASKS_OFFSET = 2;
const OUTCOME_DONE = 0;
const OUTCOME_CANCELLED = 1;
/** Marks a record that was deleted. Its slot stays in use, so that searches go on beyond it. */
const DELETED = 2;
const INITIAL_SLOTS = 1024;
const INITIAL_BYTES = 16 * 1024;
/** Share of the slots that are in use at most. */
const MAXIMUM_LOAD = 0.7;
const GROWTH_FACTOR = 1.5;
/** Parameters of the hash function FNV-1a with 32 bits. */
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Final records by job id: a hash table with open addressing, over an array of encoded records. */
export class FinalRecordTable {
  /** The encoded records, one after the other. */
  private bytes = new Uint8Array(INITIAL_BYTES);
  private view = new DataView(this.bytes.buffer);
  private usedBytes = 0;
  /** Offset of a record in `bytes`, plus one; 0: the slot is free. The number of slots is a power of two. */
  private slots = new Uint32Array(INITIAL_SLOTS);
  private usedSlots = 0;
  private recordCount = 0;
  /** The id of the current operation, encoded. */
  private readonly idBytes = new Uint8Array(MAXIMUM_ID_BYTES);

  /** Number of records. */
  get size(): number {
    return this.recordCount;
  }

  has(id: string): boolean {
    return this.findRecord(id) !== null;
  }

  get(id: string): FinalRecord | undefined {
    const offset = this.findRecord(id);
    return offset === null ? undefined : this.decodeRecord(offset);
  }

  /** Adds or replaces a record. @throws RangeError if the id is longer than the key of a stored value can be. */
  set(id: string, record: FinalRecord): void {
    const length = this.encodeId(id);
    if (length === null) throw new RangeError("the job id is too long for a stored key");
    if (this.usedSlots + 1 > MAXIMUM_LOAD * this.slots.length) this.growSlots();
    const slot = this.findSlot(length);
    let offset = this.slots[slot]! - 1;
    if (offset < 0) {
      offset = this.appendId(length);
      this.slots[slot] = offset + 1;
      this.usedSlots++;
      this.recordCount++;
    } else if (this.isDeleted(offset)) {
      this.recordCount++;
    }
    this.bytes[offset + OUTCOME_OFFSET] =
      record.outcome === "done" ? OUTCOME_DONE : OUTCOME_CANCELLED;
    this.view.setUint32(offset + TASKS_OFFSET, record.tasks);
  }

  delete(id: string): void {
    const offset = this.findRecord(id);
    if (offset === null) return;
    this.bytes[offset + OUTCOME_OFFSET] = DELETED;
    this.recordCount--;
  }

  /** Takes over the records of another table, which must not be used afterwards. */
  replaceWith(other: FinalRecordTable): void {
    this.bytes = other.bytes;
    this.view = other.view;
    this.usedBytes = other.usedBytes;
    this.slots = other.slots;
    this.usedSlots = other.usedSlots;
    this.recordCount = other.recordCount;
  }

  /** Iterates over the ids, in the order in which they were first added. */
  *keys(): Generator<string> {
    for (const [id] of this) yield id;
  }

  *[Symbol.iterator](): Generator<[string, FinalRecord]> {
    let offset = 0;
    while (offset < this.usedBytes) {
      const idStart = offset + HEADER_BYTES;
      const idEnd = idStart + this.bytes[offset]!;
      const isDeleted = this.isDeleted(offset);
      if (!isDeleted) {
        yield [decoder.decode(this.bytes.subarray(idStart, idEnd)), this.decodeRecord(offset)];
      }
      offset = idEnd;
    }
  }

  private isDeleted(offset: number): boolean {
    return this.bytes[offset + OUTCOME_OFFSET] === DELETED;
  }

  private decodeRecord(offset: number): FinalRecord {
    const isDone = this.bytes[offset + OUTCOME_OFFSET] === OUTCOME_DONE;
    const tasks = this.view.getUint32(offset + TASKS_OFFSET);
    return { outcome: isDone ? "done" : "cancelled", tasks };
  }

  /** Offset of the record with this id; null if there is none. */
  private findRecord(id: string): number | null {
    const length = this.encodeId(id);
    if (length === null) return null;
    const offset = this.slots[this.findSlot(length)]! - 1;
    return offset < 0 || this.isDeleted(offset) ? null : offset;
  }

  /** Encodes an id into `idBytes` and returns its length; null if it is too long to be stored. */
  private encodeId(id: string): number | null {
    const { read, written } = encoder.encodeInto(id, this.idBytes);
    return read === id.length ? written : null;
  }

  /** Returns the slot of the record whose id is in `idBytes`, or the free slot in which it belongs. */
  private findSlot(length: number): number {
    const mask = this.slots.length - 1;
    let slot = hashOf(this.idBytes, 0, length) & mask;
    while (this.slots[slot] !== 0 && !this.hasId(this.slots[slot]! - 1, length)) {
      slot = (slot + 1) & mask;
    }
    return slot;
  }

  private hasId(offset: number, length: number): boolean {
    if (this.bytes[offset] !== length) return false;
    const start = offset + HEADER_BYTES;
    for (let index = 0; index < length; index++) {
      if (this.bytes[start + index] !== this.idBytes[index]) return false;
    }
    return true;
  }

  /** Appends a record with the id in `idBytes`, and returns its offset. */
  private appendId(length: number): number {
    const offset = this.usedBytes;
    const end = offset + HEADER_BYTES + length;
    if (end > this.bytes.length) this.growBytes(end);
    this.bytes[offset] = length;
    this.bytes.set(this.idBytes.subarray(0, length), offset + HEADER_BYTES);
    this.usedBytes = end;
    return offset;
  }

  private growBytes(minimum: number): void {
    const grown = new Uint8Array(Math.max(minimum, Math.ceil(GROWTH_FACTOR * this.bytes.length)));
    grown.set(this.bytes);
    this.bytes = grown;
    this.view = new DataView(grown.buffer);
  }

  private growSlots(): void {
    const previous = this.slots;
    this.slots = new Uint32Array(2 * previous.length);
    const mask = this.slots.length - 1;
    for (const entry of previous) {
      if (entry === 0) continue;
      const start = entry - 1 + HEADER_BYTES;
      let slot = hashOf(this.bytes, start, this.bytes[entry - 1]!) & mask;
      while (this.slots[slot] !== 0) slot = (slot + 1) & mask;
      this.slots[slot] = entry;
    }
  }
}

/** The hash of `length` bytes. */
function hashOf(bytes: Uint8Array, start: number, length: number): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = start; index < start + length; index++) {
    hash = Math.imul(hash ^ bytes[index]!, FNV_PRIME);
  }
  return hash >>> 0;
}
