/** HTTP server of a node, for users, workers and health checks. */
import type { FastifyInstance } from "fastify";
import type { Logger } from "pino";
import { type ApiBackend, buildServer } from "../api/server.js";
import type { OperatorSettings } from "../config/operator.js";
import { AdaptiveConcurrencyLimit } from "../core/overload/adaptive-concurrency-limit.js";
import { steadyNowS } from "../time/steady-clock.js";
import type { NodeSettings } from "../wire/settings.js";
import type { NodeTiming } from "./node-timing.js";

/** Number of connections per second that one core can accept alongside its other work. */
export const ACCEPTS_PER_CORE_PER_S = 500;

/** Settings and logger of the server. */
export interface HttpServerOptions {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  readonly timing: NodeTiming;
  readonly log: Logger;
}

/** Creates the server of a node; it does not listen yet. */
export function createHttpServer(backend: ApiBackend, options: HttpServerOptions): FastifyInstance {
  const { settings, operator, timing, log } = options;
  const { heartbeatIntervalS } = settings.cluster;
  const createLimit = (): AdaptiveConcurrencyLimit =>
    new AdaptiveConcurrencyLimit(
      operator.maxConcurrentRequests / 50,
      operator.maxConcurrentRequests,
      timing.requestTimeoutMs / 2000,
    );
  return buildServer(backend, {
    queryLimit: createLimit(),
    mutationLimit: createLimit(),
    now: steadyNowS,
    retryAfterS: 1,
    cancellationWaitS: heartbeatIntervalS / 3,
    // Frees the socket of a client that disappeared without closing its connection.
    idleTimeoutS: Math.max(10, 4 * heartbeatIntervalS),
    onRequestDone: (what, durationS, status) => {
      if (durationS > heartbeatIntervalS / 30) {
        log.debug({ what, durationS, status }, "slow request");
      }
    },
    onFault: (error) => log.error({ err: error }, "request failed"),
  });
}

/** Listens on the node's address; rejects if that is not possible. */
export async function listen(
  httpServer: FastifyInstance,
  { listenAddress, member, cluster }: NodeSettings,
  log: Logger,
): Promise<void> {
  const [host, port] = listenAddress.split(":") as [string, string];
  // The backlog holds as many connections as are accepted in one second. After a takeover all workers connect at
  // once, and a worker that is not answered in time closes its connection and retries. With a long backlog, the
  // leader accepted hundreds of connections per second that their workers had already closed, and for the length of a
  // whole worker lease no connection stayed open.
  const backlog = Math.ceil(ACCEPTS_PER_CORE_PER_S * cluster.cpuShare);
  await httpServer.listen({ host, port: Number(port), backlog });
  // Accepting a connection fails if no socket is left; this error must not end the process.
  httpServer.server.on("error", (error) => log.debug({ err: error }, "connection not accepted"));
  log.info({ member, on: listenAddress }, "listening");
}
