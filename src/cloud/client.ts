/** The cloud, through its protocol. */
import type { ListedMachine, MachineType } from "../core/model.js";
import { Peer, type Reply } from "../net/client.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import {
  decodeCatalog,
  decodeMachines,
  decodeRented,
  encodeRent,
  encodeReturn,
} from "../wire/schema.js";

export class Cloud {
  private readonly peer: Peer;

  constructor(
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.peer = new Peer(address, 8);
  }

  private async call(method: string, path: string, body?: unknown): Promise<Reply | null> {
    try {
      return await this.peer.request(
        method,
        path,
        body === undefined ? null : encode(body),
        this.timeoutMs,
      );
    } catch {
      return null;
    }
  }

  async catalog(): Promise<MachineType[] | null> {
    const r = await this.call("GET", PATH.catalog);
    return r?.status === 200 ? decodeCatalog(decode(r.body)) : null;
  }

  async list(): Promise<ListedMachine[] | null> {
    const out: ListedMachine[] = [];
    let since = "";
    for (;;) {
      const r = await this.call("GET", `${PATH.machines}?since=${since}&most=500`);
      if (r?.status !== 200) return null;
      const page = decodeMachines(decode(r.body));
      if (page === null) return null;
      out.push(...page.machines);
      if (!page.more || page.machines.length === 0) return out;
      since = page.machines[page.machines.length - 1]!.name;
    }
  }

  async rent(
    name: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<{ machines: string[] } | "no capacity" | "trouble"> {
    const r = await this.call("POST", PATH.machines, encodeRent(name, type, zone, spot, count));
    if (r === null) return "trouble";
    if (r.status === 200) {
      const machines = decodeRented(decode(r.body));
      return machines === null ? "trouble" : { machines };
    }
    if (r.status === 503) {
      const body = decode(r.body) as { error?: string } | null;
      return body?.error === "no capacity" ? "no capacity" : "trouble";
    }
    return r.status === 400 ? "no capacity" : "trouble";
  }

  async giveBack(machines: readonly string[]): Promise<boolean> {
    const r = await this.call("POST", PATH.returnMachines, encodeReturn(machines));
    return r?.status === 200;
  }
}
