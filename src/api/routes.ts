/** The routes for users, health checks and heartbeats, and the answer to each request. */
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

/** Seconds over which the retries of requests that were refused as too many are spread. */
const RETRY_SPREAD_S = 3;

/** What the server asks of its controller. */
export interface ApiBackend extends HeartbeatBackend {
  isHealthy(): boolean;
  /** Users are to go to other nodes, though their requests here are answered. */
  shedsUsers(): boolean;
  /** A linearizable read. */
  readJob(id: string): Promise<JobReadResult>;
  checkFeasibility(spec: JobSpec): Feasibility;
  submit(spec: JobSpec): Promise<SubmissionOutcome>;
  /** `ok`: the cancellation is stored; `known`: it, or the job's end, was stored already. */
  cancel(id: string): Promise<WriteResult>;
  /** The job, done or cancelled, once its end is stored; null if it is not within so many seconds. */
  waitForEnd(id: string, withinS: number): Promise<JobView | null>;
}

/** Limits and observers of the server. */
export interface ServerOptions {
  /**
   * Limits on concurrent requests: of queries, and of submissions and cancellations. They are apart, so that a storm of
   * queries has none of the others refused.
   */
  readonly queryLimit: AdaptiveConcurrencyLimit;
  readonly mutationLimit: AdaptiveConcurrencyLimit;
  /** Steady time, in seconds. */
  readonly now: () => number;
  /** Seconds after which a refused client may come back. */
  readonly retryAfterS: number;
  /** Seconds within which a cancelled job is to end; otherwise its user is told to retry later. */
  readonly cancellationWaitS: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleTimeoutS: number;
  /** An error of this program's own. */
  readonly onFault: (error: Error) => void;
  /** A request was answered with `status` after `durationS` seconds. */
  readonly onRequestDone: (what: string, durationS: number, status: number) => void;
}

/** Sends a body in MessagePack. */
export const sendMessagePack = (reply: FastifyReply, status: number, body: unknown): FastifyReply =>
  reply.code(status).header("content-type", "application/msgpack").send(encode(body));

/** A route with the job's id in its path. */
interface JobRoute {
  // biome-ignore lint/style/useNamingConvention: the name that Fastify asks for
  readonly Params: { readonly id: string };
}

const toBuffer = (body: unknown): Buffer => (Buffer.isBuffer(body) ? body : Buffer.alloc(0));

/** Registers all routes on a server. */
export class Routes {
  /** Requests that were refused as too many: each gets its own time to retry after. */
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
    // For heartbeats that were not read by `WorkerConnections`.
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

  /** Refuses at once, with a Retry-After. */
  private refuse(reply: FastifyReply, status: number, error: string, extraS = 0): FastifyReply {
    reply.header("retry-after", String(this.retryAfterS() + extraS));
    // Connections are not moved between nodes: one that this node cannot serve is better opened anew.
    if (status === 503) reply.header("connection", "close");
    return sendMessagePack(reply, status, { error });
  }

  private retryAfterS(): number {
    return Math.max(1, Math.ceil(this.options.retryAfterS));
  }

  /** Beyond the limit users' requests are refused at once, each with its own Retry-After. */
  private async withConcurrencyLimit<T>(
    limit: AdaptiveConcurrencyLimit,
    reply: FastifyReply,
    work: () => Promise<T>,
  ): Promise<T | FastifyReply> {
    if (!limit.tryAcquire()) {
      return this.refuse(reply, 429, "busy", this.busyRefusalCount++ % RETRY_SPREAD_S);
    }
    const startedAt = this.options.now();
    // A connection closed with its answer is not reset later with a request on its way.
    if (this.backend.shedsUsers()) reply.header("connection", "close");
    try {
      return await work();
    } finally {
      const durationS = this.options.now() - startedAt;
      limit.release(durationS);
      const what = limit === this.options.queryLimit ? "query" : "mutation";
      this.options.onRequestDone(what, durationS, reply.statusCode);
    }
  }

  /** Answers with the state of a known job, or that this node does not know it; null: it was never accepted. */
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
      // A retry of an accepted job is answered with its state, whatever its body says.
      const id = decodeJobId(body);
      const answered = id === null ? null : await this.answerWithJobState(id, reply);
      return answered ?? sendMessagePack(reply, 400, { error: "malformed" });
    }
    const { kind } = this.backend.checkFeasibility(spec);
    if (kind !== "feasible") {
      const answered = await this.answerWithJobState(spec.id, reply);
      if (answered !== null) return answered;
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
    const answered = isValidJobId(id) ? await this.answerWithJobState(id, reply) : null;
    return answered ?? sendMessagePack(reply, 404, { error: "no such job" });
  }

  private async cancel(id: string, reply: FastifyReply): Promise<FastifyReply> {
    const { options, backend } = this;
    const deadlineAt = options.now() + options.cancellationWaitS;
    const answered = await this.withConcurrencyLimit(options.mutationLimit, reply, () =>
      this.storeCancellation(id, reply),
    );
    if (answered !== null) return answered;
    // How long machines take to stop the tasks says nothing about how busy this node is: the limit does not measure it.
    const ended = await backend.waitForEnd(id, Math.max(0, deadlineAt - options.now()));
    if (ended !== null) return sendMessagePack(reply, 200, encodeJobView(ended, false));
    reply.header("retry-after", String(this.retryAfterS()));
    return sendMessagePack(reply, 503, { error: "not over yet" });
  }

  /** Null: the cancellation is stored, and the job's end is to be waited for. */
  private async storeCancellation(id: string, reply: FastifyReply): Promise<FastifyReply | null> {
    if (!isValidJobId(id)) return sendMessagePack(reply, 404, { error: "no such job" });
    const read = await this.backend.readJob(id);
    if (read.kind === "unavailable") return this.refuse(reply, 503, "unavailable");
    if (read.kind === "not found") return sendMessagePack(reply, 404, { error: "no such job" });
    if (read.job.state === "done" || read.job.state === "cancelled") {
      return sendMessagePack(reply, 200, encodeJobView(read.job, false));
    }
    const stored = await this.backend.cancel(id);
    return stored.kind === "unavailable" ? this.refuse(reply, 503, "unavailable") : null;
  }

  private heartbeat(body: unknown, reply: FastifyReply): FastifyReply {
    const answer = this.heartbeats.handle(toBuffer(body));
    if (answer.retryAfterS !== null) {
      reply.header("retry-after", String(answer.retryAfterS)).header("connection", "close");
    }
    reply.code(answer.status).header("content-type", "application/msgpack");
    return reply.send(answer.body);
  }
}
