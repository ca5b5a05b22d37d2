/** The HTTP server for users, workers and the load balancer: Fastify with MessagePack bodies. */
import { createServer, type RequestListener, type Server } from "node:http";
import type { Socket } from "node:net";
import Fastify, { type FastifyInstance } from "fastify";
import { HeartbeatHandler } from "./heartbeats.js";
import { type ApiBackend, Routes, type ServerOptions, sendMessagePack } from "./routes.js";
import { WorkerConnections } from "./worker-connections.js";

export type { ApiBackend, ServerOptions } from "./routes.js";

const MAX_BODY_BYTES = 64 * 1024;
/**
 * Maximum length of a job id in a path. It equals Node.js's limit of a request's head, so that the routes handle ids of
 * any length: Fastify itself answers 414 to longer ones.
 */
const MAX_PATH_PARAMETER_LENGTH = 16 * 1024;

/** Builds the server. The caller must make it listen. */
export function buildServer(backend: ApiBackend, options: ServerOptions): FastifyInstance {
  const heartbeats = new HeartbeatHandler(backend, options);
  // Set by `serverFactory`, which Fastify calls.
  let workers: WorkerConnections | null = null;
  const app = Fastify({
    logger: false,
    bodyLimit: MAX_BODY_BYTES,
    routerOptions: { maxParamLength: MAX_PATH_PARAMETER_LENGTH },
    serverFactory: (handler) => {
      const serverWithWorkers = createServerWithWorkers(handler, heartbeats, options.idleTimeoutS);
      workers = serverWithWorkers.workers;
      return serverWithWorkers.server;
    },
    forceCloseConnections: true,
    exposeHeadRoutes: false,
  });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => done(null, body));
  app.setNotFoundHandler((_request, reply) =>
    sendMessagePack(reply, 404, { error: "no such path" }),
  );
  app.addHook("preClose", async () => workers?.close());
  new Routes(app, backend, heartbeats, options).register();
  return app;
}

interface ServerWithWorkers {
  readonly server: Server;
  readonly workers: WorkerConnections;
}

/**
 * Creates the HTTP server. `WorkerConnections` accepts all connections, and passes those with requests other than
 * heartbeats to the HTTP server's own connection listener.
 */
function createServerWithWorkers(
  handler: RequestListener,
  heartbeats: HeartbeatHandler,
  idleTimeoutS: number,
): ServerWithWorkers {
  const server = createServer({ keepAliveTimeout: idleTimeoutS * 1000 }, handler);
  // 0: no limit on the time in which a whole request must be received.
  server.requestTimeout = 0;
  const [connectionListener] = server.listeners("connection") as ((socket: Socket) => void)[];
  server.removeAllListeners("connection");
  const workers = new WorkerConnections({
    onHeartbeat: (body) => heartbeats.handle(body),
    onOtherRequests: (socket) => connectionListener!.call(server, socket),
    maxBodyBytes: MAX_BODY_BYTES,
    idleTimeoutS,
  });
  server.on("connection", (socket: Socket) => workers.accept(socket));
  return { server, workers };
}
