/** The HTTP routes for users, health checks and worker heartbeats, with their handlers. */
import type { FastifyInstance, FastifyReply } from "fastify";
import { assertNever } from "../core/assert-never.js";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import type { AdaptiveConcurrencyLimit } from "../core/overload/adaptive-concurrency-limit.js";
import { isValidJobId } from "../wire/fields.js";
import { decodeJob, decodeJobId, encodeJobView } from "../wire/jobs.js";
import { decodeBody, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import type { HeartbeatBackend, HeartbeatHandler } from "./heartbeats.js";
import type { Feasibility, JobReadResult, SubmissionOutcome, WriteResult } from "./outcomes.js";

/** Seconds over which the Retry-After values of requests beyond the concurrency limit are spread. */
const RETRY_SPREAD_S = 3;

/** The operations of the controller that the HTTP server calls. */
export interface ApiBackend extends HeartbeatBackend {
  isHealthy(): boolean;
  /** True if users should move to other nodes. Requests that still arrive at this node are answered. */
  shedsUsers(): boolean;
  /** A linearizable read. */
  readJob(id: string): Promise<JobReadResult>;
  checkFeasibility(spec: JobSpec): Feasibility;
  submit(spec: JobSpec): Promise<SubmissionOutcome>;
  /** `ok`: the cancellation is now stored; `known`: a cancellation or the job's final state was stored already. */
  cancel(id: string): Promise<WriteResult>;
  /** Resolves to the job once its final state is stored, or to null if that takes longer than `withinS` seconds. */
  waitForEnd(id: string, withinS: number): Promise<JobView | null>;
}

/** Limits and callbacks of the server. */
export interface ServerOptions {
  /**
   * Concurrency limits of queries, and of submissions and cancellations. They are separate so that a burst of queries
   * does not cause submissions or cancellations to be refused.
   */
  readonly queryLimit: AdaptiveConcurrencyLimit;
  readonly mutationLimit: AdaptiveConcurrencyLimit;
  /** Current monotonic time, in seconds. */
  readonly now: () => number;
  /** Seconds after which a refused client may retry. */
  readonly retryAfterS: number;
  /** Longest wait for a cancelled job to end, in seconds. After that, the client is told to retry later. */
  readonly cancellationWaitS: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleTimeoutS: number;
  /** Called with errors of this program, not of the request. */
  readonly onFault: (error: Error) => void;
  /**
   * Called when the part of a request that runs under a concurrency limit has ended, after `durationS` seconds.
   * `requestKind` is "query" or "mutation"; `status` is the HTTP status that the reply has at that time.
   */
  readonly onRequestDone: (requestKind: string, durationS: number, status: number) => void;
}

/** Sends a response with a MessagePack body. */
export const sendMessagePack = (reply: FastifyReply, status: number, body: unknown): FastifyReply =>
  reply.code(status).header("content-type", "application/msgpack").send(encode(body));

/** Fastify's type of a route with the job's id in its path. */
interface JobRoute {
  // biome-ignore lint/style/useNamingConvention: the name that Fastify requires
  readonly Params: { readonly id: string };
}

const toBuffer = (body: unknown): Buffer => (Buffer.isBuffer(body) ? body : Buffer.alloc(0));

/** Registers and handles all routes of a server. */
export class Routes {
  /**
   * Number of requests refused so far because of a concurrency limit. Their Retry-After values are derived from it,
   * so that these clients do not all retry at the same time.
   */
  private busyRefusalCount = 0;

  constructor(
    private readonly app: FastifyInstance,
    private readonly backend: ApiBackend,
    private readonly heartbeats: HeartbeatHandler,
    private readonly options: ServerOptions,
  ) {}

  register(): void {
    const { app, backend, options } = this;
    app.setErrorHandler((error: Error & { statusCode?: number }, _request, reply) =>
      this.answerError(error, reply),
    );
    app.get(PATH.health, (_request, reply) =>
      backend.isHealthy()
        ? sendMessagePack(reply, 200, { ok: true })
        : sendMessagePack(reply, 503, { ok: false }),
    );
    app.post(PATH.jobs, (request, reply) =>
      this.withConcurrencyLimit(options.mutationLimit, reply, () =>
        this.submit(request.body, reply),
      ),
    );
    app.get<JobRoute>(`${PATH.jobs}/:id`, (request, reply) =>
      this.withConcurrencyLimit(options.queryLimit, reply, () =>
        this.query(request.params.id, reply),
      ),
    );
    app.post<JobRoute>(`${PATH.jobs}/:id/${PATH.cancel}`, (request, reply) =>
      this.cancel(request.params.id, reply),
    );
    // Handles heartbeats that arrive on connections that `WorkerConnections` has passed to the HTTP server.
    app.post(PATH.heartbeat, (request, reply) => this.heartbeat(request.body, reply));
  }

  private answerError(error: Error & { statusCode?: number }, reply: FastifyReply): void {
    const status = error.statusCode ?? 500;
    if (status >= 500) {
      this.options.onFault(error);
      this.refuse(reply, 503, "trouble");
    } else {
      sendMessagePack(reply, status === 413 ? 400 : status, { error: error.message });
    }
  }

  /** Sends an error with a Retry-After header. */
  private refuse(reply: FastifyReply, status: number, error: string, extraS = 0): FastifyReply {
    reply.header("retry-after", String(this.retryAfterS() + extraS));
    // An open connection stays with its node; closing it lets the client connect to another one.
    if (status === 503) reply.header("connection", "close");
    return sendMessagePack(reply, status, { error });
  }

  private retryAfterS(): number {
    return Math.max(1, Math.ceil(this.options.retryAfterS));
  }

  /**
   * Runs a handler under a concurrency limit. A request beyond the limit is refused, with a Retry-After value that
   * varies from one refused request to the next.
   */
  private async withConcurrencyLimit<T>(
    limit: AdaptiveConcurrencyLimit,
    reply: FastifyReply,
    work: () => Promise<T>,
  ): Promise<T | FastifyReply> {
    if (!limit.tryAcquire()) {
      return this.refuse(reply, 429, "busy", this.busyRefusalCount++ % RETRY_SPREAD_S);
    }
    const startedAt = this.options.now();
    // While this node sheds users, its health check fails, and the load balancer may then reset connections that are
    // still open, even during a request. Each connection is therefore closed with its response.
    if (this.backend.shedsUsers()) reply.header("connection", "close");
    try {
      return await work();
    } finally {
      const durationS = this.options.now() - startedAt;
      limit.release(durationS);
      const requestKind = limit === this.options.queryLimit ? "query" : "mutation";
      this.options.onRequestDone(requestKind, durationS, reply.statusCode);
    }
  }

  /** Sends the job's state, or 503 if it can't be read. If no such job exists, sends nothing and returns null. */
  private async answerWithJobState(id: string, reply: FastifyReply): Promise<FastifyReply | null> {
    const result = await this.backend.readJob(id);
    switch (result.kind) {
      case "found":
        return sendMessagePack(reply, 200, encodeJobView(result.job, true));
      case "not found":
        return null;
      case "unavailable":
        return this.refuse(reply, 503, "unavailable");
      default:
        return assertNever(result);
    }
  }

  private async submit(requestBody: unknown, reply: FastifyReply): Promise<FastifyReply> {
    const body = decodeBody(toBuffer(requestBody));
    const spec = decodeJob(body);
    if (spec === null) {
      // If a job with this id was accepted earlier, the response is that job's state. Only the id in the body has to
      // be valid for this.
      const id = decodeJobId(body);
      const sentReply = id === null ? null : await this.answerWithJobState(id, reply);
      return sentReply ?? sendMessagePack(reply, 400, { error: "malformed" });
    }
    const { kind } = this.backend.checkFeasibility(spec);
    if (kind !== "feasible") {
      const sentReply = await this.answerWithJobState(spec.id, reply);
      if (sentReply !== null) return sentReply;
      if (kind === "unknown") return this.refuse(reply, 503, "machine types unknown");
      return sendMessagePack(reply, 422, { error: "can never run" });
    }
    return this.answerSubmission(spec.id, await this.backend.submit(spec), reply);
  }

  private async answerSubmission(
    id: string,
    outcome: SubmissionOutcome,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    switch (outcome.kind) {
      case "ok": {
        const accepted: JobView = { id, state: "queued", done: 0, running: 0 };
        return sendMessagePack(reply, 201, encodeJobView(accepted, false));
      }
      case "never":
        return sendMessagePack(reply, 422, { error: "can never run" });
      case "rejected":
        reply.header("retry-after", String(outcome.retryAfterS));
        return sendMessagePack(reply, 429, { error: "share used" });
      case "known":
        return (await this.answerWithJobState(id, reply)) ?? this.refuse(reply, 503, "unavailable");
      case "unavailable":
        return this.refuse(reply, 503, "unavailable");
      default:
        return assertNever(outcome);
    }
  }

  private async query(id: string, reply: FastifyReply): Promise<FastifyReply> {
    const sentReply = isValidJobId(id) ? await this.answerWithJobState(id, reply) : null;
    return sentReply ?? sendMessagePack(reply, 404, { error: "no such job" });
  }

  private async cancel(id: string, reply: FastifyReply): Promise<FastifyReply> {
    const { options, backend } = this;
    const deadlineAt = options.now() + options.cancellationWaitS;
    const sentReply = await this.withConcurrencyLimit(options.mutationLimit, reply, () =>
      this.storeCancellation(id, reply),
    );
    if (sentReply !== null) return sentReply;
    // This wait is outside the concurrency limit: the time to stop tasks does not reflect the load of this node.
    const ended = await backend.waitForEnd(id, Math.max(0, deadlineAt - options.now()));
    if (ended !== null) return sendMessagePack(reply, 200, encodeJobView(ended, false));
    reply.header("retry-after", String(this.retryAfterS()));
    return sendMessagePack(reply, 503, { error: "not over yet" });
  }

  /**
   * Stores the cancellation and returns null; the caller then waits for the end of the job. If the job does not exist
   * or has already ended, or if the state service is unavailable, sends the response instead.
   */
  private async storeCancellation(id: string, reply: FastifyReply): Promise<FastifyReply | null> {
    if (!isValidJobId(id)) return sendMessagePack(reply, 404, { error: "no such job" });
    const read = await this.backend.readJob(id);
    if (read.kind === "unavailable") return this.refuse(reply, 503, "unavailable");
    if (read.kind === "not found") return sendMessagePack(reply, 404, { error: "no such job" });
    if (read.job.state === "done" || read.job.state === "cancelled") {
      return sendMessagePack(reply, 200, encodeJobView(read.job, false));
    }
    const writeResult = await this.backend.cancel(id);
    return writeResult.kind === "unavailable" ? this.refuse(reply, 503, "unavailable") : null;
  }

  private heartbeat(body: unknown, reply: FastifyReply): FastifyReply {
    const heartbeatReply = this.heartbeats.handle(toBuffer(body));
    if (heartbeatReply.retryAfterS !== null) {
      reply.header("retry-after", String(heartbeatReply.retryAfterS)).header("connection", "close");
    }
    reply.code(heartbeatReply.status).header("content-type", "application/msgpack");
    return reply.send(heartbeatReply.body);
  }
}
