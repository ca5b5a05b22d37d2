/**
 * Workers' reports: most of what the leader does. They are read and answered on Node's own HTTP server, in front of
 * fastify, whose way to a handler and back cost more than the report itself (docs/processor-and-memory.md).
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Command, Report } from "../core/model.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import { decodeReport } from "../wire/report.js";
import { encodeCommands, encodeRedirect } from "../wire/schema.js";

/** What becomes of a report. */
export type ReportAnswer =
  | { readonly kind: "answer"; readonly token: number; readonly commands: readonly Command[] }
  | { readonly kind: "elsewhere"; readonly leader: string | null }
  | { readonly kind: "unavailable" };

/** What the reports ask of the controller. */
export interface ReportBackend {
  report(r: Report): ReportAnswer;
  /** The node that reports go to, if it is certain without reading one that it is another. */
  elsewhere(): string | null;
}

export interface ReportOptions {
  /** Largest body, in bytes. */
  readonly bodyLimit: number;
  /** Seconds after which a refused worker may come back. */
  readonly retryAfterS: number;
  /** Told of faults of our own. */
  readonly fault: (error: Error) => void;
}

interface Encoded {
  readonly key: unknown;
  readonly body: string;
}

/** As Latin-1 text, which Node.js sends with the head in one write. */
const textOf = (body: unknown): string => encode(body).toString("latin1");

function unpack(chunks: readonly Buffer[]): unknown {
  const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  if (bytes.length === 0) return undefined;
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
}

export class Reports {
  /** The last answer without commands and the last redirect, as most are the same. */
  private quiet: Encoded = { key: null, body: "" };
  private redirect: Encoded = { key: undefined, body: "" };

  constructor(
    private readonly backend: ReportBackend,
    private readonly options: ReportOptions,
  ) {}

  /** Is this request a report? */
  takes(request: IncomingMessage): boolean {
    return request.method === "POST" && request.url === PATH.report;
  }

  /** Reads the report and answers it. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    request.on("error", () => {});
    // After a takeover every worker comes here once: it is sent on before its report is read.
    const leader = this.backend.elsewhere();
    if (leader !== null) {
      this.sendOn(response, leader);
      return;
    }
    const chunks: Buffer[] = [];
    let length = 0;
    request.on("data", (chunk: Buffer) => {
      length += chunk.length;
      if (length <= this.options.bodyLimit) chunks.push(chunk);
      else if (!response.headersSent) this.refuse(response, 400, "too large");
    });
    request.on("end", () => {
      if (!response.headersSent) this.answer(unpack(chunks), response);
    });
  }

  private answer(body: unknown, response: ServerResponse): void {
    try {
      const report = decodeReport(body);
      if (report === null) this.send(response, 400, textOf({ error: "malformed" }));
      else this.answerReport(report, response);
    } catch (error) {
      this.options.fault(error as Error);
      if (!response.headersSent) this.refuse(response, 503, "trouble");
    }
  }

  private answerReport(report: Report, response: ServerResponse): void {
    const answer = this.backend.report(report);
    if (answer.kind === "unavailable") this.refuse(response, 503, "unavailable");
    else if (answer.kind === "elsewhere") this.sendOn(response, answer.leader);
    else this.send(response, 200, this.answerText(answer.token, answer.commands));
  }

  private answerText(token: number, commands: readonly Command[]): string {
    if (commands.length > 0) return textOf(encodeCommands(token, null, commands));
    if (this.quiet.key !== token) {
      this.quiet = { key: token, body: textOf(encodeCommands(token, null, [])) };
    }
    return this.quiet.body;
  }

  private sendOn(response: ServerResponse, leader: string | null): void {
    if (this.redirect.key !== leader) {
      this.redirect = { key: leader, body: textOf(encodeRedirect(leader)) };
    }
    this.send(response, 421, this.redirect.body);
  }

  /** Refuses at once, and tells when to come back. */
  private refuse(response: ServerResponse, status: number, error: string): void {
    response.setHeader("retry-after", String(Math.max(1, Math.ceil(this.options.retryAfterS))));
    response.setHeader("connection", "close");
    this.send(response, status, textOf({ error }));
  }

  private send(response: ServerResponse, status: number, body: string): void {
    response.writeHead(status, {
      "content-type": "application/msgpack",
      "content-length": body.length,
    });
    response.end(body, "latin1");
  }
}
