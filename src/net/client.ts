/**
 * A small HTTP/1.1 client on `net`, reading each connection with an async iterator.
 *
 * Connections persist, one request at a time on each (the protocol rules out pipelining). What a
 * caller most needs to know about a failure is whether the request can have reached the other
 * side: `sent` is false only if not a byte of it was written.
 */
import { connect, type Socket } from "node:net";

export class RequestFailed extends Error {
  constructor(
    message: string,
    readonly sent: boolean,
  ) {
    super(message);
  }
}

export interface Reply {
  readonly status: number;
  readonly headers: Map<string, string>;
  readonly body: Buffer;
}

interface Waiter {
  resolve(reply: Reply): void;
  reject(error: Error): void;
}

const HEAD_END = Buffer.from("\r\n\r\n");

/** Collects one response; `feed` returns it when complete and keeps what follows it. */
class ResponseReader {
  private pending: Buffer = Buffer.alloc(0);

  feed(chunk: Buffer): Reply | null {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = this.pending.indexOf(HEAD_END);
    if (end < 0) return null;
    const lines = this.pending.toString("latin1", 0, end).split("\r\n");
    const status = Number(lines[0]!.split(" ")[1]);
    if (!Number.isInteger(status)) throw new Error("not an HTTP response");
    const headers = new Map<string, string>();
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(":");
      if (colon > 0) headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    }
    const start = end + HEAD_END.length;
    if ((headers.get("transfer-encoding") ?? "").toLowerCase().includes("chunked")) {
      return this.chunked(status, headers, start);
    }
    const length = Number(headers.get("content-length") ?? "0");
    if (this.pending.length < start + length) return null;
    const body = this.pending.subarray(start, start + length);
    this.pending = this.pending.subarray(start + length);
    return { status, headers, body };
  }

  private chunked(status: number, headers: Map<string, string>, from: number): Reply | null {
    const parts: Buffer[] = [];
    let at = from;
    for (;;) {
      const eol = this.pending.indexOf("\r\n", at);
      if (eol < 0) return null;
      const size = Number.parseInt(this.pending.toString("latin1", at, eol), 16);
      if (!Number.isInteger(size) || size < 0) throw new Error("bad chunk");
      const next = eol + 2 + size + 2;
      if (this.pending.length < next) return null;
      if (size === 0) {
        this.pending = this.pending.subarray(next);
        return { status, headers, body: Buffer.concat(parts) };
      }
      parts.push(this.pending.subarray(eol + 2, eol + 2 + size));
      at = next;
    }
  }
}

class Connection {
  private waiter: Waiter | null = null;
  private readonly reader = new ResponseReader();
  closed = false;
  ready: Promise<void>;
  readonly socket: Socket;

  constructor(
    host: string,
    port: number,
    private readonly onIdle: (c: Connection) => void,
  ) {
    this.socket = connect({ host, port, noDelay: true });
    this.ready = new Promise((resolve, reject) => {
      this.socket.once("connect", resolve);
      this.socket.once("error", reject);
      this.socket.once("close", () => reject(new Error("closed")));
    });
    this.ready.catch(() => {});
    this.socket.on("error", () => {});
    void this.read();
  }

  private async read(): Promise<void> {
    let cause = "connection closed";
    try {
      for await (const chunk of this.socket) {
        const reply = this.reader.feed(chunk as Buffer);
        if (reply === null) continue;
        const w = this.waiter;
        this.waiter = null;
        if (w === null || reply.headers.get("connection") === "close") this.close();
        else this.onIdle(this);
        w?.resolve(reply);
      }
    } catch (e) {
      cause = (e as Error).message;
    }
    this.close();
    const w = this.waiter;
    this.waiter = null;
    w?.reject(new RequestFailed(cause, true));
  }

  send(data: Buffer): Promise<Reply> {
    return new Promise((resolve, reject) => {
      this.waiter = { resolve, reject };
      this.socket.write(data);
    });
  }

  close(): void {
    this.closed = true;
    this.socket.destroy();
  }
}

/** All connections to one address. */
export class Peer {
  private idle: Connection[] = [];
  private open = 0;
  private retired = false;
  private readonly host: string;
  private readonly port: number;

  constructor(
    readonly address: string,
    private readonly maxOpen: number,
  ) {
    const colon = address.lastIndexOf(":");
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
  }

  private take(): Connection {
    for (;;) {
      const c = this.idle.pop();
      if (c === undefined) break;
      if (!c.closed) return c;
    }
    if (this.open >= this.maxOpen) throw new RequestFailed("too many connections", false);
    this.open++;
    const c: Connection = new Connection(this.host, this.port, (x) => {
      if (this.retired) x.close();
      else this.idle.push(x);
    });
    c.socket.once("close", () => {
      this.open--;
      this.idle = this.idle.filter((x) => x !== c);
    });
    return c;
  }

  async request(
    method: string,
    path: string,
    body: Buffer | null,
    timeoutMs: number,
  ): Promise<Reply> {
    const c = this.take();
    let written = false;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new RequestFailed("no response in time", written));
        c.close();
      }, timeoutMs);
    });
    const exchange = async (): Promise<Reply> => {
      try {
        await c.ready;
      } catch (e) {
        throw new RequestFailed((e as Error).message, false);
      }
      if (c.closed) throw new RequestFailed("closed", false);
      const head =
        `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\n` +
        (body === null ? "" : `Content-Type: application/msgpack\r\n`) +
        `Content-Length: ${body?.length ?? 0}\r\n\r\n`;
      written = true;
      return c.send(body === null ? Buffer.from(head) : Buffer.concat([Buffer.from(head), body]));
    };
    try {
      const running = exchange();
      running.catch(() => {});
      return await Promise.race([running, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes what is idle now, and what is in use once it is answered. */
  close(): void {
    this.retired = true;
    for (const c of this.idle) c.close();
    this.idle = [];
  }
}
