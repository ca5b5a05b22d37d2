/** Workers' reports: from the bytes of one to the reply, whichever server they came through. */
import type { WorkerCommand, WorkerHeartbeat } from "../core/model/workers.js";
import { decode, encode } from "../wire/msgpack.js";
import { encodeCommands, encodeRedirect } from "../wire/schema.js";
import { decodeWorkerHeartbeat } from "../wire/worker-heartbeat.js";

/** What becomes of a report. */
export type HeartbeatAnswer =
  | { readonly kind: "answer"; readonly token: number; readonly commands: readonly WorkerCommand[] }
  | { readonly kind: "elsewhere"; readonly leader: string | null }
  | { readonly kind: "unavailable" };

/** What the reports ask of the controller. */
export interface HeartbeatBackend {
  handleHeartbeat(r: WorkerHeartbeat): HeartbeatAnswer;
  /** The node that reports go to, if it is certain without reading one that it is another. */
  redirectTarget(): string | null;
}

/** The reply to a report. */
export interface HeartbeatReply {
  readonly status: number;
  readonly body: Buffer;
  /** Seconds after which a refused worker may come back; it does so over a new connection. */
  readonly retryAfterS: number | null;
}

export interface HeartbeatHandlerOptions {
  /** Seconds after which a refused worker may come back. */
  readonly retryAfterS: number;
  /** Told of faults of our own. */
  readonly onFault: (error: Error) => void;
}

const replyOf = (status: number, body: unknown): HeartbeatReply => ({
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

export class HeartbeatHandler {
  /** The last reply without commands and the last redirect, as most are the same. */
  private replyWithoutCommands: { token: number; handle: HeartbeatReply } | null = null;
  private redirect: { leader: string | null; reply: HeartbeatReply } | null = null;

  constructor(
    private readonly backend: HeartbeatBackend,
    private readonly options: HeartbeatHandlerOptions,
  ) {}

  /** The reply to a report whose body has come in whole. */
  reply(body: Buffer): HeartbeatReply {
    try {
      // After a takeover every worker comes here once: it is sent on before its report is read.
      const leader = this.backend.redirectTarget();
      if (leader !== null) return this.redirectTo(leader);
      const report = decodeWorkerHeartbeat(unpack(body));
      return report === null ? replyOf(400, { error: "malformed" }) : this.replyToHeartbeat(report);
    } catch (error) {
      this.options.onFault(error as Error);
      return this.refusal("trouble");
    }
  }

  private replyToHeartbeat(report: WorkerHeartbeat): HeartbeatReply {
    const answer = this.backend.handleHeartbeat(report);
    if (answer.kind === "unavailable") return this.refusal("unavailable");
    if (answer.kind === "elsewhere") return this.redirectTo(answer.leader);
    const { token, commands } = answer;
    if (commands.length > 0) return replyOf(200, encodeCommands(token, null, commands));
    if (this.replyWithoutCommands?.token !== token) {
      this.replyWithoutCommands = { token, handle: replyOf(200, encodeCommands(token, null, [])) };
    }
    return this.replyWithoutCommands.handle;
  }

  private redirectTo(leader: string | null): HeartbeatReply {
    if (this.redirect === null || this.redirect.leader !== leader) {
      this.redirect = { leader, reply: replyOf(421, encodeRedirect(leader)) };
    }
    return this.redirect.reply;
  }

  /** Refuses at once, and tells when to come back. */
  private refusal(error: string): HeartbeatReply {
    const retryAfterS = Math.max(1, Math.ceil(this.options.retryAfterS));
    return { ...replyOf(503, { error }), retryAfterS };
  }
}
