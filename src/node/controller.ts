/**
 * One controller node. The embedding program constructs it with its settings, starts it and stops it. The controller
 * delegates to the components that `NodeComposition` creates.
 */
import type { FastifyInstance } from "fastify";
import type { Logger } from "pino";
import type {
  Feasibility,
  HeartbeatAnswer,
  JobReadResult,
  SubmissionOutcome,
  WriteResult,
} from "../api/outcomes.js";
import type { ApiBackend } from "../api/server.js";
import type { OperatorSettings } from "../config/operator.js";
import type { JobSpec, JobView } from "../core/model/jobs.js";
import type { WorkerHeartbeat } from "../core/model/workers.js";
import type { NodeSettings } from "../wire/settings.js";
import { runInBackground } from "./background-loop.js";
import { createHttpServer, listen } from "./http-server.js";
import { NodeComposition } from "./node-composition.js";

/** A node of the cluster's control plane: serves users and workers, and leads if it is elected. */
export class Controller implements ApiBackend {
  private readonly node: NodeComposition;
  private readonly httpServer: FastifyInstance;

  constructor(
    private readonly settings: NodeSettings,
    operator: OperatorSettings,
    private readonly log: Logger,
  ) {
    this.node = new NodeComposition(settings, operator, log);
    const { timing } = this.node.adapters;
    this.httpServer = createHttpServer(this, { settings, operator, timing, log });
  }

  /** The HTTP server that users and workers connect to, for programs that embed a controller. */
  get server(): FastifyInstance["server"] {
    return this.httpServer.server;
  }

  /** Resolves once the node listens on both of its addresses; rejects if it cannot listen on one of them. */
  async start(): Promise<void> {
    const { watcher, peers, machineTypes, leader } = this.node;
    await listen(this.httpServer, this.settings, this.log);
    void runInBackground("state watcher", watcher, this.log);
    await peers.start();
    void runInBackground("machine types", machineTypes, this.log);
    void runInBackground("scheduling loop", leader.schedulingLoop, this.log);
  }

  /**
   * Stops the node as if its process had ended: leadership is not handed over, and each background loop ends after
   * its current step. Resolves once all connections of users and workers are closed.
   */
  async stop(): Promise<void> {
    const { watcher, peers, machineTypes, leader } = this.node;
    leader.schedulingLoop.stop();
    machineTypes.stop();
    leader.leadership.stop();
    watcher.stop();
    peers.stop();
    await this.httpServer.close();
  }

  isHealthy(): boolean {
    return this.node.health.isHealthy();
  }

  shedsUsers(): boolean {
    return this.node.health.shedsUsers();
  }

  readJob(id: string): Promise<JobReadResult> {
    return this.node.userRequestHandler.readJob(id);
  }

  checkFeasibility(spec: JobSpec): Feasibility {
    return this.node.userRequestHandler.checkFeasibility(spec);
  }

  submit(spec: JobSpec): Promise<SubmissionOutcome> {
    return this.node.userRequestHandler.submit(spec);
  }

  cancel(id: string): Promise<WriteResult> {
    return this.node.userRequestHandler.cancel(id);
  }

  waitForEnd(id: string, withinS: number): Promise<JobView | null> {
    return this.node.userRequestHandler.waitForEnd(id, withinS);
  }

  handleHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatAnswer {
    return this.node.workerHeartbeatHandler.handleHeartbeat(heartbeat);
  }

  redirectTarget(): string | null {
    return this.node.workerHeartbeatHandler.redirectTarget();
  }
}
