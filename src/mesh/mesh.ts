/** Connections between controllers: each sends its beat to every other, several times a report. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { encodeHeartbeat, type Heartbeat, HeartbeatReader } from "./codec.js";

interface Link {
  readonly address: string;
  socket: Socket | null;
}

export class Mesh {
  private server: Server | null = null;
  private readonly links: Link[];
  private timer: NodeJS.Timeout | null = null;
  private readonly inbound = new Set<Socket>();
  /** Steady time of the last beat that said its sender reaches the state service. */
  private okAt = Number.NEGATIVE_INFINITY;
  /** Steady time of the last beat from a leader. */
  private holderAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly listenOn: string,
    siblings: readonly string[],
    private readonly now: () => number,
    private readonly everyS: number,
    private readonly own: () => Heartbeat,
  ) {
    this.links = siblings.map((address) => ({ address, socket: null }));
  }

  /** Another controller reached the state service a moment ago. */
  siblingReachesState(): boolean {
    return this.now() - this.okAt < 4 * this.everyS;
  }

  /** Other controllers that reached the state service a moment ago. */
  inContact(): number {
    let n = 0;
    for (const at of this.heardAt.values()) if (this.now() - at < 4 * this.everyS) n++;
    return n;
  }
  private readonly heardAt = new Map<Socket, number>();

  /** A leader, acting or not, spoke a moment ago. */
  leaderSpeaks(): boolean {
    return this.now() - this.holderAt < 4 * this.everyS;
  }

  async start(): Promise<void> {
    const server = createServer((socket) => void this.receive(socket));
    this.server = server;
    const [host, port] = split(this.listenOn);
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
    });
    // With no socket left none can be accepted; that must not end the process.
    server.on("error", () => {});
    this.timer = setInterval(() => this.beat(), this.everyS * 1000);
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
    socket.setTimeout(40_000 * this.everyS, () => socket.destroy());
    const reader = new HeartbeatReader();
    try {
      for await (const chunk of socket) {
        for (const b of reader.feed(chunk as Buffer)) {
          if (b.stateOk) this.okAt = this.now();
          if (b.stateOk) this.heardAt.set(socket, this.now());
          if (b.holds) this.holderAt = this.now();
        }
      }
    } catch {
      // The sender went away, or is none of ours.
    }
    this.inbound.delete(socket);
    this.heardAt.delete(socket);
    socket.destroy();
  }

  private beat(): void {
    const bytes = encodeHeartbeat(this.own());
    for (const l of this.links) {
      if (l.socket === null) this.open(l);
      // Beats are worth nothing late: what cannot be sent now is left out.
      else if (!l.socket.connecting && l.socket.writableLength < 10 * bytes.length) {
        l.socket.write(bytes);
      }
    }
  }

  private open(l: Link): void {
    const [host, port] = split(l.address);
    const socket = connect({ host, port, noDelay: true });
    l.socket = socket;
    const giveUp = setTimeout(() => {
      if (socket.connecting) socket.destroy();
    }, 4000 * this.everyS);
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(giveUp);
      if (l.socket === socket) l.socket = null;
    });
    socket.resume();
  }
}

function split(address: string): [string, number] {
  const colon = address.lastIndexOf(":");
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
