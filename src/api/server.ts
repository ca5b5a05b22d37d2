/** What users, workers and the load balancer reach: HTTP by fastify, bodies in MessagePack. */
import Fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import type { AdaptiveLimit } from "../core/limit.js";
import type { Command, JobSpec, JobView, Report } from "../core/model.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import {
  decodeJob,
  decodeReport,
  encodeCommands,
  encodeRedirect,
  encodeView,
  idIsValid,
} from "../wire/schema.js";
import type { IntakeResult, SubmitResult } from "./intake.js";

const BODY_LIMIT = 64 * 1024;
/** Those refused for being too many come back over so many seconds. */
const TURNS = 3;

/** What the server asks of the controller it is the front of. */
export interface ApiBackend {
  healthy(): boolean;
  /** Users are to go to other nodes, though what they ask here is answered. */
  leavesUsers(): boolean;
  /** A verified read: null for a job that was never accepted, "unavailable" if nobody can tell. */
  read(id: string): Promise<JobView | null | "unavailable">;
  /** Can it ever run? "unknown" while the machine types are not known. */
  judge(spec: JobSpec): "fits" | "never" | "unknown";
  /** "never": it names a job that was never accepted, or is too large to be stored. */
  submit(spec: JobSpec): Promise<SubmitResult>;
  /** "ok": the wish to cancel is stored; "known": that, or the job's end, was there already. */
  cancel(id: string): Promise<IntakeResult>;
  /** The job's end, done or cancelled, once it is stored; null if it is not in so many seconds. */
  ended(id: string, withinS: number): Promise<JobView | null>;
  report(
    r: Report,
  ):
    | { readonly kind: "answer"; readonly token: number; readonly commands: readonly Command[] }
    | { readonly kind: "elsewhere"; readonly leader: string | null }
    | { readonly kind: "unavailable" };
  /** The node that reports go to, if it is certain without reading one that it is another. */
  elsewhere(): string | null;
}

export interface ServerOptions {
  /**
   * Limits on what is in progress: of questions, and of submissions and cancellations. They are apart,
   * so that a storm of questions refuses none of the others.
   */
  readonly questions: AdaptiveLimit;
  readonly mutations: AdaptiveLimit;
  readonly now: () => number;
  /** Seconds after which a refused client may come back. */
  readonly retryAfterS: number;
  /** Seconds within which a cancelled job is to be over; its user is told to come back otherwise. */
  readonly patienceS: number;
  /** Seconds after which an idle connection is closed. */
  readonly idleS: number;
  /** Told of faults of our own. */
  readonly fault: (error: Error) => void;
  /** Told how long each request took, in seconds, and what was answered. */
  readonly took: (what: string, seconds: number, status: number) => void;
}

export function buildServer(backend: ApiBackend, options: ServerOptions): FastifyInstance {
  const app = Fastify({
    logger: false,
    bodyLimit: BODY_LIMIT,
    keepAliveTimeout: options.idleS * 1000,
    forceCloseConnections: true,
    exposeHeadRoutes: false,
  });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser("*", { parseAs: "buffer" }, (_req, body, done) => done(null, body));

  const send = (reply: FastifyReply, status: number, body: unknown): FastifyReply =>
    reply.code(status).header("content-type", "application/msgpack").send(encode(body));
  const refuse = (reply: FastifyReply, status: number, error: string, laterS = 0): FastifyReply => {
    reply.header("retry-after", String(Math.max(1, Math.ceil(options.retryAfterS)) + laterS));
    // Connections are not moved between nodes: one that we cannot serve is better opened anew.
    if (status === 503) reply.header("connection", "close");
    return send(reply, status, { error });
  };
  const unpack = (body: unknown): unknown => {
    if (!Buffer.isBuffer(body) || body.length === 0) return undefined;
    try {
      return decode(body);
    } catch {
      return undefined;
    }
  };

  /** Past the limit users' requests are refused at once, and told to come back in turns. */
  let turned = 0;
  const limited = async <T>(
    limit: AdaptiveLimit,
    reply: FastifyReply,
    work: () => Promise<T>,
  ): Promise<T | FastifyReply> => {
    if (!limit.enter()) return refuse(reply, 429, "busy", turned++ % TURNS);
    const began = options.now();
    // A connection closed with its answer is not reset later with a request on its way.
    if (backend.leavesUsers()) reply.header("connection", "close");
    try {
      return await work();
    } finally {
      const tookS = options.now() - began;
      limit.leave(tookS);
      options.took(limit === options.questions ? "question" : "wish", tookS, reply.statusCode);
    }
  };

  app.setErrorHandler((error: Error & { statusCode?: number }, _req, reply) => {
    const status = error.statusCode ?? 500;
    if (status >= 500) {
      options.fault(error);
      refuse(reply, 503, "trouble");
    } else send(reply, status === 413 ? 400 : status, { error: error.message });
  });
  app.setNotFoundHandler((_req, reply) => send(reply, 404, { error: "no such path" }));

  app.get(PATH.health, (_req, reply) =>
    backend.healthy() ? send(reply, 200, { ok: true }) : send(reply, 503, { ok: false }),
  );

  app.post(PATH.jobs, (req, reply) =>
    limited(options.mutations, reply, async () => {
      const body = unpack(req.body);
      const spec = decodeJob(body);
      if (spec === null) {
        // A retry of an accepted job is answered with its state, whatever its body says.
        const id = (body as { nameId?: unknown } | null | undefined)?.nameId;
        if (typeof id === "string" && idIsValid(id)) {
          const known = await backend.read(id);
          if (known === "unavailable") return refuse(reply, 503, "unavailable");
          if (known !== null) return send(reply, 200, encodeView(known, true));
        }
        return send(reply, 400, { error: "malformed" });
      }
      const verdict = backend.judge(spec);
      if (verdict !== "fits") {
        const known = await backend.read(spec.id);
        if (known === "unavailable") return refuse(reply, 503, "unavailable");
        if (known !== null) return send(reply, 200, encodeView(known, true));
        if (verdict === "unknown") return refuse(reply, 503, "machine types unknown");
        return send(reply, 422, { error: "can never run" });
      }
      const result = await backend.submit(spec);
      if (result === "ok") {
        return send(
          reply,
          201,
          encodeView({ id: spec.id, state: "queued", done: 0, running: 0 }, false),
        );
      }
      if (result === "never") return send(reply, 422, { error: "can never run" });
      if (result === "known") {
        const known = await backend.read(spec.id);
        if (known !== null && known !== "unavailable")
          return send(reply, 200, encodeView(known, true));
      }
      return refuse(reply, 503, "unavailable");
    }),
  );

  app.get<{ Params: { id: string } }>(`${PATH.jobs}/:id`, (req, reply) =>
    limited(options.questions, reply, async () => {
      const { id } = req.params;
      if (!idIsValid(id)) return send(reply, 404, { error: "no such job" });
      const known = await backend.read(id);
      if (known === "unavailable") return refuse(reply, 503, "unavailable");
      if (known === null) return send(reply, 404, { error: "no such job" });
      return send(reply, 200, encodeView(known, true));
    }),
  );

  app.post<{ Params: { id: string } }>(`${PATH.jobs}/:id/${PATH.cancel}`, async (req, reply) => {
    const { id } = req.params;
    const deadline = options.now() + options.patienceS;
    const answered = await limited(options.mutations, reply, async () => {
      if (!idIsValid(id)) return send(reply, 404, { error: "no such job" });
      const known = await backend.read(id);
      if (known === "unavailable") return refuse(reply, 503, "unavailable");
      if (known === null) return send(reply, 404, { error: "no such job" });
      if (known.state === "done" || known.state === "cancelled")
        return send(reply, 200, encodeView(known, false));
      if ((await backend.cancel(id)) === "unavailable") return refuse(reply, 503, "unavailable");
      return null;
    });
    if (answered !== null) return answered;
    // How long machines take to be rid of the tasks says nothing about how busy this node is: the
    // limit does not measure it.
    const ended = await backend.ended(id, Math.max(0, deadline - options.now()));
    if (ended !== null) return send(reply, 200, encodeView(ended, false));
    reply.header("retry-after", String(Math.max(1, Math.ceil(options.retryAfterS))));
    return send(reply, 503, { error: "not over yet" });
  });

  // After a takeover every worker comes here once: it is sent on before its report is read.
  const sendOn = (_req: unknown, reply: FastifyReply, next: () => void): void => {
    const leader = backend.elsewhere();
    if (leader === null) next();
    else send(reply, 421, encodeRedirect(leader));
  };
  app.post(PATH.report, { onRequest: sendOn }, (req, reply) => {
    const report = decodeReport(unpack(req.body));
    if (report === null) return send(reply, 400, { error: "malformed" });
    const answer = backend.report(report);
    if (answer.kind === "answer") {
      return send(reply, 200, encodeCommands(answer.token, null, answer.commands));
    }
    if (answer.kind === "elsewhere") return send(reply, 421, encodeRedirect(answer.leader));
    return refuse(reply, 503, "unavailable");
  });

  return app;
}
