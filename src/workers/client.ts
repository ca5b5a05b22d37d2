/**
 * Sends commands and probes to workers.
 *
 * The client keeps connections only to the workers that it used most recently. It may use only a share of this node's
 * sockets, because every worker also opens a connection to the leader.
 */
import type { CommandOutcome } from "../core/effects.js";
import type { WorkerCommand, WorkerHeartbeat } from "../core/model/workers.js";
import { HttpConnectionPool, RequestError } from "../net/http-connection-pool.js";
import { encodeCommands } from "../wire/commands.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import { decodeWorkerHeartbeat } from "../wire/worker-heartbeat.js";

const MAX_CONNECTIONS_PER_WORKER = 2;

/** The HTTP client for all workers. */
export class WorkerClient {
  /** Connection pools by the worker's address, the least recently used first. */
  private readonly pools = new Map<string, HttpConnectionPool>();

  constructor(
    private readonly timeoutMs: number,
    private maxConnectedWorkers: number,
  ) {}

  /** Changes the number of workers to which connections are kept. Closes those of the least recently used. */
  setMaxConnectedWorkers(maxConnectedWorkers: number): void {
    this.maxConnectedWorkers = maxConnectedWorkers;
    this.closeLeastRecentlyUsed();
  }

  /**
   * Sends commands. The worker drops them if it has seen a higher fencing token or is in another incarnation. Never
   * rejects.
   */
  async send(
    address: string,
    fencingToken: number,
    incarnation: number,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome> {
    try {
      const body = encode(encodeCommands(fencingToken, incarnation, commands));
      const pool = this.poolFor(address);
      const { status, body: answer } = await pool.request(
        "POST",
        PATH.commands,
        body,
        this.timeoutMs,
      );
      const isAnswered = status === 200 || status === 409;
      const heartbeat = isAnswered ? decodeWorkerHeartbeat(decode(answer)) : null;
      if (heartbeat === null) return { kind: "lost", mayArrive: status !== 400 };
      return { kind: "answered", executed: status === 200, heartbeat };
    } catch (error) {
      return {
        kind: "lost",
        mayArrive: error instanceof RequestError ? error.mayHaveArrived : true,
      };
    }
  }

  /** Requests a heartbeat from the worker; null if it does not answer. Never rejects. */
  async probe(address: string): Promise<WorkerHeartbeat | null> {
    try {
      const pool = this.poolFor(address);
      const response = await pool.request("GET", PATH.probe, null, this.timeoutMs);
      return response.status === 200 ? decodeWorkerHeartbeat(decode(response.body)) : null;
    } catch {
      return null;
    }
  }

  /** Closes the connections to all addresses but these; the other addresses belong to terminated machines. */
  closeAllExcept(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (addresses.has(address)) continue;
      pool.close();
      this.pools.delete(address);
    }
  }

  private poolFor(address: string): HttpConnectionPool {
    let pool = this.pools.get(address);
    // Deleting and setting the entry moves it to the end of the map, as the most recently used.
    if (pool !== undefined) this.pools.delete(address);
    pool ??= new HttpConnectionPool(address, MAX_CONNECTIONS_PER_WORKER);
    this.pools.set(address, pool);
    this.closeLeastRecentlyUsed();
    return pool;
  }

  private closeLeastRecentlyUsed(): void {
    while (this.pools.size > this.maxConnectedWorkers) {
      const [address, pool] = this.pools.entries().next().value!;
      pool.close();
      this.pools.delete(address);
    }
  }
}
