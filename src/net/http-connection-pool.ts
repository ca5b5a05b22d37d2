/**
 * A small HTTP/1.1 client with persistent connections to one address. Each connection carries one request at a time,
 * because the protocol of the cluster rules out pipelining.
 *
 * A `RequestError` reports whether the failed request may have reached the server, which decides how callers react.
 */
import { type HostAndPort, parseAddress } from "./address.js";
import { RequestError } from "./errors.js";
import { HttpConnection } from "./http-connection.js";
import type { HttpResponse } from "./response-reader.js";

export { RequestError } from "./errors.js";
export type { HttpResponse } from "./response-reader.js";

/** Progress of one request. */
interface ExchangeProgress {
  isWritten: boolean;
}

/** The connections to one address. */
export class HttpConnectionPool {
  private idleConnections: HttpConnection[] = [];
  private openCount = 0;
  private isClosing = false;
  private readonly hostAndPort: HostAndPort;

  constructor(
    readonly address: string,
    private readonly maxConnections: number,
  ) {
    this.hostAndPort = parseAddress(address);
  }

  /**
   * Rejects with a `RequestError` if no response arrives within `timeoutMs`, or if all connections are in use.
   *
   * The timeout is a timer instead of an `AbortSignal.timeout`, which could not be cleared after the response.
   */
  async request(
    method: string,
    path: string,
    body: Buffer | null,
    timeoutMs: number,
  ): Promise<HttpResponse> {
    const connection = this.acquire();
    const progress: ExchangeProgress = { isWritten: false };
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(() => {
        reject(new RequestError("request timed out", progress.isWritten));
        connection.close();
      }, timeoutMs);
    });
    try {
      const exchange = this.exchange(connection, this.encodeRequest(method, path, body), progress);
      // If the timeout comes first, nothing awaits the exchange; this avoids an unhandled rejection.
      exchange.catch(() => {});
      return await Promise.race([exchange, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes idle connections now, and those in use after their responses. */
  close(): void {
    this.isClosing = true;
    for (const connection of this.idleConnections) connection.close();
    this.idleConnections = [];
  }

  private acquire(): HttpConnection {
    for (;;) {
      const idle = this.idleConnections.pop();
      if (idle === undefined) break;
      if (!idle.isClosed) return idle;
    }
    if (this.openCount >= this.maxConnections) {
      throw new RequestError("all connections are in use", false);
    }
    return this.open();
  }

  private open(): HttpConnection {
    this.openCount++;
    const connection = new HttpConnection(this.hostAndPort, (idle) => {
      if (this.isClosing) idle.close();
      else this.idleConnections.push(idle);
    });
    connection.socket.once("close", () => {
      this.openCount--;
      this.idleConnections = this.idleConnections.filter((idle) => idle !== connection);
    });
    return connection;
  }

  private async exchange(
    connection: HttpConnection,
    request: Buffer,
    progress: ExchangeProgress,
  ): Promise<HttpResponse> {
    try {
      await connection.connected;
    } catch (error) {
      throw new RequestError((error as Error).message, false);
    }
    if (connection.isClosed)
      throw new RequestError("connection closed before the request was sent", false);
    progress.isWritten = true;
    return connection.send(request);
  }

  private encodeRequest(method: string, path: string, body: Buffer | null): Buffer {
    const head = Buffer.from(
      `${method} ${path} HTTP/1.1\r\nHost: ${this.address}\r\n` +
        (body === null ? "" : "Content-Type: application/msgpack\r\n") +
        `Content-Length: ${body?.length ?? 0}\r\n\r\n`,
    );
    return body === null ? head : Buffer.concat([head, body]);
  }
}
