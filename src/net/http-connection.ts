/** One HTTP/1.1 connection on `net`, read with an async iterator; one request at a time. */
import { connect, type Socket } from "node:net";
import type { HostAndPort } from "./address.js";
import { ConnectionClosedError, RequestError } from "./errors.js";
import { type HttpResponse, ResponseReader } from "./response-reader.js";

interface PendingRequest {
  resolve(response: HttpResponse): void;
  reject(error: Error): void;
}

/** Connects at once; `connected` settles with the outcome. */
export class HttpConnection {
  readonly socket: Socket;
  /** Rejects if the connection can't be established. */
  readonly connected: Promise<void>;
  private closed = false;
  private pendingRequest: PendingRequest | null = null;
  private readonly reader = new ResponseReader();

  constructor(
    { host, port }: HostAndPort,
    /** The connection was answered and may be used again. */
    private readonly onIdle: (connection: HttpConnection) => void,
  ) {
    this.socket = connect({ host, port, noDelay: true });
    this.connected = new Promise((resolve, reject) => {
      this.socket.once("connect", resolve);
      this.socket.once("error", reject);
      this.socket.once("close", () => reject(new ConnectionClosedError()));
    });
    // Whoever sends a request awaits it; a connection without a request must not end the process.
    this.connected.catch(() => {});
    this.socket.on("error", () => {});
    void this.readResponses();
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Rejects with a `RequestError` if the connection ends first. */
  send(request: Buffer): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      this.pendingRequest = { resolve, reject };
      this.socket.write(request);
    });
  }

  close(): void {
    this.closed = true;
    this.socket.destroy();
  }

  /** Never rejects: what ends the connection is told to its request. */
  private async readResponses(): Promise<void> {
    let cause = "connection closed";
    try {
      for await (const chunk of this.socket) {
        const response = this.reader.feed(chunk as Buffer);
        if (response !== null) this.handleResponse(response);
      }
    } catch (error) {
      cause = (error as Error).message;
    }
    this.close();
    this.takePendingRequest()?.reject(new RequestError(cause, true));
  }

  private handleResponse(response: HttpResponse): void {
    const request = this.takePendingRequest();
    if (request === null || response.headers.get("connection") === "close") this.close();
    else this.onIdle(this);
    request?.resolve(response);
  }

  private takePendingRequest(): PendingRequest | null {
    const request = this.pendingRequest;
    this.pendingRequest = null;
    return request;
  }
}
