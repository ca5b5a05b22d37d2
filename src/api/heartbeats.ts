/** Handles the body of a worker heartbeat and returns the reply, independently of the server that received it. */
import type { WorkerHeartbeat } from "../core/model/workers.js";
import { encodeCommands, encodeRedirect } from "../wire/commands.js";
import { decodeBody, encode } from "../wire/msgpack.js";
import { decodeWorkerHeartbeat } from "../wire/worker-heartbeat.js";
import type { HeartbeatAnswer } from "./outcomes.js";

/** Maximum number of replies that are kept for reuse. */
const MAXIMUM_EMPTY_REPLIES = 256;

/** The parts of the controller that handle heartbeats. */
export interface HeartbeatBackend {
  handleHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatAnswer;
  /** The leader, if another member leads and this is known before the heartbeat is decoded; otherwise null. */
  redirectTarget(): string | null;
}

/** The reply to a heartbeat. */
export interface HeartbeatReply {
  readonly status: number;
  readonly body: Buffer;
  /** Seconds after which a refused worker may retry, over a new connection; null if it was not refused. */
  readonly retryAfterS: number | null;
}

/** Options of a `HeartbeatHandler`. */
export interface HeartbeatHandlerOptions {
  /** Seconds after which a refused worker may retry. */
  readonly retryAfterS: number;
  /** Called with errors of this program, not of the request. */
  readonly onFault: (error: Error) => void;
}

const createReply = (status: number, body: unknown): HeartbeatReply => ({
  status,
  body: encode(body),
  retryAfterS: null,
});

/** Decodes heartbeats, passes them to the controller and encodes the replies. */
export class HeartbeatHandler {
  /** Replies without commands by fencing token, reused because most workers have one of few tokens. */
  private readonly emptyReplies = new Map<number, HeartbeatReply>();
  /** The last redirect, reused because most redirects are identical. */
  private lastRedirect: { leader: string | null; reply: HeartbeatReply } | null = null;

  constructor(
    private readonly backend: HeartbeatBackend,
    private readonly options: HeartbeatHandlerOptions,
  ) {}

  /** Returns the reply to a heartbeat whose complete body was received. */
  handle(body: Buffer): HeartbeatReply {
    try {
      // After a failover every worker contacts the previous leader once, so redirects skip the decoding.
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
    return this.emptyReplyWith(fencingToken);
  }

  private emptyReplyWith(fencingToken: number): HeartbeatReply {
    const known = this.emptyReplies.get(fencingToken);
    if (known !== undefined) return known;
    if (this.emptyReplies.size >= MAXIMUM_EMPTY_REPLIES) this.emptyReplies.clear();
    const reply = createReply(200, encodeCommands(fencingToken, null, []));
    this.emptyReplies.set(fencingToken, reply);
    return reply;
  }

  private redirectTo(leader: string | null): HeartbeatReply {
    if (this.lastRedirect === null || this.lastRedirect.leader !== leader) {
      this.lastRedirect = { leader, reply: createReply(421, encodeRedirect(leader)) };
    }
    return this.lastRedirect.reply;
  }

  /** A 503 reply with a Retry-After header. */
  private createRefusal(error: string): HeartbeatReply {
    const retryAfterS = Math.max(1, Math.ceil(this.options.retryAfterS));
    return { ...createReply(503, { error }), retryAfterS };
  }
}
