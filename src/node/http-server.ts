/** The server of a node for users, workers and health checks. */
import type { FastifyInstance } from "fastify";
import type { Logger } from "pino";
import { type ApiBackend, buildServer } from "../api/server.js";
import type { OperatorSettings } from "../config/operator.js";
import { AdaptiveConcurrencyLimit } from "../core/overload/adaptive-concurrency-limit.js";
import { steadyNowS } from "../time/steady-clock.js";
import type { NodeSettings } from "../wire/settings.js";
import type { NodeTiming } from "./node-timing.js";

/** Connections that one core accepts in a second while there is other work. */
export const ACCEPTS_PER_CORE_S = 500;

/** What the server follows. */
export interface HttpServerOptions {
  readonly settings: NodeSettings;
  readonly operator: OperatorSettings;
  readonly timing: NodeTiming;
  readonly log: Logger;
}

/** The server in front of a node; it does not listen yet. */
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
    // A peer that vanished without a word must not hold a socket for long.
    idleTimeoutS: Math.max(10, 4 * heartbeatIntervalS),
    onRequestDone: (what, durationS, status) => {
      if (durationS > heartbeatIntervalS / 30) {
        log.debug({ what, durationS, status }, "slow request");
      }
    },
    onFault: (error) => log.error({ err: error }, "request failed"),
  });
}

/** Listens at the node's address. Rejects if the address cannot be used. */
export async function listen(
  httpServer: FastifyInstance,
  { listenAddress, member, cluster }: NodeSettings,
  log: Logger,
): Promise<void> {
  const [host, port] = listenAddress.split(":") as [string, string];
  // After a takeover every worker connects at once, and one that is not accepted and answered in time
  // gives up and comes again. A long queue is then served to those who have left: the leader accepted
  // hundreds a second and kept none, for a whole lease. So it holds what is accepted in a second.
  const backlog = Math.ceil(ACCEPTS_PER_CORE_S * cluster.cpuShare);
  await httpServer.listen({ host, port: Number(port), backlog });
  // With no socket left a connection cannot be accepted; that must not end the process.
  httpServer.server.on("error", (error) => log.debug({ err: error }, "connection not accepted"));
  log.info({ member, on: listenAddress }, "listening");
}
