/**
 * Connections over which workers report, in front of the HTTP server on the same port.
 *
 * Reports are most of what a leader does. Node's HTTP server takes twice the processor time of a report on objects and
 * streams around each request (docs/processor-and-memory.md), so connections whose first request is a report are
 * read here, with http-parser-js; every other one, and one that turns to other requests, goes to the HTTP server.
 * They are read by `data` events: an async iterator takes as much again as it saves.
 */
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { HTTPParser, type HTTPParserJS } from "http-parser-js";
import { PATH } from "../wire/names.js";
import type { ReportReply } from "./reports.js";

/** How a connection begins over which a worker reports. */
const REPORT_BEGINS = Buffer.from(`POST ${PATH.report} HTTP/1.1\r\n`);
/** Answers that a peer may leave unread, in bytes, before its connection is ended. */
const MOST_UNREAD = 64 * 1024;

export interface WorkerConnectionsOptions {
  /** The reply to the body of a report. */
  readonly reply: (body: Buffer) => ReportReply;
  /** Takes a connection with requests that are no reports. */
  readonly handOver: (socket: Socket) => void;
  /** Largest body, in bytes. */
  readonly bodyLimit: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleS: number;
}

/** Head and body as Latin-1 text, which Node.js sends in one write. */
function responseText({ status, body, retryAfterS }: ReportReply, close: boolean): string {
  return (
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    `Content-Type: application/msgpack\r\nContent-Length: ${body.length}\r\n` +
    (retryAfterS === null ? "" : `Retry-After: ${retryAfterS}\r\n`) +
    (close ? "Connection: close\r\n\r\n" : "\r\n") +
    body.toString("latin1")
  );
}

export class WorkerConnections {
  private readonly open = new Set<Socket>();
  /** The text of the last reply that kept its connection: most are the same one. */
  private last: { reply: ReportReply; text: string } | null = null;

  constructor(readonly options: WorkerConnectionsOptions) {}

  /** Looks at what a new connection begins with. */
  accept(socket: Socket): void {
    this.open.add(socket);
    socket.on("error", ignore);
    socket.setTimeout(1000 * this.options.idleS, () => socket.destroy());
    socket.on("end", endToo);
    socket.once("close", () => this.open.delete(socket));
    socket.once("data", (first: Buffer) => {
      const begins = first.subarray(0, REPORT_BEGINS.length);
      if (begins.equals(REPORT_BEGINS)) new WorkerConnection(this, socket).take(first);
      else this.handOver(socket, first);
    });
  }

  /** Ends all of them. */
  close(): void {
    for (const socket of this.open) socket.destroy();
  }

  /** Gives a connection to the HTTP server, with what was read of it. */
  handOver(socket: Socket, read: Buffer): void {
    this.open.delete(socket);
    socket.pause();
    socket.removeAllListeners("timeout");
    socket.removeListener("end", endToo);
    socket.setTimeout(0);
    socket.unshift(read);
    this.options.handOver(socket);
    // What was read is passed on only once the server listens.
    socket.resume();
  }

  /** Sends a reply; `keep`: more reports may follow. */
  send(socket: Socket, reply: ReportReply, keep: boolean): void {
    if (!keep || reply.retryAfterS !== null || reply.status === 400) {
      socket.end(responseText(reply, true), "latin1");
      return;
    }
    if (this.last?.reply !== reply) this.last = { reply, text: responseText(reply, false) };
    socket.write(this.last.text, "latin1");
    if (socket.writableLength > MOST_UNREAD) socket.destroy();
  }
}

const ignore = (): void => {};

/** The HTTP server leaves a socket open when its peer ends; a worker that was sent on would hold one until it idles out. */
function endToo(this: Socket): void {
  this.end();
}

/** One connection, a request at a time. */
class WorkerConnection {
  private readonly parser: HTTPParserJS = new HTTPParser(HTTPParser.REQUEST);
  /** What was read since the last request was complete. */
  private unanswered: Buffer[] = [];
  private body: Buffer[] = [];
  private bodyBytes = 0;
  private keep = true;
  /** A request came that is no report. */
  private foreign = false;

  constructor(
    private readonly all: WorkerConnections,
    private readonly socket: Socket,
  ) {
    this.parser[HTTPParser.kOnHeadersComplete] = (info) => {
      this.keep = info.shouldKeepAlive;
      const isReport = HTTPParser.methods[info.method!] === "POST" && info.url === PATH.report;
      const waitsForGoAhead = info.headers.some((h) => h.toLowerCase() === "expect");
      if (!isReport || waitsForGoAhead) this.foreign = true;
    };
    this.parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      this.bodyBytes += length;
      if (this.bodyBytes <= all.options.bodyLimit) {
        this.body.push(chunk.subarray(offset, offset + length));
      }
    };
    this.parser[HTTPParser.kOnMessageComplete] = () => this.complete();
    socket.on("data", this.take);
  }

  /** Bytes from the worker. */
  readonly take = (chunk: Buffer): void => {
    this.unanswered.push(chunk);
    const parsed = this.parser.execute(chunk);
    if (this.foreign) this.handOver();
    else if (parsed instanceof Error || this.bodyBytes > this.all.options.bodyLimit) this.refuse();
  };

  private complete(): void {
    if (this.foreign || this.bodyBytes > this.all.options.bodyLimit) return;
    const body = this.body.length === 1 ? this.body[0]! : Buffer.concat(this.body);
    this.unanswered = [];
    this.body = [];
    this.bodyBytes = 0;
    this.all.send(this.socket, this.all.options.reply(body), this.keep);
  }

  private handOver(): void {
    this.socket.removeListener("data", this.take);
    this.all.handOver(this.socket, Buffer.concat(this.unanswered));
  }

  private refuse(): void {
    this.socket.removeListener("data", this.take);
    const malformed = { status: 400, body: Buffer.alloc(0), retryAfterS: null };
    this.all.send(this.socket, malformed, false);
  }
}
