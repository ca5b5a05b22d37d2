/** Workers' reports: from the bytes of one to the reply, whichever server they came through. */
import type { Command, Report } from "../core/model.js";
import { decode, encode } from "../wire/msgpack.js";
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

/** The reply to a report. */
export interface ReportReply {
  readonly status: number;
  readonly body: Buffer;
  /** Seconds after which a refused worker may come back; it does so over a new connection. */
  readonly retryAfterS: number | null;
}

export interface ReportOptions {
  /** Seconds after which a refused worker may come back. */
  readonly retryAfterS: number;
  /** Told of faults of our own. */
  readonly fault: (error: Error) => void;
}

const replyOf = (status: number, body: unknown): ReportReply => ({
  status,
  body: encode(body),
  retryAfterS: null,
});

function unpack(bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
}

export class Reports {
  /** The last reply without commands and the last redirect, as most are the same. */
  private quiet: { token: number; reply: ReportReply } | null = null;
  private redirect: { leader: string | null; reply: ReportReply } | null = null;

  constructor(
    private readonly backend: ReportBackend,
    private readonly options: ReportOptions,
  ) {}

  /** The reply to a report whose body has come in whole. */
  reply(body: Buffer): ReportReply {
    try {
      // After a takeover every worker comes here once: it is sent on before its report is read.
      const leader = this.backend.elsewhere();
      if (leader !== null) return this.sendOn(leader);
      const report = decodeReport(unpack(body));
      return report === null ? replyOf(400, { error: "malformed" }) : this.replyTo(report);
    } catch (error) {
      this.options.fault(error as Error);
      return this.refusal("trouble");
    }
  }

  private replyTo(report: Report): ReportReply {
    const answer = this.backend.report(report);
    if (answer.kind === "unavailable") return this.refusal("unavailable");
    if (answer.kind === "elsewhere") return this.sendOn(answer.leader);
    const { token, commands } = answer;
    if (commands.length > 0) return replyOf(200, encodeCommands(token, null, commands));
    if (this.quiet?.token !== token) {
      this.quiet = { token, reply: replyOf(200, encodeCommands(token, null, [])) };
    }
    return this.quiet.reply;
  }

  private sendOn(leader: string | null): ReportReply {
    if (this.redirect === null || this.redirect.leader !== leader) {
      this.redirect = { leader, reply: replyOf(421, encodeRedirect(leader)) };
    }
    return this.redirect.reply;
  }

  /** Refuses at once, and tells when to come back. */
  private refusal(error: string): ReportReply {
    const retryAfterS = Math.max(1, Math.ceil(this.options.retryAfterS));
    return { ...replyOf(503, { error }), retryAfterS };
  }
}
