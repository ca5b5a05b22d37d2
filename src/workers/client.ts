/**
 * Direct commands to workers. Connections are kept to those lately spoken to, within a part of the
 * sockets that this node may have: every worker holds one of its own to us besides.
 */

import type { Command, Report } from "../core/model.js";
import type { SendOutcome } from "../core/outputs.js";
import { Peer, RequestFailed } from "../net/client.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import { decodeReport } from "../wire/report.js";
import { encodeCommands } from "../wire/schema.js";

export class Workers {
  private readonly peers = new Map<string, Peer>();

  constructor(
    private readonly timeoutMs: number,
    private maxKept: number,
  ) {}

  /** So many connections are kept from now on; those not used for longest go first. */
  keepAtMost(n: number): void {
    this.maxKept = n;
    this.trim();
  }

  private trim(): void {
    while (this.peers.size > this.maxKept) {
      const [oldest, peer] = this.peers.entries().next().value!;
      peer.close();
      this.peers.delete(oldest);
    }
  }

  private peer(address: string): Peer {
    let p = this.peers.get(address);
    // The map is kept in order of use.
    if (p !== undefined) this.peers.delete(address);
    p ??= new Peer(address, 2);
    this.peers.set(address, p);
    this.trim();
    return p;
  }

  async send(
    address: string,
    token: number,
    session: number,
    commands: readonly Command[],
  ): Promise<SendOutcome> {
    try {
      const body = encode(encodeCommands(token, session, commands));
      const r = await this.peer(address).request("POST", PATH.commands, body, this.timeoutMs);
      const report = r.status === 200 || r.status === 409 ? decodeReport(decode(r.body)) : null;
      if (report === null) return { kind: "lost", sent: r.status !== 400 };
      return { kind: "answer", executed: r.status === 200, report };
    } catch (e) {
      return { kind: "lost", sent: e instanceof RequestFailed ? e.sent : true };
    }
  }

  async show(address: string): Promise<Report | null> {
    try {
      const r = await this.peer(address).request("GET", PATH.show, null, this.timeoutMs);
      return r.status === 200 ? decodeReport(decode(r.body)) : null;
    } catch {
      return null;
    }
  }

  /** Drops connections to machines that are no more. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, peer] of this.peers) {
      if (addresses.has(address)) continue;
      peer.close();
      this.peers.delete(address);
    }
  }
}
