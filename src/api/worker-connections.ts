/**
 * Connections over which workers send heartbeats, in front of the HTTP server on the same port.
 *
 * Heartbeats are most of what a leader handles. Node's HTTP server takes twice the processor time of a heartbeat for
 * objects and streams around each request (docs/processor-and-memory.md), so connections whose first request is a
 * heartbeat are read here, with http-parser-js; every other one, and one on which other requests follow, goes to the
 * HTTP server. They are read by `data` events: an async iterator takes as much again as it saves.
 */
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { HTTPParser, type HTTPParserJS } from "http-parser-js";
import { PATH } from "../wire/names.js";
import type { HeartbeatReply } from "./heartbeats.js";

/** How a connection begins over which a worker sends heartbeats. */
const HEARTBEAT_REQUEST_LINE = Buffer.from(`POST ${PATH.heartbeat} HTTP/1.1\r\n`);
/** Replies that a worker may leave unread, in bytes, before its connection is closed. */
const MAX_UNREAD_BYTES = 64 * 1024;

/** What becomes of requests, and the limits of a connection. */
export interface WorkerConnectionsOptions {
  /** The reply to the body of a heartbeat. */
  readonly onHeartbeat: (body: Buffer) => HeartbeatReply;
  /** Takes a connection with requests that are no heartbeats. */
  readonly onOtherRequests: (socket: Socket) => void;
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleTimeoutS: number;
}

/** Head and body as Latin-1 text, which Node.js sends in one write. */
function responseText({ status, body, retryAfterS }: HeartbeatReply, close: boolean): string {
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    `Content-Type: application/msgpack\r\nContent-Length: ${body.length}\r\n` +
    (retryAfterS === null ? "" : `Retry-After: ${retryAfterS}\r\n`) +
    (close ? "Connection: close\r\n\r\n" : "\r\n") +
    body.toString("latin1")
  );
}

/** All connections over which workers send heartbeats. */
export class WorkerConnections {
  private readonly openSockets = new Set<Socket>();
  /** The text of the last reply that kept its connection: most are the same one. */
  private lastResponse: { reply: HeartbeatReply; text: string } | null = null;

  constructor(readonly options: WorkerConnectionsOptions) {}

  /** Takes a new connection, and decides by its first bytes who reads it. */
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

  /** Closes all of them. */
  close(): void {
    for (const socket of this.openSockets) socket.destroy();
  }

  /** Passes a connection to the HTTP server, with the bytes that were read of it and not answered. */
  passToHttpServer(socket: Socket, unanswered: Buffer): void {
    this.openSockets.delete(socket);
    socket.pause();
    socket.removeAllListeners("timeout");
    socket.removeListener("end", endOnPeerEnd);
    socket.setTimeout(0);
    socket.unshift(unanswered);
    this.options.onOtherRequests(socket);
    // The bytes are passed on only once the server listens to the socket.
    socket.resume();
  }

  /** Sends a reply; `keepsAlive`: more heartbeats may follow. */
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

/** The HTTP server leaves a socket open when its peer ends; a redirected worker would hold one until it idles out. */
function endOnPeerEnd(this: Socket): void {
  this.end();
}

/** One connection, a request at a time. Heartbeats on it are answered in their order. */
class WorkerConnection {
  private readonly parser: HTTPParserJS = new HTTPParser(HTTPParser.REQUEST);
  /** What was read since the last request was complete. */
  private unansweredChunks: Buffer[] = [];
  private bodyChunks: Buffer[] = [];
  private bodyBytes = 0;
  private keepsAlive = true;
  /** A request was received that is no heartbeat. */
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

  /** Bytes from the worker. */
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
