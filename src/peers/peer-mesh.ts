/** Connections between controllers: each sends its beat to every other, several times a report. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { encodePeerHeartbeat, type PeerHeartbeat, PeerHeartbeatReader } from "./codec.js";

interface PeerLink {
  readonly address: string;
  socket: Socket | null;
}

export class PeerMesh {
  private server: Server | null = null;
  private readonly links: PeerLink[];
  private timer: NodeJS.Timeout | null = null;
  private readonly inbound = new Set<Socket>();
  /** Steady time of the last beat that said its sender reaches the state service. */
  private lastStateContactAt = Number.NEGATIVE_INFINITY;
  /** Steady time of the last beat from a leader. */
  private lastLeaderHeartbeatAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly listenAddress: string,
    siblings: readonly string[],
    private readonly now: () => number,
    private readonly heartbeatIntervalS: number,
    private readonly currentHeartbeat: () => PeerHeartbeat,
  ) {
    this.links = siblings.map((address) => ({ address, socket: null }));
  }

  /** Another controller reached the state service a moment ago. */
  anyPeerReachesStateService(): boolean {
    return this.now() - this.lastStateContactAt < 4 * this.heartbeatIntervalS;
  }

  /** Other controllers that reached the state service a moment ago. */
  peersInContact(): number {
    let n = 0;
    for (const at of this.lastHeartbeatAt.values())
      if (this.now() - at < 4 * this.heartbeatIntervalS) n++;
    return n;
  }
  private readonly lastHeartbeatAt = new Map<Socket, number>();

  /** A leader, acting or not, spoke a moment ago. */
  isLeaderInContact(): boolean {
    return this.now() - this.lastLeaderHeartbeatAt < 4 * this.heartbeatIntervalS;
  }

  async start(): Promise<void> {
    const server = createServer((socket) => void this.receive(socket));
    this.server = server;
    const [host, port] = parseAddress(this.listenAddress);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    // With no socket left none can be accepted; that must not end the process.
    server.on("error", () => {});
    this.timer = setInterval(() => this.sendHeartbeats(), this.heartbeatIntervalS * 1000);
  }

  stop(): void {
    if (this.timer !== null) clearInterval(this.timer);
    for (const l of this.links) l.socket?.destroy();
    for (const s of this.inbound) s.destroy();
    this.server?.close();
  }

  private async receive(socket: Socket): Promise<void> {
    this.inbound.add(socket);
    socket.on("error", () => {});
    // A sender that fell silent without closing must not keep a socket for ever.
    socket.setTimeout(40_000 * this.heartbeatIntervalS, () => socket.destroy());
    const reader = new PeerHeartbeatReader();
    try {
      for await (const chunk of socket) {
        for (const b of reader.feed(chunk as Buffer)) {
          if (b.reachesStateService) this.lastStateContactAt = this.now();
          if (b.reachesStateService) this.lastHeartbeatAt.set(socket, this.now());
          if (b.holdsLeadership) this.lastLeaderHeartbeatAt = this.now();
        }
      }
    } catch {
      // The sender went away, or is none of ours.
    }
    this.inbound.delete(socket);
    this.lastHeartbeatAt.delete(socket);
    socket.destroy();
  }

  private sendHeartbeats(): void {
    const bytes = encodePeerHeartbeat(this.currentHeartbeat());
    for (const l of this.links) {
      if (l.socket === null) this.openLink(l);
      // Beats are worth nothing late: what cannot be sent now is left out.
      else if (!l.socket.connecting && l.socket.writableLength < 10 * bytes.length) {
        l.socket.write(bytes);
      }
    }
  }

  private openLink(l: PeerLink): void {
    const [host, port] = parseAddress(l.address);
    const socket = connect({ host, port, noDelay: true });
    l.socket = socket;
    const giveUp = setTimeout(() => {
      if (socket.connecting) socket.destroy();
    }, 4000 * this.heartbeatIntervalS);
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(giveUp);
      if (l.socket === socket) l.socket = null;
    });
    socket.resume();
  }
}

function parseAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
