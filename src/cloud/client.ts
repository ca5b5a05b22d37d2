/** The cloud, through its protocol. */
import type { ScaleOutResult } from "../core/effects.js";
import type { ListedMachine, MachineType } from "../core/model/machines.js";
import { HttpConnectionPool, type HttpResponse } from "../net/http-connection-pool.js";
import { decode, encode } from "../wire/msgpack.js";
import { PATH } from "../wire/names.js";
import {
  decodeCatalog,
  decodeMachineList,
  decodeProvisionedMachines,
  encodeRelease,
  encodeScaleOut,
} from "../wire/schema.js";

export class CloudClient {
  private readonly connections: HttpConnectionPool;

  constructor(
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.connections = new HttpConnectionPool(address, 8);
  }

  private async call(method: string, path: string, body?: unknown): Promise<HttpResponse | null> {
    try {
      return await this.connections.request(
        method,
        path,
        body === undefined ? null : encode(body),
        this.timeoutMs,
      );
    } catch {
      return null;
    }
  }

  async fetchCatalog(): Promise<MachineType[] | null> {
    const r = await this.call("GET", PATH.catalog);
    return r?.status === 200 ? decodeCatalog(decode(r.body)) : null;
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const out: ListedMachine[] = [];
    let since = "";
    for (;;) {
      const r = await this.call("GET", `${PATH.machines}?since=${since}&most=500`);
      if (r?.status !== 200) return null;
      const page = decodeMachineList(decode(r.body));
      if (page === null) return null;
      out.push(...page.machines);
      if (!page.more || page.machines.length === 0) return out;
      since = page.machines[page.machines.length - 1]!.name;
    }
  }

  async scaleOut(
    name: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<ScaleOutResult> {
    const r = await this.call("POST", PATH.machines, encodeScaleOut(name, type, zone, spot, count));
    if (r === null) return { kind: "failed" };
    if (r.status === 200) {
      const machines = decodeProvisionedMachines(decode(r.body));
      return machines === null ? { kind: "failed" } : { kind: "provisioned", machines };
    }
    if (r.status === 503) {
      const body = decode(r.body) as { error?: string } | null;
      return { kind: body?.error === "no capacity" ? "no capacity" : "failed" };
    }
    return { kind: r.status === 400 ? "no capacity" : "failed" };
  }

  async releaseMachines(machines: readonly string[]): Promise<boolean> {
    const r = await this.call("POST", PATH.returnMachines, encodeRelease(machines));
    return r?.status === 200;
  }
}
