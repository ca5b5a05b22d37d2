/**
 * What controllers tell one another, as bytes:
 *
 *   0      magic 0x50          1      kind (1: beat)
 *   2..3   length of the rest  4      flags (1: reaches the state service, 2: holds the term)
 *   5..12  epoch it knows      13     its zone, by its place in the settings
 */
export interface PeerHeartbeat {
  readonly reachesStateService: boolean;
  readonly holdsLeadership: boolean;
  readonly epoch: number;
  readonly zoneIndex: number;
}

const MAGIC_BYTE = 0x50;
const HEARTBEAT_KIND = 1;
const HEADER_BYTES = 4;
const HEARTBEAT_PAYLOAD_BYTES = 10;

export function encodePeerHeartbeat(b: PeerHeartbeat): Buffer {
  const out = Buffer.alloc(HEADER_BYTES + HEARTBEAT_PAYLOAD_BYTES);
  out.writeUInt8(MAGIC_BYTE, 0);
  out.writeUInt8(HEARTBEAT_KIND, 1);
  out.writeUInt16BE(HEARTBEAT_PAYLOAD_BYTES, 2);
  out.writeUInt8((b.reachesStateService ? 1 : 0) | (b.holdsLeadership ? 2 : 0), 4);
  out.writeBigUInt64BE(BigInt(b.epoch), 5);
  out.writeUInt8(b.zoneIndex, 13);
  return out;
}

/** Takes whole messages off the front of a stream; kinds it does not know are passed over. */
export class PeerHeartbeatReader {
  private pending: Buffer = Buffer.alloc(0);

  feed(chunk: Buffer): PeerHeartbeat[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const out: PeerHeartbeat[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      if (this.pending.readUInt8(0) !== MAGIC_BYTE) throw new Error("not a message of ours");
      const length = this.pending.readUInt16BE(2);
      if (this.pending.length < HEADER_BYTES + length) break;
      if (this.pending.readUInt8(1) === HEARTBEAT_KIND && length >= HEARTBEAT_PAYLOAD_BYTES) {
        const flags = this.pending.readUInt8(4);
        out.push({
          reachesStateService: (flags & 1) !== 0,
          holdsLeadership: (flags & 2) !== 0,
          epoch: Number(this.pending.readBigUInt64BE(5)),
          zoneIndex: this.pending.readUInt8(13),
        });
      }
      this.pending = this.pending.subarray(HEADER_BYTES + length);
    }
    return out;
  }
}
