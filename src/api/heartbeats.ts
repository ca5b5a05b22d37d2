/** Worker heartbeats: from the bytes of one to the reply, whichever server received it. */
import type { WorkerHeartbeat } from "../core/model/workers.js";
import { encodeCommands, encodeRedirect } from "../wire/commands.js";
import { decodeBody, encode } from "../wire/msgpack.js";
import { decodeWorkerHeartbeat } from "../wire/worker-heartbeat.js";
import type { HeartbeatAnswer } from "./outcomes.js";

/** What the heartbeats ask of the controller. */
export interface HeartbeatBackend {
  handleHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatAnswer;
  /** The member that heartbeats go to, if it is certain without decoding one that it is another. */
  redirectTarget(): string | null;
}

/** The reply to a heartbeat. */
export interface HeartbeatReply {
  readonly status: number;
  readonly body: Buffer;
  /** Seconds after which a refused worker may come back; it does so over a new connection. */
  readonly retryAfterS: number | null;
}

/** What a `HeartbeatHandler` refuses by and tells. */
export interface HeartbeatHandlerOptions {
  /** Seconds after which a refused worker may come back. */
  readonly retryAfterS: number;
  /** An error of this program's own. */
  readonly onFault: (error: Error) => void;
}

const createReply = (status: number, body: unknown): HeartbeatReply => ({
  status,
  body: encode(body),
  retryAfterS: null,
});

/** Turns the body of a heartbeat into the reply. */
export class HeartbeatHandler {
  /** The last reply without commands, as most are the same. */
  private lastEmptyReply: { fencingToken: number; reply: HeartbeatReply } | null = null;
  /** The last redirect, as most are the same. */
  private lastRedirect: { leader: string | null; reply: HeartbeatReply } | null = null;

  constructor(
    private readonly backend: HeartbeatBackend,
    private readonly options: HeartbeatHandlerOptions,
  ) {}

  /** The reply to a heartbeat whose body was received whole. */
  handle(body: Buffer): HeartbeatReply {
    try {
      // After a failover every worker comes here once: it is redirected before its heartbeat is decoded.
      const leader = this.backend.redirectTarget();
      if (leader !== null) return this.redirectTo(leader);
      const heartbeat = decodeWorkerHeartbeat(decodeBody(body));
      if (heartbeat === null) return createReply(400, { error: "malformed" });
      return this.replyTo(heartbeat);
    } catch (error) {
      this.options.onFault(error as Error);
      return this.createRefusal("trouble");
    }
  }

  private replyTo(heartbeat: WorkerHeartbeat): HeartbeatReply {
    const answer = this.backend.handleHeartbeat(heartbeat);
    if (answer.kind === "unavailable") return this.createRefusal("unavailable");
    if (answer.kind === "redirect") return this.redirectTo(answer.leader);
    const { fencingToken, commands } = answer;
    if (commands.length > 0) return createReply(200, encodeCommands(fencingToken, null, commands));
    if (this.lastEmptyReply?.fencingToken !== fencingToken) {
      const reply = createReply(200, encodeCommands(fencingToken, null, []));
      this.lastEmptyReply = { fencingToken, reply };
    }
    return this.lastEmptyReply.reply;
  }

  private redirectTo(leader: string | null): HeartbeatReply {
    if (this.lastRedirect === null || this.lastRedirect.leader !== leader) {
      this.lastRedirect = { leader, reply: createReply(421, encodeRedirect(leader)) };
    }
    return this.lastRedirect.reply;
  }

  /** Refuses at once, with a Retry-After. */
  private createRefusal(error: string): HeartbeatReply {
    const retryAfterS = Math.max(1, Math.ceil(this.options.retryAfterS));
    return { ...createReply(503, { error }), retryAfterS };
  }
}
