/** Connections between controllers: each sends its peer heartbeat to all others, several times a heartbeat interval. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { parseAddress } from "../net/address.js";
import { encodePeerHeartbeat, type PeerHeartbeat, PeerHeartbeatReader } from "./codec.js";

/** A peer counts as in contact for so many of its heartbeat intervals. */
const CONTACT_INTERVALS = 4;
/** An outbound connection is given up if it is not established within so many intervals. */
const CONNECT_INTERVALS = 4;
/** An inbound connection is closed after so many intervals without a byte. */
const IDLE_INTERVALS = 40;
/** Heartbeats that may wait in a socket's buffer. */
const MAX_BUFFERED_HEARTBEATS = 10;

/** What a `PeerMesh` works with. */
export interface PeerMeshOptions {
  /** `host:port` at which peers send their heartbeats. */
  readonly listenAddress: string;
  /** `host:port` of each peer. */
  readonly peerAddresses: readonly string[];
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Seconds between two heartbeats to a peer. */
  readonly heartbeatIntervalS: number;
  /** What to send now. */
  readonly currentHeartbeat: () => PeerHeartbeat;
}

interface PeerLink {
  readonly address: string;
  socket: Socket | null;
}

/** Sends this controller's heartbeat to its peers, and knows from theirs who is in contact. */
export class PeerMesh {
  private server: Server | null = null;
  private readonly links: readonly PeerLink[];
  private timer: NodeJS.Timeout | null = null;
  private readonly inbound = new Set<Socket>();
  /** Steady time of the last heartbeat of each inbound connection whose sender reaches the state service. */
  private readonly lastHeartbeatAt = new Map<Socket, number>();
  /** Steady time of the last heartbeat whose sender reaches the state service. */
  private lastStateContactAt = Number.NEGATIVE_INFINITY;
  /** Steady time of the last heartbeat of a leader. */
  private lastLeaderHeartbeatAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: PeerMeshOptions) {
    this.links = options.peerAddresses.map((address) => ({ address, socket: null }));
  }

  /** Another controller reached the state service a moment ago. */
  anyPeerReachesStateService(): boolean {
    return this.isRecent(this.lastStateContactAt);
  }

  /** The number of other controllers that reached the state service a moment ago. */
  peersInContact(): number {
    let count = 0;
    for (const heartbeatAt of this.lastHeartbeatAt.values()) {
      if (this.isRecent(heartbeatAt)) count++;
    }
    return count;
  }

  /** A leader, whether it may act or not, sent a heartbeat a moment ago. */
  isLeaderInContact(): boolean {
    return this.isRecent(this.lastLeaderHeartbeatAt);
  }

  /** Rejects if the address can't be listened on. */
  async start(): Promise<void> {
    const server = createServer((socket) => void this.receive(socket));
    this.server = server;
    const { host, port } = parseAddress(this.options.listenAddress);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    // With no socket left none can be accepted; that must not end the process.
    server.on("error", () => {});
    this.timer = setInterval(() => this.sendHeartbeats(), this.options.heartbeatIntervalS * 1000);
  }

  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
    for (const link of this.links) link.socket?.destroy();
    for (const socket of this.inbound) socket.destroy();
    this.server?.close();
  }

  private isRecent(heartbeatAt: number): boolean {
    return this.options.now() - heartbeatAt < CONTACT_INTERVALS * this.options.heartbeatIntervalS;
  }

  /** Never rejects. */
  private async receive(socket: Socket): Promise<void> {
    this.inbound.add(socket);
    socket.on("error", () => {});
    // A sender that became unreachable without closing must not keep a socket for ever.
    const idleMs = 1000 * IDLE_INTERVALS * this.options.heartbeatIntervalS;
    socket.setTimeout(idleMs, () => socket.destroy());
    const reader = new PeerHeartbeatReader();
    try {
      for await (const chunk of socket) {
        for (const heartbeat of reader.feed(chunk as Buffer)) this.note(socket, heartbeat);
      }
    } catch {
      // The connection broke, or its sender is no controller.
    }
    this.inbound.delete(socket);
    this.lastHeartbeatAt.delete(socket);
    socket.destroy();
  }

  private note(socket: Socket, heartbeat: PeerHeartbeat): void {
    const now = this.options.now();
    if (heartbeat.reachesStateService) {
      this.lastStateContactAt = now;
      this.lastHeartbeatAt.set(socket, now);
    }
    if (heartbeat.holdsLeadership) this.lastLeaderHeartbeatAt = now;
  }

  private sendHeartbeats(): void {
    const bytes = encodePeerHeartbeat(this.options.currentHeartbeat());
    const maxBuffered = MAX_BUFFERED_HEARTBEATS * bytes.length;
    for (const link of this.links) {
      const { socket } = link;
      if (socket === null) this.openLink(link);
      // A late heartbeat is worth nothing: what cannot be sent now is dropped.
      else if (!socket.connecting && socket.writableLength < maxBuffered) socket.write(bytes);
    }
  }

  private openLink(link: PeerLink): void {
    const socket = connect({ ...parseAddress(link.address), noDelay: true });
    link.socket = socket;
    const connectMs = 1000 * CONNECT_INTERVALS * this.options.heartbeatIntervalS;
    const connectTimer = setTimeout(() => {
      if (socket.connecting) socket.destroy();
    }, connectMs);
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(connectTimer);
      if (link.socket === socket) link.socket = null;
    });
    socket.resume();
  }
}
