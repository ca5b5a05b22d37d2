/**
 * Heartbeat connections between controllers. Each controller sends its heartbeat to all peers, several times per
 * worker heartbeat interval.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { parseAddress } from "../net/address.js";
import { encodePeerHeartbeat, type PeerHeartbeat, PeerHeartbeatReader } from "./codec.js";

/**
 * Number of peer heartbeat intervals for which a report in a heartbeat remains valid: that the sender reaches the
 * state service, or that it leads.
 */
const CONTACT_INTERVALS = 4;
/** Timeout for establishing an outbound connection, in peer heartbeat intervals. */
const CONNECT_INTERVALS = 4;
/** Idle timeout of an inbound connection, in peer heartbeat intervals. */
const IDLE_INTERVALS = 40;
/** Maximum number of heartbeats buffered for sending on one socket. */
const MAX_BUFFERED_HEARTBEATS = 10;

/** Addresses, timing and heartbeat source of `PeerMesh`. */
export interface PeerMeshOptions {
  /** `host:port` on which this controller receives the heartbeats of its peers. */
  readonly listenAddress: string;
  /** `host:port` of each peer. */
  readonly peerAddresses: readonly string[];
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Interval between two heartbeats to a peer, in seconds. */
  readonly heartbeatIntervalS: number;
  /** Returns the heartbeat to send now. */
  readonly currentHeartbeat: () => PeerHeartbeat;
}

interface PeerLink {
  readonly address: string;
  socket: Socket | null;
}

/**
 * Sends this controller's heartbeat to its peers, and tracks contact with them by the heartbeats that it receives.
 */
export class PeerMesh {
  private server: Server | null = null;
  private readonly links: readonly PeerLink[];
  private timer: NodeJS.Timeout | null = null;
  private readonly inbound = new Set<Socket>();
  /** Monotonic time of the last heartbeat that reported contact with the state service, by inbound connection. */
  private readonly lastStateContactBySocket = new Map<Socket, number>();
  /** Monotonic time of the last heartbeat from any peer that reported contact with the state service. */
  private lastStateContactAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time of the last heartbeat from a leader. */
  private lastLeaderHeartbeatAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: PeerMeshOptions) {
    this.links = options.peerAddresses.map((address) => ({ address, socket: null }));
  }

  /** True if any heartbeat within the last `CONTACT_INTERVALS` reported that its sender reaches the state service. */
  anyPeerReachesStateService(): boolean {
    return this.isWithinContactTime(this.lastStateContactAt);
  }

  /** Number of peers that reported contact with the state service within the last `CONTACT_INTERVALS`. */
  peersInContact(): number {
    let count = 0;
    for (const heartbeatAt of this.lastStateContactBySocket.values()) {
      if (this.isWithinContactTime(heartbeatAt)) count++;
    }
    return count;
  }

  /** True if a leader sent a heartbeat in the last `CONTACT_INTERVALS`, even if its term no longer lets it act. */
  isLeaderInContact(): boolean {
    return this.isWithinContactTime(this.lastLeaderHeartbeatAt);
  }

  /** Listens for peers and starts to send heartbeats; rejects if it cannot listen on the address. */
  async start(): Promise<void> {
    const server = createServer((socket) => void this.receive(socket));
    this.server = server;
    const { host, port } = parseAddress(this.options.listenAddress);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    // Accepting a connection fails if no socket is left; this error must not end the process.
    server.on("error", () => {});
    this.timer = setInterval(() => this.sendHeartbeats(), this.options.heartbeatIntervalS * 1000);
  }

  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
    for (const link of this.links) link.socket?.destroy();
    for (const socket of this.inbound) socket.destroy();
    this.server?.close();
  }

  private isWithinContactTime(heartbeatAt: number): boolean {
    return this.options.now() - heartbeatAt < CONTACT_INTERVALS * this.options.heartbeatIntervalS;
  }

  /** Reads heartbeats from an inbound connection until it closes. Never rejects. */
  private async receive(socket: Socket): Promise<void> {
    this.inbound.add(socket);
    socket.on("error", () => {});
    // Frees the socket of a sender that became unreachable without closing its connection.
    const idleMs = 1000 * IDLE_INTERVALS * this.options.heartbeatIntervalS;
    socket.setTimeout(idleMs, () => socket.destroy());
    const reader = new PeerHeartbeatReader();
    try {
      for await (const chunk of socket) {
        for (const heartbeat of reader.feed(chunk as Buffer)) this.record(socket, heartbeat);
      }
    } catch {
      // The connection failed, or the sender is not a controller.
    }
    this.inbound.delete(socket);
    this.lastStateContactBySocket.delete(socket);
    socket.destroy();
  }

  private record(socket: Socket, heartbeat: PeerHeartbeat): void {
    const now = this.options.now();
    if (heartbeat.reachesStateService) {
      this.lastStateContactAt = now;
      this.lastStateContactBySocket.set(socket, now);
    }
    if (heartbeat.holdsLeadership) this.lastLeaderHeartbeatAt = now;
  }

  private sendHeartbeats(): void {
    const bytes = encodePeerHeartbeat(this.options.currentHeartbeat());
    const maxBuffered = MAX_BUFFERED_HEARTBEATS * bytes.length;
    for (const link of this.links) {
      const { socket } = link;
      if (socket === null) this.openLink(link);
      // A delayed heartbeat is useless, so it is dropped if the send buffer is full.
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
