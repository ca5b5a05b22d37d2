/**
 * Reads the connections over which workers send heartbeats. It accepts all connections before the HTTP server does,
 * on the same port.
 *
 * Most requests to a leader are heartbeats. For each request, Node's HTTP server creates objects and streams, which
 * takes twice the processor time of handling the heartbeat itself (docs/processor-and-memory.md). Connections whose
 * first request is a heartbeat are therefore parsed here with http-parser-js. All other connections, and those on
 * which another request follows, are passed to the HTTP server. Sockets are read by `data` events, because the
 * overhead of an async iterator would cancel the saving.
 */
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { HTTPParser, type HTTPParserJS } from "http-parser-js";
import { PATH } from "../wire/names.js";
import type { HeartbeatReply } from "./heartbeats.js";

/** The request line that marks a new connection as one for heartbeats. */
const HEARTBEAT_REQUEST_LINE = Buffer.from(`POST ${PATH.heartbeat} HTTP/1.1\r\n`);
/** A worker's connection is closed if more than this many bytes of replies wait to be sent to it. */
const MAX_UNREAD_BYTES = 64 * 1024;

/** Callbacks for requests, and limits of a connection. */
export interface WorkerConnectionsOptions {
  /** Returns the reply to the body of a heartbeat. */
  readonly onHeartbeat: (body: Buffer) => HeartbeatReply;
  /** Takes over a connection with requests other than heartbeats. */
  readonly onOtherRequests: (socket: Socket) => void;
  /** Maximum size of a request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleTimeoutS: number;
}

/** Headers and body of a response as one Latin-1 string, which Node.js sends in a single write. */
function responseText(
  { status, body, retryAfterS }: HeartbeatReply,
  closesConnection: boolean,
): string {
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    `Content-Type: application/msgpack\r\nContent-Length: ${body.length}\r\n` +
    (retryAfterS === null ? "" : `Retry-After: ${retryAfterS}\r\n`) +
    (closesConnection ? "Connection: close\r\n\r\n" : "\r\n") +
    body.toString("latin1")
  );
}

/** Accepts connections, and serves those over which workers send heartbeats. */
export class WorkerConnections {
  private readonly openSockets = new Set<Socket>();
  /** The last response that kept its connection open, reused because most replies are identical. */
  private lastResponse: { reply: HeartbeatReply; text: string } | null = null;

  constructor(readonly options: WorkerConnectionsOptions) {}

  /** Accepts a connection, and decides by its first bytes whether to read it here or pass it to the HTTP server. */
  accept(socket: Socket): void {
    this.openSockets.add(socket);
    socket.on("error", ignoreError);
    socket.setTimeout(1000 * this.options.idleTimeoutS, () => socket.destroy());
    socket.on("end", endOnPeerEnd);
    socket.once("close", () => this.openSockets.delete(socket));
    socket.once("data", (first: Buffer) => {
      const requestLine = first.subarray(0, HEARTBEAT_REQUEST_LINE.length);
      if (requestLine.equals(HEARTBEAT_REQUEST_LINE)) {
        new WorkerConnection(this, socket).onData(first);
      } else {
        this.passToHttpServer(socket, first);
      }
    });
  }

  /** Closes all connections that were not passed to the HTTP server. */
  close(): void {
    for (const socket of this.openSockets) socket.destroy();
  }

  /** Passes a connection to the HTTP server, together with the bytes read from it that were not answered. */
  passToHttpServer(socket: Socket, unanswered: Buffer): void {
    this.openSockets.delete(socket);
    socket.pause();
    socket.removeAllListeners("timeout");
    socket.removeListener("end", endOnPeerEnd);
    socket.setTimeout(0);
    socket.unshift(unanswered);
    this.options.onOtherRequests(socket);
    // Resume only after the server has attached its listeners, so that it receives the bytes put back above.
    socket.resume();
  }

  /** Sends a reply; `keepsAlive` is true if the worker may send more heartbeats on this connection. */
  send(socket: Socket, reply: HeartbeatReply, keepsAlive: boolean): void {
    if (!keepsAlive || reply.retryAfterS !== null || reply.status === 400) {
      socket.end(responseText(reply, true), "latin1");
      return;
    }
    if (this.lastResponse?.reply !== reply) {
      this.lastResponse = { reply, text: responseText(reply, false) };
    }
    socket.write(this.lastResponse.text, "latin1");
    if (socket.writableLength > MAX_UNREAD_BYTES) socket.destroy();
  }
}

const ignoreError = (): void => {};

/**
 * Closes a socket when its peer ends it. The HTTP server creates sockets that stay half-open, so a redirected worker
 * would occupy one until the idle timeout.
 */
function endOnPeerEnd(this: Socket): void {
  this.end();
}

/** One heartbeat connection. Requests are answered one at a time, in order. */
class WorkerConnection {
  private readonly parser: HTTPParserJS = new HTTPParser(HTTPParser.REQUEST);
  /**
   * Chunks read since the chunk in which the last request ended. Bytes after that request in the same chunk are not
   * kept here.
   */
  private unansweredChunks: Buffer[] = [];
  private bodyChunks: Buffer[] = [];
  private bodyBytes = 0;
  private keepsAlive = true;
  /** True once a request other than a heartbeat was received. */
  private hasOtherRequest = false;

  constructor(
    private readonly connections: WorkerConnections,
    private readonly socket: Socket,
  ) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => {
      this.keepsAlive = info.shouldKeepAlive;
      const isHeartbeat =
        HTTPParser.methods[info.method!] === "POST" && info.url === PATH.heartbeat;
      const expectsContinue = info.headers.some((text) => text.toLowerCase() === "expect");
      if (!isHeartbeat || expectsContinue) this.hasOtherRequest = true;
    };
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.bodyBytes += length;
      if (this.bodyBytes <= connections.options.maxBodyBytes) {
        this.bodyChunks.push(chunk.subarray(offset, offset + length));
      }
    };
    this.parser[HTTPParser.kOnMessageComplete] = () => this.completeRequest();
    socket.on("data", this.onData);
  }

  /** Handles bytes received from the worker. */
  readonly onData = (chunk: Buffer): void => {
    this.unansweredChunks.push(chunk);
    const parsed = this.parser.execute(chunk);
    if (this.hasOtherRequest) this.passToHttpServer();
    else if (parsed instanceof Error || this.isTooLarge()) this.refuse();
  };

  private completeRequest(): void {
    if (this.hasOtherRequest || this.isTooLarge()) return;
    const body =
      this.bodyChunks.length === 1 ? this.bodyChunks[0]! : Buffer.concat(this.bodyChunks);
    this.unansweredChunks = [];
    this.bodyChunks = [];
    this.bodyBytes = 0;
    this.connections.send(this.socket, this.connections.options.onHeartbeat(body), this.keepsAlive);
  }

  private isTooLarge(): boolean {
    return this.bodyBytes > this.connections.options.maxBodyBytes;
  }

  private passToHttpServer(): void {
    this.socket.removeListener("data", this.onData);
    this.connections.passToHttpServer(this.socket, Buffer.concat(this.unansweredChunks));
  }

  private refuse(): void {
    this.socket.removeListener("data", this.onData);
    const malformed = { status: 400, body: Buffer.alloc(0), retryAfterS: null };
    this.connections.send(this.socket, malformed, false);
  }
}
