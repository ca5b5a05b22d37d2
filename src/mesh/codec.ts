/**
 * What controllers tell one another, as bytes:
 *
 *   0      magic 0x50          1      kind (1: beat)
 *   2..3   length of the rest  4      flags (1: reaches the state service, 2: holds the term)
 *   5..12  epoch it knows      13     its zone, by its place in the settings
 */
export interface Heartbeat {
  readonly stateOk: boolean;
  readonly holds: boolean;
  readonly epoch: number;
  readonly zone: number;
}

const MAGIC = 0x50;
const BEAT = 1;
const HEAD = 4;
const BEAT_LENGTH = 10;

export function encodeHeartbeat(b: Heartbeat): Buffer {
  const out = Buffer.alloc(HEAD + BEAT_LENGTH);
  out.writeUInt8(MAGIC, 0);
  out.writeUInt8(BEAT, 1);
  out.writeUInt16BE(BEAT_LENGTH, 2);
  out.writeUInt8((b.stateOk ? 1 : 0) | (b.holds ? 2 : 0), 4);
  out.writeBigUInt64BE(BigInt(b.epoch), 5);
  out.writeUInt8(b.zone, 13);
  return out;
}

/** Takes whole messages off the front of a stream; kinds it does not know are passed over. */
export class HeartbeatReader {
  private pending: Buffer = Buffer.alloc(0);

  feed(chunk: Buffer): Heartbeat[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const out: Heartbeat[] = [];
    while (this.pending.length >= HEAD) {
      if (this.pending.readUInt8(0) !== MAGIC) throw new Error("not a message of ours");
      const length = this.pending.readUInt16BE(2);
      if (this.pending.length < HEAD + length) break;
      if (this.pending.readUInt8(1) === BEAT && length >= BEAT_LENGTH) {
        const flags = this.pending.readUInt8(4);
        out.push({
          stateOk: (flags & 1) !== 0,
          holds: (flags & 2) !== 0,
          epoch: Number(this.pending.readBigUInt64BE(5)),
          zone: this.pending.readUInt8(13),
        });
      }
      this.pending = this.pending.subarray(HEAD + length);
    }
    return out;
  }
}
