/**
 * Heartbeat that controllers send to each other. Binary layout (byte offsets, big-endian):
 *
 *   0      magic byte 0x50
 *   1      message kind (1: heartbeat)
 *   2..3   payload length: number of bytes after this field
 *   4      flags (1: reaches the state service, 2: holds leadership)
 *   5..12  largest known epoch
 *   13     index of the sender's zone in the settings
 */
export interface PeerHeartbeat {
  readonly reachesStateService: boolean;
  readonly holdsLeadership: boolean;
  /** Largest epoch known to the sender. */
  readonly epoch: number;
  /** Index of the sender's zone in the settings. */
  readonly zoneIndex: number;
}

const MAGIC_BYTE = 0x50;
const HEARTBEAT_KIND = 1;
const HEADER_BYTES = 4;
const HEARTBEAT_PAYLOAD_BYTES = 10;

const FLAG_REACHES_STATE_SERVICE = 1;
const FLAG_HOLDS_LEADERSHIP = 2;

const OFFSET = { magic: 0, kind: 1, length: 2, flags: 4, epoch: 5, zone: 13 } as const;

/** The received bytes do not start with the magic byte of a peer message, so the sender is not a controller. */
export class InvalidPeerMessageError extends Error {
  constructor() {
    super("not a message of ours");
    this.name = "InvalidPeerMessageError";
  }
}

/** Encodes one heartbeat message. */
export function encodePeerHeartbeat(heartbeat: PeerHeartbeat): Buffer {
  const flags =
    (heartbeat.reachesStateService ? FLAG_REACHES_STATE_SERVICE : 0) |
    (heartbeat.holdsLeadership ? FLAG_HOLDS_LEADERSHIP : 0);
  const bytes = Buffer.alloc(HEADER_BYTES + HEARTBEAT_PAYLOAD_BYTES);
  bytes.writeUInt8(MAGIC_BYTE, OFFSET.magic);
  bytes.writeUInt8(HEARTBEAT_KIND, OFFSET.kind);
  bytes.writeUInt16BE(HEARTBEAT_PAYLOAD_BYTES, OFFSET.length);
  bytes.writeUInt8(flags, OFFSET.flags);
  bytes.writeBigUInt64BE(BigInt(heartbeat.epoch), OFFSET.epoch);
  bytes.writeUInt8(heartbeat.zoneIndex, OFFSET.zone);
  return bytes;
}

/** Decodes heartbeats from a byte stream. Messages of unknown kinds are skipped. */
export class PeerHeartbeatReader {
  private pending: Buffer = Buffer.alloc(0);

  /** Returns the heartbeats that this chunk completes. Throws an `InvalidPeerMessageError` on a wrong magic byte. */
  feed(chunk: Buffer): PeerHeartbeat[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const heartbeats: PeerHeartbeat[] = [];
    while (this.pending.length >= HEADER_BYTES) {
      if (this.pending.readUInt8(OFFSET.magic) !== MAGIC_BYTE) throw new InvalidPeerMessageError();
      const payloadBytes = this.pending.readUInt16BE(OFFSET.length);
      if (this.pending.length < HEADER_BYTES + payloadBytes) break;
      const kind = this.pending.readUInt8(OFFSET.kind);
      if (kind === HEARTBEAT_KIND && payloadBytes >= HEARTBEAT_PAYLOAD_BYTES) {
        heartbeats.push(decodePeerHeartbeat(this.pending));
      }
      this.pending = this.pending.subarray(HEADER_BYTES + payloadBytes);
    }
    return heartbeats;
  }
}

function decodePeerHeartbeat(message: Buffer): PeerHeartbeat {
  const flags = message.readUInt8(OFFSET.flags);
  return {
    reachesStateService: (flags & FLAG_REACHES_STATE_SERVICE) !== 0,
    holdsLeadership: (flags & FLAG_HOLDS_LEADERSHIP) !== 0,
    epoch: Number(message.readBigUInt64BE(OFFSET.epoch)),
    zoneIndex: message.readUInt8(OFFSET.zone),
  };
}
