/** One HTTP/1.1 connection over a TCP socket, with one request at a time. Responses are read by an async iterator. */
import { connect, type Socket } from "node:net";
import type { HostAndPort } from "./address.js";
import { ConnectionClosedError, RequestError } from "./errors.js";
import { type HttpResponse, ResponseReader } from "./response-reader.js";

interface PendingRequest {
  resolve(response: HttpResponse): void;
  reject(error: Error): void;
}

/** Starts to connect when constructed; `connected` settles with the result. */
export class HttpConnection {
  readonly socket: Socket;
  /** Resolves once the connection is established, or rejects if it can't be. */
  readonly connected: Promise<void>;
  private closed = false;
  private pendingRequest: PendingRequest | null = null;
  private readonly reader = new ResponseReader();

  constructor(
    { host, port }: HostAndPort,
    /** Called when a response was received and the connection may be reused. */
    private readonly onIdle: (connection: HttpConnection) => void,
  ) {
    this.socket = connect({ host, port, noDelay: true });
    this.connected = new Promise((resolve, reject) => {
      this.socket.once("connect", resolve);
      this.socket.once("error", reject);
      this.socket.once("close", () => reject(new ConnectionClosedError()));
    });
    // Avoids an unhandled rejection, which would end the process, if no request awaits the connection.
    this.connected.catch(() => {});
    this.socket.on("error", () => {});
    void this.readResponses();
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Resolves to the response, or rejects with a `RequestError` if the connection ends first. */
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

  /** Reads until the connection ends, and rejects the pending request with the cause. Never rejects itself. */
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
