/**
 * A small HTTP/1.1 client on `net`, reading each connection with an async iterator.
 *
 * Connections persist, one request at a time on each (the protocol rules out pipelining). What a
 * caller most needs to know about a failure is whether the request can have reached the other
 * side: `sent` is false only if not a byte of it was written.
 */
import { connect, type Socket } from "node:net";

export class RequestError extends Error {
  constructor(
    message: string,
    readonly mayHaveArrived: boolean,
  ) {
    super(message);
  }
}

export interface HttpResponse {
  readonly status: number;
  readonly headers: Map<string, string>;
  readonly body: Buffer;
}

interface PendingRequest {
  resolve(reply: HttpResponse): void;
  reject(error: Error): void;
}

const HEADER_END = Buffer.from("\r\n\r\n");

/** Collects one response; `feed` returns it when complete and keeps what follows it. */
class ResponseReader {
  private pending: Buffer = Buffer.alloc(0);

  feed(chunk: Buffer): HttpResponse | null {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = this.pending.indexOf(HEADER_END);
    if (end < 0) return null;
    const lines = this.pending.toString("latin1", 0, end).split("\r\n");
    const status = Number(lines[0]!.split(" ")[1]);
    if (!Number.isInteger(status)) throw new Error("not an HTTP response");
    const headers = new Map<string, string>();
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(":");
      if (colon > 0) headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    }
    const start = end + HEADER_END.length;
    if ((headers.get("transfer-encoding") ?? "").toLowerCase().includes("chunked")) {
      return this.readChunkedBody(status, headers, start);
    }
    const length = Number(headers.get("content-length") ?? "0");
    if (this.pending.length < start + length) return null;
    const body = this.pending.subarray(start, start + length);
    this.pending = this.pending.subarray(start + length);
    return { status, headers, body };
  }

  private readChunkedBody(
    status: number,
    headers: Map<string, string>,
    from: number,
  ): HttpResponse | null {
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
  private pendingRequest: PendingRequest | null = null;
  private readonly reader = new ResponseReader();
  isClosed = false;
  connected: Promise<void>;
  readonly socket: Socket;

  constructor(
    host: string,
    port: number,
    private readonly onIdle: (c: Connection) => void,
  ) {
    this.socket = connect({ host, port, noDelay: true });
    this.connected = new Promise((resolve, reject) => {
      this.socket.once("connect", resolve);
      this.socket.once("error", reject);
      this.socket.once("close", () => reject(new Error("closed")));
    });
    this.connected.catch(() => {});
    this.socket.on("error", () => {});
    void this.readResponses();
  }

  private async readResponses(): Promise<void> {
    let cause = "connection closed";
    try {
      for await (const chunk of this.socket) {
        const reply = this.reader.feed(chunk as Buffer);
        if (reply === null) continue;
        const w = this.pendingRequest;
        this.pendingRequest = null;
        if (w === null || reply.headers.get("connection") === "close") this.close();
        else this.onIdle(this);
        w?.resolve(reply);
      }
    } catch (e) {
      cause = (e as Error).message;
    }
    this.close();
    const w = this.pendingRequest;
    this.pendingRequest = null;
    w?.reject(new RequestError(cause, true));
  }

  send(data: Buffer): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      this.pendingRequest = { resolve, reject };
      this.socket.write(data);
    });
  }

  close(): void {
    this.isClosed = true;
    this.socket.destroy();
  }
}

/** All connections to one address. */
export class HttpConnectionPool {
  private idleConnections: Connection[] = [];
  private openCount = 0;
  private isRetired = false;
  private readonly host: string;
  private readonly port: number;

  constructor(
    readonly address: string,
    private readonly maxConnections: number,
  ) {
    const colon = address.lastIndexOf(":");
    this.host = address.slice(0, colon);
    this.port = Number(address.slice(colon + 1));
  }

  private acquire(): Connection {
    for (;;) {
      const c = this.idleConnections.pop();
      if (c === undefined) break;
      if (!c.isClosed) return c;
    }
    if (this.openCount >= this.maxConnections)
      throw new RequestError("too many connections", false);
    this.openCount++;
    const c: Connection = new Connection(this.host, this.port, (x) => {
      if (this.isRetired) x.close();
      else this.idleConnections.push(x);
    });
    c.socket.once("close", () => {
      this.openCount--;
      this.idleConnections = this.idleConnections.filter((x) => x !== c);
    });
    return c;
  }

  async request(
    method: string,
    path: string,
    body: Buffer | null,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const c = this.acquire();
    let written = false;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new RequestError("no response in time", written));
        c.close();
      }, timeoutMs);
    });
    const exchange = async (): Promise<HttpResponse> => {
      try {
        await c.connected;
      } catch (e) {
        throw new RequestError((e as Error).message, false);
      }
      if (c.isClosed) throw new RequestError("closed", false);
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
    this.isRetired = true;
    for (const c of this.idleConnections) c.close();
    this.idleConnections = [];
  }
}
