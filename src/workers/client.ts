/**
 * Direct commands to workers. Connections are kept to those lately spoken to, within a part of the
 * sockets that this node may have: every worker holds one of its own to us besides.
 */

import type { CommandOutcome } from "../core/effects.js";
import type { WorkerCommand, WorkerHeartbeat } from "../core/model/workers.js";
import { HttpConnectionPool, RequestError } from "../net/http-connection-pool.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import { encodeCommands } from "../wire/schema.js";
import { decodeWorkerHeartbeat } from "../wire/worker-heartbeat.js";

export class WorkerClient {
  private readonly pools = new Map<string, HttpConnectionPool>();

  constructor(
    private readonly timeoutMs: number,
    private maxConnections: number,
  ) {}

  /** So many connections are kept from now on; those not used for longest go first. */
  setMaxConnections(n: number): void {
    this.maxConnections = n;
    this.closeLeastRecentlyUsed();
  }

  private closeLeastRecentlyUsed(): void {
    while (this.pools.size > this.maxConnections) {
      const [oldest, peer] = this.pools.entries().next().value!;
      peer.close();
      this.pools.delete(oldest);
    }
  }

  private poolFor(address: string): HttpConnectionPool {
    let p = this.pools.get(address);
    // The map is kept in order of use.
    if (p !== undefined) this.pools.delete(address);
    p ??= new HttpConnectionPool(address, 2);
    this.pools.set(address, p);
    this.closeLeastRecentlyUsed();
    return p;
  }

  async send(
    address: string,
    token: number,
    session: number,
    commands: readonly WorkerCommand[],
  ): Promise<CommandOutcome> {
    try {
      const body = encode(encodeCommands(token, session, commands));
      const r = await this.poolFor(address).request("POST", PATH.commands, body, this.timeoutMs);
      const report =
        r.status === 200 || r.status === 409 ? decodeWorkerHeartbeat(decode(r.body)) : null;
      if (report === null) return { kind: "lost", mayArrive: r.status !== 400 };
      return { kind: "answered", executed: r.status === 200, heartbeat: report };
    } catch (e) {
      return { kind: "lost", mayArrive: e instanceof RequestError ? e.mayHaveArrived : true };
    }
  }

  async probe(address: string): Promise<WorkerHeartbeat | null> {
    try {
      const r = await this.poolFor(address).request("GET", PATH.show, null, this.timeoutMs);
      return r.status === 200 ? decodeWorkerHeartbeat(decode(r.body)) : null;
    } catch {
      return null;
    }
  }

  /** Drops connections to machines that are no more. */
  closeAllExcept(addresses: ReadonlySet<string>): void {
    for (const [address, peer] of this.pools) {
      if (addresses.has(address)) continue;
      peer.close();
      this.pools.delete(address);
    }
  }
}
