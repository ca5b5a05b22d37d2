/** What users, workers and the load balancer reach: HTTP by fastify, bodies in MessagePack. */
import { createServer, type RequestListener, type Server } from "node:http";
import type { Socket } from "node:net";
import Fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import type { AdaptiveConcurrencyLimit } from "../core/overload/adaptive-concurrency-limit.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import { decodeJob, encodeJobView, isValidJobId } from "../wire/schema.js";
import { type HeartbeatBackend, HeartbeatHandler } from "./heartbeats.js";
import type { SubmissionOutcome } from "./submission-service.js";
import type { WriteResult } from "./submission-writer.js";
import { WorkerConnections } from "./worker-connections.js";

const BODY_LIMIT = 64 * 1024;
/** Those refused for being too many come back over so many seconds. */
const RETRY_SPREAD_S = 3;

/** What the server asks of the controller it is the front of. */
export interface ApiBackend extends HeartbeatBackend {
  isHealthy(): boolean;
  /** Users are to go to other nodes, though what they ask here is answered. */
  shedsUsers(): boolean;
  /** A verified read: null for a job that was never accepted, "unavailable" if nobody can tell. */
  readJob(id: string): Promise<JobView | null | "unavailable">;
  /** Can it ever run? "unknown" while the machine types are not known. */
  checkFeasibility(spec: JobSpec): "fits" | "never" | "unknown";
  /** "never": it names a job that was never accepted, or is too large to be stored. */
  submit(spec: JobSpec): Promise<SubmissionOutcome>;
  /** "ok": the cancellation is stored; "known": it, or the job's end, was there already. */
  cancel(id: string): Promise<WriteResult>;
  /** The job's end, done or cancelled, once it is stored; null if it is not in so many seconds. */
  waitForEnd(id: string, withinS: number): Promise<JobView | null>;
}

export interface ServerOptions {
  /**
   * Limits on what is in progress: of questions, and of submissions and cancellations. They are apart,
   * so that a storm of questions refuses none of the others.
   */
  readonly queryLimit: AdaptiveConcurrencyLimit;
  readonly mutationLimit: AdaptiveConcurrencyLimit;
  readonly now: () => number;
  /** Seconds after which a refused client may come back. */
  readonly retryAfterS: number;
  /** Seconds within which a cancelled job is to be over; its user is told to come back otherwise. */
  readonly cancellationWaitS: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleTimeoutS: number;
  /** Told of faults of our own. */
  readonly onFault: (error: Error) => void;
  /** Told how long each request took, in seconds, and what was answered. */
  readonly onRequestDone: (what: string, seconds: number, status: number) => void;
}

const send = (reply: FastifyReply, status: number, body: unknown): FastifyReply =>
  reply.code(status).header("content-type", "application/msgpack").send(encode(body));

function unpack(body: unknown): unknown {
  if (!Buffer.isBuffer(body) || body.length === 0) return undefined;
  try {
    return decode(body);
  } catch {
    return undefined;
  }
}

/** The id that a body names, if it is of a form that ids have. */
function idOf(body: unknown): string | null {
  const id = (body as { nameId?: unknown } | null | undefined)?.nameId;
  return typeof id === "string" && isValidJobId(id) ? id : null;
}

/** The server for users, workers and health checks; it listens to nothing yet. */
export function buildServer(backend: ApiBackend, options: ServerOptions): FastifyInstance {
  const reports = new HeartbeatHandler(backend, options);
  let workers: WorkerConnections | null = null;
  const app = Fastify({
    logger: false,
    bodyLimit: BODY_LIMIT,
    serverFactory: (handler) => {
      const front = serverOf(handler, reports, options.idleTimeoutS);
      workers = front.workers;
      return front.server;
    },
    forceCloseConnections: true,
    exposeHeadRoutes: false,
  });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser("*", { parseAs: "buffer" }, (_req, body, done) => done(null, body));
  app.setNotFoundHandler((_req, reply) => send(reply, 404, { error: "no such path" }));
  app.addHook("preClose", async () => workers?.close());
  new Routes(app, backend, reports, options).register();
  return app;
}

/** The HTTP server, with the workers' connections in front of it. */
function serverOf(
  handler: RequestListener,
  reports: HeartbeatHandler,
  idleS: number,
): ServerWithWorkers {
  const server = createServer({ keepAliveTimeout: idleS * 1000 }, handler);
  server.requestTimeout = 0;
  const [attach] = server.listeners("connection") as ((socket: Socket) => void)[];
  server.removeAllListeners("connection");
  const workers = new WorkerConnections({
    onHeartbeat: (body) => reports.reply(body),
    onOtherRequests: (socket) => attach!.call(server, socket),
    maxBodyBytes: BODY_LIMIT,
    idleTimeoutS: idleS,
  });
  server.on("connection", (socket: Socket) => workers.accept(socket));
  return { server, workers };
}

interface ServerWithWorkers {
  readonly server: Server;
  readonly workers: WorkerConnections;
}

class Routes {
  /** Requests that were refused for being too many: each is told to come back in its turn. */
  private refusedAsBusy = 0;

  constructor(
    private readonly app: FastifyInstance,
    private readonly backend: ApiBackend,
    private readonly reports: HeartbeatHandler,
    private readonly options: ServerOptions,
  ) {}

  register(): void {
    const { app, backend, options } = this;
    app.setErrorHandler((error: Error & { statusCode?: number }, _req, reply) => {
      const status = error.statusCode ?? 500;
      if (status >= 500) {
        options.onFault(error);
        this.refuse(reply, 503, "trouble");
      } else send(reply, status === 413 ? 400 : status, { error: error.message });
    });
    app.get(PATH.health, (_req, reply) =>
      backend.isHealthy() ? send(reply, 200, { ok: true }) : send(reply, 503, { ok: false }),
    );
    app.post(PATH.jobs, (req, reply) =>
      this.limited(options.mutationLimit, reply, () => this.submit(unpack(req.body), reply)),
    );
    app.get<{ Params: { id: string } }>(`${PATH.jobs}/:id`, (req, reply) =>
      this.limited(options.queryLimit, reply, () => this.query(req.params.id, reply)),
    );
    app.post<{ Params: { id: string } }>(`${PATH.jobs}/:id/${PATH.cancel}`, (req, reply) =>
      this.cancel(req.params.id, reply),
    );
    // For what does not come as workers send it.
    app.post(PATH.report, (req, reply) => this.report(req.body, reply));
  }

  /** Refuses at once, and tells when to come back. */
  private refuse(reply: FastifyReply, status: number, error: string, laterS = 0): FastifyReply {
    const { retryAfterS } = this.options;
    reply.header("retry-after", String(Math.max(1, Math.ceil(retryAfterS)) + laterS));
    // Connections are not moved between nodes: one that we cannot serve is better opened anew.
    if (status === 503) reply.header("connection", "close");
    return send(reply, status, { error });
  }

  /** Past the limit users' requests are refused at once, and told to come back in turns. */
  private async limited<T>(
    limit: AdaptiveConcurrencyLimit,
    reply: FastifyReply,
    work: () => Promise<T>,
  ): Promise<T | FastifyReply> {
    if (!limit.tryAcquire())
      return this.refuse(reply, 429, "busy", this.refusedAsBusy++ % RETRY_SPREAD_S);
    const began = this.options.now();
    // A connection closed with its answer is not reset later with a request on its way.
    if (this.backend.shedsUsers()) reply.header("connection", "close");
    try {
      return await work();
    } finally {
      const tookS = this.options.now() - began;
      limit.release(tookS);
      const what = limit === this.options.queryLimit ? "question" : "mutation";
      this.options.onRequestDone(what, tookS, reply.statusCode);
    }
  }

  /** Answers with the state of a job that is known, or that nobody can tell; null: it never was accepted. */
  private async answerKnown(id: string, reply: FastifyReply): Promise<FastifyReply | null> {
    const known = await this.backend.readJob(id);
    if (known === "unavailable") return this.refuse(reply, 503, "unavailable");
    return known === null ? null : send(reply, 200, encodeJobView(known, true));
  }

  private async submit(body: unknown, reply: FastifyReply): Promise<FastifyReply> {
    const spec = decodeJob(body);
    if (spec === null) {
      // A retry of an accepted job is answered with its state, whatever its body says.
      const id = idOf(body);
      const answered = id === null ? null : await this.answerKnown(id, reply);
      return answered ?? send(reply, 400, { error: "malformed" });
    }
    const verdict = this.backend.checkFeasibility(spec);
    if (verdict !== "fits") {
      const answered = await this.answerKnown(spec.id, reply);
      if (answered !== null) return answered;
      if (verdict === "unknown") return this.refuse(reply, 503, "machine types unknown");
      return send(reply, 422, { error: "can never run" });
    }
    const result = await this.backend.submit(spec);
    if (result === "ok") {
      const accepted: JobView = { id: spec.id, state: "queued", done: 0, running: 0 };
      return send(reply, 201, encodeJobView(accepted, false));
    }
    if (result === "never") return send(reply, 422, { error: "can never run" });
    if (typeof result === "object") {
      reply.header("retry-after", String(result.retryAfterS));
      return send(reply, 429, { error: "share used" });
    }
    const answered = result === "known" ? await this.answerKnown(spec.id, reply) : null;
    return answered ?? this.refuse(reply, 503, "unavailable");
  }

  private async query(id: string, reply: FastifyReply): Promise<FastifyReply> {
    const answered = isValidJobId(id) ? await this.answerKnown(id, reply) : null;
    return answered ?? send(reply, 404, { error: "no such job" });
  }

  private async cancel(id: string, reply: FastifyReply): Promise<FastifyReply> {
    const { options, backend } = this;
    const deadline = options.now() + options.cancellationWaitS;
    const answered = await this.limited(options.mutationLimit, reply, () =>
      this.storeCancellation(id, reply),
    );
    if (answered !== null) return answered;
    // How long machines take to be rid of the tasks says nothing about how busy this node is: the
    // limit does not measure it.
    const ended = await backend.waitForEnd(id, Math.max(0, deadline - options.now()));
    if (ended !== null) return send(reply, 200, encodeJobView(ended, false));
    reply.header("retry-after", String(Math.max(1, Math.ceil(options.retryAfterS))));
    return send(reply, 503, { error: "not over yet" });
  }

  /** Null: the cancellation is stored, and the job's end is to be waited for. */
  private async storeCancellation(id: string, reply: FastifyReply): Promise<FastifyReply | null> {
    if (!isValidJobId(id)) return send(reply, 404, { error: "no such job" });
    const known = await this.backend.readJob(id);
    if (known === "unavailable") return this.refuse(reply, 503, "unavailable");
    if (known === null) return send(reply, 404, { error: "no such job" });
    if (known.state === "done" || known.state === "cancelled") {
      return send(reply, 200, encodeJobView(known, false));
    }
    const stored = await this.backend.cancel(id);
    return stored === "unavailable" ? this.refuse(reply, 503, "unavailable") : null;
  }

  private report(body: unknown, reply: FastifyReply): FastifyReply {
    const answer = this.reports.reply(Buffer.isBuffer(body) ? body : Buffer.alloc(0));
    if (answer.retryAfterS !== null) {
      reply.header("retry-after", String(answer.retryAfterS)).header("connection", "close");
    }
    reply.code(answer.status).header("content-type", "application/msgpack");
    return reply.send(answer.body);
  }
}
